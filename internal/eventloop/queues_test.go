package eventloop

import (
	"testing"

	"lilacbend/internal/controller"
)

func ackRequest(nonce uint64) controller.Update {
	return controller.Update{WantsAck: true, Nonce: nonce}
}

func TestFullQueueDropsReplaceableInputsOnly(t *testing.T) {
	queues := New()
	for range maxInputs + 3 {
		queues.Enqueue(controller.OutcomeReport{})
	}
	queues.Enqueue(controller.StreamClosed{Stream: 1})
	queues.Enqueue(controller.Ack{Stream: 1})
	<-queues.Ready()
	if inputs := queues.Drain(); len(inputs) != maxInputs+1 || inputs[maxInputs] != (controller.StreamClosed{Stream: 1}) || queues.Counters.InputsDropped.Load() != 4 {
		t.Errorf("%d inputs queued, %d dropped", len(inputs), queues.Counters.InputsDropped.Load())
	}
	if inputs := queues.Drain(); inputs != nil {
		t.Errorf("%d inputs are left after Drain", len(inputs))
	}
	queues.SetProxies(2400) // all of them send acks while the core is stalled
	for range maxInputs + 16*2400 {
		queues.Enqueue(controller.Ack{Stream: 1})
	}
	if dropped := queues.Counters.InputsDropped.Load(); dropped != 4 {
		t.Errorf("%d inputs dropped below the limit for 2400 proxies", dropped-4)
	}
}

// A proxy that has stopped reading gets its complete state when it reads again, not a part of the updates it has missed.
func TestFullSendQueueRequestsAResync(t *testing.T) {
	queues := New()
	sendQueue, done := queues.OpenStream(3, nil), make(chan struct{})
	for nonce := range uint64(maxItems + 2) {
		queues.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(nonce)})
	}
	if len(sendQueue.items) != 0 || queues.Counters.SendQueueOverflows.Load() != 1 {
		t.Errorf("%d items are waiting after the overflow", len(sendQueue.items))
	}
	go func() {
		<-queues.Ready()
		queues.Send(controller.OutgoingUpdate{Stream: 3, Update: controller.Update{Resync: true}})
	}()
	queues.Send(controller.OutgoingUpdate{Stream: 4, Update: ackRequest(1)}) // stream 4 does not exist
	if item, ok := sendQueue.Next(done); !ok || !item.Resync {
		t.Errorf("Next returned %+v, want the resync", item)
	}
	if inputs := queues.Drain(); len(inputs) != 1 || inputs[0] != (controller.UpdatesDropped{Stream: 3}) {
		t.Errorf("queued inputs are %+v, want one UpdatesDropped", inputs)
	}
	queues.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(9)})
	if item, ok := sendQueue.Next(done); !ok || item.Nonce != 9 {
		t.Errorf("Next returned %+v, want the update after the resync", item)
	}
}

func TestNextFailsOnceStreamOrConnectionHasEnded(t *testing.T) {
	queues := New()
	closedConnections := 0
	sendQueue, done := queues.OpenStream(3, func() { closedConnections++ }), make(chan struct{})
	queues.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(1)})
	queues.CloseStream(3)
	queues.CloseStream(4)
	if _, ok := sendQueue.Next(done); ok || closedConnections != 1 {
		t.Error("Next returned an item of a closed stream, or the connection was not closed once")
	}
	sendQueue = queues.OpenStream(5, nil)
	for range maxItems {
		sendQueue.AnswerHealthCheck()
	}
	if sendQueue.healthChecks != maxItems/2 || len(sendQueue.items) != 0 || sendQueue.overflowed {
		t.Errorf("%d replies to health checks are waiting", sendQueue.healthChecks)
	}
	for range maxItems / 2 {
		if item, ok := sendQueue.Next(done); !ok || !item.HealthCheckReply {
			t.Errorf("Next returned %+v, want a reply to a health check", item)
		}
	}
	close(done)
	if _, ok := sendQueue.Next(done); ok {
		t.Error("Next returned an item after the connection has ended")
	}
	if sendQueue.Close(); queues.sendQueues[5] != nil {
		t.Error("the send queue is still registered after Close")
	}
}

// A health check that arrives before, during or after the overflow of its stream's send queue is answered: an overflow drops
// updates only, not replies to health checks.
func TestHealthChecksAreAnsweredAcrossOverflow(t *testing.T) {
	queues := New()
	sendQueue, done := queues.OpenStream(3, nil), make(chan struct{})
	sendQueue.AnswerHealthCheck()
	for nonce := range uint64(maxItems + 1) {
		queues.Send(controller.OutgoingUpdate{Stream: 3, Update: ackRequest(nonce)})
	}
	sendQueue.AnswerHealthCheck()
	if !sendQueue.overflowed || len(sendQueue.items) != 0 {
		t.Fatalf("%d items are waiting after the overflow", len(sendQueue.items))
	}
	for range 2 {
		if item, ok := sendQueue.Next(done); !ok || !item.HealthCheckReply {
			t.Errorf("Next returned %+v, want a reply to a health check", item)
		}
	}
	go func() {
		<-queues.Ready()
		queues.Send(controller.OutgoingUpdate{Stream: 3, Update: controller.Update{Resync: true}})
	}()
	if item, ok := sendQueue.Next(done); !ok || !item.Resync {
		t.Errorf("Next returned %+v, want the resync", item)
	}
}
