package controller

import (
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/settings"
)

// This file tests inputs that race with each other within one turn, or with the end of a module or a stream: see
// docs/crossings.md.

// All lists that are applied in one turn have the same time. A replica that the last complete list does not contain must
// still be marked as gone. Otherwise a new module would consider the replica ready, and the core would never evict its name.
func TestListsOfOneTurnAreAppliedInOrder(t *testing.T) {
	for name, lists := range map[string][]Input{
		"complete, complete":          {replicaList(true, "xr", "yr"), replicaList(true, "yr")},
		"changes, complete":           {replicaList(true, "yr"), replicaList(false, "xr"), replicaList(true, "yr")},
		"complete, changes, complete": {replicaList(true, "xr", "yr"), replicaList(false, "xt"), replicaList(true, "yr")},
	} {
		c, _ := newTestCore()
		c.Turn(7, lists)
		if list := c.replicas.currentList(); len(list.Entries) != 1 || c.replicas.byNumber[list.Entries[0].Replica].name != "y" {
			t.Errorf("%s: a new module gets %+v, want only replica y", name, list.Entries)
		}
		if c.evictUnused(8 + nameRetention); c.replicas.numbers["x"] != 0 || c.replicas.numbers["y"] == 0 {
			t.Errorf("%s: names kept %v", name, c.replicas.numbers)
		}
	}
}

// If a replica is gone and then ready again within one list, or in two lists of one turn, its last entry applies.
func TestLastEntryOfATurnApplies(t *testing.T) {
	startedAt := func(m Member, since int64) Member { m.StartedAt = since; return m }
	x := replicaList(false, "xr").Members[0]
	gone := replicaList(false, "xg").Members[0]
	for name, lists := range map[string][]ReplicaList{
		"one list":  {{Members: []Member{gone, startedAt(x, 900e9)}}},
		"two lists": {{Members: []Member{gone}}, {Members: []Member{startedAt(x, 900e9)}}},
	} {
		c, module := newTestCore()
		c.Turn(1, []Input{replicaList(true, "xr")})
		var inputs []Input
		for _, list := range lists {
			list.ReadAt, list.ReadAtWallClock = 1000e9, 1000e9
			inputs = append(inputs, list)
		}
		c.Turn(2, inputs)
		var last control.ListedReplica
		for _, e := range module.events {
			for _, entry := range e.(control.ReplicasListed).Entries {
				last = entry
			}
		}
		if want := (control.ListedReplica{Replica: 1, Zone: 1, HardwareClass: 1, Weight: 1, StartedAt: 900e9}); last != want || c.replicas.byNumber[1].State != control.Ready {
			t.Errorf("%s: the last entry that the module gets is %+v, want %+v", name, last, want)
		}
	}
}

// Acks of a failed module's messages are not reported to the next module. That module counts its nonces from the beginning,
// so an old ack with the same nonce would complete a step before the proxies have applied it.
func TestAcksOfAFailedModuleAreNotReported(t *testing.T) {
	requestAck := func(n uint64) control.RequestAck { return control.RequestAck{Nonce: n} }
	c, module := newTestCore(commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, requestAck(2)}, commands{setEndpoint(0, 1, 2), requestAck(3)}, panickingTurn,
		commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, requestAck(2)})
	c.Turn(0, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a", WithoutTable: true}})
	c.Turn(1, nil)
	if c.Turn(2, nil); c.Counters.ModuleRestarts != 1 || c.delivery.account.Queued() == 0 {
		t.Fatalf("%d module restarts, %d cost units charged", c.Counters.ModuleRestarts, c.delivery.account.Queued())
	}
	for step, want := range [][]control.Event{nil, nil, {control.Ack{Proxy: 4, Nonce: 2}}} { // acks of the failed module's nonces 2 and 3, then of the new module's nonce 2
		nonce := uint64([]int{2, 3, 2}[step])
		if c.Turn(int64(3+step), []Input{Ack{Stream: 1, Nonce: nonce}}); !reflect.DeepEqual(module.events, want) {
			t.Errorf("ack %d of nonce %d: events %+v", step, nonce, module.events)
		}
	}
	if c.delivery.account.Queued() != 0 {
		t.Errorf("%d cost units charged after all acks", c.delivery.account.Queued())
	}
}

// An ack on a replaced stream releases no charges of the new stream and is not reported to the module.
func TestAckOnAReplacedStreamIsStale(t *testing.T) {
	bind := commands{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}
	opened := func(stream StreamID) StreamOpened {
		return StreamOpened{Stream: stream, Proxy: 4, Zone: "a", WithoutTable: true}
	}
	c, module := newTestCore(bind, commands{control.Bind{Proxy: 4}, control.RequestAck{Nonce: 2}})
	c.Turn(0, []Input{replicaList(true, "xr"), opened(1)})
	result := c.Turn(1, []Input{opened(2)})
	if queued := c.delivery.account.Queued(); len(result.CloseStreams) != 1 || result.CloseStreams[0] != 1 || formatUpdates(result) != "2: full x=1 #2" || queued == 0 {
		t.Fatalf("closed %v, %s", result.CloseStreams, formatUpdates(result))
	}
	for _, input := range []Input{Ack{Stream: 1, Nonce: 1}, Ack{Stream: 1, Nonce: 2}, StreamClosed{1}} {
		queued := c.delivery.account.Queued()
		if c.Turn(2, []Input{input}); module.events != nil || c.delivery.account.Queued() != queued || c.streams.byProxy[4] == nil || c.streams.byProxy[4].id != 2 {
			t.Errorf("%+v: events %+v, %d cost units of %d charged", input, module.events, c.delivery.account.Queued(), queued)
		}
	}
	// Streams of one proxy open and close within one turn in various orders. The proxy must always have the latest stream.
	for _, inputs := range [][]Input{{StreamClosed{2}, opened(3)}, {opened(4), StreamClosed{3}}, {opened(6), opened(5)}, {StreamClosed{4}, StreamClosed{6}, opened(7), StreamClosed{7}, opened(8)}} {
		c.Turn(3, inputs)
	}
	if len(c.streams.byID) != 1 || len(c.streams.byProxy) != 1 || c.streams.byProxy[4].id != 8 {
		t.Errorf("proxies %v, streams %v", c.streams.byProxy, c.streams.byID)
	}
}

// Acks arrive later if the channel is larger or slower. A proxy must not be reported as disconnected because of that, since
// the whole fleet would then be bound again through the slow channel.
func TestSilenceTimeoutFollowsTheChannel(t *testing.T) {
	for _, channel := range []struct {
		limit       int
		rate        float64
		transit     int64
		longest     int64
		description string
	}{{1800, 1200, 250e6, 10e9, "the minimum of 10 s"}, {4000, 1000, 500e6, 23e9, "4 s of messages at a fifth of the rate, two transits and a stall"}} {
		module := &scriptedModule{turns: []commands{{setEndpoint(0, 1, 1), control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}}}
		names := settings.Names{Classes: []string{"read"}, Zones: []string{"a"}, HardwareClasses: []string{"m1"}}
		c := New(func() Module { return module }, NewTopology(names, control.Settings{Proxies: 9, Classes: []control.TrafficClass{{Timeout: 2e9}},
			ChannelLimit: channel.limit, ChannelRate: channel.rate, MaxTransit: channel.transit}))
		c.Turn(5, []Input{replicaList(true, "xr"), StreamOpened{Stream: 1, Proxy: 4, Zone: "a"}})
		if c.Turn(5+channel.longest, nil); module.events != nil {
			t.Errorf("%s: events %+v before the timeout, want none", channel.description, module.events)
		}
		if c.Turn(6+channel.longest, nil); !reflect.DeepEqual(module.events, []control.Event{control.StreamClosed{Proxy: 4}}) {
			t.Errorf("%s: events %+v after the timeout", channel.description, module.events)
		}
	}
}
