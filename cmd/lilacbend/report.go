package main

import (
	"log/slog"
	"runtime"

	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
)

// report prints the counters.
func report(log *slog.Logger, core *controller.Core, x *eventloop.Exchange, kept *archive, follower *configurationFollower) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	n, t := core.Counters, &x.Tally
	log.Info("counters",
		slog.Group("in", "accepted", t.Accepted.Load(), "ended", t.Ended.Load(), "joins", n.StreamsOpened, "leaves", n.StreamsClosed,
			"answers", n.Acks, "met", n.OutcomeReports, "demands", n.DemandReports, "listings", n.ReplicaLists, "turns", n.Turns,
			"reloads", t.Reloads.Load()),
		slog.Group("sent", "pushes", n.Updates, "written", t.Pushes.Load(), "bytes", t.PushBytes.Load(),
			"lines", n.CostSent, "lines_ordered", n.CostRequested, "marks", n.AckRequests, "whole", n.FullTables, "held", n.StreamsEnqueued, "asks", n.OwnAckRequests,
			"calls", t.Calls.Load(), "dials", t.Dials.Load()),
		slog.Group("answered", "alive", t.Alive.Load(), "discovery", t.Answers.Load()),
		slog.Group("lost", "notes", t.Lost.Load(), "emptied", t.Emptied.Load(), "stale", n.Stale, "silent", n.ProxiesSilent, "replaced", n.StreamsReplaced,
			"refused", t.Refused.Load(), "strangers", t.Strangers.Load(), "late", t.Late.Load(), "evicted", t.Evicted.Load()),
		slog.Group("errors", "unreadable", t.Unreadable.Load(), "skipped", t.Skipped.Load(), "strange", n.Invalid,
			"writes", t.WriteErrors.Load(), "discovery", t.CallErrors.Load(), "odd", t.Odd.Load(),
			"timeouts", t.Timeouts.Load(), "misread", t.Misread.Load(), "panics", t.Panics.Load(), "renewed", n.ModuleRestarts, "renewed_bare", n.RestartsWithoutState),
		kept.figures(), follower.figures(core),
		slog.Group("now", "proxies", n.ConnectedProxies, "names", n.KnownReplicas, "channel", n.ChannelCost, "waiting", n.PendingStreams, "heap", mem.HeapAlloc, "goroutines", runtime.NumGoroutine()))
}
