package controller

import (
	"slices"

	"lilacbend/control"
)

// handleInput takes in one input and returns what it means to the module.
func (c *Core) handleInput(t *turn, input Input) []control.Event {
	switch input := input.(type) {
	case StreamOpened:
		c.Counters.StreamsOpened++
		return c.handleStreamOpened(t, input)
	case StreamClosed:
		c.Counters.StreamsClosed++
		return c.handleStreamClosed(input.Stream, t.now)
	case Ack:
		c.Counters.Acks++
		return c.handleAck(input, t.now)
	case Outcomes:
		c.Counters.OutcomeReports++
		return c.handleOutcomes(input)
	case Demand:
		c.Counters.DemandReports++
		return c.handleDemand(input, t.now)
	case ReplicaList:
		c.Counters.ReplicaLists++
		return c.handleReplicaList(input, t.now)
	case SnapshotRestored:
		c.snapshots.restored = input.Snapshot
	case Configure:
		return c.configure(input)
	case StreamActive:
		return c.handleStreamActive(input.Stream, t.now)
	case MessageSent:
		c.delivery.account.MarkSent(input.Number, t.now)
	case UpdatesDropped:
		c.handleUpdatesDropped(input.Stream)
	default:
		c.Counters.Invalid++
	}
	return nil
}

// handleStreamOpened takes a stream in. Of two streams of one proxy the one with the higher number stays, whichever came
// first.
func (c *Core) handleStreamOpened(t *turn, opened StreamOpened) []control.Event {
	old := c.streams.byProxy[opened.Proxy]
	switch {
	case c.CheckProxy(opened) != nil:
		c.Counters.Invalid++
		t.closeStream(opened.Stream)
		return nil
	case old != nil && old.id == opened.Stream:
		c.Counters.Invalid++
		return nil
	case old != nil && old.id > opened.Stream:
		c.Counters.StreamsReplaced++
		t.closeStream(opened.Stream)
		return nil
	case old != nil:
		c.Counters.StreamsReplaced++
		t.closeStream(old.id)
		c.removeStream(old, t.now)
	}
	s := c.newStream(opened, t.now)
	c.streams.add(s)
	c.bindStream(s, unbound)
	return []control.Event{s.opened}
}

func (t *turn) closeStream(id StreamID) { t.result.CloseStreams = append(t.result.CloseStreams, id) }

func (c *Core) newStream(opened StreamOpened, now int64) *stream {
	s := &stream{
		id:           opened.Stream,
		zone:         opened.Zone,
		binding:      binding{table: unbound},
		unboundSince: now,
		opened: control.StreamOpened{
			Proxy: opened.Proxy,
			Zone:  indexOrLast(c.names.Zones, opened.Zone),
			Rate:  opened.Rate,
		},
	}
	s.delivered.reset()
	s.delivered.ejectsOnlyReported = opened.WithoutTable
	return s
}

// handleStreamClosed drops a stream. The module is notified, unless it was already, as the proxy was silent.
func (c *Core) handleStreamClosed(id StreamID, now int64) []control.Event {
	s := c.streams.byID[id]
	if s == nil {
		return nil
	}
	c.removeStream(s, now)
	if s.silent.reported {
		return nil
	}
	return []control.Event{control.StreamClosed{Proxy: s.opened.Proxy}}
}

// handleOutcomes passes on what a collector reports, unless it names what is unknown or its figures are impossible.
func (c *Core) handleOutcomes(report Outcomes) []control.Event {
	replica, known := c.replicas.numbers[report.Replica]
	if !known || !c.validOutcomes(report) {
		c.Counters.Invalid++
		return nil
	}
	outcomes := report.Outcomes
	outcomes.Replica = replica
	outcomes.Zone = indexOrLast(c.names.Zones, report.Zone)
	return []control.Event{outcomes}
}

// handleDemand passes on what a proxy reports by its present stream, or what a collector reports of it.
func (c *Core) handleDemand(report Demand, now int64) []control.Event {
	s := c.streams.byProxy[report.Proxy]
	fromCollector := report.Stream == 0
	if s == nil || !fromCollector && s.id != report.Stream {
		c.Counters.Stale++
		return nil
	}
	var events []control.Event
	if !fromCollector {
		events = c.streamSpoke(s, now)
	}
	demand := report.Demand
	demand.Class = slices.Index(c.names.Classes, report.Class)
	if demand.Class < 0 || !c.validDemand(report) {
		c.Counters.Invalid++
		return events
	}
	return append(events, demand)
}

// handleReplicaList passes on a list, followed by what an earlier controller had learned of the replicas that are new in it.
func (c *Core) handleReplicaList(list ReplicaList, now int64) []control.Event {
	applied := c.applyList(list, now)
	c.Counters.Invalid += int64(applied.unusable)
	events := []control.Event{applied.event}
	return append(events, c.restoredReplicas(c.snapshots.restored, applied.started, now)...)
}

// handleStreamActive records that a proxy lives, whatever it has sent.
func (c *Core) handleStreamActive(id StreamID, now int64) []control.Event {
	s := c.streams.byID[id]
	if s == nil {
		return nil
	}
	return c.streamSpoke(s, now)
}

// handleUpdatesDropped marks a stream as in need of its complete state, as its send queue dropped its updates.
func (c *Core) handleUpdatesDropped(id StreamID) {
	s := c.streams.byID[id]
	if s == nil {
		return
	}
	s.binding.needsFull = true
	s.binding.needsResync = true
	c.forgetDelivered(s)
}
