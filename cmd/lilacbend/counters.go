package main

import (
	"log/slog"
	"runtime"
)

// logCounters logs all counters under the names that the documentation for operators uses.
func (p *process) logCounters() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	core := &p.core.Counters
	counters := &p.queues.Counters
	p.log.Info("counters",
		slog.Group("in", "accepted", counters.ConnectionsAccepted.Load(), "ended", counters.ConnectionsEnded.Load(), "joins", core.StreamsOpened, "leaves", core.StreamsClosed,
			"answers", core.Acks, "met", core.OutcomeReports, "demands", core.DemandReports, "listings", core.ReplicaLists, "turns", core.Turns,
			"reloads", counters.ReloadsApplied.Load()),
		slog.Group("sent", "pushes", core.Updates, "written", counters.UpdatesSent.Load(), "bytes", counters.UpdateBytes.Load(),
			"lines", core.CostSent, "lines_ordered", core.CostRequested, "marks", core.AckRequests, "whole", core.FullTables,
			"held", core.StreamsEnqueued, "asks", core.CoreAckRequests, "calls", counters.DiscoveryCalls.Load(), "dials", counters.DiscoveryDials.Load()),
		slog.Group("answered", "alive", counters.HealthChecks.Load(), "discovery", counters.DiscoveryAnswers.Load()),
		slog.Group("lost", "notes", counters.InputsDropped.Load(), "emptied", counters.SendQueueOverflows.Load(), "stale", core.StaleInputs, "silent", core.ProxiesUnresponsive,
			"replaced", core.StreamsReplaced, "refused", counters.ConnectionsRefused.Load(), "strangers", counters.InvalidJoins.Load(), "late", counters.JoinTimeouts.Load(),
			"evicted", counters.ConnectionsEvicted.Load(), "held_back", counters.PeersHeldBack.Load()),
		slog.Group("errors", "unreadable", counters.MalformedMessages.Load(), "skipped", counters.MessagesSkipped.Load(), "strange", core.InvalidInputs,
			"writes", counters.WriteErrors.Load(), "discovery", counters.DiscoveryErrors.Load(), "odd", counters.InvalidLists.Load(),
			"timeouts", counters.DiscoveryTimeouts.Load(), "misread", counters.ReloadsFailed.Load(), "panics", counters.Panics.Load(), "renewed", core.ModuleRestarts,
			"renewed_bare", core.RestartsWithoutLearnedState),
		p.snapshots.counters(), p.follower.counters(p.core),
		slog.Group("now", "proxies", core.ConnectedProxies, "names", core.KnownReplicas, "channel", core.ChannelCost,
			"waiting", core.PendingStreams, "heap", memory.HeapAlloc, "goroutines", runtime.NumGoroutine()))
}
