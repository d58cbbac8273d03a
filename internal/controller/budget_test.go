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

// This file holds core and module together to the bounds of the channel, whatever happens round them: a true channel
// that may be slow, writers that stall, answers that are lost, crowds that join and leave, lists that change, modules
// that fail.

const second = int64(1e9)

type forwarder struct {
	stream controller.StreamID
	joined int64
	zone   string
	lines  map[string]float64
	shut   map[string]bool
	enters int64   // when the last message enters the channel
	got    []int64 // when messages entered the channel, of this joining
}

// message is one that is on its way to the channel, or waits in it.
type message struct {
	proxy, lines int
	sent         controller.OutgoingUpdate
	enters       int64
}

type channelWorld struct {
	*rand.Rand
	provision control.Settings
	core      *controller.Core
	cost      func(controller.Update) int // true lines beside the head
	proxies   []*forwarder
	states    map[string]controller.Member
	names     []string
	now       int64
	streams   controller.StreamID
	notes     []controller.Input
	stalled   []message
	queue     []message
	waits     int
	credit    float64
	pace      float64 // of the channel, 1 when all is well
	lost      float64 // of the answers
	failing   bool    // the module fails now and then
	prompt    bool    // writers never stall
	broken    string
}

// failing is a module that may be told to panic.
type moody struct {
	controller.Module
	w *channelWorld
}

func (m moody) Turn(now int64, events []control.Event) []control.Command {
	if m.w.failing && m.w.Intn(20) == 0 {
		panic("drawn")
	}
	return m.Module.Turn(now, events)
}

func trueLines(p controller.Update) int {
	lines := len(p.Endpoints) + len(p.Ejected) + len(p.Restored) + len(p.Admissions)
	if p.Full {
		lines++
	}
	if p.WantsAck {
		lines++
	}
	return lines
}

func newChannelWorld(seed int64, proxies, replicas, governors, limit, rate int, cost func(controller.Update) int) *channelWorld {
	w := &channelWorld{Rand: rand.New(rand.NewSource(seed)), cost: cost, states: map[string]controller.Member{}, now: second, pace: 1}
	w.provision = control.Settings{Seed: uint64(seed), Controllers: governors, Zones: 2, HardwareClasses: 2, Proxies: proxies * governors, ChannelRate: float64(rate),
		ChannelLimit: limit, MessageOverhead: 4, MaxTransit: second / 4, DrainGrace: 8 * second, MaxMessages: 12, MessageWindow: 10 * second, HostQueues: true, ReportInterval: second,
		SlowStartFraction: 0.2, SlowStartTime: 20 * second, OverloadMultiple: 3, Admission: control.AdmitFraction, AttemptTimeoutFactor: 1, DefaultRetries: control.RetryIfNotExecuted,
		Classes: []control.TrafficClass{{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
			{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.NotIdempotent}}}
	names := settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
	w.core = controller.New(func() controller.Module { return moody{policy.New(w.provision), w} }, controller.NewTopology(names, w.provision))
	for k := range replicas {
		w.names = append(w.names, fmt.Sprintf("s-%04d", k))
		w.states[w.names[k]] = controller.Member{ID: w.names[k], Zone: names.Zones[k%2], HardwareClass: "m1", Weight: 1}
	}
	w.list(w.names, true)
	for k := range proxies {
		w.proxies = append(w.proxies, &forwarder{zone: names.Zones[k%2], lines: map[string]float64{}, shut: map[string]bool{}})
	}
	return w
}

func (w *channelWorld) list(names []string, whole bool) {
	l := controller.ReplicaList{Complete: whole, ReadAt: w.now, ReadAtWall: w.now}
	for _, name := range names {
		l.Members = append(l.Members, w.states[name])
	}
	w.notes = append(w.notes, l)
}

func (w *channelWorld) join(k int) {
	p := w.proxies[k]
	w.streams++
	p.stream, p.joined, p.got = w.streams, w.now, nil
	w.notes = append(w.notes, controller.StreamOpened{Stream: p.stream, Proxy: k, Zone: p.zone, Rate: 1, WithoutTable: len(p.lines)+len(p.shut) == 0})
}

// step lets one thing happen, and then some time go by with a turn at its end.
func (w *channelWorld) step(what int) {
	some := 1 + w.Intn(max(1, len(w.proxies)))
	switch what {
	case 0, 1: // a crowd comes, some of it by a new stream while the old one is still there
		for range some {
			w.join(w.Intn(len(w.proxies)))
		}
	case 2: // a crowd goes
		for range some {
			if p := w.proxies[w.Intn(len(w.proxies))]; p.stream != 0 {
				w.notes = append(w.notes, controller.StreamClosed{Stream: p.stream})
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
	case 5: // sums: some fail
		for range 20 {
			m := controller.Outcomes{Zone: "a", Replica: w.names[w.Intn(len(w.names))]}
			m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, 20*w.Intn(2), second/10, second
			w.notes = append(w.notes, m)
		}
	case 6: // outboxes were emptied
		for range some {
			if p := w.proxies[w.Intn(len(w.proxies))]; p.stream != 0 {
				w.notes = append(w.notes, controller.OutboxDrained{Stream: p.stream})
			}
		}
	case 7:
		w.pace, w.lost, w.failing = []float64{1, 1, 0.3, 0.05}[w.Intn(4)], []float64{0, 0.2, 0.9}[w.Intn(3)], w.Intn(4) == 0
	}
	w.pass([]int64{second / 100, second / 4, second, 4 * second}[w.Intn(4)])
}

// pass lets the channel send for a span, and has a turn: late, if the governor was stalled.
func (w *channelWorld) pass(span int64) {
	w.now += span
	w.credit += float64(span) / float64(second) * w.provision.ChannelRate * w.pace
	for len(w.queue) > 0 && w.credit >= float64(w.queue[0].lines) {
		m := w.queue[0]
		w.queue, w.waits, w.credit = w.queue[1:], w.waits-m.lines, w.credit-float64(m.lines)
		w.apply(m)
	}
	if len(w.queue) == 0 {
		w.credit = 0
	}
	for k, p := range w.proxies { // they tell their usage
		if p.stream != 0 && w.Intn(4) == 0 {
			w.notes = append(w.notes, controller.Demand{Stream: p.stream, Class: "read", Demand: control.Demand{Proxy: k, Requests: 5, Period: second}})
		}
	}
	o := w.core.Turn(w.now, w.notes)
	w.notes = nil
	for _, s := range o.Updates {
		for k, p := range w.proxies {
			if p.stream == s.Stream {
				stall := int64(0)
				if !w.prompt {
					stall = w.Int63n(2) * w.Int63n(second)
				}
				p.enters = max(p.enters, w.now+stall) // in order on each stream
				w.stalled = append(w.stalled, message{k, w.cost(s.Update) + w.provision.MessageOverhead, s, p.enters})
			}
		}
	}
	var later []message
	for _, m := range w.stalled { // what a stalled writer still holds goes lost with its stream
		if p := w.proxies[m.proxy]; m.enters > w.now {
			later = append(later, m)
		} else if p.stream == m.sent.Stream {
			w.enter(p, m)
		}
	}
	w.stalled = later
}

func (w *channelWorld) enter(p *forwarder, m message) {
	w.notes = append(w.notes, controller.MessageSent{Number: m.sent.Number})
	w.queue, w.waits = append(w.queue, m), w.waits+m.lines
	if w.waits > w.provision.ChannelLimit && w.broken == "" {
		w.broken = fmt.Sprintf("%d lines wait, %d may", w.waits, w.provision.ChannelLimit)
	}
	p.got = append(p.got, w.now)
	for w.now-p.got[0] > w.provision.MessageWindow {
		p.got = p.got[1:]
	}
	if len(p.got) > w.provision.MaxMessages && w.broken == "" {
		w.broken = fmt.Sprintf("%d messages in a span for proxy %d", len(p.got), m.proxy)
	}
	for _, l := range m.sent.Update.Admissions {
		if l.Class == "order" && l.Retries > control.RetryIfNotExecuted {
			w.broken = "a try that could act twice"
		}
	}
}

func (w *channelWorld) apply(m message) {
	p, push := w.proxies[m.proxy], m.sent.Update
	if p.stream != m.sent.Stream {
		return
	}
	if push.Full {
		clear(p.lines)
	}
	for _, l := range push.Endpoints {
		if p.lines[l.Replica] = l.Weight; l.Weight == 0 {
			delete(p.lines, l.Replica)
		}
	}
	for _, id := range push.Ejected {
		p.shut[id] = true
	}
	for _, id := range push.Restored {
		delete(p.shut, id)
	}
	if push.WantsAck && w.Float64() >= w.lost {
		w.notes = append(w.notes, controller.Ack{Stream: p.stream, Nonce: push.Nonce})
	}
}

// settle ends all faults and says what is wrong after a while: whatever waited has gone by then.
func (w *channelWorld) settle(span int64) string {
	w.pace, w.lost, w.failing = 1, 0, false
	for until := w.now + span; w.now < until; {
		w.pass(second / 4)
	}
	warm := false
	for _, m := range w.states {
		warm = warm || m.State == control.Ready && w.now-m.UpSince > w.provision.SlowStartTime
	}
	for k, p := range w.proxies {
		lines := 0
		for id := range p.lines {
			if p.shut[id] {
				continue
			}
			if lines++; w.states[id].State != control.Ready && p.stream != 0 {
				return fmt.Sprintf("proxy %d still sends to %s", k, id)
			}
		}
		if lines == 0 && warm && p.stream != 0 {
			return fmt.Sprintf("proxy %d has no line", k)
		}
	}
	return w.broken
}

func TestTheChannelAndTheRulesHoldForCoreAndModule(t *testing.T) {
	t.Parallel()
	for seed := range int64(100) { // drawn, and the same every time
		draw := rand.New(rand.NewSource(seed))
		proxies := 2 + draw.Intn(39)
		limit := (20 + draw.Intn(41)) * proxies
		w := newChannelWorld(seed, proxies, 1+draw.Intn(40), []int{1, 2, 5, 350}[draw.Intn(4)], limit, limit/(1+draw.Intn(4)), trueLines)
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
			t.Fatalf("seed %d, %d proxies, %d replicas, %d lines of %v a second, steps %v: %s", seed, proxies, len(w.names), limit, w.provision.ChannelRate,
				steps, wrong)
		}
	}
}

// The same at sizes nobody draws by chance.
func TestTheChannelHoldsAtFullSize(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ proxies, replicas, governors, limit int }{
		{2, 1024, 1024, 1800}, {7, 300, 350, 1800}, {450, 200, 5, 49200}, {2400, 200, 5, 49200}, {3000, 1024, 5, 60000},
	} {
		w := newChannelWorld(1, c.proxies, c.replicas, c.governors, c.limit, 1200, trueLines)
		w.provision.MaxMessages = 30
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

// Each part of what a message costs is needed: with any one taken out, which is as if the channel counted it once more,
// some of the same sequences break the bound.
func TestEachChargeIsNeeded(t *testing.T) {
	t.Parallel()
	for what, more := range map[string]func(controller.Update) int{
		"nothing":   func(p controller.Update) int { return 0 },
		"heads":     func(p controller.Update) int { return 4 },
		"lines":     func(p controller.Update) int { return len(p.Endpoints) },
		"shut":      func(p controller.Update) int { return len(p.Ejected) },
		"let":       func(p controller.Update) int { return 5 * len(p.Restored) },   // of few lines, as a part restores three: five times
		"levels":    func(p controller.Update) int { return 5 * len(p.Admissions) }, // of few lines, five times
		"once more": func(p controller.Update) int { return map[bool]int{true: trueLines(p)}[p.Resync] },
		"full marks": func(p controller.Update) int {
			return 5 * (map[bool]int{true: 1}[p.Full] + map[bool]int{true: 1}[p.WantsAck])
		}, // as levels
	} {
		broke := 0
		for seed := range int64(40) {
			w := newChannelWorld(seed, 30, 24, 2, 600, 4800, func(p controller.Update) int { return trueLines(p) + more(p) })
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
			t.Errorf("without a charge for %s %d of 40 broke", what, broke)
		}
	}
}

// All proxies join in one turn, and are bound in it as far as the channel lets them.
func BenchmarkTheTurnThatBindsAll(b *testing.B) {
	for _, proxies := range []int{480, 1200, 2400} {
		for _, replicas := range []int{200, 1024} {
			b.Run(fmt.Sprintf("%dx%d", proxies, replicas), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					w := newChannelWorld(1, proxies, replicas, 1, 1<<20, 1<<20, trueLines)
					w.core.Turn(w.now, w.notes)
					w.notes = nil
					for k := range w.proxies {
						w.join(k)
					}
					b.StartTimer()
					if o := w.core.Turn(w.now+second/4, w.notes); len(o.Updates) == 0 {
						b.Fatal("nobody is bound")
					}
				}
			})
		}
	}
}

// Turns of a governor that all proxies have joined, with the sums of a quarter of a second each: their time, what they
// allocate, and what a proxy holds.
func BenchmarkATurnAtSize(b *testing.B) {
	for _, c := range []struct{ proxies, replicas int }{{480, 60}, {1280, 120}, {2400, 200}, {10000, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", c.proxies, c.replicas), func(b *testing.B) {
			var before, joined, start, end runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := newChannelWorld(1, c.proxies, c.replicas, 1, 1<<20, 1<<20, trueLines)
			for k := range w.proxies {
				w.join(k)
			}
			for range 40 {
				w.pass(second / 4)
			}
			runtime.GC()
			runtime.ReadMemStats(&joined)
			var spans []time.Duration
			allocs := uint64(0)
			for b.Loop() {
				for range 40 { // of a hundred and fifty lines a second
					m := controller.Outcomes{Zone: "a", Replica: w.names[w.Intn(len(w.names))]}
					m.Attempts, m.Failures, m.ResponseTime, m.Period = 20, w.Intn(2), second/10+int64(w.Intn(int(second/20))), second
					w.notes = append(w.notes, m)
				}
				w.now += second / 4
				notes := w.notes
				w.notes = nil
				runtime.ReadMemStats(&start)
				began := time.Now()
				w.core.Turn(w.now, notes)
				spans = append(spans, time.Since(began))
				runtime.ReadMemStats(&end)
				allocs += end.Mallocs - start.Mallocs
			}
			slices.Sort(spans)
			b.ReportMetric(float64(spans[len(spans)/2])/1e6, "p50-ms")
			b.ReportMetric(float64(spans[len(spans)*99/100])/1e6, "p99-ms")
			b.ReportMetric(float64(allocs)/float64(len(spans)), "allocs/turn")
			b.ReportMetric(float64(joined.HeapAlloc-before.HeapAlloc)/float64(c.proxies), "B/proxy")
		})
	}
}
