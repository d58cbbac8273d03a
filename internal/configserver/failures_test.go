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

// A controller whose server is killed receives the next change from another one.
func TestKilledServerIsReplacedByAnother(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := start(t, Options{Name: "s0", Folder: folder})
	var regional []configclient.Server
	var servers []*runningServer
	for k := range 3 {
		r := start(t, Options{Name: fmt.Sprintf("s%d", k+1), Region: "r0", Follow: []configclient.Server{at(writer)}})
		servers, regional = append(servers, r), append(regional, at(r))
	}
	g := follow(t, "orders", regional...)
	g.until("first")
	for k, class := range []string{"second", "third"} {
		for _, r := range servers {
			if w := r.Status().Watchers; len(w) == 1 && w[0].LastSeenMS < 6000 && r.Status().Counters.Connections == 1 {
				r.http.Close() // its connections are reset, and it no longer listens
				r.stop()
				break
			}
		}
		write(t, folder, "orders.json", exampleSettings(t, class))
		g.until(class)
		if k == 1 && g.Counts().Failures == 0 {
			t.Error("no server was lost")
		}
	}
}

// A silently disconnected region keeps its configuration; once connected again it catches up by the changes, which reach its
// controllers.
func TestDisconnectedRegionCatchesUp(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	for k := range 20 {
		write(t, folder, fmt.Sprintf("service-%d.json", k), exampleSettings(t, "first"))
	}
	writer := start(t, Options{Name: "s0", Folder: folder})
	way := newGate(t, writer.Address())
	away := start(t, Options{Name: "s1", Region: "r1", Follow: []configclient.Server{{Address: way.Addr().String(), Region: "r0"}}})
	g := follow(t, "service-3", at(away))
	g.until("first")
	copies := writer.Status().Counters.Copies
	way.set(true)
	write(t, folder, "service-3.json", exampleSettings(t, "second"))
	scriptedpeer.WaitFor(t, "the writer does not change", func() bool { return writer.Version().Revision == 21 })
	late := follow(t, "service-4", at(away)) // starts while the region is disconnected
	late.until("first")
	scriptedpeer.WaitFor(t, "the disconnection is not noticed", func() bool { return away.log.count("configuration server fails") == 1 })
	if away.Version().Revision != 20 || g.Active().Revision == 21 {
		t.Errorf("%s at the server, %s in force", away.Version(), g.Active())
	}
	way.set(false)
	way.close()
	g.until("second")
	if c := writer.Status().Counters; c.Copies != copies || c.Changes == 0 {
		t.Errorf("caught up by a complete copy: %+v", c)
	}
}

// A follower that receives its answer too slowly is disconnected, which frees its slots for copies.
func TestFollowerThatDoesNotReadIsDisconnected(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	large := strings.Replace(string(exampleSettings(t, "first")), `"domain"`, fmt.Sprintf(`"remark": %q, "domain"`, strings.Repeat("x", 900<<10)), 1)
	for k := range 8 {
		write(t, folder, fmt.Sprintf("service-%d.json", k), []byte(large))
	}
	writer := start(t, Options{Name: "s0", Folder: folder, MaxCopies: 1})
	scriptedpeer.WaitFor(t, "no service is served", func() bool { return writer.Version().Revision == 8 })
	conn, err := net.Dial("tcp", writer.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprint(conn, "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n") // 7 MB, and nothing is read
	scriptedpeer.WaitFor(t, "it gets no copy", func() bool { return writer.Status().Counters.Copies == 1 })
	g := follow(t, "service-3", at(writer))
	scriptedpeer.WaitFor(t, "no follower is throttled", func() bool { return g.Counts().Throttled > 0 })
	g.until("first")
	scriptedpeer.WaitFor(t, "the slow follower is not disconnected", func() bool { return writer.Status().Counters.WriteErrors == 1 })
}

// Many followers that start at once are served within the limits, each with one complete copy.
func TestManyFollowersAtOnce(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	write(t, folder, "orders.json", exampleSettings(t, "first"))
	writer := start(t, Options{Name: "s0", Folder: folder, MaxCopies: 2})
	const followers = 200
	var all []*controllerClient
	for range followers {
		all = append(all, follow(t, "orders", at(writer)))
	}
	for _, g := range all {
		g.until("first")
	}
	c := writer.Status().Counters
	if c.Copies != followers || c.Connections != followers {
		t.Errorf("%+v", c)
	}
	begun := time.Now()
	write(t, folder, "orders.json", exampleSettings(t, "second"))
	for _, g := range all {
		g.until("second")
	}
	t.Logf("%d throttled; a change active at %d after %v", c.Throttled, followers, time.Since(begun))
}

// Servers without a configuration that have lost the writer poll each other with backoff.
func TestServersWithoutConfigurationPollWithBackoff(t *testing.T) {
	t.Parallel()
	lost := configclient.Server{Address: scriptedpeer.FreeAddress(t)}
	one, two := scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t)
	first := start(t, Options{Name: "s1", Listen: one, Follow: []configclient.Server{lost, {Address: two}}})
	second := start(t, Options{Name: "s2", Listen: two, Follow: []configclient.Server{lost, {Address: one}}})
	const seconds, paceMost = 2, 10 // queries a second
	time.Sleep(seconds * time.Second)
	for _, r := range []*runningServer{first, second} {
		if asked := r.Status().Counters.Requests; asked == 0 || asked > seconds*paceMost {
			t.Errorf("%s was asked %d times in %d s", r.Status().Server, asked, seconds)
		}
	}
}
