package controller

import (
	"slices"
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/revision"
	"lilacbend/settings"
)

func namesOf(groups, zones, kinds string) settings.Names {
	split := func(text string) []string {
		if text == "" {
			return nil
		}
		return strings.Split(text, ",")
	}
	return settings.Names{Classes: split(groups), Zones: split(zones), HardwareClasses: split(kinds)}
}

// changed are settings of the scripted core with other names.
func changed(number uint64, names settings.Names, module Module) Configure {
	p := control.Settings{Proxies: 9, Zones: len(names.Zones), HardwareClasses: len(names.HardwareClasses) + 1, DefaultRetries: control.RetryIfNotExecuted}
	for range names.Classes {
		p.Classes = append(p.Classes, control.TrafficClass{Timeout: 2e9})
	}
	return Configure{Version: revision.Version{Epoch: 1, Revision: number}, Names: names, Settings: p, Start: func() Module { return module }}
}

// Names keep their meaning whatever becomes of their order: levels, tables, reports and usage go by names.
func TestNamesThatMoveKeepTheirMeaning(t *testing.T) {
	c, s := core()
	turn := func(notes []Input, orders ...control.Command) TurnResult {
		t.Helper()
		s.turns = [][]control.Command{append([]control.Command{}, orders...)}
		if len(orders) == 0 {
			s.turns = nil
		}
		o := c.Turn(c.lastEviction, notes)
		if o.Panic != "" {
			t.Fatal(o.Panic)
		}
		return o
	}
	turn([]Input{list(true, "xr", "yr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b", WithoutTable: true}, StreamOpened{Stream: 2, Proxy: 5, Zone: "a", WithoutTable: true}},
		line(0, 1, 1), line(0, 2, 1), control.Bind{Proxy: 4}, control.Bind{Proxy: 5},
		control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 0.5}, control.SetAdmission{Table: 0, Class: 0, Fraction: 0.7})
	o := turn([]Input{
		Demand{Stream: 1, Class: "order", Demand: control.Demand{Proxy: 4, Requests: 1}}, // by the old numbers yet
		changed(2, namesOf("order,new,read", "b,a", "m0,m2"), s),
		Demand{Stream: 1, Class: "order", Demand: control.Demand{Proxy: 4, Requests: 2}},
		Outcomes{Zone: "a", Replica: "x", Outcomes: control.Outcomes{Attempts: 1}},
	})
	if len(o.Updates) != 0 || len(o.CloseStreams) != 0 || len(o.Configured) != 1 || o.Configured[0].Err != nil || c.ConfigurationVersion().Revision != 2 {
		t.Errorf("%s, %+v", text(o), o.Configured)
	}
	var told control.SettingsChanged
	for k, e := range s.told {
		switch e := e.(type) {
		case control.Demand:
			if want := map[int]int{1: 1, 2: 0}[e.Requests]; e.Class != want {
				t.Errorf("event %d: usage of group %d, want %d", k, e.Class, want)
			}
		case control.Outcomes:
			if e.Zone != 0 { // zones that are as many as before stay at their numbers
				t.Errorf("event %d: zone %d", k, e.Zone)
			}
		case control.SettingsChanged:
			told = e
		}
	}
	if !slices.Equal(told.NewClasses, []int{2, 0}) || !slices.Equal(told.NewHardwareClasses, []int{-1, 1, 2}) || len(told.Replicas) != 2 || told.Replicas[0].HardwareClass != 1 ||
		told.Replicas[0].Zone != 1 || len(told.Proxies) != 2 || told.Proxies[0].Zone != 1 {
		t.Errorf("told %+v", told)
	}
	if got := text(turn(nil, control.SetAdmission{Table: 0, Class: 2, Fraction: 0.6})); got != "1: read~0.6/0; 2: read~0.6/0" {
		t.Error(got)
	}
	if got := text(turn(nil, control.SetAdmission{Table: control.AllTables, Class: 0, Fraction: 0.5}, control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 1})); got != "1: new~1/0; 2: new~1/0" {
		t.Error(got) // order is at 0.5 as it was
	}
}

// A traffic group that leaves is let in again at every proxy that was told otherwise, once.
func TestAGroupThatLeavesIsLetIn(t *testing.T) {
	c, s := core([]control.Command{line(0, 1, 1), control.Bind{Proxy: 4}, control.Bind{Proxy: 5}, control.SetAdmission{Table: control.AllTables, Class: 1, Fraction: 0.5}})
	c.Turn(0, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b", WithoutTable: true}, StreamOpened{Stream: 2, Proxy: 5, Zone: "a", WithoutTable: true}})
	if got := text(c.Turn(1, []Input{changed(2, namesOf("read", "a,b", "m1,m2"), s)})); got != "1: order~1/1; 2: order~1/1" {
		t.Error(got)
	}
	if got := text(c.Turn(2, []Input{Demand{Stream: 1, Class: "order", Demand: control.Demand{Proxy: 4}}})); got != "" || c.Counters.Invalid != 1 {
		t.Errorf("%q, %d strange", got, c.Counters.Invalid)
	}
	if got := text(c.Turn(3, []Input{changed(3, namesOf("order,read", "a,b", "m1,m2"), s)})); got != "" {
		t.Error(got)
	}
}

// Proxies of a zone that has left stay, are reported of, and are not let in anew; a zone that comes back is theirs again.
func TestAZoneThatLeaves(t *testing.T) {
	c, s := core()
	c.Turn(0, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	o := c.Turn(1, []Input{changed(2, namesOf("read,order", "a", "m1,m2"), s), Outcomes{Zone: "b", Replica: "x", Outcomes: control.Outcomes{Attempts: 1}},
		StreamOpened{Stream: 2, Proxy: 5, Zone: "b"}, Outcomes{Zone: "c", Replica: "x"}})
	if len(o.CloseStreams) != 1 || o.CloseStreams[0] != 2 || c.Counters.Invalid != 2 || c.Counters.ConnectedProxies != 1 {
		t.Errorf("%v ended, %d strange, %d joined", o.CloseStreams, c.Counters.Invalid, c.Counters.ConnectedProxies)
	}
	if met, is := s.told[1].(control.Outcomes); !is || met.Zone != 1 {
		t.Errorf("told %+v", s.told)
	}
	if err := c.CurrentTopology().CheckCollector("b"); err == nil {
		t.Error("a collector of the zone may come")
	}
	c.Turn(2, []Input{changed(3, namesOf("read,order", "a,c,b", "m1,m2"), s)})
	if told := s.told[0].(control.SettingsChanged); told.Proxies[0].Zone != 2 || told.Replicas[0].Zone != 2 {
		t.Errorf("told %+v", told)
	}
}

// What cannot change while the governor runs is refused with its key, and nothing of it is taken.
func TestWhatNeedsARestartIsRefused(t *testing.T) {
	c, s := core()
	c.Turn(0, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	next := changed(2, namesOf("read", "a", "m1"), s)
	next.Settings.Admission = control.AdmitRate
	o := c.Turn(1, []Input{next})
	if len(o.Configured) != 1 || o.Configured[0].Err == nil || !strings.Contains(o.Configured[0].Err.Error(), "domain.admit") ||
		len(s.told) != 0 || len(c.names.Zones) != 2 || !c.ConfigurationVersion().IsZero() || c.Counters.ConfigurationsRefused != 1 {
		t.Errorf("%+v %+v", o.Configured, s.told)
	}
}

// pit is a module that fails whatever it is told.
type pit struct{}

func (pit) Turn(int64, []control.Event) []control.Command { panic("no way") }

// Settings by which no module runs are refused, and the ones before go on with every stream; those by which a fresh module
// runs, though the running one failed to take them over, are in force.
func TestSettingsByWhichTheModuleFails(t *testing.T) {
	c, s := core()
	c.Turn(0, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	s.turns = [][]control.Command{panics}
	o := c.Turn(1, []Input{changed(2, namesOf("read", "a", "m1"), pit{})})
	if len(o.Configured) != 1 || o.Configured[0].Err == nil || !strings.Contains(o.Configured[0].Err.Error(), "the module fails by it") {
		t.Fatalf("%+v", o.Configured)
	}
	if !c.ConfigurationVersion().IsZero() || len(c.names.Zones) != 2 || c.streams.byProxy[4].opened.Zone != 1 || c.replicas.byNumber[1].Zone != 1 || len(o.CloseStreams) != 0 {
		t.Errorf("not as before: %s %v", c.ConfigurationVersion(), c.names)
	}
	if _, again := s.told[len(s.told)-1].(control.StreamOpened); !again {
		t.Errorf("told %+v", s.told)
	}
	s.turns = [][]control.Command{panics}
	o = c.Turn(2, []Input{changed(3, namesOf("read", "a", "m1"), s)})
	if len(o.Configured) != 1 || o.Configured[0].Err != nil || c.ConfigurationVersion().Revision != 3 || c.streams.byProxy[4].opened.Zone != 1 || c.Counters.ConfigurationsApplied != 1 {
		t.Errorf("%+v %s", o.Configured, c.ConfigurationVersion())
	}
}

// Settings that come before the first turn, or while a module that fails rests, are those of the next module.
func TestSettingsBeforeAModuleRuns(t *testing.T) {
	c, _ := core()
	next, s := changed(2, namesOf("read", "a", "m1"), nil), &script{}
	next.Start = func() Module { return s }
	c.Turn(0, []Input{next, list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a"}})
	if len(s.told) != 2 || c.ConfigurationVersion().Revision != 2 {
		t.Errorf("told %+v", s.told)
	}
	c, s = core(panics, panics)
	c.Turn(0, []Input{list(true, "xr")})
	s2 := &script{}
	next.Start = func() Module { return s2 }
	if o := c.Turn(1, []Input{next}); len(o.Configured) != 1 || o.Configured[0].Err != nil || s2.told != nil {
		t.Errorf("%+v, told %+v", o.Configured, s2.told)
	}
	if c.Turn(restartDelay+1, nil); len(s2.told) != 1 {
		t.Errorf("told %+v", s2.told)
	}
}

func TestZonesKeepTheirNumbers(t *testing.T) {
	for _, c := range [][3]string{
		{"a,b", "b,a", "a,b"}, {"a,b", "a,b,c", "a,b,c"}, {"a,b", "c,b", "c,b"}, {"a,b", "b,c", "c,b"}, {"a,b,c", "c,a", "c,a"}, {"a", "b", "b"}, {"", "", ""},
	} {
		if got := sameOrder(namesOf("", c[0], "").Zones, namesOf("", c[1], "").Zones); strings.Join(got, ",") != c[2] {
			t.Errorf("%s to %s: %v", c[0], c[1], got)
		}
	}
}
