package configserver

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/revision"
)

// A change of a file becomes active at a controller of another region's server; an invalid one leaves the last valid one.
func TestChangeOfFileReachesController(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	write(t, folder, "payouts.json", exampleSettings(t, "other"))
	writer := start(t, Options{Name: "s0", Folder: folder})
	follower := start(t, Options{Name: "s1", Region: "r1", Follow: []configclient.Server{at(writer)}})
	g := follow(t, "orders", at(follower))
	g.until("first")
	write(t, folder, "orders.json", exampleSettings(t, "second"))
	g.until("second")

	write(t, folder, "orders.json", []byte(strings.Replace(string(exampleSettings(t, "third")), "push_rate", "rate", 1)))
	scriptedpeer.WaitFor(t, "an invalid file is not rejected", func() bool { return len(writer.Status().Faults) == 1 })
	fault := writer.Status().Faults[0]
	if fault.File != "orders.json" || !strings.Contains(fault.Reason, "setting domain.push_rate is missing") {
		t.Errorf("%+v", fault)
	}
	write(t, folder, "payouts.json", exampleSettings(t, "another"))
	scriptedpeer.WaitFor(t, "the other service does not change", func() bool { return follower.Version() == writer.Version() && writer.Version().Revision == 4 })
	if got := len(g.seen); got != 2 || writer.log.count("file refused") != 1 {
		t.Errorf("%d versions seen, the log: %s", got, writer.log.text.String())
	}

	write(t, folder, "orders.json", exampleSettings(t, "refused")) // by the governor alone
	scriptedpeer.WaitFor(t, "a rejection is not reported", func() bool {
		w := follower.Status().Watchers
		return len(w) == 1 && w[0].Rejected.Revision == 5 && w[0].Active.Revision == 3
	})
	write(t, folder, "orders.json", exampleSettings(t, "fourth"))
	g.until("fourth")
	if w := g.Counts(); w.Rejected != 1 || w.Offered != 4 || len(writer.Status().Faults) != 0 || writer.log.count("file can be used again") != 1 {
		t.Errorf("%+v", w)
	}
}

// A file that is incomplete, empty, too large or no regular file changes nothing.
func TestUnusableFilesChangeNothing(t *testing.T) {
	t.Parallel()
	folder := filepath.Join(t.TempDir(), "settings")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	whole := exampleSettings(t, "first")
	write(t, folder, "orders.json", whole)
	write(t, folder, "stock.json", whole)
	writer := start(t, Options{Name: "s0", Folder: folder})
	g := follow(t, "orders", at(writer))
	g.until("first")
	before := writer.Version()
	for says, spoil := range map[string]func(){
		"unexpected":        func() { os.WriteFile(filepath.Join(folder, "orders.json"), whole[:len(whole)/2], 0o600) },
		"EOF":               func() { os.WriteFile(filepath.Join(folder, "orders.json"), nil, 0o600) },
		"more than one":     func() { os.WriteFile(filepath.Join(folder, "orders.json"), append(whole, whole...), 0o600) },
		"at most 1048576":   func() { os.WriteFile(filepath.Join(folder, "orders.json"), make([]byte, 2<<20), 0o600) },
		"no regular file":   func() { os.Mkdir(filepath.Join(folder, "shop.json"), 0o700) },
		"no name of a serv": func() { write(t, folder, "a b.json", whole) },
	} {
		spoil()
		scriptedpeer.WaitFor(t, says+" is not said", func() bool {
			all := writer.Status().Faults
			return len(all) == 1 && strings.Contains(all[0].Reason, says)
		})
		os.Remove(filepath.Join(folder, "shop.json"))
		os.Remove(filepath.Join(folder, "a b.json"))
		write(t, folder, "orders.json", whole)
		scriptedpeer.WaitFor(t, says+": still a fault", func() bool { return len(writer.Status().Faults) == 0 })
	}
	if writer.Version().Epoch != before.Epoch {
		t.Errorf("another epoch: %s", writer.Version())
	}
}

// The test calls scan itself: a concurrent scan that has listed the folder before it is renamed reports unreadable files, too.
func TestMissingAndEmptyFolderAreOneFaultEach(t *testing.T) {
	t.Parallel()
	folder := filepath.Join(t.TempDir(), "settings")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	write(t, folder, "stock.json", exampleSettings(t, "first"))
	s, err := New(Options{Folder: folder, Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.listener.Close()
	s.scan(true)
	if faults := s.Status().Faults; len(faults) != 0 {
		t.Fatalf("before anything is wrong: %v", faults)
	}
	if err := os.Rename(folder, folder+"-away"); err != nil {
		t.Fatal(err)
	}
	s.scan(false)
	if faults := s.Status().Faults; len(faults) != 1 || faults[0].File != folder {
		t.Errorf("a folder that is away: %v", faults)
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	s.scan(false)
	if faults := s.Status().Faults; len(faults) != 1 || faults[0].Reason != errFolderEmpty.Error() {
		t.Errorf("an empty folder: %v", faults)
	}
	if names := s.names(); len(names) != 2 {
		t.Errorf("services: %v", names)
	}
}

// A service is removed when its file is missing in two scans: some programs replace a file in two steps.
func TestRemovedFileRemovesService(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	write(t, folder, "stock.json", exampleSettings(t, "first"))
	s, err := New(Options{Folder: folder, Listen: "127.0.0.1:0"}) // scanned by the test
	if err != nil {
		t.Fatal(err)
	}
	defer s.listener.Close()
	s.scan(true)
	os.Remove(filepath.Join(folder, "orders.json"))
	s.scan(false)
	write(t, folder, "orders.json", exampleSettings(t, "second"))
	s.scan(false)
	if v := s.Version(); v.Revision != 3 || len(s.names()) != 2 {
		t.Errorf("%s %v", v, s.names())
	}
	os.Remove(filepath.Join(folder, "orders.json"))
	s.scan(false)
	s.scan(false)
	if v := s.Version(); v.Revision != 4 || len(s.names()) != 1 {
		t.Errorf("%s %v", v, s.names())
	}
}

// A writer that starts from an old state serves it under a later epoch, and is followed.
func TestRestoredWriterIsFollowed(t *testing.T) {
	t.Parallel()
	folder, state := t.TempDir(), filepath.Join(t.TempDir(), "state.json")
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	listen := scriptedpeer.FreeAddress(t)
	writer := start(t, Options{Name: "s0", Folder: folder, StateFile: state, Listen: listen})
	follower := start(t, Options{Name: "s1", Region: "r1", Follow: []configclient.Server{at(writer)}})
	g := follow(t, "orders", at(follower))
	g.until("first")
	scriptedpeer.WaitFor(t, "no state is kept", func() bool { _, err := os.Stat(state); return err == nil })
	backup, err := os.ReadFile(state)
	if err != nil {
		t.Fatal(err)
	}
	for _, class := range []string{"second", "third"} {
		write(t, folder, "orders.json", exampleSettings(t, class))
		g.until(class)
	}
	was := writer.Version()
	writer.stop()
	write(t, folder, "orders.json", exampleSettings(t, "first")) // all of it is restored
	if err := os.WriteFile(state, backup, 0o600); err != nil {
		t.Fatal(err)
	}
	writer = start(t, Options{Name: "s0", Folder: folder, StateFile: state, Listen: listen})
	g.until("first")
	if is := g.Active(); is.Epoch <= was.Epoch || is.Revision >= was.Revision {
		t.Errorf("%s in force after %s", is, was)
	}
	writer.stop() // and one that has lost its state, and whose clock is behind
	os.Remove(state)
	write(t, folder, "orders.json", exampleSettings(t, "fourth"))
	late := start(t, Options{Name: "s0", Folder: folder, Listen: listen})
	late.mu.Lock()
	ahead := late.store.Version().Epoch
	late.mu.Unlock()
	g.until("fourth")
	if is := g.Active(); is.Epoch < ahead {
		t.Errorf("%s in force, the epoch was %d", is, ahead)
	}
}

// A writer that has lost its state and whose clock is behind sees a later epoch at its first follower, and begins the one
// after it. Once it is followed, a later epoch is another writer's, with which it does not compete.
func TestWriterBeginsLaterEpochThanFollower(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := start(t, Options{Name: "s0", Folder: folder})
	scriptedpeer.WaitFor(t, "no service is served", func() bool { return writer.Version().Revision == 1 })
	ahead := revision.Version{Epoch: writer.Version().Epoch + 1000, Revision: 7}
	if status, body := get(t, writer, "/configuration?service=orders&since="+ahead.String()); status != 200 || !strings.Contains(body, `"first"`) {
		t.Errorf("%d %.100s", status, body)
	}
	own := writer.Version()
	if own.Epoch != ahead.Epoch+1 || own.Revision != 1 {
		t.Fatalf("%s after %s", own, ahead)
	}
	get(t, writer, "/configuration?service=orders&since="+own.String()) // it is followed
	for range 2 {
		get(t, writer, "/configuration?service=orders&since="+revision.Version{Epoch: own.Epoch + 1, Revision: 1}.String())
	}
	if writer.Version() != own || writer.log.count("another writer is about") != 1 {
		t.Errorf("%s, the log: %s", writer.Version(), writer.log.text.String())
	}
	get(t, writer, "/configuration?service=orders&since="+revision.Version{Epoch: revision.Max, Revision: 1}.String())
	if writer.Version() != own {
		t.Errorf("%s", writer.Version())
	}
}

// An invalid state file is logged and ignored; a writer whose files are invalid at its start serves those of its state.
func TestStateFileIsCheckedAtStart(t *testing.T) {
	t.Parallel()
	folder, state := t.TempDir(), filepath.Join(t.TempDir(), "state.json")
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := start(t, Options{Name: "s0", Folder: folder, StateFile: state})
	scriptedpeer.WaitFor(t, "no state is kept", func() bool { _, err := os.Stat(state); return err == nil })
	writer.stop()
	write(t, folder, "orders.json", []byte("{"))
	writer = start(t, Options{Name: "s0", Folder: folder, StateFile: state})
	follow(t, "orders", at(writer)).until("first")
	writer.stop()
	raw, err := os.ReadFile(state)
	if err != nil {
		t.Fatal(err)
	}
	for says, text := range map[string]string{
		"unexpected end": string(raw[:len(raw)/2]), "no whole copy": strings.Replace(string(raw), `"complete":true`, `"complete":false`, 1),
		"push_rate": strings.ReplaceAll(string(raw), "push_rate", "rate"),
	} {
		if err := os.WriteFile(state, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		writer = start(t, Options{Name: "s0", Folder: folder, StateFile: state})
		scriptedpeer.WaitFor(t, says+" is not said", func() bool { return writer.log.count("state refused") == 1 && writer.log.count(says) > 0 })
		writer.stop()
	}
	for _, o := range []Options{{}, {Folder: folder, Follow: []configclient.Server{{Address: "127.0.0.1:1"}}}} {
		if _, err := New(o); err == nil {
			t.Errorf("%+v is a server", o)
		}
	}
}

func get(t testing.TB, r *runningServer, query string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + r.Address() + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// The responses that the operators' page shows.
func TestResponseByQuery(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := start(t, Options{Name: "s0", Folder: folder, MaxCopies: 1})
	scriptedpeer.WaitFor(t, "no service is served", func() bool { return writer.Version().Revision == 1 })
	v := writer.Version().String()
	for _, c := range []struct {
		query, says string
		status      int
	}{
		{"/configuration?service=orders", `"complete":true`, 200},
		{"/configuration?service=orders&since=" + v, `"services":[]`, 200},
		{"/configuration?service=payouts", "no service", 404},
		{"/configuration?since=x", "since: version", 400},
		{"/configuration?timeout_ms=9000000", "timeout_ms=", 400},
		{"/configuration", `"name":"orders"`, 200},
		{"/status", `"server":"s0"`, 200},
		{"/", "", 404},
	} {
		if status, body := get(t, writer, c.query); status != c.status || !strings.Contains(body, c.says) {
			t.Errorf("%s: %d %.200s", c.query, status, body)
		}
	}
	writer.mu.Lock()
	writer.copies.Acquire(1, 0)
	writer.mu.Unlock()
	status, body := get(t, writer, "/configuration?service=orders")
	var refusal configapi.Refusal
	if err := json.Unmarshal([]byte(body), &refusal); err != nil || status != 503 || refusal.RetryAfterMS < 100 {
		t.Errorf("%d %s", status, body)
	}
	if c := writer.Status().Counters; c.Throttled != 1 || c.Copies != 2 {
		t.Errorf("%+v", c)
	}
}

// Followers over the connection limit use another server.
func TestConnectionsAreLimited(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := start(t, Options{Name: "s0", Folder: folder, MaxConnections: 3})
	second := start(t, Options{Name: "s1", Follow: []configclient.Server{at(writer)}})
	scriptedpeer.WaitFor(t, "no service is served", func() bool { return second.Version().Revision == 1 }) // one of the three
	var held []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", writer.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		held = append(held, conn)
	}
	scriptedpeer.WaitFor(t, "they are not accepted", func() bool { return writer.Status().Counters.Connections == 3 })
	g := follow(t, "orders", at(writer), configclient.Server{Address: second.Address(), Region: "far"})
	g.until("first")
	if c := writer.Status().Counters; c.Connections != 3 || c.Refused == 0 || g.Counts().Failures == 0 {
		t.Errorf("%+v %+v", c, g.Counts())
	}
	for _, conn := range held {
		conn.Close()
	}
	scriptedpeer.WaitFor(t, "connections are not released", func() bool { return writer.Status().Counters.Connections <= 2 })
}

// A server shuts down at once while many followers wait for a change.
func TestShutdownWithWaitingFollowers(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := start(t, Options{Name: "s0", Folder: folder})
	for range 50 {
		follow(t, "orders", at(writer)).until("first")
	}
	begun := time.Now()
	writer.stop()
	if span := time.Since(begun); span > 2*shutdownTimeout {
		t.Errorf("%v", span)
	}
}
