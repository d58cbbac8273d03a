package controller_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/revision"
	"lilacbend/policy"
	"lilacbend/settings"
)

// The benchmarks of this file measure the slopes in docs/CAPACITY.md: each varies one parameter of a turn and keeps the
// other parameters at the values of one controller of a mean service. They measure only the core and the module, without
// sockets.

// The channel of a fleet.
const (
	channelLimit = 49200 // cost units that may wait in the channel
	channelRate  = 1200  // cost units per second
	// wideChannel is the limit and the rate of a channel that holds back no updates, so that every table lists every
	// replica.
	wideChannel = 1 << 20
)

const (
	tickInterval   = second / 4
	reportInterval = second / 500 // time between two turns in which no tick is due, in nanoseconds
	settlingTurns  = 40
)

// turnShape is the size of one controller and the inputs of each of its turns.
type turnShape struct {
	replicas, proxies, classes int
	reports, demands, changes  int
	interval                   int64
	wideChannel                bool // the channel holds back no updates
}

// meanService returns the shape of one controller of a mean service.
func meanService() turnShape {
	return turnShape{replicas: 33, proxies: 480, classes: 3, reports: 40, interval: tickInterval}
}

// benchmarkSimulation simulates a controller with all proxies connected, behind a channel that delivers messages
// immediately.
type benchmarkSimulation struct {
	*simulation
	shape         turnShape
	classes       []string
	heapBytes     uint64        // heap size in bytes after settling
	processorTime time.Duration // processor time of all turns
	updates       int
	units         int // cost units of all updates, without overhead
}

func newBenchmarkSimulation(shape turnShape) *benchmarkSimulation {
	before := heapInUse()
	limit, rate := channelLimit, channelRate
	if shape.wideChannel {
		limit, rate = wideChannel, wideChannel
	}
	sim := &benchmarkSimulation{simulation: newSimulation(1, shape.proxies, shape.replicas, 5, limit, rate, updateCost), shape: shape}
	sim.settings.Classes = nil
	for k := range shape.classes {
		sim.classes = append(sim.classes, fmt.Sprintf("class-%05d", k))
		sim.settings.Classes = append(sim.settings.Classes, control.TrafficClass{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent})
	}
	sim.core = controller.New(func() controller.Module { return policy.New(sim.settings) }, controller.NewTopology(sim.settingNames(), sim.settings))
	for k := range sim.proxies {
		sim.connect(k)
	}
	for range settlingTurns {
		sim.turn(tickInterval)
	}
	sim.heapBytes = heapInUse() - before
	return sim
}

func (sim *benchmarkSimulation) settingNames() settings.Names {
	return settings.Names{Classes: sim.classes, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1"}}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// turn runs one turn after an interval, delivers its messages, and returns how long the turn took.
func (sim *benchmarkSimulation) turn(interval int64) time.Duration {
	sim.now += interval
	events := sim.inputs
	sim.inputs = nil
	usedBefore, began := threadTime(), time.Now()
	result := sim.core.Turn(sim.now, events)
	took := time.Since(began)
	sim.processorTime += threadTime() - usedBefore
	sim.updates += len(result.Updates)
	for _, outgoing := range result.Updates {
		sim.units += updateCost(outgoing.Update)
		sim.inputs = append(sim.inputs, controller.MessageSent{ChargeNumber: outgoing.ChargeNumber})
		sim.deliver(message{proxy: int(outgoing.Stream) - 1, outgoing: outgoing}) // streams are numbered from 1 as the proxies join
	}
	return took
}

// threadTime returns the processor time of the calling thread. Unlike wall time, it does not grow when other processes use
// the machine. It does not include the work of the garbage collector on other threads.
func threadTime() time.Duration {
	const rusageThread = 1 // RUSAGE_THREAD, which package syscall does not define
	var usage syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// addReports adds the inputs of one turn.
func (sim *benchmarkSimulation) addReports() {
	for range sim.shape.reports {
		sim.inputs = append(sim.inputs, controller.OutcomeReport{Zone: "a", Replica: sim.replicaNames[sim.Intn(len(sim.replicaNames))], OutcomeReport: control.OutcomeReport{
			Attempts:     20,
			Failures:     sim.Intn(2),
			ResponseTime: second/10 + int64(sim.Intn(int(second/20))),
			Period:       second,
		}})
	}
	for range sim.shape.demands {
		proxy := sim.Intn(len(sim.proxies))
		sim.inputs = append(sim.inputs, controller.Demand{Stream: sim.proxies[proxy].stream, Class: sim.classes[sim.Intn(len(sim.classes))],
			DemandReport: control.DemandReport{Proxy: proxy, Requests: 5, Period: second}})
	}
	if sim.shape.changes > 0 {
		sim.listReplicas(sim.restartReplicas(sim.shape.changes), false)
	}
}

// restartReplicas restarts random replicas and returns their names.
func (sim *benchmarkSimulation) restartReplicas(count int) []string {
	var names []string
	for range count {
		m := sim.members[sim.replicaNames[sim.Intn(len(sim.replicaNames))]]
		m.StartedAt = sim.now
		sim.members[m.ID] = m
		names = append(names, m.ID)
	}
	return names
}

// benchmarkTurns measures turns of a shape.
func benchmarkTurns(b *testing.B, shape turnShape) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	sim := newBenchmarkSimulation(shape)
	sim.processorTime, sim.updates, sim.units = 0, 0, 0
	var durations []time.Duration
	for b.Loop() {
		sim.addReports()
		durations = append(durations, sim.turn(shape.interval))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(durations[len(durations)*99/100])/1e6, "p99-ms")
	b.ReportMetric(float64(sim.processorTime)/float64(len(durations))/1e6, "cpu-ms")
	b.ReportMetric(float64(sim.updates)/float64(len(durations)), "pushes/turn")
	b.ReportMetric(float64(sim.units)/float64(len(durations)), "lines/turn")
	b.ReportMetric(float64(sim.heapBytes), "heap-B")
	runtime.KeepAlive(sim)
}

// benchmarkVarying measures turns of the mean service for several values of one parameter.
func benchmarkVarying(b *testing.B, input string, values []int, set func(*turnShape, int)) {
	for _, v := range values {
		b.Run(fmt.Sprintf("%s=%d", input, v), func(b *testing.B) {
			shape := meanService()
			set(&shape, v)
			benchmarkTurns(b, shape)
		})
	}
}

var replicasListed = []int{33, 100, 200, 655, 1000, 3000, 9500}

func BenchmarkTurnByReplicas(b *testing.B) {
	benchmarkVarying(b, "replicas", replicasListed, func(s *turnShape, v int) { s.replicas = v })
}

// BenchmarkTurnByReplicasWideChannel is BenchmarkTurnByReplicas with a channel that holds back no updates.
func BenchmarkTurnByReplicasWideChannel(b *testing.B) {
	benchmarkVarying(b, "replicas", []int{200, 1000, 3000, 9500}, func(s *turnShape, v int) { s.replicas, s.wideChannel = v, true })
}

// BenchmarkTurnBetweenTicksByReplicas measures turns between two ticks with one report each, since reports arrive one by
// one.
func BenchmarkTurnBetweenTicksByReplicas(b *testing.B) {
	benchmarkVarying(b, "replicas", replicasListed, func(s *turnShape, v int) { s.replicas, s.reports, s.interval = v, 1, reportInterval })
}

func BenchmarkTurnByProxies(b *testing.B) {
	benchmarkVarying(b, "proxies", []int{48, 120, 240, 480, 960, 1920}, func(s *turnShape, v int) { s.proxies = v })
}

func BenchmarkTurnByReports(b *testing.B) {
	benchmarkVarying(b, "reports", []int{0, 50, 200, 900, 3000}, func(s *turnShape, v int) { s.reports = v })
}

func BenchmarkTurnByDemands(b *testing.B) {
	benchmarkVarying(b, "demands", []int{0, 48, 120, 480}, func(s *turnShape, v int) { s.demands = v })
}

func BenchmarkTurnByClasses(b *testing.B) {
	benchmarkVarying(b, "classes", []int{3, 12, 48, 240, 960}, func(s *turnShape, v int) { s.classes = v })
}

func BenchmarkTurnByChanges(b *testing.B) {
	benchmarkVarying(b, "changes", []int{0, 1, 10, 100}, func(s *turnShape, v int) { s.changes, s.replicas = v, 655 })
}

// BenchmarkTurnThatConfiguresByClasses measures turns that put settings in force in which one class has another timeout.
func BenchmarkTurnThatConfiguresByClasses(b *testing.B) {
	for _, classes := range []int{3, 48, 240, 960} {
		b.Run(fmt.Sprintf("classes=%d", classes), func(b *testing.B) {
			shape := meanService()
			shape.classes = classes
			shape.interval = reportInterval // so that a tick is due in few of the turns
			sim := newBenchmarkSimulation(shape)
			version := revision.Version{Epoch: 1}
			var durations []time.Duration
			for b.Loop() {
				changed := sim.settings
				changed.Classes = slices.Clone(changed.Classes)
				changed.Classes[0].Timeout += int64(len(durations)%2) * second
				version.Revision++
				sim.inputs = append(sim.inputs, controller.Configure{Version: version, Names: sim.settingNames(), Settings: changed,
					NewModule: func() controller.Module { return policy.New(changed) }})
				durations = append(durations, sim.turn(shape.interval))
				if sim.core.ConfigurationVersion() != version {
					b.Fatal("changed settings are not in force")
				}
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2])/1e6, "p50-ms")
		})
	}
}

// BenchmarkTurnThatBindsByProxies measures a turn in which all proxies connect to a controller of a mean service behind the
// channel of a fleet.
func BenchmarkTurnThatBindsByProxies(b *testing.B) {
	for _, proxies := range []int{48, 240, 480, 960, 1920} {
		b.Run(fmt.Sprintf("proxies=%d", proxies), func(b *testing.B) {
			var durations []time.Duration
			for b.Loop() {
				sim := newSimulation(1, proxies, 33, 5, channelLimit, channelRate, updateCost)
				sim.Rand = rand.New(rand.NewSource(1))
				sim.core.Turn(sim.now, sim.inputs)
				sim.inputs = nil
				for k := range sim.proxies {
					sim.connect(k)
				}
				began := time.Now()
				if o := sim.core.Turn(sim.now+tickInterval, sim.inputs); len(o.Updates) == 0 {
					b.Fatal("no proxy was bound")
				}
				durations = append(durations, time.Since(began))
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2])/1e6, "p50-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
