package brain

import (
	"testing"

	"lilacbend/control"
)

func provision() control.Provision {
	return control.Provision{Seed: 7, Governors: 1, Zones: 2, Kinds: 1, Proxies: 6, ChannelRate: 1000,
		ChannelLimit: 400, MessageHead: 4, WorstTransit: second / 2, MessagesSpan: 10 * second, ReportEvery: second,
		WarmAfter: 10 * second, ColdShare: 0.2, FallMultiple: 4, Admission: control.AdmitShare,
		UsualTries: control.TryIfNeverRan,
		Groups: []control.TrafficGroup{
			{Utility: 1, LatencyBudget: second, Effect: control.Retriable},
			{Utility: 3, LatencyBudget: second, Effect: control.NonRetriable}}}
}

// at gives a governor whose clock stands there; its parts are the boxes' parts.
func at(now int64) *Governor {
	g := New(provision())
	g.now = now
	return g
}

func entries(n int) []control.Entry {
	var es []control.Entry
	for id := 1; id <= n; id++ {
		es = append(es, control.Entry{Replica: uint32(id), Zone: id % 2, Weight: 1})
	}
	return es
}

// mail takes what was put into an inbox.
func mail[T any](g *Governor, box int) (notes []T) {
	for _, n := range g.boxes[box].mail {
		if t, ok := n.(T); ok {
			notes = append(notes, t)
		}
	}
	return notes
}

func orders[T any](all []control.Order) (some []T) {
	for _, o := range all {
		if t, ok := o.(T); ok {
			some = append(some, t)
		}
	}
	return some
}

func want(t *testing.T, what string, got, wanted any) {
	t.Helper()
	if got != wanted {
		t.Errorf("%s: got %v, want %v", what, got, wanted)
	}
}
