package scale

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// Another server that listens at a server's address must not be taken for that server.
func TestServerIsIdentifiedByItsName(t *testing.T) {
	s, err := newServers(smallPlan(), nil, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ response, wantError string }{
		"same name":    {`{"server":"server-1"}`, ""},
		"other name":   {`{"server":"server-2"}`, "server-2"},
		"not a status": {"not found", "invalid"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(c.response)) }))
		s.addresses[1] = l.Addr().String()
		err = s.checkStatus(t.Context(), 1)
		if (err == nil) != (c.wantError == "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %v", name, err)
		}
		l.Close()
	}
}

// A server that could not start, or that has ended by itself, must fail the run. Otherwise it would count as a server
// without load.
func TestEndedServerIsReported(t *testing.T) {
	c := exec.Command("/bin/true")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Wait()
	scriptedpeer.WaitFor(t, "the end of the process is not reported", func() bool { return errors.Is(checkRunning([]int{c.Process.Pid}), errProcessEnded) })
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	s, err := newServers(smallPlan(), ServeProcesses("/bin/true", nil), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer s.stop()
	if err := s.start(ctx, func(int, int) string { return "127.0.0.1:1" }); err == nil {
		t.Error("start reported no error for servers that had ended")
	}
}
