package policy

import (
	"lilacbend/control"
	"testing"
)

func provision() control.Settings {
	return control.Settings{Seed: 7, Controllers: 1, Zones: 2, HardwareClasses: 1, Proxies: 6, ChannelRate: 1000,
		ChannelLimit: 400, MessageOverhead: 4, MaxTransit: second / 2, MessageWindow: 10 * second, ReportInterval: second,
		SlowStartTime: 10 * second, SlowStartFraction: 0.2, OverloadMultiple: 4, Admission: control.AdmitFraction,
		DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{
			{PriorityWeight: 1, LatencyObjective: second, Idempotency: control.Idempotent},
			{PriorityWeight: 3, LatencyObjective: second, Idempotency: control.NotIdempotent}}}
}

// at gives a governor whose clock stands there; its parts are the queues' parts.
func at(now int64) *Policy {
	g := New(provision())
	g.now = now
	return g
}

func entries(n int) []control.ListedReplica {
	var es []control.ListedReplica
	for id := 1; id <= n; id++ {
		es = append(es, control.ListedReplica{Replica: uint32(id), Zone: id % 2, Weight: 1})
	}
	return es
}

// mail takes what was put into a queue.
func mail[T any](g *Policy, box int) []T { return some[T](g.queues[box].waiting) }

func orders[T any](all []control.Command) []T { return some[T](all) }

func some[T, A any](all []A) (those []T) {
	for _, a := range all {
		if t, ok := any(a).(T); ok {
			those = append(those, t)
		}
	}
	return those
}

func want(t *testing.T, what string, got, wanted any) {
	t.Helper()
	if got != wanted {
		t.Errorf("%s: got %v, want %v", what, got, wanted)
	}
}

func day(events ...control.Event) (all []control.Command) {
	g := New(provision())
	all = g.Turn(0, []control.Event{control.ReplicasListed{Full: true, Entries: entries(6)}})
	for proxy := range 6 {
		events = append([]control.Event{control.StreamOpened{Proxy: proxy, Zone: proxy % 2, Rate: 10}}, events...)
	}
	for k, ev := range events {
		all = append(all, g.Turn(int64(k+1)*second, []control.Event{ev, control.TimerFired{}})...)
	}
	return all
}
