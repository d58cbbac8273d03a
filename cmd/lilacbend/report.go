package main

import (
	"log/slog"
	"runtime"

	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
)

// report prints the counters.
func report(log *slog.Logger, core *controller.Core, x *eventloop.Queues, kept *archive, follower *configurationFollower) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	n, t := core.Counters, &x.Counters
	log.Info("counters",
		slog.Group("in", "accepted", t.Accepted.Load(), "ended", t.Ended.Load(), "joins", n.StreamsOpened, "leaves", n.StreamsClosed,
			"answers", n.Acks, "met", n.OutcomeReports, "demands", n.DemandReports, "listings", n.ReplicaLists, "turns", n.Turns,
			"reloads", t.Reloads.Load()),
		slog.Group("sent", "pushes", n.Updates, "written", t.UpdatesSent.Load(), "bytes", t.UpdateBytes.Load(),
			"lines", n.CostSent, "lines_ordered", n.CostRequested, "marks", n.AckRequests, "whole", n.FullTables, "held", n.StreamsEnqueued, "asks", n.OwnAckRequests,
			"calls", t.DiscoveryCalls.Load(), "dials", t.Dials.Load()),
		slog.Group("answered", "alive", t.HealthChecks.Load(), "discovery", t.DiscoveryAnswers.Load()),
		slog.Group("lost", "notes", t.InputsDropped.Load(), "emptied", t.QueuesDropped.Load(), "stale", n.Stale, "silent", n.ProxiesSilent, "replaced", n.StreamsReplaced,
			"refused", t.Refused.Load(), "strangers", t.UnknownPeers.Load(), "late", t.JoinTimeouts.Load(), "evicted", t.Evicted.Load()),
		slog.Group("errors", "unreadable", t.Malformed.Load(), "skipped", t.Skipped.Load(), "strange", n.Invalid,
			"writes", t.WriteErrors.Load(), "discovery", t.DiscoveryErrors.Load(), "odd", t.InvalidLists.Load(),
			"timeouts", t.Timeouts.Load(), "misread", t.ReloadsFailed.Load(), "panics", t.Panics.Load(), "renewed", n.ModuleRestarts, "renewed_bare", n.RestartsWithoutState),
		kept.figures(), follower.figures(core),
		slog.Group("now", "proxies", n.ConnectedProxies, "names", n.KnownReplicas, "channel", n.ChannelCost, "waiting", n.PendingStreams, "heap", mem.HeapAlloc, "goroutines", runtime.NumGoroutine()))
}
