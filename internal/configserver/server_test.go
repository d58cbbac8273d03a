package configserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/revision"
)

// A changed settings file becomes active at a controller that follows another region's server. An invalid file, or one that
// only the controller rejects, leaves the last valid version active.
func TestChangeOfFileReachesController(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writeFile(t, folder, "payouts.json", exampleSettings(t, "other"))
	writer := startServer(t, Options{Name: "s0", Folder: folder})
	follower := startServer(t, Options{Name: "s1", Region: "r1", Upstreams: []configclient.Server{asServer(writer)}})
	controller := followService(t, "orders", asServer(follower))
	controller.waitForClass("first")
	writeFile(t, folder, "orders.json", exampleSettings(t, "second"))
	controller.waitForClass("second")

	writeFile(t, folder, "orders.json", []byte(strings.Replace(string(exampleSettings(t, "third")), "push_rate", "rate", 1)))
	scriptedpeer.WaitFor(t, "the invalid file was not rejected", func() bool { return len(writer.Status().Faults) == 1 })
	fault := writer.Status().Faults[0]
	if fault.File != "orders.json" || !strings.Contains(fault.Reason, "setting domain.push_rate is missing") {
		t.Errorf("fault of the invalid file: %+v", fault)
	}
	writeFile(t, folder, "payouts.json", exampleSettings(t, "another"))
	scriptedpeer.WaitFor(t, "the other service did not change", func() bool { return follower.Version() == writer.Version() && writer.Version().Revision == 4 })
	if got := len(controller.offered); got != 2 || writer.log.Count("settings file or folder rejected") != 1 {
		t.Errorf("%d versions offered, want 2; the log: %s", got, writer.log.String())
	}

	writeFile(t, folder, "orders.json", exampleSettings(t, "refused")) // rejected by the controller only
	scriptedpeer.WaitFor(t, "the controller's rejection was not reported", func() bool {
		watchers := follower.Status().Watchers
		return len(watchers) == 1 && watchers[0].Rejected.Revision == 5 && watchers[0].Active.Revision == 3
	})
	writeFile(t, folder, "orders.json", exampleSettings(t, "fourth"))
	controller.waitForClass("fourth")
	if counts := controller.Counts(); counts.Rejected != 1 || counts.Offered != 4 || len(writer.Status().Faults) != 0 || writer.log.Count("settings file or folder is valid again") != 1 {
		t.Errorf("after a rejected and an accepted version the controller has counts %+v", counts)
	}
}

// A settings file that is incomplete, empty, too large, not a regular file or badly named is reported as a fault and leaves
// the configuration as it is.
func TestUnusableFilesChangeNothing(t *testing.T) {
	t.Parallel()
	folder := filepath.Join(t.TempDir(), "settings")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	valid := exampleSettings(t, "first")
	writeFile(t, folder, "orders.json", valid)
	writeFile(t, folder, "stock.json", valid)
	writer := startServer(t, Options{Name: "s0", Folder: folder})
	controller := followService(t, "orders", asServer(writer))
	controller.waitForClass("first")
	before := writer.Version()
	for reason, makeInvalid := range map[string]func(){
		"unexpected":        func() { os.WriteFile(filepath.Join(folder, "orders.json"), valid[:len(valid)/2], 0o600) },
		"EOF":               func() { os.WriteFile(filepath.Join(folder, "orders.json"), nil, 0o600) },
		"more than one":     func() { os.WriteFile(filepath.Join(folder, "orders.json"), append(valid, valid...), 0o600) },
		"at most 1048576":   func() { os.WriteFile(filepath.Join(folder, "orders.json"), make([]byte, 2<<20), 0o600) },
		"no regular file":   func() { os.Mkdir(filepath.Join(folder, "shop.json"), 0o700) },
		"no name of a serv": func() { writeFile(t, folder, "a b.json", valid) },
	} {
		makeInvalid()
		scriptedpeer.WaitFor(t, "no fault with the reason "+reason, func() bool {
			faults := writer.Status().Faults
			return len(faults) == 1 && strings.Contains(faults[0].Reason, reason)
		})
		os.Remove(filepath.Join(folder, "shop.json"))
		os.Remove(filepath.Join(folder, "a b.json"))
		writeFile(t, folder, "orders.json", valid)
		scriptedpeer.WaitFor(t, reason+": fault remains after the file became valid", func() bool { return len(writer.Status().Faults) == 0 })
	}
	if writer.Version().Epoch != before.Epoch {
		t.Errorf("version %s is of another epoch than %s", writer.Version(), before)
	}
}

// A missing folder and an empty one are one fault each, and no service is removed. The test calls scan itself: a concurrent
// scan that has listed the folder before it is renamed would report unreadable files, too.
func TestMissingAndEmptyFolderAreOneFaultEach(t *testing.T) {
	t.Parallel()
	folder := filepath.Join(t.TempDir(), "settings")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writeFile(t, folder, "stock.json", exampleSettings(t, "first"))
	s, err := New(Options{Folder: folder, Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.listener.Close()
	s.scan(true)
	if faults := s.Status().Faults; len(faults) != 0 {
		t.Fatalf("faults of a valid folder: %v", faults)
	}
	if err := os.Rename(folder, folder+"-away"); err != nil {
		t.Fatal(err)
	}
	s.scan(false)
	if faults := s.Status().Faults; len(faults) != 1 || faults[0].File != folder {
		t.Errorf("faults of a missing folder: %v", faults)
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	s.scan(false)
	if faults := s.Status().Faults; len(faults) != 1 || faults[0].Reason != errFolderEmpty.Error() {
		t.Errorf("faults of an empty folder: %v", faults)
	}
	if names := s.serviceNames(); len(names) != 2 {
		t.Errorf("services after an empty folder: %v, want both", names)
	}
}

// A service is removed when its file is missing in two consecutive scans, not in one: some programs replace a file by
// removing it first.
func TestRemovedFileRemovesService(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writeFile(t, folder, "stock.json", exampleSettings(t, "first"))
	s, err := New(Options{Folder: folder, Listen: "127.0.0.1:0"}) // the test scans the folder itself
	if err != nil {
		t.Fatal(err)
	}
	defer s.listener.Close()
	s.scan(true)
	os.Remove(filepath.Join(folder, "orders.json"))
	s.scan(false)
	writeFile(t, folder, "orders.json", exampleSettings(t, "second"))
	s.scan(false)
	if version := s.Version(); version.Revision != 3 || len(s.serviceNames()) != 2 {
		t.Errorf("version %s with services %v after a file was missing in one scan, want revision 3 with both", version, s.serviceNames())
	}
	os.Remove(filepath.Join(folder, "orders.json"))
	s.scan(false)
	s.scan(false)
	if version := s.Version(); version.Revision != 4 || len(s.serviceNames()) != 1 {
		t.Errorf("version %s with services %v after a file was missing in two scans, want revision 4 with one", version, s.serviceNames())
	}
}

// A writer that was restored from a backup, or has lost its state, begins a later epoch, so that its followers accept its
// configuration although they have higher revisions.
func TestRestoredWriterIsFollowed(t *testing.T) {
	t.Parallel()
	folder, statePath := t.TempDir(), filepath.Join(t.TempDir(), "state.json")
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	listen := scriptedpeer.FreeAddress(t)
	writer := startServer(t, Options{Name: "s0", Folder: folder, StateFile: statePath, Listen: listen})
	follower := startServer(t, Options{Name: "s1", Region: "r1", Upstreams: []configclient.Server{asServer(writer)}})
	controller := followService(t, "orders", asServer(follower))
	controller.waitForClass("first")
	scriptedpeer.WaitFor(t, "no state file was written", func() bool { _, err := os.Stat(statePath); return err == nil })
	backup, err := os.ReadFile(statePath)
	if err != nil {
		t.Fatal(err)
	}
	for _, class := range []string{"second", "third"} {
		writeFile(t, folder, "orders.json", exampleSettings(t, class))
		controller.waitForClass(class)
	}
	previous := writer.Version()
	writer.stop()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first")) // folder and state file are restored
	if err := os.WriteFile(statePath, backup, 0o600); err != nil {
		t.Fatal(err)
	}
	writer = startServer(t, Options{Name: "s0", Folder: folder, StateFile: statePath, Listen: listen})
	controller.waitForClass("first")
	if active := controller.Active(); active.Epoch <= previous.Epoch || active.Revision >= previous.Revision {
		t.Errorf("version %s active after %s", active, previous)
	}
	writer.stop() // the next writer has lost its state, and its clock may be behind
	os.Remove(statePath)
	writeFile(t, folder, "orders.json", exampleSettings(t, "fourth"))
	restarted := startServer(t, Options{Name: "s0", Folder: folder, Listen: listen})
	restarted.mu.Lock()
	firstEpoch := restarted.store.Version().Epoch
	restarted.mu.Unlock()
	controller.waitForClass("fourth")
	if active := controller.Active(); active.Epoch < firstEpoch {
		t.Errorf("version %s active, the restarted writer began with epoch %d", active, firstEpoch)
	}
}

// A writer that has lost its state and whose clock is behind sees a later epoch at its first follower, and begins the epoch
// after that. Once the writer has a follower in its epoch, a later epoch belongs to another writer, with which it does not
// compete.
func TestWriterBeginsLaterEpochThanFollower(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := startServer(t, Options{Name: "s0", Folder: folder})
	scriptedpeer.WaitFor(t, "the service was not published", func() bool { return writer.Version().Revision == 1 })
	ahead := revision.Version{Epoch: writer.Version().Epoch + 1000, Revision: 7}
	if status, body := get(t, writer, "/configuration?service=orders&since="+ahead.String()); status != 200 || !strings.Contains(body, `"first"`) {
		t.Errorf("a follower with a later epoch receives status %d, body %.100s", status, body)
	}
	own := writer.Version()
	if own.Epoch != ahead.Epoch+1 || own.Revision != 1 {
		t.Fatalf("version %s after a follower with %s", own, ahead)
	}
	get(t, writer, "/configuration?service=orders&since="+own.String()) // the writer now has a follower in its epoch
	for range 2 {
		get(t, writer, "/configuration?service=orders&since="+revision.Version{Epoch: own.Epoch + 1, Revision: 1}.String())
	}
	if writer.Version() != own || writer.log.Count("there is another writer, which") != 1 {
		t.Errorf("version %s after a later epoch at a follower, want %s and one log line about it; the log: %s", writer.Version(), own, writer.log.String())
	}
	get(t, writer, "/configuration?service=orders&since="+revision.Version{Epoch: revision.Max, Revision: 1}.String())
	if writer.Version() != own {
		t.Errorf("version %s after the largest epoch at a follower, want %s", writer.Version(), own)
	}
}

// An invalid state file is logged and ignored. A writer whose settings files are invalid at its start serves the settings of
// its state file.
func TestStateFileIsCheckedAtStart(t *testing.T) {
	t.Parallel()
	folder, statePath := t.TempDir(), filepath.Join(t.TempDir(), "state.json")
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := startServer(t, Options{Name: "s0", Folder: folder, StateFile: statePath})
	scriptedpeer.WaitFor(t, "no state file was written", func() bool { _, err := os.Stat(statePath); return err == nil })
	writer.stop()
	writeFile(t, folder, "orders.json", []byte("{"))
	writer = startServer(t, Options{Name: "s0", Folder: folder, StateFile: statePath})
	followService(t, "orders", asServer(writer)).waitForClass("first")
	writer.stop()
	raw, err := os.ReadFile(statePath)
	if err != nil {
		t.Fatal(err)
	}
	for wantLog, text := range map[string]string{
		"unexpected end": string(raw[:len(raw)/2]), "not a complete copy": strings.Replace(string(raw), `"complete":true`, `"complete":false`, 1),
		"push_rate": strings.ReplaceAll(string(raw), "push_rate", "rate"),
	} {
		if err := os.WriteFile(statePath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		writer = startServer(t, Options{Name: "s0", Folder: folder, StateFile: statePath})
		scriptedpeer.WaitFor(t, "the log does not report "+wantLog, func() bool { return writer.log.Count("state file rejected") == 1 && writer.log.Count(wantLog) > 0 })
		writer.stop()
	}
	for _, options := range []Options{{}, {Folder: folder, Upstreams: []configclient.Server{{Address: "127.0.0.1:1"}}}} {
		if _, err := New(options); err == nil {
			t.Errorf("options %+v are accepted", options)
		}
	}
}

// get sends a request and returns status and body of the response.
func get(t testing.TB, server *runningServer, query string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + server.Address() + query)
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

// A server answers each kind of query as the operators' documentation shows.
func TestResponseByQuery(t *testing.T) {
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := startServer(t, Options{Name: "s0", Folder: folder, MaxConcurrentCopies: 1})
	scriptedpeer.WaitFor(t, "the service was not published", func() bool { return writer.Version().Revision == 1 })
	version := writer.Version().String()
	for _, c := range []struct {
		query, wantBody string
		status          int
	}{
		{"/configuration?service=orders", `"complete":true`, 200},
		{"/configuration?service=orders&since=" + version, `"services":[]`, 200},
		{"/configuration?service=payouts", "no service", 404},
		{"/configuration?since=x", "since: version", 400},
		{"/configuration?timeout_ms=9000000", "timeout_ms=", 400},
		{"/configuration", `"name":"orders"`, 200},
		{"/status", `"server":"s0"`, 200},
		{"/", "", 404},
	} {
		if status, body := get(t, writer, c.query); status != c.status || !strings.Contains(body, c.wantBody) {
			t.Errorf("%s: status %d, body %.200s, want status %d and body with %q", c.query, status, body, c.status, c.wantBody)
		}
	}
	writer.mu.Lock()
	writer.copies.Acquire(1, 0)
	writer.mu.Unlock()
	status, body := get(t, writer, "/configuration?service=orders")
	var refusal configapi.Refusal
	if err := json.Unmarshal([]byte(body), &refusal); err != nil || status != 503 || refusal.RetryAfterMS < 100 {
		t.Errorf("without a free slot: status %d, body %s, want 503 and retry_after_ms", status, body)
	}
	if counts := writer.Status().Counters; counts.Throttled != 1 || counts.Copies != 2 {
		t.Errorf("want one throttled query and two copies: %+v", counts)
	}
}

// Followers beyond the connection limit of a server use another one.
func TestConnectionsAreLimited(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := startServer(t, Options{Name: "s0", Folder: folder, MaxConnections: 3})
	second := startServer(t, Options{Name: "s1", Upstreams: []configclient.Server{asServer(writer)}})
	scriptedpeer.WaitFor(t, "the service was not published", func() bool { return second.Version().Revision == 1 }) // its connection is one of the three
	var connections []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", writer.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		connections = append(connections, conn)
	}
	scriptedpeer.WaitFor(t, "the connections were not accepted", func() bool { return writer.Status().Counters.Connections == 3 })
	controller := followService(t, "orders", asServer(writer), configclient.Server{Address: second.Address(), Region: "far"})
	controller.waitForClass("first")
	if counts := writer.Status().Counters; counts.Connections != 3 || counts.Refused == 0 || controller.Counts().Failures == 0 {
		t.Errorf("server beyond its connection limit has counters %+v, the controller has counts %+v", counts, controller.Counts())
	}
	for _, conn := range connections {
		conn.Close()
	}
	scriptedpeer.WaitFor(t, "closed connections still count", func() bool { return writer.Status().Counters.Connections <= 2 })
}

// A server shuts down within its timeout while many followers wait for a change.
func TestShutdownWithWaitingFollowers(t *testing.T) {
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := startServer(t, Options{Name: "s0", Folder: folder})
	for range 50 {
		followService(t, "orders", asServer(writer)).waitForClass("first")
	}
	stoppedAt := time.Now()
	writer.stop()
	if elapsed := time.Since(stoppedAt); elapsed > 2*shutdownTimeout {
		t.Errorf("shutdown took %v", elapsed)
	}
}

// A connection polls under ever new names. Only a few of them are recorded, so that the record has room for all followers.
func TestNamesOfOneConnectionDoNotFillTheRecord(t *testing.T) {
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "lookup"))
	server := startServer(t, Options{Name: "w", Folder: folder})
	poll := func(client *http.Client, instance string) {
		response, err := client.Get("http://" + server.listener.Addr().String() + "/configuration?service=orders&instance=" + instance)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	oneConnection := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer oneConnection.CloseIdleConnections()
	for k := range 5 * maxFollowersPerConnection {
		poll(oneConnection, fmt.Sprintf("invented-%d", k))
	}
	follower := &http.Client{Transport: &http.Transport{}}
	defer follower.CloseIdleConnections()
	poll(follower, "orders-1")
	watchers := server.Status().Watchers
	recorded := slices.ContainsFunc(watchers, func(w configapi.Watcher) bool { return w.Instance == "orders-1" })
	if !recorded || len(watchers) != maxFollowersPerConnection+1 {
		t.Errorf("%d followers are recorded, orders-1 among them: %v; want %d", len(watchers), recorded, maxFollowersPerConnection+1)
	}
}
