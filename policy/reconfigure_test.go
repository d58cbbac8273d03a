package policy

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/internal/zone"
)

// running is a governor of two zones that has heard of all its replicas for a while: one is sick, one is slow.
func running(t *testing.T) (*Policy, control.SettingsChanged) {
	t.Helper()
	p := provision()
	p.Zones, p.HardwareClasses, p.Proxies, p.Controllers = 2, 3, 40, 1
	p.ChannelLimit, p.ChannelRate, p.Admission = 1<<16, 1<<16, control.AdmitFraction
	p.Classes = []control.TrafficClass{
		{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
		{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
		{PriorityWeight: 2, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent}}
	g := New(p)
	e := control.SettingsChanged{Settings: p, NewClasses: []int{0, 1, 2}, NewHardwareClasses: []int{0, 1, 2}}
	for id := range uint32(60) {
		e.Replicas = append(e.Replicas, control.ListedReplica{Replica: id + 1, Zone: int(id) % 2, HardwareClass: int(id) / 2 % 2, State: control.Ready, Weight: 1})
	}
	events := []control.Event{control.ReplicasListed{Full: true, Entries: e.Replicas}}
	for proxy := range 40 {
		e.Proxies = append(e.Proxies, control.StreamOpened{Proxy: proxy, Zone: proxy % 2, Rate: 10})
		events = append(events, e.Proxies[proxy])
	}
	for k := range int64(40) {
		for _, r := range e.Replicas {
			m := control.Outcomes{Replica: r.Replica, Attempts: 20, ResponseTime: second / 10, Period: beat}
			switch r.Replica {
			case 1:
				m.Failures, m.ResponseTime = 20, 0
			case 2:
				m.ResponseTime *= 3
			}
			events = append(events, m)
		}
		events = append(events, control.Demand{Proxy: int(k), Class: int(k) % 3, Requests: 5, Period: second}, control.TimerFired{})
		marks := orders[control.RequestAck](g.Turn(100*second+k*beat, events))
		if events = nil; len(marks) > 0 {
			for proxy := range 40 {
				events = append(events, control.Ack{Proxy: proxy, Nonce: marks[0].Nonce})
			}
		}
	}
	if g.replicas[1].ejectedUntil == 0 {
		t.Fatal("nobody is sick")
	}
	return g, e
}

func (g *Policy) parts() (*planner, *binder, *admissionController) {
	return g.queues[placementComponent].component.(*planner), g.queues[bindingComponent].component.(*binder), g.queues[admissionComponent].component.(*admissionController)
}

// Other figures, and other numbers for the same groups and kinds, leave all that was learned and bound as it was.
func TestChangedSettingsKeepWhatWasLearned(t *testing.T) {
	g, e := running(t)
	p, r, l := g.parts()
	l.line, l.set[2] = 2.5, control.SetAdmission{Table: control.AllTables, Class: 2, Fraction: 0.5}
	before := g.learned()
	own, weights := maps.Clone(p.own), g.queues[updateComponent].component.(*updater).sequence.Weights()
	e.DrainGrace, e.ReportInterval, e.Proxies = 9*second, second, slices.Clone(e.Proxies)
	e.Settings.Proxies--
	e.Classes = []control.TrafficClass{e.Classes[2], e.Classes[0], e.Classes[1]}
	e.NewClasses, e.NewHardwareClasses = []int{1, 2, 0}, []int{1, 0, 2}
	for k := range e.Replicas {
		e.Replicas[k].HardwareClass = 1 - e.Replicas[k].HardwareClass
	}
	out := g.Turn(g.now, []control.Event{e})
	after := g.learned()
	want(t, "bindings", len(orders[control.Bind](out)), 0)
	want(t, "tables", reflect.DeepEqual(own, p.own), true)
	want(t, "weights", reflect.DeepEqual(weights, g.queues[updateComponent].component.(*updater).sequence.Weights()), true)
	want(t, "seats", reflect.DeepEqual(before.Bindings, after.Bindings), true)
	want(t, "replicas", reflect.DeepEqual(before.Replicas, after.Replicas), true)
	want(t, "answer times", reflect.DeepEqual([][]float64{before.BaselineResponseTimes[1], before.BaselineResponseTimes[0]}, after.BaselineResponseTimes[:2]), true)
	want(t, "those of all", reflect.DeepEqual(before.BaselineResponseTimes[3], after.BaselineResponseTimes[3]), true)
	want(t, "the line", l.line, 2.5)
	want(t, "the group under it", l.set[0], control.SetAdmission{Table: control.AllTables, Class: 0, Fraction: 0.5})
	for k, u := range before.RequestRates {
		before.RequestRates[k].Class = e.NewClasses[u.Class]
	}
	slices.SortFunc(before.RequestRates, func(a, b control.ClassRate) int { return a.Proxy*3 + a.Class - b.Proxy*3 - b.Class })
	want(t, "usage", reflect.DeepEqual(before.RequestRates, after.RequestRates), true)
	want(t, "kinds at the replicas", g.replicas[1].entry.HardwareClass, 1)
	want(t, "proxies", len(r.here), 40)
}

// The line stays with the groups that it lets in, whichever come and go.
func TestTheLineStaysWithItsGroups(t *testing.T) {
	for _, c := range []struct {
		what       string
		line, want float64 // of groups of utility 3, 2 and 1, which are 1, 2 and 0
		numbers    []int
		utilities  []float64
	}{
		{"all let in, one more", 3, 4, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"the last kept out, one more of most worth", 2, 3, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"the last kept out, one more of least worth", 2, 2, []int{0, 1, 2}, []float64{1, 3, 2, 0.5}},
		{"half of the second, the first goes", 1.5, 0.5, []int{0, -1, 1}, []float64{1, 2}},
		{"half of the second, which goes", 1.5, 1, []int{0, 1, -1}, []float64{1, 3}},
		{"half of the last, which goes", 2.5, 2, []int{-1, 0, 1}, []float64{3, 2}},
		{"the last kept out and worth most now", 2, 0, []int{0, 1, 2}, []float64{9, 3, 2}},
		{"other names altogether", 1.5, 2, []int{-1, -1, -1}, []float64{1, 1}},
	} {
		g, e := running(t)
		_, _, l := g.parts()
		l.line, e.NewClasses, e.Classes = c.line, c.numbers, nil
		for _, utility := range c.utilities {
			e.Classes = append(e.Classes, control.TrafficClass{PriorityWeight: utility, LatencyObjective: second, Timeout: 3 * second})
		}
		g.reconfigure(e)
		want(t, c.what, l.line, c.want)
		g.Turn(g.now+beat, []control.Event{control.TimerFired{}, control.Demand{Proxy: 1, Class: len(c.utilities) - 1, Requests: 1, Period: second}})
	}
}

// Where a start would deal tables otherwise they are dealt so, and each replica and proxy has one of its zone; nobody is
// bound to two, and what waited to be bound is not bound to a table that there is not any more.
func TestTablesAreDealtAsByAStart(t *testing.T) {
	for what, change := range map[string]func(*control.SettingsChanged){
		"more proxies":   func(e *control.SettingsChanged) { e.Settings.Proxies = 400 },
		"fewer":          func(e *control.SettingsChanged) { e.Settings.Proxies = 10 },
		"more governors": func(e *control.SettingsChanged) { e.Controllers = 4 },
		"a zone in front": func(e *control.SettingsChanged) {
			e.Zones = 3
			for k := range e.Replicas {
				e.Replicas[k].Zone++
			}
			for k := range e.Proxies {
				e.Proxies[k].Zone++
			}
		},
		"zones change places": func(e *control.SettingsChanged) {
			for k := range e.Replicas {
				e.Replicas[k].Zone = 1 - e.Replicas[k].Zone
			}
			for k := range e.Proxies {
				e.Proxies[k].Zone = 1 - e.Proxies[k].Zone
			}
		},
		"a zone less": func(e *control.SettingsChanged) {
			e.Zones = 1
		},
	} {
		g, e := running(t)
		p, r, _ := g.parts()
		sequence := g.queues[updateComponent].component.(*updater).sequence
		sequence.Rebind(control.Bind{Proxy: 3, Table: 1})
		sender := g.queues[pacingComponent].component.(*pacer).sender
		sender.Bind(control.Bind{Proxy: 5, Table: 1})
		change(&e)
		fresh := New(e.Settings)
		fresh.Turn(g.now, []control.Event{control.ReplicasListed{Full: true, Entries: e.Replicas}})
		events := []control.Event{e}
		for k := range int64(40) {
			marks := orders[control.RequestAck](g.Turn(g.now+k*beat/10, append(events, control.TimerFired{})))
			if events = nil; len(marks) > 0 {
				for proxy := range 40 {
					events = append(events, control.Ack{Proxy: proxy, Nonce: marks[0].Nonce})
				}
			}
		}
		want(t, what+": tables", p.tables, fresh.queues[placementComponent].component.(*planner).tables)
		row := zone.Rows(g.Zones, p.tables)
		for id, table := range p.own {
			want(t, what+": a replica's row", table%row, g.replicas[id].entry.Zone%row)
		}
		for proxy, c := range r.here {
			want(t, what+": a proxy's row", c.table%row, c.Zone%row)
			want(t, fmt.Sprintf("%s: the table of proxy %d", what, proxy), sender.Bindings()[proxy], r.boundTo[c.table])
		}
		want(t, what+": rebinds left", sequence.Rebinds(), 0)
	}
}
