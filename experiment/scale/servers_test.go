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

// Another one that listens at a server's address is not taken for it.
func TestAServerIsKnownByItsName(t *testing.T) {
	s, err := newServers(small(), nil, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ says, fault string }{
		"itself":  {`{"server":"server-1"}`, ""},
		"another": {`{"server":"server-2"}`, "server-2"},
		"no such": {"not found", "invalid"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(c.says)) }))
		s.addresses[1] = l.Addr().String()
		err = s.answers(t.Context(), 1)
		if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: %v", name, err)
		}
		l.Close()
	}
}

// A server that could not start, or has ended by itself, is a fault of the run and does not count as one that idles.
func TestAServerThatHasEndedIsNoticed(t *testing.T) {
	c := exec.Command("/bin/true")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Wait()
	scriptedpeer.WaitFor(t, "its end is not noticed", func() bool { return errors.Is(allRun([]int{c.Process.Pid}), errEnded) })
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	s, err := newServers(small(), ServeAs("/bin/true", nil), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer s.stop()
	if err := s.start(ctx, func(int, int) string { return "127.0.0.1:1" }); err == nil {
		t.Error("servers that have ended have started")
	}
}
