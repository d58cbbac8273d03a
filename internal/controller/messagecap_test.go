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
		MaxMessages: messages, MessageWindow: 10 * second, HostQueues: true, ReportInterval: second / 2,
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
	p := cappedSettings(grace, 6)
	p.ChannelRate, p.ChannelLimit = 1200, 1800
	names := settings.Names{Classes: []string{"read"}, Zones: []string{"a"}, HardwareClasses: []string{"m1"}}
	core := controller.New(func() controller.Module { return policy.New(p) }, controller.NewTopology(names, p))
	list := func(drains string) controller.ReplicaList {
		l := controller.ReplicaList{Complete: true, ReadAt: second, ReadAtWall: second}
		for k := range 6 {
			m := controller.Member{ID: fmt.Sprint("s-", k), Zone: "a", HardwareClass: "m1", Weight: 1}
			if m.ID == drains {
				m.State = control.Draining
			}
			l.Members = append(l.Members, m)
		}
		return l
	}
	stream, owner, left := controller.StreamID(0), map[controller.StreamID]int{}, map[int]bool{}
	join := func(proxy int) controller.StreamOpened {
		stream++
		owner[stream] = proxy
		return controller.StreamOpened{Stream: stream, Proxy: proxy, Zone: "a", Rate: 10, WithoutTable: true}
	}
	inputs := []controller.Input{list("")}
	for proxy := range p.Proxies {
		inputs = append(inputs, join(proxy))
	}
	drainedAt := int64(0)
	for now := second; now < 12*second; now += second / 10 {
		o := core.Turn(now, inputs)
		inputs = nil
		for _, s := range o.Updates {
			if s.Update.WantsAck && s.Stream > 0 {
				inputs = append(inputs, controller.MessageSent{Number: s.Number}, controller.Ack{Stream: s.Stream, Nonce: s.Update.Nonce})
			}
			drops := slices.Contains(s.Update.Endpoints, controller.WeightedEndpoint{Replica: "s-0"}) || slices.Contains(s.Update.Ejected, "s-0")
			if drainedAt > 0 && drops && now <= drainedAt+grace {
				left[owner[s.Stream]] = true
			}
		}
		switch {
		case now < 26*second/10 && (now/(second/10))%4 == 0: // with the first connection, this uses the cap up to one message
			inputs = append(inputs, join(0))
		case drainedAt == 0 && now >= 3*second:
			drainedAt, inputs = now, append(inputs, list("s-0"))
		}
	}
	for proxy := 1; proxy < p.Proxies; proxy++ {
		if !left[proxy] {
			t.Errorf("proxy %d was not told within the grace that replica s-0 is draining", proxy)
		}
	}
}

// A release drains forty replicas one after another, faster than a proxy may get messages. Each proxy must stop using each
// replica within the grace: the first thirty drains must not use up the message cap.
func TestDrainGraceHoldsForMoreStepsThanMessages(t *testing.T) {
	const (
		grace    = 2 * second
		replicas = 60
		step     = second / 7
	)
	p := cappedSettings(grace, 30)
	p.ChannelRate, p.ChannelLimit = 20000, 6000
	names := settings.Names{Classes: []string{"read"}, Zones: []string{"a"}, HardwareClasses: []string{"m1"}}
	core := controller.New(func() controller.Module { return policy.New(p) }, controller.NewTopology(names, p))
	list := controller.ReplicaList{Complete: true, ReadAt: second, ReadAtWall: second}
	for k := range replicas {
		list.Members = append(list.Members, controller.Member{ID: fmt.Sprint("s-", k), Zone: "a", HardwareClass: "m1", Weight: 1})
	}
	inputs := []controller.Input{list}
	for proxy := range p.Proxies {
		inputs = append(inputs, controller.StreamOpened{Stream: controller.StreamID(proxy + 1), Proxy: proxy, Zone: "a", Rate: 10, WithoutTable: true})
	}
	holds, messages := map[controller.StreamID]map[string]bool{}, map[controller.StreamID]int{}
	drained := map[string]int64{}
	for now := second; now < 15*second; now += second / 100 {
		if k := (now - 4*second) / step; now >= 4*second && k < 40 && len(drained) <= int(k) {
			m := list.Members[k]
			m.State = control.Draining
			drained[m.ID] = now
			inputs = append(inputs, controller.ReplicaList{Revision: 1, ReadAt: now, ReadAtWall: now, Members: []controller.Member{m}})
		}
		o := core.Turn(now, inputs)
		inputs = nil
		for _, s := range o.Updates {
			held := holds[s.Stream]
			if held == nil || s.Update.Full {
				held = map[string]bool{}
				holds[s.Stream] = held
			}
			for _, line := range s.Update.Endpoints {
				held[line.Replica] = line.Weight > 0
			}
			for _, id := range s.Update.Ejected {
				held[id] = false
			}
			if now >= 4*second {
				messages[s.Stream]++
			}
			inputs = append(inputs, controller.MessageSent{Number: s.Number})
			if s.Update.WantsAck {
				inputs = append(inputs, controller.Ack{Stream: s.Stream, Nonce: s.Update.Nonce})
			}
		}
		for id, at := range drained {
			for stream, held := range holds {
				if held[id] && now > at+grace-p.MaxTransit {
					t.Fatalf("stream %d, %d messages since the release began: not told by %d ms that %s has been draining since %d ms", stream, messages[stream], now/1e6, id, at/1e6)
				}
			}
		}
	}
	if len(holds) != p.Proxies || len(drained) != 40 {
		t.Errorf("%d proxies hold a table, %d replicas drained", len(holds), len(drained))
	}
}
