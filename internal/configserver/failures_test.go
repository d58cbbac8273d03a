package configserver

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/configclient"
)

// A controller whose server is killed receives the next change from another server of its region.
func TestKilledServerIsReplacedByAnother(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := startServer(t, Options{Name: "s0", Folder: folder})
	var regional []configclient.Server
	var servers []*runningServer
	for k := range 3 {
		server := startServer(t, Options{Name: fmt.Sprintf("s%d", k+1), Region: "r0", Upstreams: []configclient.Server{asServer(writer)}})
		servers, regional = append(servers, server), append(regional, asServer(server))
	}
	controller := followService(t, "orders", regional...)
	controller.waitForClass("first")
	for k, class := range []string{"second", "third"} {
		for _, server := range servers {
			if watchers := server.Status().Watchers; len(watchers) == 1 && watchers[0].LastSeenMS < 6000 && server.Status().Counters.Connections == 1 {
				server.http.Close() // its connections are reset, and it no longer listens
				server.stop()
				break
			}
		}
		writeFile(t, folder, "orders.json", exampleSettings(t, class))
		controller.waitForClass(class)
		if k == 1 && controller.Counts().Failures == 0 {
			t.Error("the controller lost none of its servers")
		}
	}
}

// A region whose connections drop all data silently keeps its configuration. Once connected again, its server catches up by
// receiving only the changes, and these reach the region's controllers.
func TestDisconnectedRegionCatchesUp(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	for k := range 20 {
		writeFile(t, folder, fmt.Sprintf("service-%d.json", k), exampleSettings(t, "first"))
	}
	writer := startServer(t, Options{Name: "s0", Folder: folder})
	link := newForwarder(t, writer.Address())
	disconnected := startServer(t, Options{Name: "s1", Region: "r1", Upstreams: []configclient.Server{{Address: link.Addr().String(), Region: "r0"}}})
	controller := followService(t, "service-3", asServer(disconnected))
	controller.waitForClass("first")
	copies := writer.Status().Counters.Copies
	link.setCut(true)
	writeFile(t, folder, "service-3.json", exampleSettings(t, "second"))
	scriptedpeer.WaitFor(t, "the writer did not publish the change", func() bool { return writer.Version().Revision == 21 })
	lateController := followService(t, "service-4", asServer(disconnected)) // starts while the region is disconnected
	lateController.waitForClass("first")
	scriptedpeer.WaitFor(t, "the disconnection was not logged exactly once", func() bool { return disconnected.log.Count("configuration server poll failed") == 1 })
	if disconnected.Version().Revision != 20 || controller.Active().Revision == 21 {
		t.Errorf("while disconnected: server has version %s, controller has %s active", disconnected.Version(), controller.Active())
	}
	link.setCut(false)
	link.close()
	controller.waitForClass("second")
	if counts := writer.Status().Counters; counts.Copies != copies || counts.Changes == 0 {
		t.Errorf("caught up by a complete copy instead of changes: %+v", counts)
	}
}

// A follower that does not read its answer is disconnected after the write timeout, which frees its slots for copies.
func TestFollowerThatDoesNotReadIsDisconnected(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	large := strings.Replace(string(exampleSettings(t, "first")), `"domain"`, fmt.Sprintf(`"remark": %q, "domain"`, strings.Repeat("x", 900<<10)), 1)
	for k := range 8 {
		writeFile(t, folder, fmt.Sprintf("service-%d.json", k), []byte(large))
	}
	writer := startServer(t, Options{Name: "s0", Folder: folder, MaxConcurrentCopies: 1})
	scriptedpeer.WaitFor(t, "the writer did not publish all services", func() bool { return writer.Version().Revision == 8 })
	conn, err := net.Dial("tcp", writer.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprint(conn, "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n") // the answer has 7 MB, of which the test reads nothing
	scriptedpeer.WaitFor(t, "the follower that does not read got no copy", func() bool { return writer.Status().Counters.Copies == 1 })
	controller := followService(t, "service-3", asServer(writer))
	scriptedpeer.WaitFor(t, "the second follower was not throttled", func() bool { return controller.Counts().Throttled > 0 })
	controller.waitForClass("first")
	scriptedpeer.WaitFor(t, "the follower that does not read was not disconnected", func() bool { return writer.Status().Counters.WriteErrors == 1 })
}

// Many followers that start at once are served within the limit of concurrent copies, and each receives one complete copy.
func TestManyFollowersAtOnce(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	writeFile(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := startServer(t, Options{Name: "s0", Folder: folder, MaxConcurrentCopies: 2})
	const followers = 200
	var controllers []*controllerClient
	for range followers {
		controllers = append(controllers, followService(t, "orders", asServer(writer)))
	}
	for _, controller := range controllers {
		controller.waitForClass("first")
	}
	counts := writer.Status().Counters
	if counts.Copies != followers || counts.Connections != followers {
		t.Errorf("want %d copies and connections: %+v", followers, counts)
	}
	changedAt := time.Now()
	writeFile(t, folder, "orders.json", exampleSettings(t, "second"))
	for _, controller := range controllers {
		controller.waitForClass("second")
	}
	t.Logf("%d queries throttled; a change was active at %d followers after %v", counts.Throttled, followers, time.Since(changedAt))
}

// Servers that have no configuration and cannot reach the writer poll each other with backoff.
func TestServersWithoutConfigurationPollWithBackoff(t *testing.T) {
	t.Parallel()
	lostWriter := configclient.Server{Address: scriptedpeer.FreeAddress(t)}
	firstAddress, secondAddress := scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t)
	first := startServer(t, Options{Name: "s1", Listen: firstAddress, Upstreams: []configclient.Server{lostWriter, {Address: secondAddress}}})
	second := startServer(t, Options{Name: "s2", Listen: secondAddress, Upstreams: []configclient.Server{lostWriter, {Address: firstAddress}}})
	const seconds, maxRate = 2, 10 // maxRate in queries a second
	time.Sleep(seconds * time.Second)
	for _, server := range []*runningServer{first, second} {
		if requests := server.Status().Counters.Requests; requests == 0 || requests > seconds*maxRate {
			t.Errorf("%s received %d queries in %d s, want 1 to %d", server.Status().Server, requests, seconds, seconds*maxRate)
		}
	}
}
