package policy

import (
	"testing"

	"lilacbend/control"
)

// testSettings returns the settings of a small deployment: two zones, six proxies, one idempotent traffic class, and one of
// higher priority that is not idempotent.
func testSettings() control.Settings {
	return control.Settings{Seed: 7, Controllers: 1, Zones: 2, HardwareClasses: 1, Proxies: 6, ChannelRate: 1000,
		ChannelLimit: 400, MessageOverhead: 4, MaxTransit: second / 2, MessageWindow: 10 * second, ReportInterval: second,
		SlowStartTime: 10 * second, SlowStartFraction: 0.2, OverloadMultiple: 4, Admission: control.AdmitFraction,
		DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{
			{PriorityWeight: 1, LatencyObjective: second, Idempotency: control.Idempotent},
			{PriorityWeight: 3, LatencyObjective: second, Idempotency: control.NotIdempotent}}}
}

// newPolicyAt returns a Policy whose time is now, in nanoseconds, for tests that call its components directly.
func newPolicyAt(now int64) *Policy {
	p := New(testSettings())
	p.now = now
	return p
}

// readyReplicas returns the entries of replicas 1 to count, alternately in zone 1 and zone 0.
func readyReplicas(count int) []control.ListedReplica {
	var entries []control.ListedReplica
	for id := 1; id <= count; id++ {
		entries = append(entries, control.ListedReplica{Replica: uint32(id), Zone: id % 2, Weight: 1})
	}
	return entries
}

// queued returns the messages of one type in a queue.
func queued[M message](p *Policy, queue int) []M { return ofType[M](p.queues[queue].waiting) }

// ofType returns the elements of one type, such as all commands of type control.Bind.
func ofType[T, A any](all []A) []T {
	var matching []T
	for _, element := range all {
		if t, ok := any(element).(T); ok {
			matching = append(matching, t)
		}
	}
	return matching
}

// wantEqual reports an error if got differs from want; what names the value.
func wantEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// playEvents passes a list of six replicas, the streams of six proxies and then the events to a new Policy, and returns all
// of its commands. Each stream and each event has its own turn, one second after the previous one, together with a
// TimerFired.
func playEvents(events ...control.Event) []control.Command {
	p := New(testSettings())
	commands := p.Turn(0, []control.Event{control.ReplicasListed{Full: true, Entries: readyReplicas(6)}})
	for proxy := range 6 {
		events = append([]control.Event{control.StreamOpened{Proxy: proxy, Zone: proxy % 2, ForecastRate: 10}}, events...)
	}
	for k, event := range events {
		commands = append(commands, p.Turn(int64(k+1)*second, []control.Event{event, control.TimerFired{}})...)
	}
	return commands
}
