package controller

import (
	"slices"

	"lilacbend/control"
)

// handleInput processes one input and returns the resulting events for the module.
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
	case OutcomeReport:
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
	case MessageSkipped:
		return c.handleMessageSkipped(input.Stream, t.now)
	case MessageSent:
		c.delivery.account.MarkSent(input.ChargeNumber, t.now)
	case UpdatesDropped:
		c.handleUpdatesDropped(input.Stream)
	default:
		c.Counters.InvalidInputs++
	}
	return nil
}

// handleStreamOpened adds a stream. Of two streams of one proxy, the one with the higher number is kept and the other is
// closed, regardless of the order in which they arrive.
func (c *Core) handleStreamOpened(t *turn, opened StreamOpened) []control.Event {
	old := c.streams.byProxy[opened.Proxy]
	switch {
	case c.CheckProxy(opened) != nil:
		c.Counters.InvalidInputs++
		t.closeStream(opened.Stream)
		return nil
	case old != nil && old.id == opened.Stream:
		c.Counters.InvalidInputs++
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
			Proxy:        opened.Proxy,
			Zone:         indexOrLast(c.names.Zones, opened.Zone),
			ForecastRate: opened.RequestRate,
		},
	}
	s.delivered.reset()
	s.delivered.ejectsOnlyReported = opened.WithoutTable
	return s
}

// handleStreamClosed removes a stream. The module is notified unless the proxy was already reported as disconnected because
// its ack was overdue.
func (c *Core) handleStreamClosed(id StreamID, now int64) []control.Event {
	s := c.streams.byID[id]
	if s == nil {
		return nil
	}
	c.removeStream(s, now)
	if s.ackWait.reportedDisconnected {
		return nil
	}
	return []control.Event{control.StreamClosed{Proxy: s.opened.Proxy}}
}

// handleOutcomes passes a collector's report to the module. A report with an unknown replica or zone or with impossible
// values counts as invalid.
func (c *Core) handleOutcomes(report OutcomeReport) []control.Event {
	replica, known := c.replicas.numbers[report.Replica]
	if !known || !c.validOutcomes(report) {
		c.Counters.InvalidInputs++
		return nil
	}
	outcomes := report.OutcomeReport
	outcomes.Replica = replica
	outcomes.Zone = indexOrLast(c.names.Zones, report.Zone)
	return []control.Event{outcomes}
}

// handleDemand passes a report of demand to the module: one that the proxy sent on its current stream, or one from a
// collector.
func (c *Core) handleDemand(report Demand, now int64) []control.Event {
	s := c.streams.byProxy[report.Proxy]
	fromCollector := report.Stream == 0
	if s == nil || !fromCollector && s.id != report.Stream {
		c.Counters.StaleInputs++
		return nil
	}
	var events []control.Event
	if !fromCollector {
		events = c.recordActivity(s, now)
	}
	demand := report.DemandReport
	demand.Class = slices.Index(c.names.Classes, report.Class)
	if demand.Class < 0 || !c.validDemand(report) {
		c.Counters.InvalidInputs++
		return events
	}
	return append(events, demand)
}

// handleReplicaList passes a list to the module, followed by the state that an earlier controller had learned of replicas
// that are new in the list or have restarted or moved.
func (c *Core) handleReplicaList(list ReplicaList, now int64) []control.Event {
	applied := c.applyList(list, now)
	c.Counters.InvalidInputs += int64(applied.invalidMembers)
	events := []control.Event{applied.event}
	return append(events, c.restoredReplicas(c.snapshots.restored, applied.newOrRestarted, now)...)
}

// handleMessageSkipped records that a proxy is alive, since something arrived on its stream.
func (c *Core) handleMessageSkipped(id StreamID, now int64) []control.Event {
	s := c.streams.byID[id]
	if s == nil {
		return nil
	}
	return c.recordActivity(s, now)
}

// handleUpdatesDropped schedules a resync with the complete state for a stream whose send queue dropped its updates.
func (c *Core) handleUpdatesDropped(id StreamID) {
	s := c.streams.byID[id]
	if s == nil {
		return
	}
	s.binding.needsFull = true
	s.binding.needsResync = true
	c.forgetDelivered(s)
}
