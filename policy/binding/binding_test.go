package binding

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"lilacbend/control"
)

// eachServesItself returns the serving tables if each table serves its own proxies.
func eachServesItself(tables int) []int {
	var serving []int
	for table := range tables {
		serving = append(serving, table)
	}
	return serving
}

// decision has the parts of a Change that the tests compare.
type decision struct {
	Proxy, Assigned int
	Kind            ChangeKind
	Table           int
}

func decisions(changes []Change) []decision {
	var all []decision
	for _, c := range changes {
		all = append(all, decision{c.Proxy.Proxy, c.Proxy.Table, c.Kind, c.Table})
	}
	return all
}

func assertDecisions(t *testing.T, what string, changes []Change, want ...decision) {
	t.Helper()
	if got := decisions(changes); !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// withConnectedProxies returns Bindings with connected proxies that get one request per second each; proxy k is in zone k
// modulo 2.
func withConnectedProxies(proxies int) *Bindings {
	b := New(&control.Settings{Zones: 2})
	for proxy := range proxies {
		b.Connect(time.Duration(proxy), control.StreamOpened{Proxy: proxy, Zone: proxy % 2, ForecastRate: 1})
	}
	return b
}

func TestFirstBindIsToTheLeastLoadedTableOfTheZone(t *testing.T) {
	b := withConnectedProxies(4)
	assertDecisions(t, "two tables in each zone", b.Assign(eachServesItself(4)), decision{0, 0, FirstBind, 0}, decision{1, 1, FirstBind, 1},
		decision{2, 2, FirstBind, 2}, decision{3, 3, FirstBind, 3})
	b.Connect(time.Second, control.StreamOpened{Proxy: 9, ForecastRate: 5})
	assertDecisions(t, "the first of two equally loaded tables", b.Assign(eachServesItself(4)), decision{9, 0, FirstBind, 0})
	b.Connect(time.Second, control.StreamOpened{Proxy: 4, ForecastRate: 1})
	assertDecisions(t, "the less loaded table", b.Assign(eachServesItself(4)), decision{4, 2, FirstBind, 2})
	assertDecisions(t, "no proxy without a table", b.Assign(eachServesItself(4)))
}

func TestProxyMovesWhileASiblingServesItsTable(t *testing.T) {
	b := withConnectedProxies(2)
	b.Assign(eachServesItself(4))
	b.Connect(time.Second, control.StreamOpened{Proxy: 6, ForecastRate: 1})
	assertDecisions(t, "moves come before first binds", b.Assign([]int{2, 1, 2, 3}), decision{0, 0, Move, 2}, decision{6, 2, FirstBind, 2})
	assertDecisions(t, "move back to its own table", b.Assign(eachServesItself(4)), decision{0, 0, Move, 0})
	assertDecisions(t, "no change", b.Assign(eachServesItself(4)))
}

func TestFirstBindIsToTheSiblingOfAnEmptyTable(t *testing.T) {
	b := withConnectedProxies(1)
	assertDecisions(t, "first bind", b.Assign([]int{2, 1, 2, 3}), decision{0, 0, FirstBind, 2})
}

func TestEarlierBindingIsRestoredIfItStillFits(t *testing.T) {
	for _, c := range []struct {
		name           string
		tables         int // number of tables at the earlier controller
		binding, table int
	}{
		{"same number of tables and same zone", 4, 2, 2},
		{"another number of tables", 6, 2, 0},
		{"a table of another zone", 4, 3, 0},
		{"a table that does not exist", 4, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(&control.Settings{Zones: 2})
			b.Restore(control.FleetRestored{Confidence: 1, LearnedFleet: control.LearnedFleet{TableCount: c.tables,
				Bindings: []control.Binding{{Proxy: 0, Table: c.binding}}}})
			b.Connect(0, control.StreamOpened{ForecastRate: 1})
			assertDecisions(t, "first bind", b.Assign(eachServesItself(4)), decision{0, c.table, FirstBind, c.table})
			b.Connect(time.Second, control.StreamOpened{ForecastRate: 1})
			assertDecisions(t, "a later stream is not restored", b.Assign(eachServesItself(4)), decision{0, 0, FirstBind, 0})
		})
	}
}

func TestForecastIsCorrectedByTheRateAtAnEarlierController(t *testing.T) {
	for _, c := range []struct {
		name       string
		confidence float64
		proxy      int
		want       float64
	}{
		{"full confidence", 1, 0, 50},
		{"half confidence", 0.5, 0, 30},
		{"unknown proxy", 1, 1, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(&control.Settings{})
			b.Restore(control.FleetRestored{Confidence: c.confidence, LearnedFleet: control.LearnedFleet{
				RequestRates: []control.ClassRate{{Proxy: 0, Class: 0, Rate: 30}, {Proxy: 0, Class: 1, Rate: 20}}}})
			b.Connect(0, control.StreamOpened{Proxy: c.proxy, ForecastRate: 10})
			if got := b.Proxies()[c.proxy].ForecastRate; got != c.want {
				t.Errorf("got rate %v, want %v", got, c.want)
			}
		})
	}
}

func TestDisconnectedProxyIsForgotten(t *testing.T) {
	b := withConnectedProxies(2)
	b.Disconnect(0)
	b.Disconnect(7)
	assertDecisions(t, "the connected proxy", b.Assign(eachServesItself(2)), decision{1, 1, FirstBind, 1})
	b.Disconnect(1)
	assertDecisions(t, "no proxy is connected", b.Assign([]int{1, 0}))
	if got := b.LearnedBindings(); got != nil {
		t.Errorf("got learned bindings %v, want none", got)
	}
}

func TestReassignMovesProxiesWhoseTableNoLongerFits(t *testing.T) {
	for _, c := range []struct {
		name          string
		zones, tables int
		bound         map[int]int
		want          []decision
	}{
		{"same number of tables: all proxies keep their tables", 2, 4, map[int]int{0: 0, 1: 1, 2: 2, 3: 3},
			[]decision{{0, 0, Unchanged, 0}, {1, 1, Unchanged, 1}, {2, 2, Unchanged, 2}, {3, 3, Unchanged, 3}}},
		{"proxies that are not bound to their own table yet", 2, 4, map[int]int{0: -1, 1: 3, 2: 2, 3: 3},
			[]decision{{0, 0, FirstBind, 0}, {1, 1, Move, 1}, {2, 2, Unchanged, 2}, {3, 3, Unchanged, 3}}},
		{"fewer tables: all proxies are assigned again", 2, 2, map[int]int{0: 0, 1: 1, 2: 2, 3: 3},
			[]decision{{0, 0, Unchanged, 0}, {1, 1, Unchanged, 1}, {2, 0, Move, 0}, {3, 1, Move, 1}}},
		{"more zones: proxies move whose table is in another zone now", 4, 4, map[int]int{0: 0, 1: 1, 2: 2, 3: 3},
			[]decision{{0, 0, Unchanged, 0}, {1, 1, Unchanged, 1}, {2, 0, Move, 0}, {3, 1, Move, 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := &control.Settings{Zones: 2}
			b := New(settings)
			for proxy := range 4 {
				b.Connect(0, control.StreamOpened{Proxy: proxy, Zone: proxy % 2, ForecastRate: 1})
			}
			b.Assign(eachServesItself(4))
			b.Connect(0, control.StreamOpened{Proxy: 5}) // proxy 5 has no table yet
			settings.Zones = c.zones
			assertDecisions(t, "reassigned", b.Reassign(4, c.tables, c.bound), c.want...)
			if got := b.ServingTables(); !slices.Equal(got, eachServesItself(c.tables)) {
				t.Errorf("got serving tables %v, want %v", got, eachServesItself(c.tables))
			}
			for _, change := range b.Assign(eachServesItself(c.tables)) {
				if change.Proxy.Proxy != 5 || change.Kind != FirstBind {
					t.Errorf("Assign after Reassign returned %+v, want only a FirstBind of proxy 5", change)
				}
			}
		})
	}
}

func TestRenumberZonesReplacesTheZonesOfProxies(t *testing.T) {
	b := withConnectedProxies(2)
	b.Assign(eachServesItself(2))
	b.Connect(0, control.StreamOpened{Proxy: 2})
	renumbered := []control.StreamOpened{{Proxy: 0, Zone: 1}, {Proxy: 2, Zone: 1}, {Proxy: 8, Zone: 1}}
	if b.KeepsZones(2, renumbered) {
		t.Error("KeepsZones returned true though the zone of a proxy changes")
	}
	if !b.KeepsZones(1, renumbered) {
		t.Error("KeepsZones returned false though all tables belong to a single zone")
	}
	want := []Proxy{{control.StreamOpened{Proxy: 0, Zone: 1, ForecastRate: 1}, 0, 0}}
	if got := b.RenumberZones(renumbered); !reflect.DeepEqual(got, want) {
		t.Errorf("proxies with a table: got %+v, want %+v", got, want)
	}
	if got := b.Proxies()[2].Zone; got != 1 {
		t.Errorf("the proxy without a table is in zone %d, want 1", got)
	}
	if !b.KeepsZones(2, renumbered) {
		t.Error("KeepsZones returned false though no zone changes")
	}
}

func TestLearnedBindingsAreSortedByProxy(t *testing.T) {
	b := withConnectedProxies(3)
	b.Assign(eachServesItself(2))
	b.Connect(0, control.StreamOpened{Proxy: 4})
	if got, want := b.LearnedBindings(), []control.Binding{{Proxy: 0, Table: 0}, {Proxy: 1, Table: 1}, {Proxy: 2, Table: 0}}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
