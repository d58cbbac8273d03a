package controlserver

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/golden"
)

const (
	sentFile     = "sent.golden"
	receivedFile = "received.golden"

	goldenStream = controller.StreamID(5)
	goldenProxy  = 17
)

// goldenUpdates returns updates that together cover each type of part and each way to split an update into parts.
func goldenUpdates() []struct {
	name   string
	update controller.Update
} {
	endpoints := []controller.WeightedEndpoint{{Replica: "s-1", Weight: 1.5}, {Replica: "s-2", Weight: 1e-7}, {Replica: "s-3"}}
	admissions := []controller.Admission{
		{Class: "lookup", Fraction: 0.9, Retries: control.RetryIfNotExecuted},
		{Class: "order", Retries: control.NoRetry},
		{Class: "scan", Fraction: 1, Retries: control.RetryOnce},
		{Class: "batch", Fraction: 1e300, Retries: control.RetryTwice},
	}
	manyAdmissions := make([]controller.Admission, maxParts+1)
	for k := range manyAdmissions {
		manyAdmissions[k] = controller.Admission{Class: fmt.Sprintf("c%d", k), Fraction: float64(k%3) / 4, Retries: control.RetryPolicy(k % 2)}
	}
	manyReplicas := make([]string, maxEndpointsPerPart+1)
	manyEndpoints := make([]controller.WeightedEndpoint, len(manyReplicas))
	for k := range manyReplicas {
		manyReplicas[k] = fmt.Sprint(k)
		manyEndpoints[k] = controller.WeightedEndpoint{Replica: manyReplicas[k], Weight: 1}
	}
	return []struct {
		name   string
		update controller.Update
	}{
		{"full", controller.Update{FullTable: true, Endpoints: endpoints, Ejected: []string{"s-2"}, Unejected: []string{"s-1", "s-3"}, Admissions: admissions, WantsAck: true, Nonce: 905}},
		{"full without endpoints", controller.Update{FullTable: true}},
		{"full after lost updates", controller.Update{FullTable: true, Resync: true, Endpoints: endpoints[:1]}},
		{"endpoints", controller.Update{Endpoints: endpoints}},
		{"ejected", controller.Update{Ejected: []string{"s-1", "s-2"}}},
		{"restored", controller.Update{Unejected: []string{"s-1", "s-2"}}},
		{"admissions", controller.Update{Admissions: admissions}},
		{"admissions of more classes than parts", controller.Update{Admissions: manyAdmissions}},
		{"ack alone", controller.Update{WantsAck: true, Nonce: 1<<64 - 1}},
		{"ack of admissions", controller.Update{Admissions: admissions[:1], WantsAck: true, Nonce: 906}},
		{"more endpoints than one part holds", controller.Update{FullTable: true, Endpoints: manyEndpoints, WantsAck: true, Nonce: 907}},
		{"more ejected than one part holds", controller.Update{Ejected: manyReplicas}},
		{"more restored than one part holds", controller.Update{Unejected: manyReplicas}},
	}
}

// bytesWritten returns the bytes that are written to a proxy's connection once act has run. It must run in a synctest
// bubble.
func bytesWritten(t *testing.T, act func(p *peer)) []byte {
	t.Helper()
	s := newTestServer(100)
	local, remote := net.Pipe()
	p := &peer{server: s, conn: local, stream: goldenStream, role: proxy, id: goldenProxy, done: make(chan struct{})}
	p.sendQueue = s.queues.OpenStream(goldenStream, func() {})
	var b bytes.Buffer
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		io.Copy(&b, remote)
	}()
	s.goroutines.Add(1)
	go p.write()
	act(p)
	synctest.Wait()
	close(p.done)
	s.goroutines.Wait()
	local.Close()
	<-copied
	return b.Bytes()
}

// rejection returns the bytes that are written to a connection whose first message is not a valid join.
func rejection(words string) []byte {
	local, remote := net.Pipe()
	p := &peer{server: newTestServer(100), conn: local}
	var b bytes.Buffer
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		io.Copy(&b, remote)
	}()
	p.handleReadError(p.handle(strings.Fields(words)))
	local.Close()
	<-copied
	return b.Bytes()
}

// sent returns each kind of message that the server writes to peers, as text quoted by %q, with a line break before each
// array.
func sent(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	add := func(name string, raw []byte) {
		fmt.Fprintf(&b, "%s\n  %s\n", name, strings.ReplaceAll(fmt.Sprintf("%q", raw), `*`, "\n  *"))
	}
	for _, u := range goldenUpdates() {
		add(u.name, bytesWritten(t, func(p *peer) {
			p.server.queues.Send(controller.OutgoingUpdate{Stream: goldenStream, Update: u.update, ChargeNumber: 1})
		}))
	}
	add("answer to a probe", bytesWritten(t, func(p *peer) { p.sendQueue.AnswerHealthCheck() }))
	add("refusal", rejection("weather site a"))
	return b.Bytes()
}

// describe returns the fields of an event as text.
func describe(t *testing.T, event any) string {
	t.Helper()
	switch ev := event.(type) {
	case nil:
		return "nothing"
	case controller.StreamOpened:
		return fmt.Sprintf("stream opened stream=%d proxy=%d zone=%q rate=%g blank=%t", ev.Stream, ev.Proxy, ev.Zone, ev.RequestRate, ev.WithoutTable)
	case controller.MessageSkipped:
		return fmt.Sprintf("stream active stream=%d", ev.Stream)
	case controller.Ack:
		return fmt.Sprintf("ack stream=%d nonce=%d delay=%d", ev.Stream, ev.Nonce, ev.Delay)
	case controller.Demand:
		return fmt.Sprintf("demand stream=%d class=%q proxy=%d requests=%d failures=%d period=%d", ev.Stream, ev.Class, ev.Proxy, ev.Requests, ev.Failures, ev.Period)
	case controller.OutcomeReport:
		return fmt.Sprintf("outcomes zone=%q replica=%q attempts=%d failures=%d response_time=%d period=%d in_flight=%g",
			ev.Zone, ev.Replica, ev.Attempts, ev.Failures, ev.ResponseTime, ev.Period, ev.InFlight)
	}
	t.Fatalf("describe has no text for an event of type %T", event)
	return ""
}

// received returns as text the event that the server decodes from each type of message, and its errors for invalid messages.
func received(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, m := range []struct {
		role  role
		words string
	}{
		{proxy, "ack id 17 seq 905 ms 310.4"},
		{proxy, "ack id 17 seq 905"},
		{proxy, "ack id 18 seq 905 ms 310.4"},
		{proxy, "ack id 17 seq -1"},
		{proxy, "demand id 17 lane lookup count 19 fail 2 over 1000.5"},
		{proxy, "demand id 18 lane lookup count 19 fail 2 over 1000.5"},
		{proxy, "demand id 17 count 19 fail 2 over 1000.5"},
		{proxy, "outcomes site a target s-5 count 212 fail 3 mean 41.7 over 1000"},
		{collector, "outcomes site a target s-5 count 212 fail 3 mean 41.7 over 1000"},
		{collector, "outcomes site a target s-5 count 212 fail 3 mean 41.7 over 1000 util inflight:7,util:0.61"},
		{collector, "outcomes target s-5 count 212 fail 3 mean 41.7 over 1000 later 1"},
		{collector, "outcomes site a target s-5 count 212.5 fail 3 mean 41.7 over 1000"},
		{collector, "outcomes site a target s-5 count 212 fail 3 mean NaN over 1000"},
		{collector, "demand id 17 lane lookup count 19 fail 2 over 1000"},
		{collector, "ack id 17 seq 905 ms 310.4"},
		{unidentified, "hello id 20 site a rps 21.5 new 1"},
		{unidentified, "hello id 17 site c rps 21.5 new 1"},
		{unidentified, "agent site c"},
		{unidentified, "ack id 17 seq 905"},
	} {
		conn, _ := net.Pipe()
		p := &peer{server: newTestServer(100), conn: conn, stream: goldenStream, role: m.role, id: goldenProxy}
		err := p.handle(strings.Fields(m.words))
		var event any
		if events := p.server.queues.Drain(); len(events) > 0 {
			event = events[0]
		}
		fmt.Fprintf(&b, "%v: %s\n  %s; skipped %d; error %v\n", m.role, m.words, describe(t, event), p.server.queues.Counters.MessagesSkipped.Load(), err)
	}
	for _, words := range [][]string{
		{"hello id 17 site a rps 21.5 new 1"},
		{"hello id 17 site b new 0"},
		{"agent site a", "outcomes site a target s-5 count 1 fail 0 mean 1 over 1000"},
	} {
		s := newTestServer(100)
		dial(t, serve(t, s), words...)
		fmt.Fprintf(&b, "joins: %s\n  %s\n", strings.Join(words, ", "), describe(t, receive(t, s, 1)[0]))
	}
	return b.Bytes()
}

func TestMessagesToPeersMatchGoldenFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := sent(t)
		golden.Compare(t, sentFile, output)
		golden.CheckDetectsChange(t, sentFile, output)
	})
}

func TestMessagesFromPeersMatchGoldenFile(t *testing.T) {
	output := received(t)
	golden.Compare(t, receivedFile, output)
	golden.CheckDetectsChange(t, receivedFile, output)
}
