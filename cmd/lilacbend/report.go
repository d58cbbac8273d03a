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
		slog.Group("in", "accepted", t.Accepted.Load(), "ended", t.Ended.Load(), "joins", n.Joins, "leaves", n.Leaves,
			"answers", n.Answers, "met", n.Outcomes, "demands", n.Demands, "listings", n.Lists, "turns", n.Turns,
			"reloads", t.Reloads.Load()),
		slog.Group("sent", "pushes", n.Updates, "written", t.Pushes.Load(), "bytes", t.PushBytes.Load(),
			"lines", n.LinesSent, "lines_ordered", n.LinesOrdered, "marks", n.AckRequests, "whole", n.FullTables, "held", n.Enqueued, "asks", n.OwnAckRequests,
			"calls", t.Calls.Load(), "dials", t.Dials.Load()),
		slog.Group("answered", "alive", t.Alive.Load(), "discovery", t.Answers.Load()),
		slog.Group("lost", "notes", t.Lost.Load(), "emptied", t.Emptied.Load(), "stale", n.Stale, "silent", n.Silent, "replaced", n.Replaced,
			"refused", t.Refused.Load(), "strangers", t.Strangers.Load(), "late", t.Late.Load(), "evicted", t.Evicted.Load()),
		slog.Group("errors", "unreadable", t.Unreadable.Load(), "skipped", t.Skipped.Load(), "strange", n.Strange,
			"writes", t.WriteErrors.Load(), "discovery", t.CallErrors.Load(), "odd", t.Odd.Load(),
			"timeouts", t.Timeouts.Load(), "misread", t.Misread.Load(), "panics", t.Panics.Load(), "renewed", n.Restarts, "renewed_bare", n.BareRestarts),
		kept.figures(), follower.figures(core),
		slog.Group("now", "proxies", n.Proxies, "names", n.Names, "channel", n.Channel, "waiting", n.Waiting, "heap", mem.HeapAlloc, "goroutines", runtime.NumGoroutine()))
}
