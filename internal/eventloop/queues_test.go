package eventloop

import (
	"testing"

	"lilacbend/internal/controller"
)

func ackRequest(nonce uint64) controller.Update {
	return controller.Update{WantsAck: true, Nonce: nonce}
}

func TestFullQueueDropsReplaceableInputsOnly(t *testing.T) {
	x := New()
	for range maxInputs + 3 {
		x.Enqueue(controller.Outcomes{})
	}
	x.Enqueue(controller.StreamClosed{Stream: 1})
	x.Enqueue(controller.Ack{Stream: 1})
	<-x.Ready()
	if inputs := x.Drain(); len(inputs) != maxInputs+1 || inputs[maxInputs] != (controller.StreamClosed{Stream: 1}) || x.Counters.InputsDropped.Load() != 4 {
		t.Errorf("%d inputs, %d dropped", len(inputs), x.Counters.InputsDropped.Load())
	}
	if inputs := x.Drain(); inputs != nil {
		t.Errorf("%d inputs are left", len(inputs))
	}
	x.SetProxies(2400) // all of them send acks while the core stands still
	for range maxInputs + 16*2400 {
		x.Enqueue(controller.Ack{Stream: 1})
	}
	if lost := x.Counters.InputsDropped.Load(); lost != 4 {
		t.Errorf("%d dropped with room for a fleet", lost-4)
	}
}

// A proxy that reads nothing gets its complete state once it reads again, and not a part of the changes.
func TestFullSendQueueRequestsAResync(t *testing.T) {
	x := New()
	out, done := x.OpenStream(3, nil), make(chan struct{})
	for n := range uint64(maxItems + 2) {
		x.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(n)})
	}
	if len(out.items) != 0 || x.Counters.QueuesDropped.Load() != 1 {
		t.Errorf("%d items wait", len(out.items))
	}
	go func() {
		<-x.Ready()
		x.Send(controller.OutgoingUpdate{Stream: 3, Update: controller.Update{Resync: true}})
	}()
	x.Send(controller.OutgoingUpdate{Stream: 4, Update: ackRequest(1)}) // of no stream
	if i, ok := out.Next(done); !ok || !i.Resync {
		t.Errorf("got %+v", i)
	}
	if inputs := x.Drain(); len(inputs) != 1 || inputs[0] != (controller.UpdatesDropped{Stream: 3}) {
		t.Errorf("inputs %+v", inputs)
	}
	x.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(9)})
	if i, ok := out.Next(done); !ok || i.Nonce != 9 {
		t.Errorf("got %+v", i)
	}
}

func TestSendQueueEnds(t *testing.T) {
	x := New()
	ended := 0
	out, done := x.OpenStream(3, func() { ended++ }), make(chan struct{})
	x.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(1)})
	x.CloseStream(3)
	x.CloseStream(4)
	if _, ok := out.Next(done); ok || ended != 1 {
		t.Error("an ended stream goes on")
	}
	out = x.OpenStream(5, nil)
	for range maxItems {
		out.AnswerHealthCheck()
	}
	if out.healthChecks != maxItems/2 || len(out.items) != 0 || out.overflowed {
		t.Errorf("%d replies to health checks wait", out.healthChecks)
	}
	for range maxItems / 2 {
		if i, ok := out.Next(done); !ok || !i.HealthCheckReply {
			t.Errorf("got %+v", i)
		}
	}
	close(done)
	if _, ok := out.Next(done); ok {
		t.Error("goes on after the end of its connection")
	}
	if out.Close(); x.sendQueues[5] != nil {
		t.Error("a closed send queue stays")
	}
}

// A health check that arrives before, with or after the overflow of its stream's send queue is answered: nothing of what was
// dropped stands for its reply.
func TestHealthCheckIsAnsweredThroughAnOverflow(t *testing.T) {
	x := New()
	out, done := x.OpenStream(3, nil), make(chan struct{})
	out.AnswerHealthCheck()
	for n := range uint64(maxItems + 1) {
		x.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(n)})
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
