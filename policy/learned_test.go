package policy

import (
	"math"
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/outlier"
)

func known(id uint32, speed float64) control.LearnedReplica {
	return control.LearnedReplica{Replica: id, Speed: speed, SampleCount: 16, PlacementKey: 0.5}
}

// told gives a governor a list and what is remembered of it in one turn.
func told(list []control.ListedReplica, fleet control.LearnedFleet, weight float64, all ...control.LearnedReplica) (*Policy, []control.Command) {
	g := New(provision())
	events := []control.Event{control.FleetRestored{LearnedFleet: fleet, Weight: weight}, control.ReplicasListed{Full: true, Entries: list}}
	for _, k := range all {
		events = append(events, control.ReplicaRestored{LearnedReplica: k, Weight: weight, Age: second})
	}
	for proxy := range 6 {
		events = append(events, control.StreamOpened{Proxy: proxy, Zone: proxy % 2, Rate: 10})
	}
	return g, g.Turn(100*second, events)
}

func TestARememberedSpeedShrinksWithItsAge(t *testing.T) {
	for _, c := range []struct{ speed, weight, want float64 }{{0.25, 1, 0.25}, {0.25, 0.5, 0.5}, {0.25, 0.01, 0.986}, {4, 0.5, 2}} {
		g, _ := told(entries(4), control.LearnedFleet{AdmissionThreshold: 1}, c.weight, known(1, c.speed))
		if r := g.replicas[1]; math.Abs(r.estimate.Speed-c.want) > 0.001 || math.Abs(r.estimate.Confidence-16*c.weight) > 0.001 {
			t.Errorf("%v at %v: speed %v, confidence %v", c.speed, c.weight, r.estimate.Speed, r.estimate.Confidence)
		}
	}
}

// What the first sums show counts more than what is remembered, whatever that is.
func TestTheFirstSumsOverruleAMemory(t *testing.T) {
	g, _ := told(entries(4), control.LearnedFleet{AdmissionThreshold: 1}, 1, known(1, 1.0/16), known(2, 1), known(3, 1), known(4, 1))
	want(t, "at once", g.replicas[1].estimate.Speed, 1.0/16)
	for k := int64(1); k <= 16; k++ {
		var events []control.Event
		for id := uint32(1); id <= 4; id++ {
			events = append(events, control.Outcomes{Replica: id, Attempts: 10, ResponseTime: second / 10, Period: second / 4})
		}
		g.Turn(100*second+k*beat, append(events, control.TimerFired{}))
	}
	if speed := g.replicas[1].estimate.Speed; speed < 0.8 {
		t.Errorf("after 4 s of answers like the others' its speed is still %v", speed)
	}
	want(t, "confidence", g.replicas[1].estimate.Confidence < 0.01, true)
}

// Rule 1 whatever is remembered: each table that proxies are bound to keeps a line to who is not withdrawn.
func TestNoMemoryLeavesAnybodyBare(t *testing.T) {
	sick := func(ids ...uint32) (all []control.LearnedReplica) {
		for _, id := range ids {
			k := known(id, 1)
			k.EjectedFor, k.Ejections = 3*second, 1
			all = append(all, k)
		}
		return all
	}
	for _, c := range []struct {
		what string
		all  []control.LearnedReplica
	}{{"one of them", sick(3)}, {"a table's all", sick(1, 3, 5)}, {"all", sick(1, 2, 3, 4, 5, 6)}} {
		_, out := told(entries(6), control.LearnedFleet{AdmissionThreshold: 1, Tables: 1}, 1, c.all...)
		shut, lines, bound := map[uint32]bool{}, map[int][]uint32{}, map[int]int{}
		for _, o := range out {
			switch o := o.(type) {
			case control.SetEjected:
				shut[o.Replica] = o.Ejected
			case control.SetEndpoint:
				lines[o.Table] = append(lines[o.Table], o.Replica)
			case control.Bind:
				bound[o.Proxy] = o.Table
			}
		}
		want(t, c.what+": withdrawn", len(shut), 0)
		want(t, c.what+": bound", len(bound), 6)
		for proxy, table := range bound {
			left := 0
			for _, id := range lines[table] {
				if !shut[id] {
					left++
				}
			}
			if left == 0 {
				t.Errorf("%s: proxy %d has nobody", c.what, proxy)
			}
		}
	}
}

// Who was sick gets little at once, and all of it or none by its first tries.
func TestWhoIsRememberedAsSickIsOnTrialWithLittleWeight(t *testing.T) {
	for _, c := range []struct {
		k               control.LearnedReplica
		weight, penalty float64
		missed          int
		sick            bool
	}{
		{control.LearnedReplica{EjectedFor: second, Ejections: 1}, 1, outlier.RestoredWeightFraction, 0, false},
		{control.LearnedReplica{EjectedFor: second, Ejections: 1}, 1, outlier.RestoredWeightFraction, 5, true},
		{control.LearnedReplica{Probation: true, Ejections: 2}, 0.5, math.Sqrt(outlier.RestoredWeightFraction), 5, true},
		{control.LearnedReplica{Ejections: 2}, 1, 1, 0, false},
	} {
		c.k.Replica, c.k.Speed = 1, 1
		g, out := told(entries(4), control.LearnedFleet{AdmissionThreshold: 1}, c.weight, c.k)
		r := g.replicas[1]
		if math.Abs(1-r.detector.Penalty()-c.penalty) > 1e-9 {
			t.Errorf("%+v: penalty %v, want %v", c.k, r.detector.Penalty(), 1-c.penalty)
		}
		want(t, "relapses", r.detector.Ejections(), int(math.Round(float64(c.k.Ejections)*c.weight)))
		for _, l := range some[control.SetEndpoint](out) {
			if l.Replica == 1 && l.Weight > c.penalty+1e-9 {
				t.Errorf("%+v lays %v", c.k, l.Weight)
			}
		}
		events := []control.Event{control.TimerFired{}, control.Outcomes{Replica: 1, Attempts: 5, Failures: c.missed, ResponseTime: second / 10, Period: second}}
		for id := uint32(2); id <= 4; id++ {
			events = append(events, control.Outcomes{Replica: id, Attempts: 20, ResponseTime: second / 10, Period: second})
		}
		g.Turn(101*second, events)
		g.Turn(101*second+beat, []control.Event{control.TimerFired{}})
		want(t, "sick", r.detector.Ejected(), c.sick)
		want(t, "still on trial", r.detector.OnProbation() || r.detector.Penalty() > 0, false)
	}
}

// weightFraction is the fraction of its weight that a replica gets as it warms up, without its speed.
func weightFraction(r *replica) float64 { return r.status().weight / r.estimate.Speed / r.entry.Weight }

// Rule 4: who has just started is cold, whatever its namesake was; a start that is told later ends belief.
func TestNothingRememberedWarmsTheCold(t *testing.T) {
	cold := entries(4)
	cold[0].Start = 99 * second
	plain, _ := told(cold, control.LearnedFleet{AdmissionThreshold: 1}, 1)
	g, _ := told(cold, control.LearnedFleet{AdmissionThreshold: 1}, 1, known(1, 16))
	want(t, "weight fraction", weightFraction(g.replicas[1]), weightFraction(plain.replicas[1]))
	want(t, "is warming up", g.replicas[1].status().warmingUp, true)
	warm, _ := told(entries(4), control.LearnedFleet{AdmissionThreshold: 1}, 1, known(1, 16))
	warm.Turn(101*second, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 1, Zone: 1, Weight: 1, Start: 100 * second}}}})
	want(t, "confidence in another start", warm.replicas[1].estimate.Confidence, 0.0)
}

func TestTheFleetIsRemembered(t *testing.T) {
	fleet := control.LearnedFleet{Tables: 1, AdmissionThreshold: 0.5, MaxSuccessRate: 40, RetriesStopped: true, BaselineResponseTimes: [][]float64{{0.1, 0.2, 0.3, 0.4}},
		RequestRates: []control.ClassRate{{Proxy: 0, Class: 0, Rate: 30}, {Proxy: 0, Class: 1, Rate: 20}}, Bindings: []control.Binding{{Proxy: 0, Table: 0}}}
	for _, c := range []struct {
		weight, line float64
		once         bool
		calm         int
		rate         float64
	}{{1, 0.5, true, 4, 50}, {0.5, 0.75, true, 2, 30}, {0.1, 0.95, false, 0, 14}} {
		g, _ := told(entries(4), fleet, c.weight)
		g.Turn(100*second, []control.Event{control.TimerFired{}})
		l, p, r := g.queues[admissionComponent].component.(*admissionController), g.queues[placementComponent].component.(*planner), g.queues[bindingComponent].component.(*binder)
		want(t, "once", l.once, c.once)
		want(t, "calm", len(p.baselines.Snapshot(1)[0]), c.calm)
		want(t, "rate", math.Round(r.here[0].Rate), c.rate)
		if line := l.line / 2; math.Abs(line-c.line) > 0.02 {
			t.Errorf("line %v, want %v", line, c.line)
		}
	}
}

// What a governor has learned is what one that recalls it at once says when asked.
func TestLearnedIsRecalledWhole(t *testing.T) {
	all := []control.LearnedReplica{known(1, 0.5), known(2, 1.5), known(3, 1), known(4, 1)}
	all[1].Probation, all[1].Ejections = true, 2
	fleet := control.LearnedFleet{Tables: 1, AdmissionThreshold: 0.5, MaxSuccessRate: 40, BaselineResponseTimes: [][]float64{nil, {0.125}},
		Bindings: sixSeats()}
	g, _ := told(entries(4), fleet, 1, all...)
	out := some[control.Snapshot](g.Turn(100*second, []control.Event{control.SnapshotRequested{}}))
	if len(out) != 1 {
		t.Fatalf("answered %d times", len(out))
	}
	for k := range all {
		all[k].SinceLastSample = second
	}
	if !reflect.DeepEqual(out[0].Replicas, all) {
		t.Errorf("got  %+v\nwant %+v", out[0].Replicas, all)
	}
	if out[0].RequestRates = nil; !reflect.DeepEqual(out[0].LearnedFleet, fleet) {
		t.Errorf("got  %+v\nwant %+v", out[0].LearnedFleet, fleet)
	}
}

func TestTablesStayAsAnEarlierGovernorDealt(t *testing.T) {
	p := provision()
	p.Proxies, p.ChannelLimit = 120, 4000
	deal := func(tables int) map[uint32]int {
		g := New(p)
		events := []control.Event{control.FleetRestored{LearnedFleet: control.LearnedFleet{Tables: tables, AdmissionThreshold: 1}, Weight: 1}, control.ReplicasListed{Full: true, Entries: entries(40)}}
		for id := uint32(1); id <= 40; id++ {
			k := known(id, 1)
			k.Table = int(id%2) + 2*int(id/2%4)
			events = append(events, control.ReplicaRestored{LearnedReplica: k, Weight: 1})
		}
		g.Turn(0, events)
		return g.queues[placementComponent].component.(*planner).placer.Assigned()
	}
	for id, table := range deal(8) {
		want(t, "dealt", table, int(id%2)+2*int(id/2%4))
	}
	count := map[int]int{}
	for _, table := range deal(4) { // another number of tables: dealt anew
		count[table]++
	}
	want(t, "tables dealt anew", len(count), 8)
}

func sixSeats() (all []control.Binding) {
	for proxy := range 6 {
		all = append(all, control.Binding{Proxy: proxy})
	}
	return all
}
