package controller

import (
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/settings"
)

// This file has events that cross within one turn, or around the end of a module or a stream: docs/crossings.md.

// Lists that are taken in with one turn share its time. A replica that the last complete one leaves out is gone all the same, or
// a new module would take it for ready, and its name would be kept for ever.
func TestListsOfOneTurnAreTakenInOrder(t *testing.T) {
	for name, lists := range map[string][]Input{
		"complete, complete":          {list(true, "xr", "yr"), list(true, "yr")},
		"changes, complete":           {list(true, "yr"), list(false, "xr"), list(true, "yr")},
		"complete, changes, complete": {list(true, "xr", "yr"), list(false, "xt"), list(true, "yr")},
	} {
		c, _ := core()
		c.Turn(7, lists)
		if l := c.replicas.currentList(); len(l.Entries) != 1 || c.replicas.byNumber[l.Entries[0].Replica].name != "y" {
			t.Errorf("%s: a new module gets %+v", name, l.Entries)
		}
		if c.evict(8 + nameRetention); c.replicas.numbers["x"] != 0 || c.replicas.numbers["y"] == 0 {
			t.Errorf("%s: names kept %v", name, c.replicas.numbers)
		}
	}
}

// A replica that is gone and back within one list, or across two of one turn, is as its last entry says.
func TestLastEntryOfATurnHolds(t *testing.T) {
	up := func(m Member, since int64) Member { m.UpSince = since; return m }
	x := list(false, "xr").Members[0]
	gone := list(false, "xg").Members[0]
	for name, lists := range map[string][]ReplicaList{
		"one list":  {{Members: []Member{gone, up(x, 900e9)}}},
		"two lists": {{Members: []Member{gone}}, {Members: []Member{up(x, 900e9)}}},
	} {
		c, s := core()
		c.Turn(1, []Input{list(true, "xr")})
		var inputs []Input
		for _, l := range lists {
			l.ReadAt, l.ReadAtWall = 1000e9, 1000e9
			inputs = append(inputs, l)
		}
		c.Turn(2, inputs)
		var last control.ListedReplica
		for _, e := range s.events {
			for _, entry := range e.(control.ReplicasListed).Entries {
				last = entry
			}
		}
		if want := (control.ListedReplica{Replica: 1, Zone: 1, HardwareClass: 1, Weight: 1, Start: 900e9}); last != want || c.replicas.byNumber[1].State != control.Ready {
			t.Errorf("%s: the module gets %+v last", name, last)
		}
	}
}

// Acks of what a failed module had sent are not reported to its successor: its nonces begin anew, and an ack taken for one of
// them would end a step before the proxies have applied it.
func TestAcksOfAFailedModuleAreNotReported(t *testing.T) {
	ack := func(n uint64) control.RequestAck { return control.RequestAck{Nonce: n} }
	c, s := core(commands{endpoint(0, 1, 1), control.Bind{Proxy: 4}, ack(2)}, commands{endpoint(0, 1, 2), ack(3)}, panicking,
		commands{endpoint(0, 1, 1), control.Bind{Proxy: 4}, ack(2)})
	c.Turn(0, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a", WithoutTable: true}})
	c.Turn(1, nil)
	if c.Turn(2, nil); c.Counters.ModuleRestarts != 1 || c.delivery.account.Queued() == 0 {
		t.Fatalf("%d restarts, %d cost units wait", c.Counters.ModuleRestarts, c.delivery.account.Queued())
	}
	for k, want := range [][]control.Event{nil, nil, {control.Ack{Proxy: 4, Nonce: 2}}} { // the old 2 and 3, then the new 2
		at := uint64([]int{2, 3, 2}[k])
		if c.Turn(int64(3+k), []Input{Ack{Stream: 1, Nonce: at}}); !reflect.DeepEqual(s.events, want) {
			t.Errorf("ack %d of nonce %d: events %+v", k, at, s.events)
		}
	}
	if c.delivery.account.Queued() != 0 {
		t.Errorf("%d cost units wait after all acks", c.delivery.account.Queued())
	}
}

// An ack by a stream that has been replaced frees nothing of its successor's and is not reported to the module.
func TestAckByAReplacedStreamIsStale(t *testing.T) {
	bind := commands{endpoint(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}
	opened := func(stream StreamID) StreamOpened {
		return StreamOpened{Stream: stream, Proxy: 4, Zone: "a", WithoutTable: true}
	}
	c, s := core(bind, commands{control.Bind{Proxy: 4}, control.RequestAck{Nonce: 2}})
	c.Turn(0, []Input{list(true, "xr"), opened(1)})
	o := c.Turn(1, []Input{opened(2)})
	if waits := c.delivery.account.Queued(); len(o.CloseStreams) != 1 || o.CloseStreams[0] != 1 || text(o) != "2: full x=1 #2" || waits == 0 {
		t.Fatalf("closed %v, %s", o.CloseStreams, text(o))
	}
	for _, n := range []Input{Ack{Stream: 1, Nonce: 1}, Ack{Stream: 1, Nonce: 2}, StreamClosed{1}} {
		waits := c.delivery.account.Queued()
		if c.Turn(2, []Input{n}); s.events != nil || c.delivery.account.Queued() != waits || c.streams.byProxy[4] == nil || c.streams.byProxy[4].id != 2 {
			t.Errorf("%+v: events %+v, %d cost units of %d wait", n, s.events, c.delivery.account.Queued(), waits)
		}
	}
	// It ends before the next one opens, all in one turn, in either order: one proxy, by the later stream.
	for _, inputs := range [][]Input{{StreamClosed{2}, opened(3)}, {opened(4), StreamClosed{3}}, {opened(6), opened(5)}, {StreamClosed{4}, StreamClosed{6}, opened(7), StreamClosed{7}, opened(8)}} {
		c.Turn(3, inputs)
	}
	if len(c.streams.byID) != 1 || len(c.streams.byProxy) != 1 || c.streams.byProxy[4].id != 8 {
		t.Errorf("proxies %v, streams %v", c.streams.byProxy, c.streams.byID)
	}
}

// Acks through a larger and slower channel arrive later: no proxy is reported as disconnected for that, or a whole fleet would
// be bound anew through it.
func TestSilenceTimeoutFollowsTheChannel(t *testing.T) {
	for _, w := range []struct {
		limit       int
		rate        float64
		transit     int64
		longest     int64
		description string
	}{{1800, 1200, 250e6, 10e9, "10 s are enough"}, {4000, 1000, 500e6, 23e9, "4 s of messages, five times as slow, there and back, and a stall"}} {
		s := &scriptedModule{turns: []commands{{endpoint(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}}}
		names := settings.Names{Classes: []string{"read"}, Zones: []string{"a"}, HardwareClasses: []string{"m1"}}
		c := New(func() Module { return s }, NewTopology(names, control.Settings{Proxies: 9, Classes: []control.TrafficClass{{Timeout: 2e9}},
			ChannelLimit: w.limit, ChannelRate: w.rate, MaxTransit: w.transit}))
		c.Turn(5, []Input{list(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a"}})
		if c.Turn(5+w.longest, nil); s.events != nil {
			t.Errorf("%s: events %+v in time", w.description, s.events)
		}
		if c.Turn(6+w.longest, nil); !reflect.DeepEqual(s.events, []control.Event{control.StreamClosed{Proxy: 4}}) {
			t.Errorf("%s: events %+v later", w.description, s.events)
		}
	}
}
