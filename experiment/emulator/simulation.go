// Package emulator is a discrete-event simulation of replicas, and of proxies that follow tables, around the controller's
// core. Time is virtual, events run one after another, and random numbers come from a seed. It shows how a change of the
// controller affects requests, at sizes that one machine cannot reach with sockets. All its results are simulated.
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"

	"lilacbend/internal/controller"
	"lilacbend/internal/learnedstate"
)

// Units and delays, in nanoseconds.
const (
	second      = int64(1e9)
	millisecond = int64(1e6)
	// transitTime is how long a message to a proxy takes, and how long its acknowledgement takes.
	transitTime = 100 * millisecond
	// batchDelay is how long a controller collects inputs before its turn.
	batchDelay = 10 * millisecond
	// reportDeliveryInterval is how often queued report lines are delivered to a controller if their rate is limited.
	reportDeliveryInterval = second / 10
)

// OutcomeCounts counts the requests that arrived in a time window, by outcome.
type OutcomeCounts struct {
	Arrived  int
	Good     int // answered within the latency budget
	Late     int
	Failed   int
	Rejected int // by admission
}

// String returns the counts in one line.
func (o OutcomeCounts) String() string {
	return fmt.Sprintf("%d arrived, %d good, %d late, %d failed, %d rejected", o.Arrived, o.Good, o.Late, o.Failed, o.Rejected)
}

// BadFraction returns the fraction of requests that were not answered within their latency budget.
func (o OutcomeCounts) BadFraction() float64 {
	return 1 - float64(o.Good)/math.Max(1, float64(o.Arrived))
}

// Simulation is one simulated installation with its virtual clock.
type Simulation struct {
	Site         Site
	Replicas     []*Replica
	LearnedState *learnedstate.State // the latest snapshot of the first controller
	TurnTimes    []int64             // duration of each turn, measured with Clock; empty if Clock is nil
	Clock        func() int64

	Violations []Violation
	WrapModule func(controller.Module) controller.Module // wraps each controller's decision module; nil: not wrapped
	Trace      func(text string, args ...any)            // called for each message to a proxy; nil: no trace

	proxies            []*proxy
	random             *rand.Rand
	now                int64
	events             eventHeap
	scheduled          int64 // events scheduled so far
	controllers        []*controllerNode
	lastStream         controller.StreamID
	countFrom          int64 // requests that arrive from countFrom until countUntil are counted
	countUntil         int64
	outcomes           OutcomeCounts
	reportedViolations map[string]bool // violations by rule and subject; nil: rules are not checked
	partitions         map[string]int  // by zone: number of current faults that partition it
}

// New returns a simulation of a site at time 0, with random numbers from a seed. Its controllers are not started.
func New(site Site, seed int64) *Simulation {
	zones := site.zones()
	sim := &Simulation{Site: site, partitions: map[string]int{}, random: rand.New(rand.NewSource(seed))}
	capacity := 0.0
	for k := range site.Replicas {
		r := newReplica(site, zones, k)
		capacity += float64(r.slots) / r.meanServiceTime
		sim.Replicas = append(sim.Replicas, r)
	}
	rate := capacity * site.Load / float64(site.Proxies)
	for k := range site.Proxies {
		p := newProxy(k, zones[k%len(zones)], len(site.Names.Classes))
		sim.proxies = append(sim.proxies, p)
		sim.scheduleArrival(p, rate)
		sim.every(second, func() { sim.reportDemand(p) })
	}
	for _, zone := range zones {
		sim.every(second, func() { sim.reportOutcomes(zone) })
	}
	for k := range max(1, site.Settings.Controllers) {
		sim.controllers = append(sim.controllers, &controllerNode{simulation: sim, index: k})
	}
	if site.ReportRateLimit > 0 {
		sim.every(reportDeliveryInterval, sim.deliverReports)
	}
	return sim
}

// event is a function that runs at a virtual time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at    int64
	order int64
	run   func()
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].order < h[b].order
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// at schedules an event at the given time, or now if that time has passed.
func (sim *Simulation) at(time int64, run func()) {
	sim.scheduled++
	heap.Push(&sim.events, event{at: max(time, sim.now), order: sim.scheduled, run: run})
}

func (sim *Simulation) after(delay int64, run func()) { sim.at(sim.now+delay, run) }

// every schedules an event at regular intervals. The first time is random within the first interval.
func (sim *Simulation) every(interval int64, run func()) {
	var repeat func()
	repeat = func() {
		run()
		sim.after(interval, repeat)
	}
	sim.after(sim.random.Int63n(interval), repeat)
}

// Run runs the events up to a virtual time.
func (sim *Simulation) Run(until int64) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// Now returns the virtual time.
func (sim *Simulation) Now() int64 { return sim.now }

// CountOutcomes resets the counts and counts the requests that arrive from one time until another. The result is updated as
// they finish.
func (sim *Simulation) CountOutcomes(from, until int64) *OutcomeCounts {
	sim.countFrom = from
	sim.countUntil = until
	sim.outcomes = OutcomeCounts{}
	return &sim.outcomes
}
