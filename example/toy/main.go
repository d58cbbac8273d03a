// Command toy demonstrates a running controller: it emulates discovery, a few proxies and the collector of each zone,
// acknowledges updates, and prints each table as it arrives. Every few seconds it makes a change: one replica drains,
// leaves, and comes back, so that it has to warm up; then another one fails every request. It forwards no requests and
// measures nothing.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"lilacbend/internal/resp"
)

const (
	reportInterval = 500 * time.Millisecond
	changeInterval = 5 * time.Second // time between two changes
	replicas       = 6
	firstPort      = 9001
	proxies        = 4
	zones          = 2
	bufferBytes    = 1 << 20
)

// The phases of a replica, as discovery lists them.
const (
	phaseReady       = "Ready"
	phaseTerminating = "Terminating"
	phaseGone        = "Gone"
)

// replica is one entry of the endpoint list.
type replica struct {
	id, zone, hardwareClass, phase string
	startedAt                      int64 // Unix milliseconds; 0: long ago
}

// endpointList is the list that discovery serves. The channel changed is closed and replaced at each change.
type endpointList struct {
	mu       sync.Mutex
	revision int
	replicas []replica
	changed  chan struct{}
}

func newEndpointList() *endpointList {
	l := &endpointList{revision: 1, changed: make(chan struct{})}
	for k := 1; k <= replicas; k++ {
		l.replicas = append(l.replicas, replica{
			id:            fmt.Sprintf("box-%d", k),
			zone:          zoneName(k),
			hardwareClass: fmt.Sprintf("m%d", 1+k/2%2),
			phase:         phaseReady,
		})
	}
	return l
}

// zoneName returns the zone of the replica, proxy or collector with the given number: the zones alternate from one number
// to the next.
func zoneName(number int) string { return string("ab"[number%zones]) }

func (l *endpointList) set(id, phase string, startedAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.replicas {
		if l.replicas[k].id == id {
			l.replicas[k].phase = phase
			l.replicas[k].startedAt = startedAt
		}
	}
	l.revision++
	close(l.changed)
	l.changed = make(chan struct{})
	fmt.Printf("toy: %s is %s (revision %d)\n", id, phase, l.revision)
}

// encode returns the list as discovery sends it, its revision, and the channel that is closed at its next change.
func (l *endpointList) encode() (text string, revision int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []string
	for k, r := range l.replicas {
		if r.phase != phaseGone {
			members = append(members, fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:%d","locality":%q,"flavor":%q,"cell":0,`+
				`"phase":%q,"size":1.0,"up_since_ms":%d}`, r.id, firstPort+k, r.zone, r.hardwareClass, r.phase, r.startedAt))
		}
	}
	text = fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, l.revision, strings.Join(members, ","))
	return text, l.revision, l.changed
}

// serve accepts connections of discovery's clients until the listener is closed.
func (l *endpointList) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.answer(conn)
	}
}

// answer serves the requests of one connection with the complete list. A watch is answered as soon as the list is newer than
// the client's revision, or when the watch times out.
func (l *endpointList) answer(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var since, waitMillis int
		watching, _ := fmt.Sscan(request.URL.Query().Get("since"), &since)
		fmt.Sscan(request.URL.Query().Get("timeout_ms"), &waitMillis)
		text, revision, changed := l.encode()
		if watching == 1 && since >= revision {
			select {
			case <-changed:
			case <-time.After(time.Duration(waitMillis) * time.Millisecond):
			}
			text, _, _ = l.encode()
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
	}
}

// peer is a connection to the controller.
type peer struct {
	conn net.Conn
	pool *resp.Pool
}

// send writes the words of the formatted string as one message.
func (p peer) send(format string, args ...any) error {
	_, err := resp.Write(p.conn, p.pool, strings.Fields(fmt.Sprintf(format, args...))...)
	return err
}

// runProxy connects as a proxy, prints the updates that it receives and acknowledges them.
func (p peer) runProxy(id int) error {
	if err := p.send("hello id %d site %s rps 20 new 1", id, zoneName(id)); err != nil {
		return err
	}
	go func() {
		for p.send("demand id %d lane lookup count 10 fail 0 over %d", id, reportInterval.Milliseconds()) == nil {
			time.Sleep(reportInterval)
		}
	}()
	reader := resp.NewReader(p.conn, p.pool)
	defer reader.Close()
	for {
		words, err := reader.Next()
		if err != nil {
			return err
		}
		fmt.Printf("proxy %d: %s\n", id, strings.Join(words, " "))
		for k := 1; k+1 < len(words); k += 2 {
			if words[k] != "nonce_out" {
				continue
			}
			if err := p.send("ack id %d seq %s ms 100", id, words[k+1]); err != nil {
				return err
			}
		}
	}
}

// runCollector reports the outcomes of the requests of a zone's proxies: all requests succeed, except those to the
// failing replica.
func (p peer) runCollector(zone string, list *endpointList, failing *failingReplica) error {
	if err := p.send("agent site %s", zone); err != nil {
		return err
	}
	for ; ; time.Sleep(reportInterval) {
		for _, id := range list.ids() {
			failures := 0
			if id == failing.get() {
				failures = 10
			}
			if err := p.send("outcomes site %s target %s count 10 fail %d mean 120 over %d", zone, id, failures,
				reportInterval.Milliseconds()); err != nil {
				return err
			}
		}
	}
}

// ids returns the IDs of all replicas.
func (l *endpointList) ids() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for _, r := range l.replicas {
		ids = append(ids, r.id)
	}
	return ids
}

// failingReplica holds the ID of the replica that fails every request; empty: none.
type failingReplica struct {
	mu sync.Mutex
	id string
}

func (f *failingReplica) get() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id
}

func (f *failingReplica) set(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id = id
	fmt.Printf("toy: %s fails every request\n", id)
}

func run(controller, discovery string) error {
	list := newEndpointList()
	listener, err := net.Listen("tcp", discovery)
	if err != nil {
		return fmt.Errorf("listening for clients of discovery: %w", err)
	}
	defer listener.Close()
	go list.serve(listener)
	var failing failingReplica
	pool := resp.NewPool(bufferBytes)
	ended := make(chan error, proxies+zones)
	for k := range proxies + zones {
		conn, err := net.Dial("tcp", controller)
		if err != nil {
			return fmt.Errorf("connecting to the controller: %w", err)
		}
		defer conn.Close()
		p := peer{conn: conn, pool: pool}
		go func() {
			if k < proxies {
				ended <- p.runProxy(k)
				return
			}
			ended <- p.runCollector(zoneName(k-proxies), list, &failing)
		}()
	}
	return makeChanges(list, &failing, ended)
}

// makeChanges makes the changes, one every changeInterval, and returns after the last one or when a connection has ended.
func makeChanges(list *endpointList, failing *failingReplica, ended <-chan error) error {
	changes := []func(){
		func() { list.set("box-1", phaseTerminating, 0) },
		func() { list.set("box-1", phaseGone, 0) },
		func() { list.set("box-1", phaseReady, time.Now().UnixMilli()) },
		func() { failing.set("box-2") },
		func() {}, // no change: the replica has time to be ejected and put on probation
		func() { fmt.Println("toy: finished") },
	}
	for _, change := range changes {
		select {
		case err := <-ended:
			return fmt.Errorf("connection to the controller ended: %w", err)
		case <-time.After(changeInterval):
			change()
		}
	}
	return nil
}

func main() {
	controller := flag.String("governor", "127.0.0.1:8080", "address of the controller")
	discovery := flag.String("discovery", "127.0.0.1:8500", "address at which the toy serves the endpoint list")
	flag.Parse()
	if err := run(*controller, *discovery); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}
