package controller_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/policy"
	"lilacbend/settings"
)

// This file checks in a simulation that core and module keep the limits of the channel and the invariants. In the simulation
// the channel may be slow, writers stall, acks are lost, many proxies connect and disconnect at once, lists change and
// modules fail.

const second = int64(1e9)

// simulatedProxy is a proxy and the state that it has received.
type simulatedProxy struct {
	stream      controller.StreamID // 0 if the proxy is not connected
	connectedAt int64
	zone        string
	endpoints   map[string]float64
	ejected     map[string]bool
	lastEntryAt int64   // when the last message enters the channel
	enteredAt   []int64 // when messages of the current connection entered the channel, within the message window
}

// message is an update that its writer has not yet written to the channel, or that waits in the channel.
type message struct {
	proxy, units int
	outgoing     controller.OutgoingUpdate
	entersAt     int64 // when the message enters the channel
}

// simulation runs a core and its module against simulated proxies, a channel and discovery.
type simulation struct {
	*rand.Rand
	settings          control.Settings
	core              *controller.Core
	cost              func(controller.Update) int // true cost units of an update, without the overhead
	proxies           []*simulatedProxy
	members           map[string]controller.Member // by name
	replicaNames      []string
	now               int64
	lastStream        controller.StreamID // the last stream opened
	inputs            []controller.Input  // inputs of the next turn
	unwritten         []message           // messages not yet written to the channel
	channelQueue      []message           // messages in the channel
	queuedUnits       int                 // cost units in the channel
	sendCredit        float64             // cost units that the channel may send now
	rateFactor        float64             // factor on the channel's rate; 1 is normal
	ackLossRate       float64             // fraction of acks that are lost
	modulePanics      bool                // the module panics occasionally
	writersNeverStall bool
	violation         string // the first violated limit or invariant
}

// failingModule panics occasionally while simulation.modulePanics is set.
type failingModule struct {
	controller.Module
	simulation *simulation
}

func (m failingModule) Turn(now int64, events []control.Event) []control.Command {
	if m.simulation.modulePanics && m.simulation.Intn(20) == 0 {
		panic("drawn")
	}
	return m.Module.Turn(now, events)
}

// updateCost returns the cost units of an update without the overhead of the message.
func updateCost(update controller.Update) int {
	units := len(update.Endpoints) + len(update.Ejected) + len(update.Unejected) + len(update.Admissions)
	if update.FullTable {
		units++
	}
	if update.WantsAck {
		units++
	}
	return units
}

func newSimulation(seed int64, proxies, replicas, controllers, limit, rate int, cost func(controller.Update) int) *simulation {
	sim := &simulation{Rand: rand.New(rand.NewSource(seed)), cost: cost, members: map[string]controller.Member{}, now: second, rateFactor: 1}
	sim.settings = control.Settings{Seed: uint64(seed), Controllers: controllers, Zones: 2, HardwareClasses: 2, Proxies: proxies * controllers, ChannelRate: float64(rate),
		ChannelLimit: limit, MessageOverhead: 4, MaxTransit: second / 4, DrainGrace: 8 * second, MaxMessages: 12, MessageWindow: 10 * second, ControllerQueues: true, ReportInterval: second,
		SlowStartFraction: 0.2, SlowStartTime: 20 * second, OverloadMultiple: 3, Admission: control.AdmitFraction, AttemptTimeoutFactor: 1, DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
			{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.NotIdempotent}}}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	sim.core = controller.New(func() controller.Module { return failingModule{policy.New(sim.settings), sim} }, controller.NewTopology(names, sim.settings))
	for k := range replicas {
		sim.replicaNames = append(sim.replicaNames, fmt.Sprintf("s-%04d", k))
		sim.members[sim.replicaNames[k]] = controller.Member{ID: sim.replicaNames[k], Zone: names.Zones[k%2], HardwareClass: "m1", Weight: 1}
	}
	sim.listReplicas(sim.replicaNames, true)
	for k := range proxies {
		sim.proxies = append(sim.proxies, &simulatedProxy{zone: names.Zones[k%2], endpoints: map[string]float64{}, ejected: map[string]bool{}})
	}
	return sim
}

// listReplicas adds a list with some replicas to the inputs of the next turn.
func (sim *simulation) listReplicas(names []string, complete bool) {
	list := controller.ReplicaList{Complete: complete, ReadAt: sim.now, ReadAtWallClock: sim.now}
	for _, name := range names {
		list.Members = append(list.Members, sim.members[name])
	}
	sim.inputs = append(sim.inputs, list)
}

// connect connects a proxy on a new stream.
func (sim *simulation) connect(proxy int) {
	p := sim.proxies[proxy]
	sim.lastStream++
	p.stream, p.connectedAt, p.enteredAt = sim.lastStream, sim.now, nil
	sim.inputs = append(sim.inputs, controller.StreamOpened{Stream: p.stream, Proxy: proxy, Zone: p.zone, RequestRate: 1, WithoutTable: len(p.endpoints)+len(p.ejected) == 0})
}

// step simulates one event of the given kind, lets a random period pass and runs a turn.
func (sim *simulation) step(event int) {
	count := 1 + sim.Intn(max(1, len(sim.proxies)))
	switch event {
	case 0, 1: // many proxies connect, some with a new stream while the old one is still open
		for range count {
			sim.connect(sim.Intn(len(sim.proxies)))
		}
	case 2: // many proxies disconnect
		for range count {
			if p := sim.proxies[sim.Intn(len(sim.proxies))]; p.stream != 0 {
				sim.inputs = append(sim.inputs, controller.StreamClosed{Stream: p.stream})
				p.stream = 0
			}
		}
	case 3, 4: // a release of some replicas
		var names []string
		for range 1 + sim.Intn(1+len(sim.replicaNames)/4) {
			m := sim.members[sim.replicaNames[sim.Intn(len(sim.replicaNames))]]
			m.State = control.State(sim.Intn(3))
			if m.StartedAt = 0; m.State == control.Ready {
				m.StartedAt = sim.now
			}
			sim.members[m.ID] = m
			names = append(names, m.ID)
		}
		sim.listReplicas(names, false)
	case 5: // collectors report outcomes with some failed attempts
		for range 20 {
			m := controller.OutcomeReport{Zone: "a", Replica: sim.replicaNames[sim.Intn(len(sim.replicaNames))]}
			m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, 20*sim.Intn(2), second/10, second
			sim.inputs = append(sim.inputs, m)
		}
	case 6: // send queues drop their updates
		for range count {
			if p := sim.proxies[sim.Intn(len(sim.proxies))]; p.stream != 0 {
				sim.inputs = append(sim.inputs, controller.UpdatesDropped{Stream: p.stream})
			}
		}
	case 7: // the channel's speed, the loss of acks and the module's failures change
		sim.rateFactor, sim.ackLossRate, sim.modulePanics = []float64{1, 1, 0.3, 0.05}[sim.Intn(4)], []float64{0, 0.2, 0.9}[sim.Intn(3)], sim.Intn(4) == 0
	}
	sim.advance([]int64{second / 100, second / 4, second, 4 * second}[sim.Intn(4)])
}

// advance lets the channel send for a period and runs a turn at its end.
func (sim *simulation) advance(span int64) {
	sim.now += span
	sim.sendCredit += float64(span) / float64(second) * sim.settings.ChannelRate * sim.rateFactor
	for len(sim.channelQueue) > 0 && sim.sendCredit >= float64(sim.channelQueue[0].units) {
		m := sim.channelQueue[0]
		sim.channelQueue, sim.queuedUnits, sim.sendCredit = sim.channelQueue[1:], sim.queuedUnits-m.units, sim.sendCredit-float64(m.units)
		sim.deliver(m)
	}
	if len(sim.channelQueue) == 0 {
		sim.sendCredit = 0
	}
	for k, p := range sim.proxies { // some proxies report their demand
		if p.stream != 0 && sim.Intn(4) == 0 {
			sim.inputs = append(sim.inputs, controller.Demand{Stream: p.stream, Class: "read", DemandReport: control.DemandReport{Proxy: k, Requests: 5, Period: second}})
		}
	}
	result := sim.core.Turn(sim.now, sim.inputs)
	sim.inputs = nil
	for _, outgoing := range result.Updates {
		for k, p := range sim.proxies {
			if p.stream == outgoing.Stream {
				stall := int64(0)
				if !sim.writersNeverStall {
					stall = sim.Int63n(2) * sim.Int63n(second)
				}
				p.lastEntryAt = max(p.lastEntryAt, sim.now+stall) // the messages of each stream enter in order
				sim.unwritten = append(sim.unwritten, message{k, sim.cost(outgoing.Update) + sim.settings.MessageOverhead, outgoing, p.lastEntryAt})
			}
		}
	}
	var unwritten []message
	for _, m := range sim.unwritten { // messages of a stalled writer are lost if their stream has ended
		if p := sim.proxies[m.proxy]; m.entersAt > sim.now {
			unwritten = append(unwritten, m)
		} else if p.stream == m.outgoing.Stream {
			sim.enterChannel(p, m)
		}
	}
	sim.unwritten = unwritten
}

// enterChannel puts a message into the channel and checks the limits of the channel and of the proxy's message cap.
func (sim *simulation) enterChannel(p *simulatedProxy, m message) {
	sim.inputs = append(sim.inputs, controller.MessageSent{ChargeNumber: m.outgoing.ChargeNumber})
	sim.channelQueue, sim.queuedUnits = append(sim.channelQueue, m), sim.queuedUnits+m.units
	if sim.queuedUnits > sim.settings.ChannelLimit && sim.violation == "" {
		sim.violation = fmt.Sprintf("%d cost units in the channel, limit %d", sim.queuedUnits, sim.settings.ChannelLimit)
	}
	p.enteredAt = append(p.enteredAt, sim.now)
	for sim.now-p.enteredAt[0] > sim.settings.MessageWindow {
		p.enteredAt = p.enteredAt[1:]
	}
	if len(p.enteredAt) > sim.settings.MaxMessages && sim.violation == "" {
		sim.violation = fmt.Sprintf("%d messages within a message window to proxy %d", len(p.enteredAt), m.proxy)
	}
	for _, l := range m.outgoing.Update.Admissions {
		if l.Class == "order" && l.Retries > control.RetryIfNotExecuted {
			sim.violation = "an admission allows retries of requests that are not idempotent and may have been executed"
		}
	}
}

// deliver delivers a message to its proxy, which may acknowledge it.
func (sim *simulation) deliver(m message) {
	p, update := sim.proxies[m.proxy], m.outgoing.Update
	if p.stream != m.outgoing.Stream {
		return
	}
	if update.FullTable {
		clear(p.endpoints)
	}
	for _, l := range update.Endpoints {
		if p.endpoints[l.Replica] = l.Weight; l.Weight == 0 {
			delete(p.endpoints, l.Replica)
		}
	}
	for _, id := range update.Ejected {
		p.ejected[id] = true
	}
	for _, id := range update.Unejected {
		delete(p.ejected, id)
	}
	if update.WantsAck && sim.Float64() >= sim.ackLossRate {
		sim.inputs = append(sim.inputs, controller.Ack{Stream: p.stream, Nonce: update.Nonce})
	}
}

// settle ends all faults and lets a period pass in which all pending changes are sent. It returns the first violated limit
// or invariant, or "".
func (sim *simulation) settle(span int64) string {
	sim.rateFactor, sim.ackLossRate, sim.modulePanics = 1, 0, false
	for until := sim.now + span; sim.now < until; {
		sim.advance(second / 4)
	}
	warm := false
	for _, m := range sim.members {
		warm = warm || m.State == control.Ready && sim.now-m.StartedAt > sim.settings.SlowStartTime
	}
	for k, p := range sim.proxies {
		usable := 0
		for id := range p.endpoints {
			if p.ejected[id] {
				continue
			}
			if usable++; sim.members[id].State != control.Ready && p.stream != 0 {
				return fmt.Sprintf("proxy %d still sends to %s", k, id)
			}
		}
		if usable == 0 && warm && p.stream != 0 {
			return fmt.Sprintf("proxy %d has no endpoint", k)
		}
	}
	return sim.violation
}

// Core and module keep the limits of the channel and the invariants for any sequence of simulated events.
func TestChannelLimitAndInvariantsHold(t *testing.T) {
	t.Parallel()
	for seed := range int64(100) { // fixed seeds, so that every run is the same
		draw := rand.New(rand.NewSource(seed))
		proxies := 2 + draw.Intn(39)
		limit := (20 + draw.Intn(41)) * proxies
		sim := newSimulation(seed, proxies, 1+draw.Intn(40), []int{1, 2, 5, 350}[draw.Intn(4)], limit, limit/(1+draw.Intn(4)), updateCost)
		var steps []int
		for range 1 + draw.Intn(60) {
			steps = append(steps, draw.Intn(8))
			sim.step(steps[len(steps)-1])
		}
		violation := sim.violation
		if violation == "" {
			violation = sim.settle(150 * second)
		}
		if violation != "" {
			t.Fatalf("seed %d, %d proxies, %d replicas, limit %d, %v cost units per second, steps %v: %s", seed, proxies, len(sim.replicaNames), limit, sim.settings.ChannelRate,
				steps, violation)
		}
	}
}

// The limits of the channel also hold at sizes that TestChannelLimitAndInvariantsHold does not draw.
func TestChannelLimitHoldsAtFullSize(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ proxies, replicas, controllers, limit int }{
		{2, 1024, 1024, 1800}, {7, 300, 350, 1800}, {450, 200, 5, 49200}, {2400, 200, 5, 49200}, {3000, 1024, 5, 60000},
	} {
		sim := newSimulation(1, c.proxies, c.replicas, c.controllers, c.limit, 1200, updateCost)
		sim.settings.MaxMessages = 30
		for k := range sim.proxies {
			sim.connect(k)
		}
		for _, event := range []int{7, 3, 0, 3, 2, 6, 3, 0} {
			sim.step(event)
		}
		if sim.violation != "" {
			t.Errorf("%+v: %s", c, sim.violation)
		}
	}
}

// Each part of a message's cost is needed to keep the channel's limit. The test makes the channel count one part once more
// than the core charges for it, as if the charge lacked that part. Some of the sequences must then exceed the limit.
func TestEachPartOfTheCostIsNeeded(t *testing.T) {
	t.Parallel()
	for part, extraCost := range map[string]func(controller.Update) int{
		"nothing":    func(p controller.Update) int { return 0 },
		"overhead":   func(p controller.Update) int { return 4 },
		"endpoints":  func(p controller.Update) int { return len(p.Endpoints) },
		"ejected":    func(p controller.Update) int { return len(p.Ejected) },
		"unejected":  func(p controller.Update) int { return 5 * len(p.Unejected) },  // counted five times, since a subset has only three unejections
		"admissions": func(p controller.Update) int { return 5 * len(p.Admissions) }, // counted five times, since updates have few admissions
		"resyncs":    func(p controller.Update) int { return map[bool]int{true: updateCost(p)}[p.Resync] },
		"full with ack requests": func(p controller.Update) int {
			return 5 * (map[bool]int{true: 1}[p.FullTable] + map[bool]int{true: 1}[p.WantsAck])
		}, // counted five times, since full updates and ack requests are few
	} {
		violations := 0
		for seed := range int64(40) {
			sim := newSimulation(seed, 30, 24, 2, 600, 4800, func(p controller.Update) int { return updateCost(p) + extraCost(p) })
			sim.rateFactor, sim.ackLossRate = 0.005, 0.9
			for k := range sim.proxies {
				sim.connect(k)
			}
			for range 40 {
				sim.step([]int{0, 3, 3, 5, 6}[sim.Intn(5)])
			}
			if sim.violation != "" {
				violations++
			}
		}
		if (violations == 0) != (part == "nothing") {
			t.Errorf("without a charge for %s: %d of 40 sequences exceed a limit", part, violations)
		}
	}
}

// BenchmarkTurnThatBindsAll measures a turn in which all proxies connect and are bound as far as the channel has capacity.
func BenchmarkTurnThatBindsAll(b *testing.B) {
	for _, proxies := range []int{480, 1200, 2400} {
		for _, replicas := range []int{200, 1024} {
			b.Run(fmt.Sprintf("%dx%d", proxies, replicas), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					sim := newSimulation(1, proxies, replicas, 1, 1<<20, 1<<20, updateCost)
					sim.core.Turn(sim.now, sim.inputs)
					sim.inputs = nil
					for k := range sim.proxies {
						sim.connect(k)
					}
					b.StartTimer()
					if o := sim.core.Turn(sim.now+second/4, sim.inputs); len(o.Updates) == 0 {
						b.Fatal("no proxy was bound")
					}
				}
			})
		}
	}
}

// BenchmarkTurnAtSize measures turns of a controller with all proxies connected, where each turn has the reports of a
// quarter of a second: the turns' duration, their allocations, and the memory per proxy.
func BenchmarkTurnAtSize(b *testing.B) {
	for _, c := range []struct{ proxies, replicas int }{{480, 60}, {1280, 120}, {2400, 200}, {10000, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", c.proxies, c.replicas), func(b *testing.B) {
			var before, connected, start, end runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sim := newSimulation(1, c.proxies, c.replicas, 1, 1<<20, 1<<20, updateCost)
			for k := range sim.proxies {
				sim.connect(k)
			}
			for range 40 {
				sim.advance(second / 4)
			}
			runtime.GC()
			runtime.ReadMemStats(&connected)
			var durations []time.Duration
			allocs := uint64(0)
			for b.Loop() {
				for range 40 { // a quarter of a second's share of about 150 reports per second
					m := controller.OutcomeReport{Zone: "a", Replica: sim.replicaNames[sim.Intn(len(sim.replicaNames))]}
					m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, sim.Intn(2), second/10+int64(sim.Intn(int(second/20))), second
					sim.inputs = append(sim.inputs, m)
				}
				sim.now += second / 4
				inputs := sim.inputs
				sim.inputs = nil
				runtime.ReadMemStats(&start)
				began := time.Now()
				sim.core.Turn(sim.now, inputs)
				durations = append(durations, time.Since(began))
				runtime.ReadMemStats(&end)
				allocs += end.Mallocs - start.Mallocs
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2])/1e6, "p50-ms")
			b.ReportMetric(float64(durations[len(durations)*99/100])/1e6, "p99-ms")
			b.ReportMetric(float64(allocs)/float64(len(durations)), "allocs/turn")
			b.ReportMetric(float64(connected.HeapAlloc-before.HeapAlloc)/float64(c.proxies), "B/proxy")
		})
	}
}
