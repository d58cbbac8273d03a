package sidecar

import (
	"fmt"
	"sync"
	"testing"

	"golang.org/x/net/http2"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
)

// streamOpener keeps opening streams on one connection until its end is announced.
type streamOpener struct {
	client  *replica.HTTP2Client
	number  int    // distinguishes the requests of several openers
	goAways int    // the number of GOAWAY frames, the last of which names the last stream
	opened  uint32 // the last stream that was opened
}

func (o *streamOpener) key(stream uint32) string { return fmt.Sprintf("%d/%d", o.number, stream) }

// run opens streams until it has received all GOAWAY frames. It keeps the number of open streams low.
func (o *streamOpener) run(started chan<- struct{}) {
	goingAway := func(c *replica.HTTP2Client) bool { return c.Closed || len(c.GoAways) >= o.goAways }
	for id := uint32(1); id < 40_000; id += 2 {
		if id == 1 {
			started <- struct{}{}
		}
		if o.client.WaitFor(0, goingAway) || o.client.OpenStream(id, "HEAD", "/stock", false, "key", o.key(id)) != nil {
			return
		}
		o.opened = id
		if id%16 == 1 {
			o.client.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return goingAway(c) || c.Streams[id] != nil && c.Streams[id].Done() })
		}
	}
}

// check waits for the end of the connection. Each stream up to the last one of the last GOAWAY must have got its response
// or REFUSED_STREAM, and no stream above it may have been executed or have got a response.
func (o *streamOpener) check(t *testing.T, testReplica *replica.Replica) {
	if !o.client.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return c.Closed && len(c.GoAways) == o.goAways }) {
		t.Errorf("connection closed %v, %d GOAWAY frames, want %d", o.client.Closed, len(o.client.GoAways), o.goAways)
		return
	}
	o.client.Conn.Close()
	last := o.client.GoAways[o.goAways-1].LastStreamID
	executions := testReplica.RunsByKey()
	for id := uint32(1); id <= o.opened; id += 2 {
		got := o.client.Stream(id)
		if id <= last && got.Status != "200" && !(got.Reset && got.ErrCode == http2.ErrCodeRefusedStream) || id > last && (got.Status != "" || executions[o.key(id)] != 0) {
			t.Errorf("stream %d of %d, last stream of the GOAWAY is %d: %+v, executed %d times", id, o.opened, last, got, executions[o.key(id)])
			return
		}
	}
}

// manyStreams raises the limits of a sidecar's file that bound the requests in flight.
func manyStreams() func(string) string {
	return withLongTimeouts("streams: 100", "streams: 10000", "flows: 500", "flows: 10000", "waiting: 200", "waiting: 10000")
}

// A drain sends its GOAWAYs while clients keep opening streams: each stream up to the last stream id of the second GOAWAY
// gets its response or REFUSED_STREAM, and no stream above it is executed or gets a response.
func TestStreamsOpenedDuringGoAway(t *testing.T) {
	testReplica := startReplica(t, nil)
	s := startSidecar(t, manyStreams(), testReplica.Addr)
	var clients sync.WaitGroup
	started := make(chan struct{}, 8)
	for k := range 8 {
		opener := &streamOpener{client: dialHTTP2(t, s, 1<<20), number: k, goAways: 2}
		clients.Go(func() {
			opener.run(started)
			opener.check(t, testReplica)
		})
	}
	for range 8 {
		<-started
	}
	scriptedpeer.WaitFor(t, "not all connections are accepted", func() bool { return s.Counters().Clients["open"] == 8 })
	s.stop()
	clients.Wait()
}

// Clients flood their connections with control frames while they keep opening streams: each stream up to the last stream id
// of the GOAWAY gets its response or REFUSED_STREAM, and no stream above it is executed or gets a response.
func TestStreamsOpenedDuringFlood(t *testing.T) {
	const streamsBefore = 200 // on each connection, answered before the flood begins
	testReplica := startReplica(t, nil)
	s := startSidecar(t, manyStreams(), testReplica.Addr)
	var clients sync.WaitGroup
	started := make(chan struct{}, 8)
	for k := range 8 {
		opener := &streamOpener{client: dialHTTP2(t, s, 1<<20), number: k, goAways: 1}
		clients.Go(func() {
			opener.run(started)
			opener.check(t, testReplica)
		})
		clients.Go(func() {
			opener.client.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return len(c.Streams) >= streamsBefore })
			for controlFloods["pings"](opener.client, 0) == nil {
			}
		})
	}
	clients.Wait()
	if n := s.Counters().Clients["floods"]; n != 8 {
		t.Errorf("%d floods counted, want 8", n)
	}
}
