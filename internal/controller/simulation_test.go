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
	stream       controller.StreamID // 0 if the proxy is not connected
	connectedAt  int64
	zone         string
	endpoints    map[string]float64
	ejected      map[string]bool
	lastEntersAt int64   // when the last message enters the channel
	receivedAt   []int64 // when messages of the current connection entered the channel, within the message window
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
	lastStream        controller.StreamID // the last one opened
	inputs            []controller.Input  // of the next turn
	unwritten         []message           // not yet written to the channel
	channelQueue      []message           // in the channel
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
	if update.Full {
		units++
	}
	if update.WantsAck {
		units++
	}
	return units
}

func newSimulation(seed int64, proxies, replicas, controllers, limit, rate int, cost func(controller.Update) int) *simulation {
	w := &simulation{Rand: rand.New(rand.NewSource(seed)), cost: cost, members: map[string]controller.Member{}, now: second, rateFactor: 1}
	w.settings = control.Settings{Seed: uint64(seed), Controllers: controllers, Zones: 2, HardwareClasses: 2, Proxies: proxies * controllers, ChannelRate: float64(rate),
		ChannelLimit: limit, MessageOverhead: 4, MaxTransit: second / 4, DrainGrace: 8 * second, MaxMessages: 12, MessageWindow: 10 * second, HostQueues: true, ReportInterval: second,
		SlowStartFraction: 0.2, SlowStartTime: 20 * second, OverloadMultiple: 3, Admission: control.AdmitFraction, AttemptTimeoutFactor: 1, DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
			{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.NotIdempotent}}}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	w.core = controller.New(func() controller.Module { return failingModule{policy.New(w.settings), w} }, controller.NewTopology(names, w.settings))
	for k := range replicas {
		w.replicaNames = append(w.replicaNames, fmt.Sprintf("s-%04d", k))
		w.members[w.replicaNames[k]] = controller.Member{ID: w.replicaNames[k], Zone: names.Zones[k%2], HardwareClass: "m1", Weight: 1}
	}
	w.listReplicas(w.replicaNames, true)
	for k := range proxies {
		w.proxies = append(w.proxies, &simulatedProxy{zone: names.Zones[k%2], endpoints: map[string]float64{}, ejected: map[string]bool{}})
	}
	return w
}

// listReplicas adds a list with some replicas to the inputs of the next turn.
func (w *simulation) listReplicas(names []string, complete bool) {
	list := controller.ReplicaList{Complete: complete, ReadAt: w.now, ReadAtWall: w.now}
	for _, name := range names {
		list.Members = append(list.Members, w.members[name])
	}
	w.inputs = append(w.inputs, list)
}

// connect connects a proxy by a new stream.
func (w *simulation) connect(proxy int) {
	p := w.proxies[proxy]
	w.lastStream++
	p.stream, p.connectedAt, p.receivedAt = w.lastStream, w.now, nil
	w.inputs = append(w.inputs, controller.StreamOpened{Stream: p.stream, Proxy: proxy, Zone: p.zone, Rate: 1, WithoutTable: len(p.endpoints)+len(p.ejected) == 0})
}

// step simulates one event of the given kind, lets a random period pass and runs a turn.
func (w *simulation) step(event int) {
	count := 1 + w.Intn(max(1, len(w.proxies)))
	switch event {
	case 0, 1: // many proxies connect, some with a new stream while the old one is still open
		for range count {
			w.connect(w.Intn(len(w.proxies)))
		}
	case 2: // many proxies disconnect
		for range count {
			if p := w.proxies[w.Intn(len(w.proxies))]; p.stream != 0 {
				w.inputs = append(w.inputs, controller.StreamClosed{Stream: p.stream})
				p.stream = 0
			}
		}
	case 3, 4: // a release of some replicas
		var names []string
		for range 1 + w.Intn(1+len(w.replicaNames)/4) {
			m := w.members[w.replicaNames[w.Intn(len(w.replicaNames))]]
			m.State = control.State(w.Intn(3))
			if m.UpSince = 0; m.State == control.Ready {
				m.UpSince = w.now
			}
			w.members[m.ID] = m
			names = append(names, m.ID)
		}
		w.listReplicas(names, false)
	case 5: // collectors report outcomes with some failed attempts
		for range 20 {
			m := controller.Outcomes{Zone: "a", Replica: w.replicaNames[w.Intn(len(w.replicaNames))]}
			m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, 20*w.Intn(2), second/10, second
			w.inputs = append(w.inputs, m)
		}
	case 6: // send queues drop their updates
		for range count {
			if p := w.proxies[w.Intn(len(w.proxies))]; p.stream != 0 {
				w.inputs = append(w.inputs, controller.UpdatesDropped{Stream: p.stream})
			}
		}
	case 7: // the channel's speed, the loss of acks and the module's failures change
		w.rateFactor, w.ackLossRate, w.modulePanics = []float64{1, 1, 0.3, 0.05}[w.Intn(4)], []float64{0, 0.2, 0.9}[w.Intn(3)], w.Intn(4) == 0
	}
	w.advance([]int64{second / 100, second / 4, second, 4 * second}[w.Intn(4)])
}

// advance lets the channel send for a period and runs a turn at its end.
func (w *simulation) advance(span int64) {
	w.now += span
	w.sendCredit += float64(span) / float64(second) * w.settings.ChannelRate * w.rateFactor
	for len(w.channelQueue) > 0 && w.sendCredit >= float64(w.channelQueue[0].units) {
		m := w.channelQueue[0]
		w.channelQueue, w.queuedUnits, w.sendCredit = w.channelQueue[1:], w.queuedUnits-m.units, w.sendCredit-float64(m.units)
		w.deliver(m)
	}
	if len(w.channelQueue) == 0 {
		w.sendCredit = 0
	}
	for k, p := range w.proxies { // some proxies report their demand
		if p.stream != 0 && w.Intn(4) == 0 {
			w.inputs = append(w.inputs, controller.Demand{Stream: p.stream, Class: "read", Demand: control.Demand{Proxy: k, Requests: 5, Period: second}})
		}
	}
	result := w.core.Turn(w.now, w.inputs)
	w.inputs = nil
	for _, outgoing := range result.Updates {
		for k, p := range w.proxies {
			if p.stream == outgoing.Stream {
				stall := int64(0)
				if !w.writersNeverStall {
					stall = w.Int63n(2) * w.Int63n(second)
				}
				p.lastEntersAt = max(p.lastEntersAt, w.now+stall) // in order on each stream
				w.unwritten = append(w.unwritten, message{k, w.cost(outgoing.Update) + w.settings.MessageOverhead, outgoing, p.lastEntersAt})
			}
		}
	}
	var unwritten []message
	for _, m := range w.unwritten { // messages of a stalled writer are lost if their stream has ended
		if p := w.proxies[m.proxy]; m.entersAt > w.now {
			unwritten = append(unwritten, m)
		} else if p.stream == m.outgoing.Stream {
			w.enterChannel(p, m)
		}
	}
	w.unwritten = unwritten
}

// enterChannel puts a message into the channel and checks the limits of the channel and of the proxy's message cap.
func (w *simulation) enterChannel(p *simulatedProxy, m message) {
	w.inputs = append(w.inputs, controller.MessageSent{Number: m.outgoing.Number})
	w.channelQueue, w.queuedUnits = append(w.channelQueue, m), w.queuedUnits+m.units
	if w.queuedUnits > w.settings.ChannelLimit && w.violation == "" {
		w.violation = fmt.Sprintf("%d cost units in the channel, limit %d", w.queuedUnits, w.settings.ChannelLimit)
	}
	p.receivedAt = append(p.receivedAt, w.now)
	for w.now-p.receivedAt[0] > w.settings.MessageWindow {
		p.receivedAt = p.receivedAt[1:]
	}
	if len(p.receivedAt) > w.settings.MaxMessages && w.violation == "" {
		w.violation = fmt.Sprintf("%d messages within a message window to proxy %d", len(p.receivedAt), m.proxy)
	}
	for _, l := range m.outgoing.Update.Admissions {
		if l.Class == "order" && l.Retries > control.RetryIfNotExecuted {
			w.violation = "an admission allows retries of requests that are not idempotent and may have been executed"
		}
	}
}

// deliver delivers a message to its proxy, which may acknowledge it.
func (w *simulation) deliver(m message) {
	p, update := w.proxies[m.proxy], m.outgoing.Update
	if p.stream != m.outgoing.Stream {
		return
	}
	if update.Full {
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
	if update.WantsAck && w.Float64() >= w.ackLossRate {
		w.inputs = append(w.inputs, controller.Ack{Stream: p.stream, Nonce: update.Nonce})
	}
}

// settle ends all faults and lets a period pass in which all pending changes are sent. It returns the first violated limit
// or invariant, or "".
func (w *simulation) settle(span int64) string {
	w.rateFactor, w.ackLossRate, w.modulePanics = 1, 0, false
	for until := w.now + span; w.now < until; {
		w.advance(second / 4)
	}
	warm := false
	for _, m := range w.members {
		warm = warm || m.State == control.Ready && w.now-m.UpSince > w.settings.SlowStartTime
	}
	for k, p := range w.proxies {
		usable := 0
		for id := range p.endpoints {
			if p.ejected[id] {
				continue
			}
			if usable++; w.members[id].State != control.Ready && p.stream != 0 {
				return fmt.Sprintf("proxy %d still sends to %s", k, id)
			}
		}
		if usable == 0 && warm && p.stream != 0 {
			return fmt.Sprintf("proxy %d has no endpoint", k)
		}
	}
	return w.violation
}

// Core and module keep the limits of the channel and the invariants for any sequence of simulated events.
func TestChannelLimitAndInvariantsHold(t *testing.T) {
	t.Parallel()
	for seed := range int64(100) { // fixed seeds, so that every run is the same
		draw := rand.New(rand.NewSource(seed))
		proxies := 2 + draw.Intn(39)
		limit := (20 + draw.Intn(41)) * proxies
		w := newSimulation(seed, proxies, 1+draw.Intn(40), []int{1, 2, 5, 350}[draw.Intn(4)], limit, limit/(1+draw.Intn(4)), updateCost)
		var steps []int
		for range 1 + draw.Intn(60) {
			steps = append(steps, draw.Intn(8))
			w.step(steps[len(steps)-1])
		}
		violation := w.violation
		if violation == "" {
			violation = w.settle(150 * second)
		}
		if violation != "" {
			t.Fatalf("seed %d, %d proxies, %d replicas, limit %d, %v cost units per second, steps %v: %s", seed, proxies, len(w.replicaNames), limit, w.settings.ChannelRate,
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
		w := newSimulation(1, c.proxies, c.replicas, c.controllers, c.limit, 1200, updateCost)
		w.settings.MaxMessages = 30
		for k := range w.proxies {
			w.connect(k)
		}
		for _, what := range []int{7, 3, 0, 3, 2, 6, 3, 0} {
			w.step(what)
		}
		if w.violation != "" {
			t.Errorf("%+v: %s", c, w.violation)
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
		"unejected":  func(p controller.Update) int { return 5 * len(p.Unejected) },  // five times, since a subset has only three unejections
		"admissions": func(p controller.Update) int { return 5 * len(p.Admissions) }, // five times, since admissions are few
		"resyncs":    func(p controller.Update) int { return map[bool]int{true: updateCost(p)}[p.Resync] },
		"full with ack requests": func(p controller.Update) int {
			return 5 * (map[bool]int{true: 1}[p.Full] + map[bool]int{true: 1}[p.WantsAck])
		}, // five times, since these are few
	} {
		violations := 0
		for seed := range int64(40) {
			w := newSimulation(seed, 30, 24, 2, 600, 4800, func(p controller.Update) int { return updateCost(p) + extraCost(p) })
			w.rateFactor, w.ackLossRate = 0.005, 0.9
			for k := range w.proxies {
				w.connect(k)
			}
			for range 40 {
				w.step([]int{0, 3, 3, 5, 6}[w.Intn(5)])
			}
			if w.violation != "" {
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
					w := newSimulation(1, proxies, replicas, 1, 1<<20, 1<<20, updateCost)
					w.core.Turn(w.now, w.inputs)
					w.inputs = nil
					for k := range w.proxies {
						w.connect(k)
					}
					b.StartTimer()
					if o := w.core.Turn(w.now+second/4, w.inputs); len(o.Updates) == 0 {
						b.Fatal("no proxy was bound")
					}
				}
			})
		}
	}
}

// BenchmarkTurnAtSize measures turns of a controller with all proxies connected, each with the reports of a quarter of a
// second: their duration, their allocations, and the memory per proxy.
func BenchmarkTurnAtSize(b *testing.B) {
	for _, c := range []struct{ proxies, replicas int }{{480, 60}, {1280, 120}, {2400, 200}, {10000, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", c.proxies, c.replicas), func(b *testing.B) {
			var before, connected, start, end runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := newSimulation(1, c.proxies, c.replicas, 1, 1<<20, 1<<20, updateCost)
			for k := range w.proxies {
				w.connect(k)
			}
			for range 40 {
				w.advance(second / 4)
			}
			runtime.GC()
			runtime.ReadMemStats(&connected)
			var durations []time.Duration
			allocs := uint64(0)
			for b.Loop() {
				for range 40 { // a quarter of a second's share of about 150 reports per second
					m := controller.Outcomes{Zone: "a", Replica: w.replicaNames[w.Intn(len(w.replicaNames))]}
					m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, w.Intn(2), second/10+int64(w.Intn(int(second/20))), second
					w.inputs = append(w.inputs, m)
				}
				w.now += second / 4
				inputs := w.inputs
				w.inputs = nil
				runtime.ReadMemStats(&start)
				began := time.Now()
				w.core.Turn(w.now, inputs)
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
