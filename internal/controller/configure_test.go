package controller

import (
	"slices"
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/revision"
	"lilacbend/settings"
)

// namesOf returns names from comma-separated lists.
func namesOf(classes, zones, hardwareClasses string) settings.Names {
	split := func(text string) []string {
		if text == "" {
			return nil
		}
		return strings.Split(text, ",")
	}
	return settings.Names{Classes: split(classes), Zones: split(zones), HardwareClasses: split(hardwareClasses)}
}

// changedNames returns a Configure input that gives the core of a test other names.
func changedNames(number uint64, names settings.Names, module Module) Configure {
	changed := control.Settings{Proxies: 9, Zones: len(names.Zones), HardwareClasses: len(names.HardwareClasses) + 1, DefaultRetries: control.RetryIfNotExecuted}
	for range names.Classes {
		changed.Classes = append(changed.Classes, control.TrafficClass{Timeout: 2e9})
	}
	return Configure{Version: revision.Version{Epoch: 1, Revision: number}, Names: names, Settings: changed, NewModule: func() Module { return module }}
}

// Settings that list the same names in another order keep admissions, tables and reports assigned to the same names.
func TestReorderedNamesKeepTheirMeaning(t *testing.T) {
	c, module := newTestCore()
	turn := func(inputs []Input, commands ...control.Command) TurnResult {
		t.Helper()
		module.turns = [][]control.Command{append([]control.Command{}, commands...)}
		if len(commands) == 0 {
			module.turns = nil
		}
		result := c.Turn(c.lastEviction, inputs)
		if result.PanicMessage != "" {
			t.Fatal(result.PanicMessage)
		}
		return result
	}
	turn([]Input{replicaList(true, "xr", "yr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b", WithoutTable: true}, StreamOpened{Stream: 2, Proxy: 5, Zone: "a", WithoutTable: true}},
		setEndpoint(0, 1, 1), setEndpoint(0, 2, 1), control.Bind{Proxy: 4}, control.Bind{Proxy: 5},
		control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 0.5}, control.SetAdmission{Table: 0, Class: 0, Fraction: 0.7})
	result := turn([]Input{
		Demand{Stream: 1, Class: "order", DemandReport: control.DemandReport{Proxy: 4, Requests: 1}}, // sent before the change, so with the old class number
		changedNames(2, namesOf("order,new,read", "b,a", "m0,m2"), module),
		Demand{Stream: 1, Class: "order", DemandReport: control.DemandReport{Proxy: 4, Requests: 2}},
		OutcomeReport{Zone: "a", Replica: "x", OutcomeReport: control.OutcomeReport{Attempts: 1}},
	})
	if len(result.Updates) != 0 || len(result.CloseStreams) != 0 || len(result.ConfigurationResults) != 1 || result.ConfigurationResults[0].Err != nil || c.ConfigurationVersion().Revision != 2 {
		t.Errorf("updates %s, want none; results %+v", formatUpdates(result), result.ConfigurationResults)
	}
	var event control.SettingsChanged
	for k, e := range module.events {
		switch e := e.(type) {
		case control.DemandReport:
			if want := map[int]int{1: 1, 2: 0}[e.Requests]; e.Class != want {
				t.Errorf("event %d: demand of class %d, want %d", k, e.Class, want)
			}
		case control.OutcomeReport:
			if e.Zone != 0 { // zones keep their numbers if the number of zones has not changed
				t.Errorf("event %d: outcomes of zone %d, want 0", k, e.Zone)
			}
		case control.SettingsChanged:
			event = e
		}
	}
	if !slices.Equal(event.ClassNumbers, []int{2, 0}) || !slices.Equal(event.HardwareClassNumbers, []int{-1, 1, 2}) || len(event.Replicas) != 2 || event.Replicas[0].HardwareClass != 1 ||
		event.Replicas[0].Zone != 1 || len(event.Proxies) != 2 || event.Proxies[0].Zone != 1 {
		t.Errorf("events %+v", event)
	}
	if got := formatUpdates(turn(nil, control.SetAdmission{Table: 0, Class: 2, Fraction: 0.6})); got != "1: read~0.6/0; 2: read~0.6/0" {
		t.Errorf("updates after the admission of class read was lowered: %q", got)
	}
	if got := formatUpdates(turn(nil, control.SetAdmission{Table: control.AllTables, Class: 0, Fraction: 0.5}, control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 1})); got != "1: new~1/0; 2: new~1/0" {
		t.Errorf("updates %q, want none for class order, whose admission is 0.5 already", got)
	}
}

// The admission of a removed traffic class is cancelled once at every proxy that holds one.
func TestAdmissionOfARemovedClassIsCancelled(t *testing.T) {
	c, module := newTestCore([]control.Command{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.Bind{Proxy: 5}, control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 0.5}})
	c.Turn(0, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b", WithoutTable: true}, StreamOpened{Stream: 2, Proxy: 5, Zone: "a", WithoutTable: true}})
	if got := formatUpdates(c.Turn(1, []Input{changedNames(2, namesOf("read", "a,b", "m1,m2"), module)})); got != "1: order~1/1; 2: order~1/1" {
		t.Errorf("updates after class order was removed: %q", got)
	}
	if got := formatUpdates(c.Turn(2, []Input{Demand{Stream: 1, Class: "order", DemandReport: control.DemandReport{Proxy: 4}}})); got != "" || c.Counters.InvalidInputs != 1 {
		t.Errorf("updates %q and %d invalid inputs after demand of a removed class, want none and 1", got, c.Counters.InvalidInputs)
	}
	if got := formatUpdates(c.Turn(3, []Input{changedNames(3, namesOf("order,read", "a,b", "m1,m2"), module)})); got != "" {
		t.Errorf("updates after class order was added again: %q, want none", got)
	}
}

// Proxies of a removed zone stay connected and reports about them are accepted, but no further proxy of the zone can
// connect. If the zone returns, its proxies belong to it again.
func TestProxiesOfARemovedZoneStayConnected(t *testing.T) {
	c, module := newTestCore()
	c.Turn(0, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	result := c.Turn(1, []Input{changedNames(2, namesOf("read,order", "a", "m1,m2"), module), OutcomeReport{Zone: "b", Replica: "x", OutcomeReport: control.OutcomeReport{Attempts: 1}},
		StreamOpened{Stream: 2, Proxy: 5, Zone: "b"}, OutcomeReport{Zone: "c", Replica: "x"}})
	if len(result.CloseStreams) != 1 || result.CloseStreams[0] != 2 || c.Counters.InvalidInputs != 2 || c.Counters.ConnectedProxies != 1 {
		t.Errorf("closed streams %v, %d invalid inputs, %d connected proxies", result.CloseStreams, c.Counters.InvalidInputs, c.Counters.ConnectedProxies)
	}
	if report, isOutcomes := module.events[1].(control.OutcomeReport); !isOutcomes || report.Zone != 1 {
		t.Errorf("events %+v", module.events)
	}
	if err := c.CurrentTopology().CheckCollector("b"); err == nil {
		t.Error("a collector of a removed zone is accepted")
	}
	c.Turn(2, []Input{changedNames(3, namesOf("read,order", "a,c,b", "m1,m2"), module)})
	if event := module.events[0].(control.SettingsChanged); event.Proxies[0].Zone != 2 || event.Replicas[0].Zone != 2 {
		t.Errorf("events %+v", event)
	}
}

// If a setting changes that cannot change while the controller runs, all new settings are refused with an error that names
// the key of the setting.
func TestSettingsThatNeedARestartAreRefused(t *testing.T) {
	c, module := newTestCore()
	c.Turn(0, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	next := changedNames(2, namesOf("read", "a", "m1"), module)
	next.Settings.Admission = control.AdmitRate
	result := c.Turn(1, []Input{next})
	if len(result.ConfigurationResults) != 1 || result.ConfigurationResults[0].Err == nil || !strings.Contains(result.ConfigurationResults[0].Err.Error(), "domain.admit") ||
		len(module.events) != 0 || len(c.names.Zones) != 2 || !c.ConfigurationVersion().IsZero() || c.Counters.ConfigurationsRefused != 1 {
		t.Errorf("results %+v, events %+v", result.ConfigurationResults, module.events)
	}
}

// panickingModule panics in every turn.
type panickingModule struct{}

func (panickingModule) Turn(int64, []control.Event) []control.Command { panic("panicking module") }

// Settings with which a new module panics are refused: the former settings stay in force and every stream stays open. If the
// running module panics on the change but a new module runs with the settings, they are in force.
func TestSettingsWithWhichTheModulePanicsAreReverted(t *testing.T) {
	c, module := newTestCore()
	c.Turn(0, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	module.turns = [][]control.Command{panickingTurn}
	result := c.Turn(1, []Input{changedNames(2, namesOf("read", "a", "m1"), panickingModule{})})
	if len(result.ConfigurationResults) != 1 || result.ConfigurationResults[0].Err == nil || !strings.Contains(result.ConfigurationResults[0].Err.Error(), "the module panics with these settings") {
		t.Fatalf("results %+v", result.ConfigurationResults)
	}
	if !c.ConfigurationVersion().IsZero() || len(c.names.Zones) != 2 || c.streams.byProxy[4].opened.Zone != 1 || c.replicas.byNumber[1].Zone != 1 || len(result.CloseStreams) != 0 {
		t.Errorf("configuration was not reverted: version %s, names %v, %d streams closed", c.ConfigurationVersion(), c.names, len(result.CloseStreams))
	}
	if _, again := module.events[len(module.events)-1].(control.StreamOpened); !again {
		t.Errorf("events %+v", module.events)
	}
	module.turns = [][]control.Command{panickingTurn}
	result = c.Turn(2, []Input{changedNames(3, namesOf("read", "a", "m1"), module)})
	if len(result.ConfigurationResults) != 1 || result.ConfigurationResults[0].Err != nil || c.ConfigurationVersion().Revision != 3 || c.streams.byProxy[4].opened.Zone != 1 || c.Counters.ConfigurationsApplied != 1 {
		t.Errorf("results %+v, version %s in force", result.ConfigurationResults, c.ConfigurationVersion())
	}
}

// Settings that arrive with the first turn, or while the module is paused after a failure, are used by the next module.
func TestNextModuleUsesSettingsThatArriveBeforeItRuns(t *testing.T) {
	c, _ := newTestCore()
	next, firstModule := changedNames(2, namesOf("read", "a", "m1"), nil), &scriptedModule{}
	next.NewModule = func() Module { return firstModule }
	c.Turn(0, []Input{next, replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a"}})
	if len(firstModule.events) != 2 || c.ConfigurationVersion().Revision != 2 {
		t.Errorf("events %+v", firstModule.events)
	}
	c, firstModule = newTestCore(panickingTurn, panickingTurn)
	c.Turn(0, []Input{replicaList(true, "xr")})
	nextModule := &scriptedModule{}
	next.NewModule = func() Module { return nextModule }
	if result := c.Turn(1, []Input{next}); len(result.ConfigurationResults) != 1 || result.ConfigurationResults[0].Err != nil || nextModule.events != nil {
		t.Errorf("results %+v, events %+v while the module is paused", result.ConfigurationResults, nextModule.events)
	}
	if c.Turn(restartDelay+1, nil); len(nextModule.events) != 1 {
		t.Errorf("events %+v", nextModule.events)
	}
}

func TestKeepNumbersKeepsThoseOfExistingNames(t *testing.T) {
	for _, c := range [][3]string{
		{"a,b", "b,a", "a,b"}, {"a,b", "a,b,c", "a,b,c"}, {"a,b", "c,b", "c,b"}, {"a,b", "b,c", "c,b"}, {"a,b,c", "c,a", "c,a"}, {"a", "b", "b"}, {"", "", ""},
	} {
		if got := keepNumbers(namesOf("", c[0], "").Zones, namesOf("", c[1], "").Zones); strings.Join(got, ",") != c[2] {
			t.Errorf("from %s to %s: got %v, want %s", c[0], c[1], got, c[2])
		}
	}
}
