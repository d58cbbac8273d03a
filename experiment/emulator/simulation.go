// Package emulator simulates replicas, and proxies that follow tables, around the controller's core in virtual time: one event
// after another, random numbers from a seed. It shows the effect of a change of the controller on requests, at sizes that
// sockets on one machine do not carry. All its results are simulated.
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
	second = int64(1e9)
	milli  = int64(1e6)
	// transit is how long a message to a proxy takes, and its acknowledgement.
	transit = 100 * milli
	// batchDelay is how long a core waits for further inputs before its turn.
	batchDelay = 10 * milli
	// intakeInterval is how often report lines are taken in if the intake is limited.
	intakeInterval = second / 10
)

// OutcomeCounts counts the outcomes of requests that arrived in a window.
type OutcomeCounts struct {
	Arrived  int
	Good     int // within the latency budget
	Late     int
	Failed   int
	Rejected int // by admission
}

// String returns the counts in one line.
func (o OutcomeCounts) String() string {
	return fmt.Sprintf("%d came, %d good, %d late, %d lost, %d blocked", o.Arrived, o.Good, o.Late, o.Failed, o.Rejected)
}

// BadFraction returns the fraction of requests that were not answered within their latency budget.
func (o OutcomeCounts) BadFraction() float64 {
	return 1 - float64(o.Good)/math.Max(1, float64(o.Arrived))
}

// Simulation is one run.
type Simulation struct {
	Site         Site
	Replicas     []*Replica
	LearnedState *learnedstate.State // the latest of the first controller
	TurnTimes    []int64             // real nanoseconds of each turn, if Clock is set
	Clock        func() int64

	Violations []Violation
	WrapModule func(controller.Module) controller.Module // replaces the decision module; nil: unchanged
	Trace      func(text string, args ...any)            // receives each message to a proxy; nil: none

	proxies     []*proxy
	random      *rand.Rand
	now         int64
	events      eventHeap
	scheduled   int64 // events so far
	controllers []*controllerNode
	lastStream  controller.StreamID
	countFrom   int64 // requests that arrive from then on are counted, until countUntil
	countUntil  int64
	outcome     OutcomeCounts
	reported    map[string]bool // breaches by rule and culprit; nil: rules are not checked
	cuts        map[string]int  // by zone: how many faults cut it off at present
}

// New returns a simulation of a site at time 0.
func New(site Site, seed int64) *Simulation {
	zones := site.zones()
	sim := &Simulation{Site: site, cuts: map[string]int{}, random: rand.New(rand.NewSource(seed))}
	capacity := 0.0
	for k := range site.Replicas {
		r := newReplica(site, zones, k)
		capacity += float64(r.slots) / r.meanTime
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
		sim.every(intakeInterval, sim.takeInReports)
	}
	return sim
}

// event is something that happens at a time; order keeps events of one time in the order in which they were scheduled.
type event struct {
	at    int64
	order int64
	do    func()
}

// eventHeap is a heap.Interface; the next event is the first.
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

// at schedules an event, not before now.
func (sim *Simulation) at(when int64, do func()) {
	sim.scheduled++
	heap.Push(&sim.events, event{at: max(when, sim.now), order: sim.scheduled, do: do})
}

func (sim *Simulation) after(delay int64, do func()) { sim.at(sim.now+delay, do) }

// every schedules an event at intervals, the first one within the first interval.
func (sim *Simulation) every(interval int64, do func()) {
	var repeat func()
	repeat = func() {
		do()
		sim.after(interval, repeat)
	}
	sim.after(sim.random.Int63n(interval), repeat)
}

// Run runs all events until a time.
func (sim *Simulation) Run(until int64) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.do()
	}
	sim.now = until
}

// Now returns the virtual time.
func (sim *Simulation) Now() int64 { return sim.now }

// CountOutcomes starts to count requests that arrive in a window.
func (sim *Simulation) CountOutcomes(from, until int64) *OutcomeCounts {
	sim.countFrom = from
	sim.countUntil = until
	sim.outcome = OutcomeCounts{}
	return &sim.outcome
}
