package controller

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/control"
	"lilacbend/internal/sendbudget"
	"lilacbend/settings"
)

// scriptedModule returns scripted commands and records the events of its last turn, except snapshot requests. An empty
// command list that is not nil makes it panic.
type scriptedModule struct {
	turns  [][]control.Command
	events []control.Event
}

func (s *scriptedModule) Turn(_ int64, events []control.Event) []control.Command {
	s.events = nil
	for _, e := range events {
		if _, asked := e.(control.SnapshotRequested); !asked {
			s.events = append(s.events, e)
		}
	}
	if len(s.turns) == 0 {
		return nil
	}
	commands := s.turns[0]
	s.turns = s.turns[1:]
	if commands != nil && len(commands) == 0 {
		panic("scripted")
	}
	return commands
}

// panickingTurn is the command list of a turn in which a scriptedModule panics.
var panickingTurn = []control.Command{}

// newTestCore returns a core with two classes, zones and hardware classes, and its scripted module.
func newTestCore(turns ...[]control.Command) (*Core, *scriptedModule) {
	module := &scriptedModule{turns: turns}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1", "m2"}}
	return New(func() Module { return module }, NewTopology(names, control.Settings{Proxies: 9, Classes: []control.TrafficClass{{Timeout: 2e9}}})), module
}

// replicaList returns a replica list. Each member is a name followed by a letter for its state: r for ready, t for draining,
// g for gone, or ? for an unusable state.
func replicaList(complete bool, members ...string) ReplicaList {
	list := ReplicaList{Complete: complete, ReadAt: 1000e9, ReadAtWallClock: 1000e9}
	for _, m := range members {
		list.Members = append(list.Members, Member{ID: m[:len(m)-1], Zone: "b", HardwareClass: "m2", Weight: 1, StateUnreadable: m[len(m)-1] == '?',
			State: control.State(max(0, strings.IndexByte("rtg", m[len(m)-1])))})
	}
	return list
}

// formatUpdates formats the updates of a turn in one line: for each stream "full", endpoints as name=weight, ejections as
// -name, unejections as +name, admissions as class~fraction/retries, and the nonce of an ack request as #nonce.
func formatUpdates(result TurnResult) string {
	var lines []string
	for _, outgoing := range result.Updates {
		line := fmt.Sprintf("%d:", outgoing.Stream)
		if outgoing.Update.FullTable {
			line += " full"
		}
		for _, l := range outgoing.Update.Endpoints {
			line += fmt.Sprintf(" %s=%v", l.Replica, l.Weight)
		}
		for _, id := range outgoing.Update.Ejected {
			line += " -" + id
		}
		for _, id := range outgoing.Update.Unejected {
			line += " +" + id
		}
		for _, l := range outgoing.Update.Admissions {
			line += fmt.Sprintf(" %s~%v/%d", l.Class, l.Fraction, l.Retries)
		}
		if outgoing.Update.WantsAck {
			line += fmt.Sprintf(" #%d", outgoing.Update.Nonce)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "; ")
}

type commands = []control.Command

func setEndpoint(table int, id uint32, weight float64) control.SetEndpoint {
	return control.SetEndpoint{Table: table, Replica: id, Weight: weight}
}

func TestTurnSendsOneUpdatePerStream(t *testing.T) {
	all := control.AllTables
	steps := []struct {
		inputs   []Input
		commands commands
		want     string
	}{
		{[]Input{replicaList(true, "xr", "yr", "zr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a", WithoutTable: true}, StreamOpened{Stream: 2, Proxy: 5, Zone: "b"}},
			commands{setEndpoint(0, 1, 1), setEndpoint(0, 2, 0.5), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}, "1: full x=1 y=0.5 #1"},
		{nil, commands{control.Bind{Proxy: 5}, control.RequestAck{Nonce: 2}}, "2: full x=1 y=0.5 +x +y #2"}, // the proxy may hold any replica as ejected
		{nil, commands{setEndpoint(0, 2, 0.7), control.RequestAck{Nonce: 3}}, "1: y=0.7 #3; 2: y=0.7 #3"},
		{nil, commands{setEndpoint(1, 3, 1), control.RequestAck{Nonce: 4}}, ""}, // no proxy is bound to the table
		{nil, commands{control.SetEjected{Replica: 3, Ejected: true}}, ""},
		{nil, commands{control.SetEjected{Replica: 1, Ejected: true}, control.RequestAck{Nonce: 5}}, "1: -x #5; 2: -x #5"},
		{nil, commands{setEndpoint(0, 3, 1)}, "1: z=1 -z; 2: z=1 -z"}, // z is added to the table while it is ejected
		{nil, commands{control.SetEjected{Replica: 1}, setEndpoint(0, 3, 0), control.RequestAck{Nonce: 6}}, "1: z=0 +x #6; 2: z=0 +x #6"},
		{nil, commands{control.SetEjected{Replica: 3}, setEndpoint(0, 3, 2)}, "1: z=2 +z; 2: z=2 +z"},
		{nil, commands{control.SetAdmission{Table: all, Class: 1, Fraction: 0.5, Retries: 1}}, "1: order~0.5/1; 2: order~0.5/1"},
		{nil, commands{control.SetAdmission{Table: 0, Class: 1, Fraction: 0.7, Retries: 2}}, "1: order~0.5/2; 2: order~0.5/2"},
		{nil, commands{control.Bind{Proxy: 4, Table: 1}}, "1: full z=1 order~0.5/1"},
		{nil, commands{setEndpoint(0, 2, 0.7), control.RequestAck{Nonce: 7}}, "2: y=0.7 #7"},
		{[]Input{StreamClosed{1}}, commands{setEndpoint(1, 3, 2)}, ""},
		{nil, commands{control.SetEjected{Replica: 1, Ejected: true}}, "2: -x"},
		{[]Input{StreamOpened{Stream: 3, Proxy: 4, Zone: "b"}}, commands{control.Bind{Proxy: 4, Table: 0}}, "3: full x=1 y=0.7 z=2 -x +y +z order~0.5/2"},
		{[]Input{StreamOpened{Stream: 4, Proxy: 5, Zone: "b"}}, nil, "4: order~0.5/1"},
		{nil, commands{control.SetEjected{Replica: 2, Ejected: true}, control.RequestAck{Nonce: 8}}, "3: -y #8; 4: -y #8"}, // stream 4 is unbound
		{[]Input{UpdatesDropped{3}}, nil, "3: full x=1 y=0.7 z=2 -x -y +z order~0.5/2 #8"},
		{[]Input{Ack{Stream: 3, Nonce: 8}, UpdatesDropped{3}}, nil, "3: full x=1 y=0.7 z=2 -x -y +z order~0.5/2"},
		{[]Input{UpdatesDropped{4}}, nil, "4: -x -y order~0.5/1 #8"},
		{[]Input{StreamClosed{3}, StreamClosed{4}, StreamOpened{Stream: 5, Proxy: 4, Zone: "b", WithoutTable: true}}, nil, "5: order~0.5/1"},
		{[]Input{UpdatesDropped{5}}, nil, "5: -x -y order~0.5/1"},
		{nil, commands{control.Bind{Proxy: 7}, control.Bind{Proxy: 4, Table: 1}, setEndpoint(1, 3, 0)}, "5: full order~0.5/1"},
	}
	c, module := newTestCore()
	for k, step := range steps {
		module.turns = []commands{step.commands}
		if got := formatUpdates(c.Turn(int64(k)*1e9, step.inputs)); got != step.want {
			t.Errorf("turn %d: got  %s\nwant %s", k, got, step.want)
		}
	}
}

// A stream whose send queue dropped its updates gets a resync even if the resync is empty, since the send queue accepts no
// other update before it.
func TestStreamThatDroppedUpdatesAlwaysGetsAResync(t *testing.T) {
	c, _ := newTestCore()
	c.Turn(0, []Input{StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	if result := c.Turn(1, []Input{UpdatesDropped{1}}); len(result.Updates) != 1 || !result.Updates[0].Update.Resync || c.Counters.Updates != 0 {
		t.Errorf("updates %+v, counted %d, want one resync that is not counted", result.Updates, c.Counters.Updates)
	}
}

// The cost of the updates equals the cost of the module's commands, as long as nothing is sent twice.
func TestCostSentIsTheCostOfTheCommands(t *testing.T) {
	c, _ := newTestCore(commands{setEndpoint(0, 1, 1), setEndpoint(0, 2, 1), control.SetAdmission{Table: control.AllTables, Fraction: 0.5},
		control.SetEjected{Replica: 2, Ejected: true}, control.Bind{Proxy: 4}, control.Bind{Proxy: 5}, control.RequestAck{Nonce: 1}},
		commands{setEndpoint(0, 1, 2), control.RequestAck{Nonce: 2}})
	c.Turn(0, []Input{replicaList(true, "xr", "yr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b", WithoutTable: true}, StreamOpened{Stream: 2, Proxy: 5, Zone: "b", WithoutTable: true}})
	c.Turn(1, nil)
	// The cost units are, for each of two proxies, first the full flag, two endpoints, an admission, an ejection and an ack
	// request, and then an endpoint and an ack request.
	if counters := c.Counters; counters.CostSent != 2*(5+1)+2*2 || counters.AckRequests != 4 || counters.FullTables != 2 {
		t.Errorf("counters %+v", counters)
	}
}

// unknownInput is an input of a type that the core does not handle.
type unknownInput struct{}

func (unknownInput) input() {}

func TestInputsBecomeEvents(t *testing.T) {
	demand := control.DemandReport{Proxy: 4, Requests: 3}
	for name, c := range map[string]struct {
		inputs []Input
		want   []control.Event
		closed []StreamID
	}{
		"proxy connects":           {[]Input{StreamOpened{Stream: 2, Proxy: 5, Zone: "b", RequestRate: 2}}, []control.Event{control.StreamOpened{Proxy: 5, Zone: 1, ForecastRate: 2}}, nil},
		"unknown proxy or zone":    {[]Input{StreamOpened{Stream: 2, Proxy: 9, Zone: "b"}, StreamOpened{Stream: 3, Proxy: 5, Zone: "q"}}, nil, []StreamID{2, 3}},
		"stream opened twice":      {[]Input{StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}}, nil, nil},
		"newer stream of a proxy":  {[]Input{StreamOpened{Stream: 2, Proxy: 4, Zone: "b"}, StreamClosed{1}}, []control.Event{control.StreamOpened{Proxy: 4, Zone: 1}}, []StreamID{1}},
		"older stream of a proxy":  {[]Input{StreamOpened{Stream: 0, Proxy: 4, Zone: "b"}}, nil, []StreamID{0}},
		"stream closed twice":      {[]Input{StreamClosed{1}, StreamClosed{1}}, []control.Event{control.StreamClosed{Proxy: 4}}, nil},
		"ack":                      {[]Input{Ack{Stream: 1, Nonce: 7, Delay: 5}}, []control.Event{control.Ack{Proxy: 4, Nonce: 7, ApplyTime: 5}}, nil},
		"repeated ack":             {[]Input{Ack{Stream: 1, Nonce: 7}, Ack{Stream: 1, Nonce: 7}}, []control.Event{control.Ack{Proxy: 4, Nonce: 7}}, nil},
		"unknown nonce or stream":  {[]Input{Ack{Stream: 1, Nonce: 8}, Ack{Stream: 3, Nonce: 7}}, nil, nil},
		"nonce of an older stream": {[]Input{StreamOpened{Stream: 2, Proxy: 4, Zone: "b"}, Ack{Stream: 2, Nonce: 7}}, []control.Event{control.StreamOpened{Proxy: 4, Zone: 1}}, []StreamID{1}},
		"demand":                   {[]Input{Demand{1, "order", demand}, Demand{0, "read", demand}}, []control.Event{control.DemandReport{Proxy: 4, Class: 1, Requests: 3}, demand}, nil},
		"stale or unknown demand":  {[]Input{Demand{3, "order", demand}, Demand{1, "no such", demand}, Demand{0, "read", control.DemandReport{Proxy: 8}}}, nil, nil},
		"outcomes":                 {[]Input{OutcomeReport{"b", "y", control.OutcomeReport{Attempts: 2}}, OutcomeReport{"b", "w", control.OutcomeReport{}}}, []control.Event{control.OutcomeReport{Replica: 2, Zone: 1, Attempts: 2}}, nil},
		"impossible outcomes": {[]Input{OutcomeReport{"q", "y", control.OutcomeReport{Attempts: 2}}, OutcomeReport{"b", "y", control.OutcomeReport{Attempts: 2, Failures: 3}},
			OutcomeReport{"b", "y", control.OutcomeReport{Attempts: maxReportCount + 1}}, OutcomeReport{"b", "y", control.OutcomeReport{ResponseTime: maxResponseTimeouts*2e9 + 1}},
			OutcomeReport{"b", "y", control.OutcomeReport{Period: maxReportPeriod + 1}}}, nil, nil},
		"impossible demand": {[]Input{Demand{1, "order", control.DemandReport{Proxy: 4, Requests: maxReportCount + 1}},
			Demand{1, "order", control.DemandReport{Proxy: 4, Failures: maxReportCount + 1}}, Demand{0, "read", control.DemandReport{Proxy: 4, Period: maxReportPeriod + 1}}}, nil, nil},
		"impossible ack delay": {[]Input{Ack{Stream: 1, Nonce: 7, Delay: maxReportPeriod + 1}}, nil, nil},
		"unknown input type":   {[]Input{unknownInput{}}, nil, nil},
	} {
		core, module := newTestCore(commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 7}})
		core.Turn(0, []Input{replicaList(true, "xr", "yr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
		result := core.Turn(1, c.inputs)
		if !reflect.DeepEqual(module.events, c.want) || !reflect.DeepEqual(result.CloseStreams, c.closed) {
			t.Errorf("%s: got events %+v, closed streams %v; want %+v, %v", name, module.events, result.CloseStreams, c.want, c.closed)
		}
	}
}

// formatStates formats the entries of a replica list event: for each the replica's number and the letter of its state (see
// replicaList).
func formatStates(event control.Event) (text string) {
	for _, e := range event.(control.ReplicasListed).Entries {
		text += fmt.Sprintf("%d%c", e.Replica, "rtg"[e.State])
	}
	return text
}

func TestReplicasKeepTheirNumbers(t *testing.T) {
	c, module := newTestCore()
	for k, step := range []struct {
		list    ReplicaList
		want    string
		invalid int64
	}{
		{replicaList(true, "xr", "yr", "z?"), "1r2r", 1},
		{replicaList(false, "y?", "wr", "xt"), "2r3r1t", 2}, // a replica whose state cannot be read keeps its state
		{replicaList(true, "yr", "w?"), "2r3r", 3},          // x is gone
		{replicaList(false, "yg", "xr"), "2g1r", 3},
	} {
		c.Turn(int64(k), []Input{step.list})
		if got := formatStates(module.events[0]); got != step.want || c.Counters.InvalidInputs != step.invalid {
			t.Errorf("list %d: got replicas %s and %d invalid members so far, want %s and %d", k, got, c.Counters.InvalidInputs, step.want, step.invalid)
		}
	}
	if list := c.replicas.currentList(); !list.Full || formatStates(list) != "1r3r" {
		t.Errorf("current list %+v", list)
	}
	if k := c.replicas.byNumber[1].HardwareClass; k != 1 || indexOrLast(c.names.HardwareClasses, "new class") != 2 {
		t.Errorf("hardware class %d, want 1; an unknown class must get number 2", k)
	}
}

// A step of the wall clock between two lists must not be taken for a restart of every replica.
func TestStartTimesSurviveStepsOfTheWallClock(t *testing.T) {
	c, module := newTestCore()
	listedStart := func(wall, startedAt int64) int64 {
		c.Turn(wall, []Input{ReplicaList{ReadAt: 500e9, ReadAtWallClock: wall, Members: []Member{{ID: "x", Weight: 1, StartedAt: startedAt}}}})
		return module.events[0].(control.ReplicasListed).Entries[0].StartedAt
	}
	for k, step := range [][3]int64{{1000e9, 990e9, 490e9}, {5000e9, 990e9, 490e9}, {5000e9, 4999e9, 499e9},
		{400e9, 4999e9, 499e9}, {400e9, 900e9, 500e9}, {400e9, 1, 100e9 + 1}, {9000e9, 2, 1}, {400e9, 0, 0}} {
		if got := listedStart(step[0], step[1]); got != step[2] {
			t.Errorf("step %d: start %d, want %d", k, got, step[2])
		}
	}
}

func TestUnusedNamesAreEvicted(t *testing.T) {
	for name, c := range map[string]struct {
		hold func(c *Core)
		kept bool
	}{
		"unused":              {func(*Core) {}, false},
		"in a table":          {func(c *Core) { c.routing.tables[3] = map[uint32]float64{1: 1} }, true},
		"ejected at a stream": {func(c *Core) { c.streams.byProxy[4].delivered.ejections[1] = true }, false},
	} {
		core, _ := newTestCore()
		core.Turn(0, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
		core.Turn(1, []Input{replicaList(true, "yr")})
		core.routing.ejected[1] = true
		c.hold(core)
		core.evictUnused(nameRetention)
		if core.replicas.byNumber[1] == nil {
			t.Errorf("%s: name evicted before its retention has passed", name)
		}
		core.evictUnused(nameRetention + 1)
		if _, kept := core.replicas.numbers["x"]; kept != c.kept || core.routing.ejected[1] != c.kept || core.replicas.byNumber[2] == nil {
			t.Errorf("%s: name kept %v, want %v", name, kept, c.kept)
		}
	}
}

// Delivered ejections do not keep names forever, yet a replica that returns after the eviction of its name is unejected at
// the proxies that hold it as ejected.
func TestReplicaThatReturnsAfterEvictionIsUnejected(t *testing.T) {
	for _, others := range []int{0, maxEvictedEjections} {
		c, module := newTestCore(commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}}, commands{control.SetEjected{Replica: 1, Ejected: true}, setEndpoint(0, 1, 0)})
		connected := StreamOpened{Stream: 1, Proxy: 4, Zone: "b", WithoutTable: true}
		c.Turn(0, []Input{replicaList(true, "xr"), connected})
		c.Turn(1, []Input{replicaList(true)})
		c.streams.byProxy[4].delivered.ejections[1] = true
		for k := range others {
			c.replicas.byNumber[uint32(100+k)] = &replica{name: fmt.Sprint("o", k), ListedReplica: control.ListedReplica{State: control.Gone}}
			c.streams.byProxy[4].delivered.ejections[uint32(100+k)] = true
		}
		c.evictUnused(nameRetention + 2)
		if len(c.replicas.byNumber) != 0 || len(c.streams.byProxy[4].delivered.ejections) != 0 || len(c.replicas.evictedEjections) > maxEvictedEjections {
			t.Errorf("%d names, %d delivered ejections, %d evicted ejections", len(c.replicas.byNumber), len(c.streams.byProxy[4].delivered.ejections), len(c.replicas.evictedEjections))
		}
		module.turns = []commands{{setEndpoint(0, 2, 1)}}
		if got := formatUpdates(c.Turn(nameRetention+3, []Input{replicaList(true, "xr")})); got != "1: x=1 +x" {
			t.Errorf("after %d other evicted ejections: updates %s", others, got)
		}
	}
}

func TestPanicStartsANewModule(t *testing.T) {
	c, module := newTestCore(commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.SetEjected{Replica: 1, Ejected: true}}, panickingTurn,
		commands{setEndpoint(0, 2, 1), setEndpoint(0, 1, 1), control.Bind{Proxy: 4}}, panickingTurn, panickingTurn)
	c.Turn(0, []Input{replicaList(true, "xr", "yr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a", RequestRate: 3}})
	result := c.Turn(1, []Input{replicaList(false, "yt")})
	want := []control.Event{c.replicas.currentList(), control.StreamOpened{Proxy: 4, Zone: 0, ForecastRate: 3}}
	if !strings.HasPrefix(result.PanicMessage, "scripted at") || !reflect.DeepEqual(module.events, want) || c.Counters.ModuleRestarts != 1 {
		t.Errorf("events %+v after %.40q", module.events, result.PanicMessage)
	}
	if got := formatUpdates(result); got != "1: full x=1 y=1 +x +y" { // the failed module's ejection is reverted
		t.Errorf("updates %s", got)
	}
	if result = c.Turn(2, nil); result.PanicMessage == "" || result.NextTurn != 2+restartDelay {
		t.Errorf("after a module that panics in its first turn: %+v", result)
	}
	module.turns, module.events = []commands{{control.SetEjected{Replica: 1, Ejected: true}}}, nil
	if result = c.Turn(3, []Input{StreamOpened{Stream: 2, Proxy: 5, Zone: "b"}}); module.events != nil || result.NextTurn != 2+restartDelay {
		t.Errorf("the module ran while it was paused, or the pause changed: %+v", result)
	}
	if result = c.Turn(2+restartDelay, nil); len(module.events) != 3 || formatUpdates(result) != "1: -x; 2: -x" {
		t.Errorf("events %+v, updates %s", module.events, formatUpdates(result))
	}
}

// A machine that fails leaves its stream open. The module must not wait for its acks, and if the proxy was only slow, it
// must not have missed any update.
func TestSilentProxyThatOwesAnAckIsReportedAsDisconnected(t *testing.T) {
	ack := control.RequestAck{Nonce: 1}
	c, module := newTestCore(commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.Bind{Proxy: 5}, ack})
	c.Turn(5, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}, StreamOpened{Stream: 2, Proxy: 5, Zone: "b"}, StreamOpened{Stream: 3, Proxy: 6, Zone: "b"}})
	for _, step := range []struct {
		at       int64
		inputs   []Input
		commands commands
		events   []control.Event
		want     string
	}{
		{4 + minSilenceTimeout/2, []Input{MessageSkipped{3}}, nil, nil, ""},
		{5 + minSilenceTimeout/2, []Input{Demand{2, "read", control.DemandReport{Proxy: 5}}}, nil, []control.Event{control.DemandReport{Proxy: 5}}, ""},
		{5 + minSilenceTimeout, nil, nil, nil, ""},
		{6 + minSilenceTimeout, nil, nil, []control.Event{control.StreamClosed{Proxy: 4}}, ""},
		{7 + minSilenceTimeout, nil, commands{control.SetEjected{Replica: 1, Ejected: true}, ack}, nil, "1: -x #1; 2: -x #1; 3: -x #1"},
		{8 + minSilenceTimeout, []Input{Ack{Stream: 1, Nonce: 1}}, nil, []control.Event{control.StreamOpened{Proxy: 4, Zone: 1}}, ""},
		{9 + minSilenceTimeout, []Input{Ack{Stream: 2, Nonce: 1}, Ack{Stream: 3, Nonce: 1}}, nil,
			[]control.Event{control.Ack{Proxy: 5, Nonce: 1}, control.Ack{Proxy: 6, Nonce: 1}}, ""},
		{9 + 2*minSilenceTimeout, nil, commands{ack}, nil, ""},
		{9 + 9*minSilenceTimeout, []Input{StreamClosed{1}}, nil, []control.Event{control.StreamClosed{Proxy: 4}}, ""},
	} {
		module.turns = []commands{step.commands}
		result := c.Turn(step.at, step.inputs)
		result.Updates = slices.DeleteFunc(result.Updates, func(s OutgoingUpdate) bool { return s.Update.Nonce >= coreNonceOffset }) // sent by requestMissingAck
		if got := formatUpdates(result); got != step.want || !reflect.DeepEqual(module.events, step.events) {
			t.Errorf("at %d: events %+v, updates %s", step.at, module.events, got)
		}
	}
}

func TestLogNamesReplicas(t *testing.T) {
	c, _ := newTestCore(commands{control.Log{Text: "replica 1 sick: 1 of 1 missed"}, control.Log{Text: "replica 9 sick"}, control.Log{Text: "calm"}})
	result := c.Turn(0, []Input{replicaList(true, "xr")})
	if want := []string{"replica x sick: 1 of 1 missed", "replica 9 sick", "calm"}; !slices.Equal(result.LogLines, want) {
		t.Errorf("logged %q", result.LogLines)
	}
}

func TestTimersFireOnce(t *testing.T) {
	wake := control.SetTimer{Timer: 3, After: 10}
	c, module := newTestCore(commands{wake, control.SetTimer{Timer: 3, After: 20}, control.SetTimer{After: 50}}, commands{wake}, nil, nil)
	if result := c.Turn(0, nil); result.NextTurn != 10 {
		t.Errorf("due at %d", result.NextTurn)
	}
	if result := c.Turn(9, nil); result.NextTurn != 10 || len(module.events) != 0 {
		t.Errorf("due at %d, events %v", result.NextTurn, module.events)
	}
	if c.Turn(1000, nil); !slices.Equal(module.events, []control.Event{control.TimerFired{}, control.TimerFired{Timer: 3}}) {
		t.Errorf("events %v", module.events)
	}
	if result := c.Turn(1001, nil); result.NextTurn != 0 || len(module.events) != 0 {
		t.Errorf("due at %d, events %v", result.NextTurn, module.events)
	}
}

// After any sequence of inputs, commands and module failures, no stream has unsent changes at the end of a turn, and every
// stream is listed under the table that it is bound to.
func TestNoStreamHasUnsentChangesAfterATurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, module := newTestCore()
		c.Turn(0, []Input{replicaList(true, "xr", "yr", "zr")})
		stream := StreamID(0)
		now := int64(1)
		draw := func(what string, most int) int { return rapid.IntRange(0, most).Draw(t, what) }
		for range draw("turns", 30) {
			var inputs []Input
			for range draw("inputs", 4) {
				proxy := draw("proxy", 5)
				switch draw("input", 5) {
				case 0, 1:
					stream++
					inputs = append(inputs, StreamOpened{Stream: stream, Proxy: proxy, Zone: "b", WithoutTable: draw("without table", 1) == 0})
				case 2:
					inputs = append(inputs, StreamClosed{StreamID(draw("stream", int(stream)))})
				case 3:
					inputs = append(inputs, UpdatesDropped{StreamID(draw("stream", int(stream)))})
				case 4:
					inputs = append(inputs, MessageSkipped{StreamID(draw("stream", int(stream)))})
				default:
					inputs = append(inputs, replicaList(false, string("xyz"[draw("member", 2)])+string("rtg"[draw("state", 2)])))
				}
			}
			var given commands
			for range draw("commands", 6) {
				table, id := draw("table", 2), uint32(1+draw("replica", 2))
				switch draw("command", 4) {
				case 0:
					given = append(given, setEndpoint(table, id, float64(draw("weight", 2))))
				case 1:
					given = append(given, control.Bind{Proxy: draw("proxy", 5), Table: table})
				case 2:
					given = append(given, control.SetEjected{Replica: id, Ejected: draw("ejected", 1) == 0})
				case 3:
					given = append(given, control.SetAdmission{Table: []int{0, 1, control.AllTables}[table], Class: draw("class", 1), Fraction: float64(draw("fraction", 4)) / 4})
				default:
					given = append(given, control.RequestAck{Nonce: uint64(now)})
				}
			}
			if draw("fails", 20) == 0 {
				given = panickingTurn
			}
			module.turns = []commands{given}
			now += int64(draw("span", 6)) * 2e9
			c.Turn(now, inputs)
			listed := 0
			for table, streams := range c.streams.byTable {
				for proxy, s := range streams {
					if listed++; c.streams.byProxy[proxy] != s || s.binding.table != table {
						t.Fatalf("the stream of proxy %d is bound to table %d but listed under table %d", proxy, s.binding.table, table)
					}
				}
			}
			if listed != len(c.streams.byProxy) {
				t.Fatalf("%d streams listed by table, %d streams connected", listed, len(c.streams.byProxy))
			}
			for proxy, s := range c.streams.byProxy {
				if update, affected := c.buildUpdate(s, &turnChanges{fullTables: map[int]endpointList{}, changedTables: map[int]endpointList{}}, false); c.module.pausedUntil <= now && (affected || update.cost() > 0 || update.Resync) {
					t.Fatalf("proxy %d has unsent changes: %+v", proxy, update)
				}
			}
		}
	})
}

// newLimitedCore returns a core whose channel has a limit in cost units and whose proxies have a message cap per 10 s.
func newLimitedCore(limit, messages int, turns ...[]control.Command) (*Core, *scriptedModule) {
	c, module := newTestCore(turns...)
	c.delivery.account = sendbudget.New(sendbudget.Bounds{ChannelLimit: limit, ChannelRate: 100, MessageOverhead: 4, MaxMessages: messages, MessageWindow: 10e9, MaxTransit: 1e8})
	return c, module
}

// The core sends more than the module's commands, such as ejections of new table entries, and can thus fill a channel that
// the module estimates to be half empty. Changes then wait until acks free capacity and are sent with their values at that
// time.
func TestChangesWaitForCapacityOfTheChannel(t *testing.T) {
	c, module := newLimitedCore(28, 0, commands{setEndpoint(0, 1, 1), setEndpoint(0, 2, 1), control.Bind{Proxy: 4}, control.Bind{Proxy: 5}, control.RequestAck{Nonce: 1}})
	connected := []Input{replicaList(true, "xr", "yr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a", WithoutTable: true}, StreamOpened{Stream: 2, Proxy: 5, Zone: "b", WithoutTable: true}}
	steps := []struct {
		inputs   []Input
		commands commands
		want     string
	}{
		{connected, module.turns[0], "1: full x=1 y=1 #1; 2: full x=1 y=1 #1"}, // 16 of the channel's 28 cost units
		{nil, commands{setEndpoint(0, 1, 2), control.RequestAck{Nonce: 2}}, "1: x=2 #2"},
		{nil, commands{setEndpoint(0, 1, 3), setEndpoint(0, 2, 0.5), control.RequestAck{Nonce: 3}}, ""},
		{nil, commands{control.SetEjected{Replica: 2, Ejected: true}, control.RequestAck{Nonce: 4}}, ""},
		{[]Input{Ack{Stream: 1, Nonce: 1}}, nil, "1: x=3 y=0.5 -y #4"},
		{[]Input{Ack{Stream: 2, Nonce: 1}}, nil, "2: x=3 y=0.5 -y #4"},
		{[]Input{Ack{Stream: 1, Nonce: 4}, Ack{Stream: 2, Nonce: 4}}, nil, ""},
	}
	for k, step := range steps {
		module.turns = []commands{step.commands}
		if got := formatUpdates(c.Turn(int64(k)*1e7, step.inputs)); got != step.want {
			t.Errorf("turn %d: got  %s\nwant %s", k, got, step.want)
		}
	}
	if c.delivery.account.Queued() != 0 || c.Counters.StreamsEnqueued == 0 {
		t.Errorf("%d cost units charged after all acks, %d streams were enqueued", c.delivery.account.Queued(), c.Counters.StreamsEnqueued)
	}
}

// Repeatedly dropped updates, module failures and reconnects do not get a proxy more messages than its cap, and its pending
// changes are not lost.
func TestMessageCapHoldsThroughReconnectsAndFailures(t *testing.T) {
	c, module := newLimitedCore(0, 3)
	inputs, sent := []Input{replicaList(true, "xr")}, 0
	for k := range 400 {
		inputs = append(inputs, StreamOpened{Stream: StreamID(k/100 + 1), Proxy: 4, Zone: "a"}, UpdatesDropped{StreamID(k/100 + 1)})
		module.turns = []commands{{setEndpoint(0, 1, float64(k+1)), control.Bind{Proxy: 4}, control.RequestAck{Nonce: uint64(k)}}}
		if k%7 == 3 {
			module.turns = []commands{panickingTurn}
		}
		sent, inputs = sent+len(c.Turn(int64(k)*1e7, inputs).Updates), nil
		if sent > 3 || k < 40 && sent > 1 {
			t.Fatalf("%d messages in %d ms, want at most 3, and only 1 within the first spacing", sent, 10*k)
		}
	}
	if sent < 1 {
		t.Error("no message in 4 s")
	}
	module.turns = nil
	if got := formatUpdates(c.Turn(11e9, nil)); got != "4: full x=400 +x #399" {
		t.Errorf("after the window: updates %s", got)
	}
}

// A replica that is gone keeps its name until its removal has been sent on every stream.
func TestPendingChangesKeepNames(t *testing.T) {
	c, module := newLimitedCore(11, 0, commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}, commands{setEndpoint(0, 1, 0), control.RequestAck{Nonce: 2}})
	c.delivery.account.ChannelRate = 1 // so slow that unacknowledged messages stay charged for more than a minute
	c.Turn(1, []Input{replicaList(true, "xr", "yr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a", WithoutTable: true}})
	if got := formatUpdates(c.Turn(2, []Input{replicaList(true, "yr")})); got != "" || len(module.turns) > 0 {
		t.Fatalf("got %s", got)
	}
	for at := evictionInterval; at <= nameRetention+4*evictionInterval; at += evictionInterval { // the proxy is alive but sends no acks
		c.Turn(at, []Input{MessageSkipped{1}})
	}
	if got := formatUpdates(c.Turn(nameRetention+5*evictionInterval, []Input{Ack{Stream: 1, Nonce: 1}})); got != "1: x=0 #2" {
		t.Errorf("got %s", got)
	}
}

// Many small changes while the channel is busy result in one update for each proxy. No proxy starves: the one that has
// waited longest is sent its update first.
func TestPendingChangesAreBroughtUpToDate(t *testing.T) {
	c, module := newTestCore(commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 1}, control.Bind{Proxy: 2}, control.Bind{Proxy: 3}, control.RequestAck{Nonce: 1}})
	c.delivery.account = sendbudget.New(sendbudget.Bounds{ChannelLimit: 1 << 20, ChannelRate: 100, MessageOverhead: 4, MaxTransit: 1e7}) // the channel counts as busy from 4 cost units on
	inputs := []Input{replicaList(true, "xr", "yr")}
	for proxy := 1; proxy <= 3; proxy++ {
		inputs = append(inputs, StreamOpened{Stream: StreamID(proxy), Proxy: proxy, Zone: "a", WithoutTable: true})
	}
	got := []string{formatUpdates(c.Turn(1, inputs))}
	for k := range 100 {
		module.turns = []commands{{setEndpoint(0, 1, float64(k)), control.RequestAck{Nonce: uint64(k + 2)}}}
		got = append(got, formatUpdates(c.Turn(int64(k+2), nil)))
	}
	if sent := strings.Join(got, ""); sent != "1: full x=1 #1" {
		t.Fatalf("while the channel is busy: %s", sent)
	}
	for _, step := range []struct {
		answer Ack
		want   string
	}{{Ack{Stream: 1, Nonce: 1}, "2: full x=99 #101"}, {Ack{Stream: 2, Nonce: 101}, "3: full x=99 #101"}, {Ack{Stream: 3, Nonce: 101}, "1: x=99 #101"}} {
		module.turns = nil
		if got := formatUpdates(c.Turn(1e9, []Input{step.answer})); got != step.want {
			t.Errorf("got %s, want %s", got, step.want)
		}
	}
}

// If all acks are lost and no message is sent that could be acknowledged, the core sends an ack request of its own. Its ack
// also covers the messages for which the module requested acks.
func TestMissingAcksAreRequested(t *testing.T) {
	c, module := newTestCore(commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 7}})
	c.delivery.account = sendbudget.New(sendbudget.Bounds{ChannelLimit: 40, ChannelRate: 100, MessageOverhead: 4, MaxMessages: 2, MessageWindow: 10e9, MaxTransit: 1e8})
	c.Turn(1e9, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "b"}})
	if got := formatUpdates(c.Turn(3e9, []Input{MessageSkipped{1}})); got != "" {
		t.Errorf("updates after 2 s: %s, want none yet", got)
	}
	if got := formatUpdates(c.Turn(3e9+1, nil)) + formatUpdates(c.Turn(6e9, nil)); got != "1: #32775" {
		t.Errorf("updates after more than 2 s: %s, want one ack request, since the message cap is 2", got)
	}
	c.Turn(7e9, []Input{Ack{Stream: 1, Nonce: 32775}})
	if want := []control.Event{control.Ack{Proxy: 4, Nonce: 7}}; !reflect.DeepEqual(module.events, want) || c.delivery.account.Queued() != 0 || len(c.streams.byProxy[4].unacked) != 0 {
		t.Errorf("events %+v, %d cost units charged after the ack", module.events, c.delivery.account.Queued())
	}
}
