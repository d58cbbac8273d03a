package controller_test

import (
	"fmt"
	"slices"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/policy"
	"lilacbend/settings"
)

// cappedSettings returns settings with six proxies, each of which may get the given number of messages in 10 s. The test
// sets the limits of the channel itself.
func cappedSettings(grace int64, messages int) control.Settings {
	return control.Settings{
		Seed: 5, Controllers: 1, Zones: 1, HardwareClasses: 2, Proxies: 6,
		MessageOverhead: 4, MaxTransit: second / 4, DrainGrace: grace,
		MaxMessages: messages, MessageWindow: 10 * second, ControllerQueues: true, ReportInterval: second / 2,
		SlowStartFraction: 0.2, SlowStartTime: 10 * second, OverloadMultiple: 3,
		Admission: control.AdmitFraction, AttemptTimeoutFactor: 1, DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent}},
	}
}

// A proxy that reconnects repeatedly uses up its message cap. A replica that starts draining then must still be removed at
// the other proxies of the table within the grace: the core holds back only the updates of the capped proxy, and the module
// must not delay the others.
func TestCappedProxyDoesNotDelayOthers(t *testing.T) {
	const grace = 2 * second
	capped := cappedSettings(grace, 6)
	capped.ChannelRate, capped.ChannelLimit = 1200, 1800
	names := settings.Names{Classes: []string{"read"}, Zones: []string{"a"}, HardwareClasses: []string{"m1"}}
	core := controller.New(func() controller.Module { return policy.New(capped) }, controller.NewTopology(names, capped))
	list := func(drains string) controller.ReplicaList {
		list := controller.ReplicaList{Complete: true, ReadAt: second, ReadAtWallClock: second}
		for k := range 6 {
			m := controller.Member{ID: fmt.Sprint("s-", k), Zone: "a", HardwareClass: "m1", Weight: 1}
			if m.ID == drains {
				m.State = control.Draining
			}
			list.Members = append(list.Members, m)
		}
		return list
	}
	stream, owner, stopped := controller.StreamID(0), map[controller.StreamID]int{}, map[int]bool{}
	connect := func(proxy int) controller.StreamOpened {
		stream++
		owner[stream] = proxy
		return controller.StreamOpened{Stream: stream, Proxy: proxy, Zone: "a", RequestRate: 10, WithoutTable: true}
	}
	inputs := []controller.Input{list("")}
	for proxy := range capped.Proxies {
		inputs = append(inputs, connect(proxy))
	}
	drainedAt := int64(0)
	for now := second; now < 12*second; now += second / 10 {
		result := core.Turn(now, inputs)
		inputs = nil
		for _, outgoing := range result.Updates {
			if outgoing.Update.WantsAck && outgoing.Stream > 0 {
				inputs = append(inputs, controller.MessageSent{ChargeNumber: outgoing.ChargeNumber}, controller.Ack{Stream: outgoing.Stream, Nonce: outgoing.Update.Nonce})
			}
			drops := slices.Contains(outgoing.Update.Endpoints, controller.WeightedEndpoint{Replica: "s-0"}) || slices.Contains(outgoing.Update.Ejected, "s-0")
			if drainedAt > 0 && drops && now <= drainedAt+grace {
				stopped[owner[outgoing.Stream]] = true
			}
		}
		switch {
		case now < 26*second/10 && (now/(second/10))%4 == 0: // these connections and the first one together leave one message of the cap
			inputs = append(inputs, connect(0))
		case drainedAt == 0 && now >= 3*second:
			drainedAt, inputs = now, append(inputs, list("s-0"))
		}
	}
	for proxy := 1; proxy < capped.Proxies; proxy++ {
		if !stopped[proxy] {
			t.Errorf("proxy %d was not notified within the grace that replica s-0 is draining", proxy)
		}
	}
}

// A release drains forty replicas one after another, faster than a proxy may get messages. Each proxy must stop using each
// replica within the grace: the first thirty drains must not use up the message cap.
func TestDrainGraceHoldsForMoreDrainsThanMessages(t *testing.T) {
	const (
		grace    = 2 * second
		replicas = 60
		step     = second / 7
	)
	capped := cappedSettings(grace, 30)
	capped.ChannelRate, capped.ChannelLimit = 20000, 6000
	names := settings.Names{Classes: []string{"read"}, Zones: []string{"a"}, HardwareClasses: []string{"m1"}}
	core := controller.New(func() controller.Module { return policy.New(capped) }, controller.NewTopology(names, capped))
	list := controller.ReplicaList{Complete: true, ReadAt: second, ReadAtWallClock: second}
	for k := range replicas {
		list.Members = append(list.Members, controller.Member{ID: fmt.Sprint("s-", k), Zone: "a", HardwareClass: "m1", Weight: 1})
	}
	inputs := []controller.Input{list}
	for proxy := range capped.Proxies {
		inputs = append(inputs, controller.StreamOpened{Stream: controller.StreamID(proxy + 1), Proxy: proxy, Zone: "a", RequestRate: 10, WithoutTable: true})
	}
	tables, messages := map[controller.StreamID]map[string]bool{}, map[controller.StreamID]int{}
	drained := map[string]int64{}
	for now := second; now < 15*second; now += second / 100 {
		if k := (now - 4*second) / step; now >= 4*second && k < 40 && len(drained) <= int(k) {
			m := list.Members[k]
			m.State = control.Draining
			drained[m.ID] = now
			inputs = append(inputs, controller.ReplicaList{Revision: 1, ReadAt: now, ReadAtWallClock: now, Members: []controller.Member{m}})
		}
		result := core.Turn(now, inputs)
		inputs = nil
		for _, outgoing := range result.Updates {
			usable := tables[outgoing.Stream]
			if usable == nil || outgoing.Update.FullTable {
				usable = map[string]bool{}
				tables[outgoing.Stream] = usable
			}
			for _, endpoint := range outgoing.Update.Endpoints {
				usable[endpoint.Replica] = endpoint.Weight > 0
			}
			for _, id := range outgoing.Update.Ejected {
				usable[id] = false
			}
			if now >= 4*second {
				messages[outgoing.Stream]++
			}
			inputs = append(inputs, controller.MessageSent{ChargeNumber: outgoing.ChargeNumber})
			if outgoing.Update.WantsAck {
				inputs = append(inputs, controller.Ack{Stream: outgoing.Stream, Nonce: outgoing.Update.Nonce})
			}
		}
		for id, at := range drained {
			for stream, usable := range tables {
				if usable[id] && now > at+grace-capped.MaxTransit {
					t.Fatalf("stream %d, %d messages since the release began: not notified by %d ms that %s has been draining since %d ms", stream, messages[stream], now/1e6, id, at/1e6)
				}
			}
		}
	}
	if len(tables) != capped.Proxies || len(drained) != 40 {
		t.Errorf("%d proxies hold a table, %d replicas drained", len(tables), len(drained))
	}
}
