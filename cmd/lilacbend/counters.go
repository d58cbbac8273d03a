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
	tally := &p.events.Tally
	p.log.Info("counters",
		slog.Group("in", "accepted", tally.Accepted.Load(), "ended", tally.Ended.Load(), "joins", core.StreamsOpened, "leaves", core.StreamsClosed,
			"answers", core.Acks, "met", core.OutcomeReports, "demands", core.DemandReports, "listings", core.ReplicaLists, "turns", core.Turns,
			"reloads", tally.Reloads.Load()),
		slog.Group("sent", "pushes", core.Updates, "written", tally.Pushes.Load(), "bytes", tally.PushBytes.Load(),
			"lines", core.CostSent, "lines_ordered", core.CostRequested, "marks", core.AckRequests, "whole", core.FullTables,
			"held", core.StreamsEnqueued, "asks", core.OwnAckRequests, "calls", tally.Calls.Load(), "dials", tally.Dials.Load()),
		slog.Group("answered", "alive", tally.Alive.Load(), "discovery", tally.Answers.Load()),
		slog.Group("lost", "notes", tally.Lost.Load(), "emptied", tally.Emptied.Load(), "stale", core.Stale, "silent", core.ProxiesSilent,
			"replaced", core.StreamsReplaced, "refused", tally.Refused.Load(), "strangers", tally.Strangers.Load(), "late", tally.Late.Load(),
			"evicted", tally.Evicted.Load()),
		slog.Group("errors", "unreadable", tally.Unreadable.Load(), "skipped", tally.Skipped.Load(), "strange", core.Invalid,
			"writes", tally.WriteErrors.Load(), "discovery", tally.CallErrors.Load(), "odd", tally.Odd.Load(),
			"timeouts", tally.Timeouts.Load(), "misread", tally.Misread.Load(), "panics", tally.Panics.Load(), "renewed", core.ModuleRestarts,
			"renewed_bare", core.RestartsWithoutState),
		p.snapshots.counters(), p.follower.counters(p.core),
		slog.Group("now", "proxies", core.ConnectedProxies, "names", core.KnownReplicas, "channel", core.ChannelCost,
			"waiting", core.PendingStreams, "heap", memory.HeapAlloc, "goroutines", runtime.NumGoroutine()))
}
