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
	stream    controller.StreamID // 0 if the proxy is not connected
	connected int64
	zone      string
	endpoints map[string]float64
	ejected   map[string]bool
	enters    int64   // when the last message enters the channel
	got       []int64 // when messages of the current connection entered the channel, within the message window
}

// message is an update that its writer has not yet written to the channel, or that waits in the channel.
type message struct {
	proxy, units int
	sent         controller.OutgoingUpdate
	enters       int64 // when the message enters the channel
}

// simulation runs a core and its module against simulated proxies, a channel and discovery.
type simulation struct {
	*rand.Rand
	settings control.Settings
	core     *controller.Core
	cost     func(controller.Update) int // true cost units of an update, without the overhead
	proxies  []*simulatedProxy
	states   map[string]controller.Member // by name
	names    []string                     // of the replicas
	now      int64
	streams  controller.StreamID // the last one opened
	inputs   []controller.Input  // of the next turn
	stalled  []message           // not yet written to the channel
	queue    []message           // in the channel
	waits    int                 // cost units in the channel
	credit   float64             // cost units that the channel may send now
	pace     float64             // factor on the channel's rate; 1 is normal
	lost     float64             // fraction of acks that are lost
	failing  bool                // the module panics occasionally
	prompt   bool                // writers never stall
	broken   string              // the first violated limit or invariant
}

// failingModule panics occasionally while simulation.failing is set.
type failingModule struct {
	controller.Module
	w *simulation
}

func (m failingModule) Turn(now int64, events []control.Event) []control.Command {
	if m.w.failing && m.w.Intn(20) == 0 {
		panic("drawn")
	}
	return m.Module.Turn(now, events)
}

// updateCost returns the cost units of an update without the overhead of the message.
func updateCost(p controller.Update) int {
	units := len(p.Endpoints) + len(p.Ejected) + len(p.Unejected) + len(p.Admissions)
	if p.Full {
		units++
	}
	if p.WantsAck {
		units++
	}
	return units
}

func newSimulation(seed int64, proxies, replicas, controllers, limit, rate int, cost func(controller.Update) int) *simulation {
	w := &simulation{Rand: rand.New(rand.NewSource(seed)), cost: cost, states: map[string]controller.Member{}, now: second, pace: 1}
	w.settings = control.Settings{Seed: uint64(seed), Controllers: controllers, Zones: 2, HardwareClasses: 2, Proxies: proxies * controllers, ChannelRate: float64(rate),
		ChannelLimit: limit, MessageOverhead: 4, MaxTransit: second / 4, DrainGrace: 8 * second, MaxMessages: 12, MessageWindow: 10 * second, HostQueues: true, ReportInterval: second,
		SlowStartFraction: 0.2, SlowStartTime: 20 * second, OverloadMultiple: 3, Admission: control.AdmitFraction, AttemptTimeoutFactor: 1, DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
			{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.NotIdempotent}}}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	w.core = controller.New(func() controller.Module { return failingModule{policy.New(w.settings), w} }, controller.NewTopology(names, w.settings))
	for k := range replicas {
		w.names = append(w.names, fmt.Sprintf("s-%04d", k))
		w.states[w.names[k]] = controller.Member{ID: w.names[k], Zone: names.Zones[k%2], HardwareClass: "m1", Weight: 1}
	}
	w.list(w.names, true)
	for k := range proxies {
		w.proxies = append(w.proxies, &simulatedProxy{zone: names.Zones[k%2], endpoints: map[string]float64{}, ejected: map[string]bool{}})
	}
	return w
}

// list adds a list with some replicas to the inputs of the next turn.
func (w *simulation) list(names []string, complete bool) {
	l := controller.ReplicaList{Complete: complete, ReadAt: w.now, ReadAtWall: w.now}
	for _, name := range names {
		l.Members = append(l.Members, w.states[name])
	}
	w.inputs = append(w.inputs, l)
}

// join connects a proxy by a new stream.
func (w *simulation) join(k int) {
	p := w.proxies[k]
	w.streams++
	p.stream, p.connected, p.got = w.streams, w.now, nil
	w.inputs = append(w.inputs, controller.StreamOpened{Stream: p.stream, Proxy: k, Zone: p.zone, Rate: 1, WithoutTable: len(p.endpoints)+len(p.ejected) == 0})
}

// step simulates one event of the given kind, lets a random period pass and runs a turn.
func (w *simulation) step(what int) {
	some := 1 + w.Intn(max(1, len(w.proxies)))
	switch what {
	case 0, 1: // many proxies connect, some with a new stream while the old one is still open
		for range some {
			w.join(w.Intn(len(w.proxies)))
		}
	case 2: // many proxies disconnect
		for range some {
			if p := w.proxies[w.Intn(len(w.proxies))]; p.stream != 0 {
				w.inputs = append(w.inputs, controller.StreamClosed{Stream: p.stream})
				p.stream = 0
			}
		}
	case 3, 4: // a release of some replicas
		var names []string
		for range 1 + w.Intn(1+len(w.names)/4) {
			m := w.states[w.names[w.Intn(len(w.names))]]
			m.State = control.State(w.Intn(3))
			if m.UpSince = 0; m.State == control.Ready {
				m.UpSince = w.now
			}
			w.states[m.ID] = m
			names = append(names, m.ID)
		}
		w.list(names, false)
	case 5: // collectors report outcomes with some failed attempts
		for range 20 {
			m := controller.Outcomes{Zone: "a", Replica: w.names[w.Intn(len(w.names))]}
			m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, 20*w.Intn(2), second/10, second
			w.inputs = append(w.inputs, m)
		}
	case 6: // send queues drop their updates
		for range some {
			if p := w.proxies[w.Intn(len(w.proxies))]; p.stream != 0 {
				w.inputs = append(w.inputs, controller.UpdatesDropped{Stream: p.stream})
			}
		}
	case 7: // the channel's speed, the loss of acks and the module's failures change
		w.pace, w.lost, w.failing = []float64{1, 1, 0.3, 0.05}[w.Intn(4)], []float64{0, 0.2, 0.9}[w.Intn(3)], w.Intn(4) == 0
	}
	w.pass([]int64{second / 100, second / 4, second, 4 * second}[w.Intn(4)])
}

// pass lets the channel send for a period and runs a turn at its end.
func (w *simulation) pass(span int64) {
	w.now += span
	w.credit += float64(span) / float64(second) * w.settings.ChannelRate * w.pace
	for len(w.queue) > 0 && w.credit >= float64(w.queue[0].units) {
		m := w.queue[0]
		w.queue, w.waits, w.credit = w.queue[1:], w.waits-m.units, w.credit-float64(m.units)
		w.apply(m)
	}
	if len(w.queue) == 0 {
		w.credit = 0
	}
	for k, p := range w.proxies { // some proxies report their demand
		if p.stream != 0 && w.Intn(4) == 0 {
			w.inputs = append(w.inputs, controller.Demand{Stream: p.stream, Class: "read", Demand: control.Demand{Proxy: k, Requests: 5, Period: second}})
		}
	}
	o := w.core.Turn(w.now, w.inputs)
	w.inputs = nil
	for _, s := range o.Updates {
		for k, p := range w.proxies {
			if p.stream == s.Stream {
				stall := int64(0)
				if !w.prompt {
					stall = w.Int63n(2) * w.Int63n(second)
				}
				p.enters = max(p.enters, w.now+stall) // in order on each stream
				w.stalled = append(w.stalled, message{k, w.cost(s.Update) + w.settings.MessageOverhead, s, p.enters})
			}
		}
	}
	var later []message
	for _, m := range w.stalled { // messages of a stalled writer are lost if their stream has ended
		if p := w.proxies[m.proxy]; m.enters > w.now {
			later = append(later, m)
		} else if p.stream == m.sent.Stream {
			w.enter(p, m)
		}
	}
	w.stalled = later
}

// enter puts a message into the channel and checks the limits of the channel and of the proxy's message cap.
func (w *simulation) enter(p *simulatedProxy, m message) {
	w.inputs = append(w.inputs, controller.MessageSent{Number: m.sent.Number})
	w.queue, w.waits = append(w.queue, m), w.waits+m.units
	if w.waits > w.settings.ChannelLimit && w.broken == "" {
		w.broken = fmt.Sprintf("%d cost units in the channel, limit %d", w.waits, w.settings.ChannelLimit)
	}
	p.got = append(p.got, w.now)
	for w.now-p.got[0] > w.settings.MessageWindow {
		p.got = p.got[1:]
	}
	if len(p.got) > w.settings.MaxMessages && w.broken == "" {
		w.broken = fmt.Sprintf("%d messages within a message window to proxy %d", len(p.got), m.proxy)
	}
	for _, l := range m.sent.Update.Admissions {
		if l.Class == "order" && l.Retries > control.RetryIfNotExecuted {
			w.broken = "an admission allows retries of requests that are not idempotent and may have been executed"
		}
	}
}

// apply delivers a message to its proxy, which may acknowledge it.
func (w *simulation) apply(m message) {
	p, update := w.proxies[m.proxy], m.sent.Update
	if p.stream != m.sent.Stream {
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
	if update.WantsAck && w.Float64() >= w.lost {
		w.inputs = append(w.inputs, controller.Ack{Stream: p.stream, Nonce: update.Nonce})
	}
}

// settle ends all faults and lets a period pass in which all pending changes are sent. It returns the first violated limit
// or invariant, or "".
func (w *simulation) settle(span int64) string {
	w.pace, w.lost, w.failing = 1, 0, false
	for until := w.now + span; w.now < until; {
		w.pass(second / 4)
	}
	warm := false
	for _, m := range w.states {
		warm = warm || m.State == control.Ready && w.now-m.UpSince > w.settings.SlowStartTime
	}
	for k, p := range w.proxies {
		units := 0
		for id := range p.endpoints {
			if p.ejected[id] {
				continue
			}
			if units++; w.states[id].State != control.Ready && p.stream != 0 {
				return fmt.Sprintf("proxy %d still sends to %s", k, id)
			}
		}
		if units == 0 && warm && p.stream != 0 {
			return fmt.Sprintf("proxy %d has no endpoint", k)
		}
	}
	return w.broken
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
		wrong := w.broken
		if wrong == "" {
			wrong = w.settle(150 * second)
		}
		if wrong != "" {
			t.Fatalf("seed %d, %d proxies, %d replicas, limit %d, %v cost units per second, steps %v: %s", seed, proxies, len(w.names), limit, w.settings.ChannelRate,
				steps, wrong)
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
			w.join(k)
		}
		for _, what := range []int{7, 3, 0, 3, 2, 6, 3, 0} {
			w.step(what)
		}
		if w.broken != "" {
			t.Errorf("%+v: %s", c, w.broken)
		}
	}
}

// Each part of a message's cost is needed to keep the channel's limit. The test makes the channel count one part once more
// than the core charges for it, as if the charge lacked that part. Some of the sequences must then exceed the limit.
func TestEachPartOfTheCostIsNeeded(t *testing.T) {
	t.Parallel()
	for what, more := range map[string]func(controller.Update) int{
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
		broke := 0
		for seed := range int64(40) {
			w := newSimulation(seed, 30, 24, 2, 600, 4800, func(p controller.Update) int { return updateCost(p) + more(p) })
			w.pace, w.lost = 0.005, 0.9
			for k := range w.proxies {
				w.join(k)
			}
			for range 40 {
				w.step([]int{0, 3, 3, 5, 6}[w.Intn(5)])
			}
			if w.broken != "" {
				broke++
			}
		}
		if (broke == 0) != (what == "nothing") {
			t.Errorf("without a charge for %s: %d of 40 sequences exceed a limit", what, broke)
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
						w.join(k)
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
				w.join(k)
			}
			for range 40 {
				w.pass(second / 4)
			}
			runtime.GC()
			runtime.ReadMemStats(&connected)
			var spans []time.Duration
			allocs := uint64(0)
			for b.Loop() {
				for range 40 { // a quarter of a second's share of about 150 reports per second
					m := controller.Outcomes{Zone: "a", Replica: w.names[w.Intn(len(w.names))]}
					m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, w.Intn(2), second/10+int64(w.Intn(int(second/20))), second
					w.inputs = append(w.inputs, m)
				}
				w.now += second / 4
				inputs := w.inputs
				w.inputs = nil
				runtime.ReadMemStats(&start)
				began := time.Now()
				w.core.Turn(w.now, inputs)
				spans = append(spans, time.Since(began))
				runtime.ReadMemStats(&end)
				allocs += end.Mallocs - start.Mallocs
			}
			slices.Sort(spans)
			b.ReportMetric(float64(spans[len(spans)/2])/1e6, "p50-ms")
			b.ReportMetric(float64(spans[len(spans)*99/100])/1e6, "p99-ms")
			b.ReportMetric(float64(allocs)/float64(len(spans)), "allocs/turn")
			b.ReportMetric(float64(connected.HeapAlloc-before.HeapAlloc)/float64(c.proxies), "B/proxy")
		})
	}
}
