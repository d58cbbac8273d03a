package controller

import (
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/settings"
)

// Orders of events that cross within one turn, or around the end of a module or a stream: docs/crossings.md.

// Lists that are taken in with one turn share its time: whoever the last whole one leaves out is gone all the same, or a fresh
// module would be told of it as ready, and its name kept for ever.
func TestTwoListsOfOneTurn(t *testing.T) {
	for name, lists := range map[string][]Input{
		"whole, whole":          {list(true, "xr", "yr"), list(true, "yr")},
		"changes, whole":        {list(true, "yr"), list(false, "xr"), list(true, "yr")},
		"whole, changes, whole": {list(true, "xr", "yr"), list(false, "xt"), list(true, "yr")},
	} {
		c, _ := core()
		c.Turn(7, lists)
		if l := c.replicas.currentList(); len(l.Entries) != 1 || c.replicas.byNumber[l.Entries[0].Replica].name != "y" {
			t.Errorf("%s: a fresh module is told of %+v", name, l.Entries)
		}
		if c.evict(8 + nameRetention); c.replicas.numbers["x"] != 0 || c.replicas.numbers["y"] == 0 {
			t.Errorf("%s: names kept %v", name, c.replicas.numbers)
		}
	}
}

// One that is gone and back within one list, or across two of one turn, is as the last word says, whatever came before it.
func TestTheLastWordOfATurnHolds(t *testing.T) {
	up := func(m Member, since int64) Member { m.UpSince = since; return m }
	x := list(false, "xr").Members[0]
	gone := list(false, "xg").Members[0]
	for name, lists := range map[string][]ReplicaList{
		"one list":  {{Members: []Member{gone, up(x, 900e9)}}},
		"two lists": {{Members: []Member{gone}}, {Members: []Member{up(x, 900e9)}}},
	} {
		c, s := core()
		c.Turn(1, []Input{list(true, "xr")})
		var notes []Input
		for _, l := range lists {
			l.ReadAt, l.ReadAtWall = 1000e9, 1000e9
			notes = append(notes, l)
		}
		c.Turn(2, notes)
		var last control.ListedReplica
		for _, e := range s.told {
			for _, entry := range e.(control.ReplicasListed).Entries {
				last = entry
			}
		}
		if want := (control.ListedReplica{Replica: 1, Zone: 1, HardwareClass: 1, Weight: 1, Start: 900e9}); last != want || c.replicas.byNumber[1].State != control.Ready {
			t.Errorf("%s: the module is told %+v last", name, last)
		}
	}
}

// Answers to what a module that failed had sent tell the one after it nothing: its marks begin anew, and one taken for an
// answer to them would end a step before the proxies have it.
func TestOldMarksTellAFreshModuleNothing(t *testing.T) {
	mark := func(n uint64) control.RequestAck { return control.RequestAck{Nonce: n} }
	c, s := core(orders{line(0, 1, 1), control.Bind{Proxy: 4}, mark(2)}, orders{line(0, 1, 2), mark(3)}, panics,
		orders{line(0, 1, 1), control.Bind{Proxy: 4}, mark(2)})
	c.Turn(0, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a", WithoutTable: true}})
	c.Turn(1, nil)
	if c.Turn(2, nil); c.Counters.ModuleRestarts != 1 || c.delivery.account.Queued() == 0 {
		t.Fatalf("renewed %d, %d lines wait", c.Counters.ModuleRestarts, c.delivery.account.Queued())
	}
	for k, want := range [][]control.Event{nil, nil, {control.Ack{Proxy: 4, Nonce: 2}}} { // the old 2 and 3, then the new 2
		at := uint64([]int{2, 3, 2}[k])
		if c.Turn(int64(3+k), []Input{Ack{Stream: 1, Nonce: at}}); !reflect.DeepEqual(s.told, want) {
			t.Errorf("answer %d to mark %d: told %+v", k, at, s.told)
		}
	}
	if c.delivery.account.Queued() != 0 {
		t.Errorf("%d lines wait after all answers", c.delivery.account.Queued())
	}
}

// An answer that comes by a stream which has been replaced, after its successor has joined, frees nothing of the successor's
// and tells the module nothing.
func TestAnAnswerByAStreamThatWasReplaced(t *testing.T) {
	bind := orders{line(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}
	joined := func(stream StreamID) StreamOpened {
		return StreamOpened{Stream: stream, Proxy: 4, Zone: "a", WithoutTable: true}
	}
	c, s := core(bind, orders{control.Bind{Proxy: 4}, control.RequestAck{Nonce: 2}})
	c.Turn(0, []Input{list(true, "xr"), joined(1)})
	o := c.Turn(1, []Input{joined(2)})
	if waits := c.delivery.account.Queued(); len(o.CloseStreams) != 1 || o.CloseStreams[0] != 1 || text(o) != "2: full x=1 #2" || waits == 0 {
		t.Fatalf("ended %v, %s", o.CloseStreams, text(o))
	}
	for _, n := range []Input{Ack{Stream: 1, Nonce: 1}, Ack{Stream: 1, Nonce: 2}, StreamClosed{1}} {
		waits := c.delivery.account.Queued()
		if c.Turn(2, []Input{n}); s.told != nil || c.delivery.account.Queued() != waits || c.streams.byProxy[4] == nil || c.streams.byProxy[4].id != 2 {
			t.Errorf("%+v: told %+v, %d lines of %d wait", n, s.told, c.delivery.account.Queued(), waits)
		}
	}
	// Its end before the joining of the next, all in one turn, in either order: one proxy, by the later stream.
	for _, notes := range [][]Input{{StreamClosed{2}, joined(3)}, {joined(4), StreamClosed{3}}, {joined(6), joined(5)}, {StreamClosed{4}, StreamClosed{6}, joined(7), StreamClosed{7}, joined(8)}} {
		c.Turn(3, notes)
	}
	if len(c.streams.byID) != 1 || len(c.streams.byProxy) != 1 || c.streams.byProxy[4].id != 8 {
		t.Errorf("seats %v, streams %v", c.streams.byProxy, c.streams.byID)
	}
}

// A channel that holds more than others do, and is slow, answers later: nobody is called left for that, or all of a fleet would be
// bound anew through it.
func TestSilenceIsJudgedByWhatTheChannelHolds(t *testing.T) {
	for _, w := range []struct {
		lines       int
		rate        float64
		transit     int64
		longest     int64
		description string
	}{{1800, 1200, 250e6, 10e9, "10 s are enough"}, {4000, 1000, 500e6, 23e9, "4 s of lines, five times as slow, there and back, and a stall"}} {
		s := &script{turns: []orders{{line(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}}}
		names := settings.Names{Classes: []string{"read"}, Zones: []string{"a"}, HardwareClasses: []string{"m1"}}
		c := New(func() Module { return s }, NewTopology(names, control.Settings{Proxies: 9, Classes: []control.TrafficClass{{Timeout: 2e9}},
			ChannelLimit: w.lines, ChannelRate: w.rate, MaxTransit: w.transit}))
		c.Turn(5, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a"}})
		if c.Turn(5+w.longest, nil); s.told != nil {
			t.Errorf("%s: told %+v in time", w.description, s.told)
		}
		if c.Turn(6+w.longest, nil); !reflect.DeepEqual(s.told, []control.Event{control.StreamClosed{Proxy: 4}}) {
			t.Errorf("%s: told %+v later", w.description, s.told)
		}
	}
}
