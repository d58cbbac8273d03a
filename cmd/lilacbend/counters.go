package main

import (
	"log/slog"
	"runtime"
)

// logCounters logs all counters. Their names are those of the operators' pages.
func (p *process) logCounters() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	core := &p.core.Counters
	tally := &p.events.Counters
	p.log.Info("counters",
		slog.Group("in", "accepted", tally.Accepted.Load(), "ended", tally.Ended.Load(), "joins", core.StreamsOpened, "leaves", core.StreamsClosed,
			"answers", core.Acks, "met", core.OutcomeReports, "demands", core.DemandReports, "listings", core.ReplicaLists, "turns", core.Turns,
			"reloads", tally.Reloads.Load()),
		slog.Group("sent", "pushes", core.Updates, "written", tally.UpdatesSent.Load(), "bytes", tally.UpdateBytes.Load(),
			"lines", core.CostSent, "lines_ordered", core.CostRequested, "marks", core.AckRequests, "whole", core.FullTables,
			"held", core.StreamsEnqueued, "asks", core.OwnAckRequests, "calls", tally.DiscoveryCalls.Load(), "dials", tally.Dials.Load()),
		slog.Group("answered", "alive", tally.HealthChecks.Load(), "discovery", tally.DiscoveryAnswers.Load()),
		slog.Group("lost", "notes", tally.InputsDropped.Load(), "emptied", tally.QueuesDropped.Load(), "stale", core.Stale, "silent", core.ProxiesSilent,
			"replaced", core.StreamsReplaced, "refused", tally.Refused.Load(), "strangers", tally.UnknownPeers.Load(), "late", tally.JoinTimeouts.Load(),
			"evicted", tally.Evicted.Load()),
		slog.Group("errors", "unreadable", tally.Malformed.Load(), "skipped", tally.Skipped.Load(), "strange", core.Invalid,
			"writes", tally.WriteErrors.Load(), "discovery", tally.DiscoveryErrors.Load(), "odd", tally.InvalidLists.Load(),
			"timeouts", tally.Timeouts.Load(), "misread", tally.ReloadsFailed.Load(), "panics", tally.Panics.Load(), "renewed", core.ModuleRestarts,
			"renewed_bare", core.RestartsWithoutState),
		p.snapshots.counters(), p.follower.counters(p.core),
		slog.Group("now", "proxies", core.ConnectedProxies, "names", core.KnownReplicas, "channel", core.ChannelCost,
			"waiting", core.PendingStreams, "heap", memory.HeapAlloc, "goroutines", runtime.NumGoroutine()))
}
