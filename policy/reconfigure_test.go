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

// running returns a Policy of two zones that has got reports of all its replicas for a while, one of which is ejected and one
// slow, and a change of the settings that changes nothing.
func running(t *testing.T) (*Policy, control.SettingsChanged) {
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
	change := control.SettingsChanged{Settings: settings, NewClasses: []int{0, 1, 2}, NewHardwareClasses: []int{0, 1, 2}}
	for id := range uint32(60) {
		change.Replicas = append(change.Replicas, control.ListedReplica{Replica: id + 1, Zone: int(id) % 2, HardwareClass: int(id) / 2 % 2, State: control.Ready, Weight: 1})
	}
	events := []control.Event{control.ReplicasListed{Full: true, Entries: change.Replicas}}
	for proxy := range 40 {
		change.Proxies = append(change.Proxies, control.StreamOpened{Proxy: proxy, Zone: proxy % 2, Rate: 10})
		events = append(events, change.Proxies[proxy])
	}
	for k := range int64(40) {
		for _, r := range change.Replicas {
			outcomes := control.Outcomes{Replica: r.Replica, Attempts: 20, ResponseTime: second / 10, Period: maxTickInterval}
			switch r.Replica {
			case 1:
				outcomes.Failures = 20
				outcomes.ResponseTime = 0
			case 2:
				outcomes.ResponseTime *= 3
			}
			events = append(events, outcomes)
		}
		events = append(events, control.Demand{Proxy: int(k), Class: int(k) % 3, Requests: 5, Period: second}, control.TimerFired{})
		events = acksOf(p.Turn(100*second+k*maxTickInterval, events))
	}
	if !p.replicas[1].detector.Ejected() {
		t.Fatal("no replica is ejected")
	}
	return p, change
}

// acksOf returns the acknowledgements of 40 proxies, if the commands ask for any.
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

// admit sets the admission threshold to a number of classes, but for rounding, and returns it.
func admit(p *Policy, classes float64) float64 {
	threshold := admission.NewThreshold(&p.Settings)
	threshold.Restore(0, classes/float64(len(p.Classes)), 0, 1)
	threshold.Evaluate(0, admission.Load{}, admission.Summary{})
	p.admission.threshold = threshold
	return threshold.AdmittedClasses()
}

// Other values, and other numbers of the same traffic and hardware classes, leave all that was learned and bound as it was.
func TestChangedSettingsKeepWhatWasLearned(t *testing.T) {
	p, change := running(t)
	admitted := admit(p, 2.5)
	wantEqual(t, "threshold before", admitted, 2.5)
	p.admission.sent[2] = control.SetAdmission{Table: control.AllTables, Class: 2, Fraction: 0.5}
	before := p.learned()
	assigned, endpoints := p.placement.placer.Assigned(), p.update.sequence.Weights()
	change.DrainGrace = 9 * second
	change.ReportInterval = second
	change.Proxies = slices.Clone(change.Proxies)
	change.Settings.Proxies--
	change.Classes = []control.TrafficClass{change.Classes[2], change.Classes[0], change.Classes[1]}
	change.NewClasses = []int{1, 2, 0}
	change.NewHardwareClasses = []int{1, 0, 2}
	for k := range change.Replicas {
		change.Replicas[k].HardwareClass = 1 - change.Replicas[k].HardwareClass
	}
	commands := p.Turn(p.now, []control.Event{change})
	after := p.learned()
	wantEqual(t, "binds", len(ofType[control.Bind](commands)), 0)
	wantEqual(t, "tables of replicas", reflect.DeepEqual(assigned, p.placement.placer.Assigned()), true)
	wantEqual(t, "endpoints", reflect.DeepEqual(endpoints, p.update.sequence.Weights()), true)
	wantEqual(t, "bindings", reflect.DeepEqual(before.Bindings, after.Bindings), true)
	wantEqual(t, "replicas", reflect.DeepEqual(before.Replicas, after.Replicas), true)
	wantEqual(t, "baselines of hardware classes", reflect.DeepEqual([][]float64{before.BaselineResponseTimes[1], before.BaselineResponseTimes[0]}, after.BaselineResponseTimes[:2]), true)
	wantEqual(t, "baseline of the fleet", reflect.DeepEqual(before.BaselineResponseTimes[3], after.BaselineResponseTimes[3]), true)
	wantEqual(t, "threshold", p.admission.threshold.AdmittedClasses(), 2.5)
	wantEqual(t, "command of the class that is shed", p.admission.sent[0], control.SetAdmission{Table: control.AllTables, Class: 0, Fraction: 0.5})
	for k, rate := range before.RequestRates {
		before.RequestRates[k].Class = change.NewClasses[rate.Class]
	}
	slices.SortFunc(before.RequestRates, func(a, b control.ClassRate) int { return a.Proxy*3 + a.Class - b.Proxy*3 - b.Class })
	wantEqual(t, "request rates", reflect.DeepEqual(before.RequestRates, after.RequestRates), true)
	wantEqual(t, "hardware class of a replica", p.replicas[1].entry.HardwareClass, 1)
	wantEqual(t, "proxies", len(p.binding.bindings.Proxies()), 40)
}

// The threshold stays with the classes that are admitted, whichever are added and removed.
func TestReconfigureKeepsTheThresholdWithItsClasses(t *testing.T) {
	for _, c := range []struct {
		name           string
		admitted, want float64 // of classes of priority 3, 2 and 1, which are 1, 2 and 0
		numbers        []int
		priorities     []float64
	}{
		{"all admitted, one more", 3, 4, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"the last shed, one more of highest priority", 2, 3, []int{0, 1, 2}, []float64{1, 3, 2, 5}},
		{"the last shed, one more of lowest priority", 2, 2, []int{0, 1, 2}, []float64{1, 3, 2, 0.5}},
		{"half of the second, the first removed", 1.5, 0.5, []int{0, -1, 1}, []float64{1, 2}},
		{"half of the second, which is removed", 1.5, 1, []int{0, 1, -1}, []float64{1, 3}},
		{"half of the last, which is removed", 2.5, 2, []int{-1, 0, 1}, []float64{3, 2}},
		{"the last shed, now of highest priority", 2, 0, []int{0, 1, 2}, []float64{9, 3, 2}},
		{"other classes altogether", 1.5, 2, []int{-1, -1, -1}, []float64{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, change := running(t)
			admit(p, c.admitted)
			change.NewClasses = c.numbers
			change.Classes = nil
			for _, priority := range c.priorities {
				change.Classes = append(change.Classes, control.TrafficClass{PriorityWeight: priority, LatencyObjective: second, Timeout: 3 * second})
			}
			p.reconfigure(change)
			if got := p.admission.threshold.AdmittedClasses(); math.Abs(got-c.want) > 1e-9 { // admit rounds; package admission tests the exact value
				t.Errorf("threshold %v, want %v", got, c.want)
			}
			p.Turn(p.now+maxTickInterval, []control.Event{control.TimerFired{}, control.Demand{Proxy: 1, Class: len(c.priorities) - 1, Requests: 1, Period: second}})
		})
	}
}

// Where a start under the new settings would have other tables they are assigned anew, and each replica and proxy has one of
// its zone. No proxy is bound twice, and a bind that waited is not sent for a table that no longer exists.
func TestTablesAreAssignedAsByAStart(t *testing.T) {
	for name, edit := range map[string]func(*control.SettingsChanged){
		"more proxies":     func(change *control.SettingsChanged) { change.Settings.Proxies = 400 },
		"fewer proxies":    func(change *control.SettingsChanged) { change.Settings.Proxies = 10 },
		"more controllers": func(change *control.SettingsChanged) { change.Controllers = 4 },
		"a zone in front": func(change *control.SettingsChanged) {
			change.Zones = 3
			for k := range change.Replicas {
				change.Replicas[k].Zone++
			}
			for k := range change.Proxies {
				change.Proxies[k].Zone++
			}
		},
		"zones change places": func(change *control.SettingsChanged) {
			for k := range change.Replicas {
				change.Replicas[k].Zone = 1 - change.Replicas[k].Zone
			}
			for k := range change.Proxies {
				change.Proxies[k].Zone = 1 - change.Proxies[k].Zone
			}
		},
		"a zone less": func(change *control.SettingsChanged) { change.Zones = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			p, change := running(t)
			p.update.sequence.Rebind(control.Bind{Proxy: 3, Table: 1})
			p.pacing.sender.Bind(control.Bind{Proxy: 5, Table: 1})
			edit(&change)
			fresh := New(change.Settings)
			fresh.Turn(p.now, []control.Event{control.ReplicasListed{Full: true, Entries: change.Replicas}})
			events := []control.Event{change}
			for k := range int64(40) {
				events = acksOf(p.Turn(p.now+k*maxTickInterval/10, append(events, control.TimerFired{})))
			}
			tables := p.placement.placer.Tables()
			wantEqual(t, "tables", tables, fresh.placement.placer.Tables())
			rows := zone.Rows(p.Zones, tables)
			for id, table := range p.placement.placer.Assigned() {
				wantEqual(t, fmt.Sprintf("zone of replica %d", id), table%rows, p.replicas[id].entry.Zone%rows)
			}
			serving := p.binding.bindings.Serving()
			for number, proxy := range p.binding.bindings.Proxies() {
				wantEqual(t, fmt.Sprintf("zone of proxy %d", number), proxy.Table%rows, proxy.Zone%rows)
				wantEqual(t, fmt.Sprintf("table of proxy %d", number), p.pacing.sender.Bindings()[number], serving[proxy.Table])
			}
			wantEqual(t, "rebinds left", p.update.sequence.Rebinds(), 0)
		})
	}
}
