package policy

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/admission"
	"lilacbend/policy/internal/zone"
)

// newRunningPolicy returns a Policy of two zones after load reports of all its replicas, one of which is ejected and one
// slow, and a change of the settings that changes nothing.
func newRunningPolicy(t *testing.T) (*Policy, control.SettingsChanged) {
	t.Helper()
	settings := testSettings()
	settings.HardwareClasses = 3
	settings.Proxies = 40
	settings.ChannelLimit = 1 << 16
	settings.ChannelRate = 1 << 16
	settings.Classes = []control.TrafficClass{
		{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
		{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
		{PriorityWeight: 2, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent}}
	p := New(settings)
	change := control.SettingsChanged{Settings: settings, ClassNumbers: []int{0, 1, 2}, HardwareClassNumbers: []int{0, 1, 2}}
	for id := range uint32(60) {
		change.Replicas = append(change.Replicas, control.ListedReplica{Replica: id + 1, Zone: int(id) % 2, HardwareClass: int(id) / 2 % 2, State: control.Ready, Weight: 1})
	}
	events := []control.Event{control.ReplicasListed{Full: true, Entries: change.Replicas}}
	for proxy := range 40 {
		change.Proxies = append(change.Proxies, control.StreamOpened{Proxy: proxy, Zone: proxy % 2, ForecastRate: 10})
		events = append(events, change.Proxies[proxy])
	}
	for k := range int64(40) {
		for _, r := range change.Replicas {
			outcomes := control.OutcomeReport{Replica: r.Replica, Attempts: 20, ResponseTime: second / 10, Period: maxTickInterval}
			switch r.Replica {
			case 1:
				outcomes.Failures = 20
				outcomes.ResponseTime = 0
			case 2:
				outcomes.ResponseTime *= 3
			}
			events = append(events, outcomes)
		}
		events = append(events, control.DemandReport{Proxy: int(k), Class: int(k) % 3, Requests: 5, Period: second}, control.TimerFired{})
		events = acksOf(p.Turn(100*second+k*maxTickInterval, events))
	}
	if !p.replicas[1].detector.Ejected() {
		t.Fatal("replica 1 is not ejected although all its attempts failed")
	}
	return p, change
}

// acksOf returns the acks of 40 proxies if the commands request acks.
func acksOf(commands []control.Command) []control.Event {
	requests := ofType[control.RequestAck](commands)
	if len(requests) == 0 {
		return nil
	}
	var acks []control.Event
	for proxy := range 40 {
		acks = append(acks, control.Ack{Proxy: proxy, Nonce: requests[0].Nonce})
	}
	return acks
}

// setAdmittedClasses sets the admission threshold to a number of classes, up to rounding, and returns it.
func setAdmittedClasses(p *Policy, classes float64) float64 {
	threshold := admission.NewThreshold(&p.Settings)
	threshold.Restore(0, classes/float64(len(p.Classes)), 0, 1)
	threshold.Evaluate(0, admission.Load{}, admission.Summary{})
	p.admission.threshold = threshold
	return threshold.AdmittedClasses()
}

// Changed values, and new numbers for the same traffic and hardware classes, leave learned state, tables and bindings
// unchanged.
func TestChangedSettingsKeepLearnedState(t *testing.T) {
	p, change := newRunningPolicy(t)
	admitted := setAdmittedClasses(p, 2.5)
	wantEqual(t, "admission threshold before the change", admitted, 2.5)
	p.admission.sent[2] = control.SetAdmission{Table: control.AllTables, Class: 2, Fraction: 0.5}
	before := p.learnedState()
	assigned, endpoints := p.placement.placer.Assigned(), p.update.sequence.Weights()
	change.DrainGrace = 9 * second
	change.ReportInterval = second
	change.Proxies = slices.Clone(change.Proxies)
	change.Settings.Proxies--
	change.Classes = []control.TrafficClass{change.Classes[2], change.Classes[0], change.Classes[1]}
	change.ClassNumbers = []int{1, 2, 0}
	change.HardwareClassNumbers = []int{1, 0, 2}
	for k := range change.Replicas {
		change.Replicas[k].HardwareClass = 1 - change.Replicas[k].HardwareClass
	}
	commands := p.Turn(p.now, []control.Event{change})
	after := p.learnedState()
	wantEqual(t, "number of binds", len(ofType[control.Bind](commands)), 0)
	wantEqual(t, "tables of replicas", reflect.DeepEqual(assigned, p.placement.placer.Assigned()), true)
	wantEqual(t, "endpoint weights", reflect.DeepEqual(endpoints, p.update.sequence.Weights()), true)
	wantEqual(t, "bindings", reflect.DeepEqual(before.Bindings, after.Bindings), true)
	wantEqual(t, "learned state of replicas", reflect.DeepEqual(before.Replicas, after.Replicas), true)
	wantEqual(t, "baselines of hardware classes", reflect.DeepEqual([][]float64{before.BaselineResponseTimes[1], before.BaselineResponseTimes[0]}, after.BaselineResponseTimes[:2]), true)
	wantEqual(t, "baseline of the fleet", reflect.DeepEqual(before.BaselineResponseTimes[3], after.BaselineResponseTimes[3]), true)
	wantEqual(t, "admission threshold after the change", p.admission.threshold.AdmittedClasses(), 2.5)
	wantEqual(t, "last command of the class that is shed in part", p.admission.sent[0], control.SetAdmission{Table: control.AllTables, Class: 0, Fraction: 0.5})
	for k, rate := range before.RequestRates {
		before.RequestRates[k].Class = change.ClassNumbers[rate.Class]
	}
	slices.SortFunc(before.RequestRates, func(a, b control.ClassRate) int { return a.Proxy*3 + a.Class - b.Proxy*3 - b.Class })
	wantEqual(t, "request rates", reflect.DeepEqual(before.RequestRates, after.RequestRates), true)
	wantEqual(t, "hardware class of a replica", p.replicas[1].entry.HardwareClass, 1)
	wantEqual(t, "number of proxies", len(p.binding.bindings.Proxies()), 40)
}

// A change of the traffic classes sets the threshold at the first class, by descending priority, that was shed in part or
// completely before the change. A class that was admitted completely therefore still is, unless a class of higher priority
// was shed in part or completely.
func TestReconfigureMovesTheThresholdWithItsClasses(t *testing.T) {
	for _, c := range []struct {
		name           string
		admitted, want float64 // thresholds; the classes by descending priority are 1, 2 and 0, of priority 3, 2 and 1
		numbers        []int
		priorities     []float64
	}{
		{"all admitted, class added", 3, 4, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"last class shed, class of highest priority added", 2, 3, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"last class shed, class of lowest priority added", 2, 2, []int{0, 1, 2}, []float64{1, 3, 2, 0.5}},
		{"half of the second class shed, first class removed", 1.5, 0.5, []int{0, -1, 1}, []float64{1, 2}},
		{"half of the second class shed, second class removed", 1.5, 1, []int{0, 1, -1}, []float64{1, 3}},
		{"half of the last class shed, last class removed", 2.5, 2, []int{-1, 0, 1}, []float64{3, 2}},
		{"last class shed, now of highest priority", 2, 0, []int{0, 1, 2}, []float64{9, 3, 2}},
		{"all classes replaced", 1.5, 2, []int{-1, -1, -1}, []float64{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, change := newRunningPolicy(t)
			setAdmittedClasses(p, c.admitted)
			change.ClassNumbers = c.numbers
			change.Classes = nil
			for _, priority := range c.priorities {
				change.Classes = append(change.Classes, control.TrafficClass{PriorityWeight: priority, LatencyObjective: second, Timeout: 3 * second})
			}
			p.reconfigure(change)
			// setAdmittedClasses rounds; package admission tests the exact value.
			if got := p.admission.threshold.AdmittedClasses(); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("admission threshold %v, want %v", got, c.want)
			}
			p.Turn(p.now+maxTickInterval, []control.Event{control.TimerFired{}, control.DemandReport{Proxy: 1, Class: len(c.priorities) - 1, Requests: 1, Period: second}})
		})
	}
}

// If a controller started with the new settings would create another number of tables, or if zones change, all replicas and
// proxies are reassigned to tables of their zones. No proxy is bound twice, and a bind that was not sent yet is not sent for
// a table that no longer exists.
func TestReconfigureReassignsTablesIfTheirCountOrZonesChange(t *testing.T) {
	for name, edit := range map[string]func(*control.SettingsChanged){
		"more proxies":     func(change *control.SettingsChanged) { change.Settings.Proxies = 400 },
		"fewer proxies":    func(change *control.SettingsChanged) { change.Settings.Proxies = 10 },
		"more controllers": func(change *control.SettingsChanged) { change.Controllers = 4 },
		"a zone is added before the others": func(change *control.SettingsChanged) {
			change.Zones = 3
			for k := range change.Replicas {
				change.Replicas[k].Zone++
			}
			for k := range change.Proxies {
				change.Proxies[k].Zone++
			}
		},
		"zones swap their numbers": func(change *control.SettingsChanged) {
			for k := range change.Replicas {
				change.Replicas[k].Zone = 1 - change.Replicas[k].Zone
			}
			for k := range change.Proxies {
				change.Proxies[k].Zone = 1 - change.Proxies[k].Zone
			}
		},
		"a zone is removed": func(change *control.SettingsChanged) { change.Zones = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			p, change := newRunningPolicy(t)
			p.update.sequence.Rebind(control.Bind{Proxy: 3, Table: 1})
			p.pacing.sender.Bind(control.Bind{Proxy: 5, Table: 1})
			edit(&change)
			newlyStarted := New(change.Settings)
			newlyStarted.Turn(p.now, []control.Event{control.ReplicasListed{Full: true, Entries: change.Replicas}})
			events := []control.Event{change}
			for k := range int64(40) {
				events = acksOf(p.Turn(p.now+k*maxTickInterval/10, append(events, control.TimerFired{})))
			}
			tables := p.placement.placer.Tables()
			wantEqual(t, "number of tables", tables, newlyStarted.placement.placer.Tables())
			stride := zone.Stride(p.Zones, tables)
			for id, table := range p.placement.placer.Assigned() {
				wantEqual(t, fmt.Sprintf("zone of replica %d", id), table%stride, p.replicas[id].entry.Zone%stride)
			}
			serving := p.binding.bindings.ServingTables()
			for number, proxy := range p.binding.bindings.Proxies() {
				wantEqual(t, fmt.Sprintf("zone of proxy %d", number), proxy.Table%stride, proxy.Zone%stride)
				wantEqual(t, fmt.Sprintf("table of proxy %d", number), p.pacing.sender.Bindings()[number], serving[proxy.Table])
			}
			wantEqual(t, "rebinds not sent yet", p.update.sequence.PendingRebinds(), 0)
		})
	}
}
