package eventloop

import (
	"testing"

	"lilacbend/internal/controller"
)

func mark(n uint64) controller.Update { return controller.Update{WantsAck: true, Nonce: n} }

func TestAFullInboxLosesSumsOnly(t *testing.T) {
	x := New()
	for range maxEvents + 3 {
		x.Enqueue(controller.Outcomes{})
	}
	x.Enqueue(controller.StreamClosed{Stream: 1})
	x.Enqueue(controller.Ack{Stream: 1})
	<-x.Ready()
	if events := x.Drain(); len(events) != maxEvents+1 || events[maxEvents] != (controller.StreamClosed{Stream: 1}) || x.Counters.InputsDropped.Load() != 4 {
		t.Errorf("%d events, %d lost", len(events), x.Counters.InputsDropped.Load())
	}
	if events := x.Drain(); events != nil {
		t.Errorf("%d events are left", len(events))
	}
	x.SetProxies(2400) // all of them answer while the core stands still
	for range maxEvents + 16*2400 {
		x.Enqueue(controller.Ack{Stream: 1})
	}
	if lost := x.Counters.InputsDropped.Load(); lost != 4 {
		t.Errorf("%d lost with room for a fleet", lost-4)
	}
}

// A proxy that reads nothing gets its whole present state once it reads again, and not half of the news.
func TestAFullOutboxAsksForTheWholeState(t *testing.T) {
	x := New()
	out, done := x.OpenStream(3, nil), make(chan struct{})
	for n := range uint64(maxQueuedItems + 2) {
		x.Send(controller.OutgoingUpdate{Stream: 3, Update: mark(n)})
	}
	if len(out.items) != 0 || x.Counters.QueuesDropped.Load() != 1 {
		t.Errorf("%d items wait", len(out.items))
	}
	go func() {
		<-x.Ready()
		x.Send(controller.OutgoingUpdate{Stream: 3, Update: controller.Update{Resync: true}})
	}()
	x.Send(controller.OutgoingUpdate{Stream: 4, Update: mark(1)}) // nobody's
	if i, ok := out.Next(done); !ok || !i.Resync {
		t.Errorf("got %+v", i)
	}
	if events := x.Drain(); len(events) != 1 || events[0] != (controller.UpdatesDropped{Stream: 3}) {
		t.Errorf("events %+v", events)
	}
	x.Send(controller.OutgoingUpdate{Stream: 3, Update: mark(9)})
	if i, ok := out.Next(done); !ok || i.Nonce != 9 {
		t.Errorf("got %+v", i)
	}
}

func TestAnOutboxEnds(t *testing.T) {
	x := New()
	ended := 0
	out, done := x.OpenStream(3, func() { ended++ }), make(chan struct{})
	x.Send(controller.OutgoingUpdate{Stream: 3, Update: mark(1)})
	x.CloseStream(3)
	x.CloseStream(4)
	if _, ok := out.Next(done); ok || ended != 1 {
		t.Error("an ended stream goes on")
	}
	out = x.OpenStream(5, nil)
	for range maxQueuedItems {
		out.AnswerHealthCheck()
	}
	if out.probes != maxQueuedItems/2 || len(out.items) != 0 || out.overflowed {
		t.Errorf("%d answers to probes wait", out.probes)
	}
	for range maxQueuedItems / 2 {
		if i, ok := out.Next(done); !ok || !i.HealthCheckReply {
			t.Errorf("got %+v", i)
		}
	}
	close(done)
	if _, ok := out.Next(done); ok {
		t.Error("goes on after the end of its connection")
	}
	if out.Close(); x.outboxes[5] != nil {
		t.Error("a closed outbox stays")
	}
}

// A probe that comes before, with, or after the overflow of its stream's outbox is answered: its answer is owed, and none of what
// was dropped stands for it.
func TestAProbeIsAnsweredThroughAnOverflow(t *testing.T) {
	x := New()
	out, done := x.OpenStream(3, nil), make(chan struct{})
	out.AnswerHealthCheck()
	for n := range uint64(maxQueuedItems + 1) {
		x.Send(controller.OutgoingUpdate{Stream: 3, Update: mark(n)})
	}
	out.AnswerHealthCheck()
	if !out.overflowed || len(out.items) != 0 {
		t.Fatalf("%d items wait", len(out.items))
	}
	for range 2 {
		if i, ok := out.Next(done); !ok || !i.HealthCheckReply {
			t.Errorf("got %+v", i)
		}
	}
	go func() {
		<-x.Ready()
		x.Send(controller.OutgoingUpdate{Stream: 3, Update: controller.Update{Resync: true}})
	}()
	if i, ok := out.Next(done); !ok || !i.Resync {
		t.Errorf("got %+v", i)
	}
}
