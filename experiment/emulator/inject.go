package emulator

import (
	"fmt"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/learnedstate"
)

const (
	// snapshotHalfLife is the half-life with which learned state loses weight until a controller restarts with it.
	snapshotHalfLife = 60 * second
	// zoneLossNoticeDelay is how long after the loss of a zone its replicas are removed from the list.
	zoneLossNoticeDelay = second
	// minZoneReplaceDelay is the shortest time after the loss of a zone at which its replicas are replaced.
	minZoneReplaceDelay = 2 * second
	// releaseTenths is the fraction of replicas that a release replaces, in tenths.
	releaseTenths = 6
	// releaseDrainTime is how long a replica drains before a release replaces it.
	releaseDrainTime = 2 * second
)

// Inject schedules faults.
func (sim *Simulation) Inject(script []Fault) {
	for _, fault := range script {
		sim.at(fault.Start, func() { sim.inject(fault) })
	}
}

func (sim *Simulation) inject(fault Fault) {
	switch fault.Kind {
	case kindUnresponsive:
		sim.injectReplicaFault(fault, Unresponsive)
	case kindSlow:
		sim.injectReplicaFault(fault, Slow)
	case kindFailing:
		sim.injectReplicaFault(fault, Failing)
	case kindRestart:
		r := sim.replica(fault)
		r.Fault = Failing
		sim.after(fault.Duration, func() { sim.replace(r) })
	case kindDrain:
		r := sim.replica(fault)
		sim.changeState(r, control.Draining, r.Member.StartedAt)
		sim.after(fault.Duration, func() { sim.changeState(r, control.Ready, sim.now) })
	case kindReplace:
		r := sim.replica(fault)
		r.Fault = Failing
		sim.changeState(r, control.Gone, r.Member.StartedAt)
		sim.after(fault.Duration, func() { sim.replace(r) })
	case kindZonePartition:
		sim.injectZonePartition(fault)
	case kindControllerRestart, kindControllerRestartWithState:
		sim.injectControllerRestart(fault)
	case kindRelease:
		sim.injectRelease(fault)
	case kindZoneLoss:
		sim.injectZoneLoss(fault)
	case kindProxyStall:
		p := sim.proxy(fault)
		p.stalledUntil = max(p.stalledUntil, sim.now+fault.Duration)
	case kindSecondStream:
		sim.injectSecondStream(fault)
	default:
		panic(fmt.Sprintf("unknown kind of fault %q", fault.Kind)) // kinds are checked when a script is read
	}
}

func (sim *Simulation) replica(fault Fault) *Replica {
	return sim.Replicas[fault.Target%len(sim.Replicas)]
}

func (sim *Simulation) proxy(fault Fault) *proxy { return sim.proxies[fault.Target%len(sim.proxies)] }

func (sim *Simulation) injectReplicaFault(fault Fault, kind ReplicaFault) {
	r := sim.replica(fault)
	r.Fault = kind
	sim.after(fault.Duration, func() { r.Fault = NoFault })
}

func (sim *Simulation) injectZonePartition(fault Fault) {
	zone := sim.Site.zones()[fault.Target]
	sim.partitions[zone]++
	sim.after(fault.Duration, func() { sim.reconnectZone(zone) })
}

// injectControllerRestart kills a controller and starts it after the fault's duration, with its learned state if the kind of
// fault keeps it.
func (sim *Simulation) injectControllerRestart(fault Fault) {
	c := sim.controllers[fault.Target%len(sim.controllers)]
	if c.core == nil {
		return
	}
	learned := c.learned
	sim.stop(c)
	sim.after(fault.Duration, func() {
		if c.core != nil {
			return
		}
		var restored *learnedstate.AgedState
		if fault.Kind == kindControllerRestartWithState && learned != nil {
			age := learned.TakenAt.Age(learnedstate.Timestamp{Wall: sim.now})
			restored = learnedstate.NewAgedState(*learned, sim.now, age, snapshotHalfLife)
		}
		sim.start(c, restored)
	})
}

// injectRelease replaces replicas one after another, in a random order. Each replica drains before it is replaced.
func (sim *Simulation) injectRelease(fault Fault) {
	replaced := sim.random.Perm(len(sim.Replicas))[:len(sim.Replicas)*releaseTenths/10]
	for k, index := range replaced {
		r := sim.Replicas[index]
		delay := fault.Duration * int64(k) / int64(len(replaced))
		sim.after(delay, func() { sim.changeState(r, control.Draining, r.Member.StartedAt) })
		sim.after(delay+releaseDrainTime, func() { sim.replace(r) })
	}
}

// injectZoneLoss loses a zone. Its replicas are removed from the list with a delay, and replaced at the end of the fault's
// duration, but not before minZoneReplaceDelay.
func (sim *Simulation) injectZoneLoss(fault Fault) {
	zone := sim.Site.zones()[fault.Target]
	sim.partitions[zone]++
	for _, r := range sim.Replicas {
		if r.Member.Zone != zone {
			continue
		}
		r.Fault = Failing
		sim.after(zoneLossNoticeDelay, func() { sim.changeState(r, control.Gone, r.Member.StartedAt) })
		sim.after(max(minZoneReplaceDelay, fault.Duration), func() { sim.replace(r) })
	}
	sim.after(fault.Duration, func() { sim.reconnectZone(zone) })
}

// injectSecondStream opens a new stream of a proxy. Its controller notices the end of the old stream after the fault's
// duration.
func (sim *Simulation) injectSecondStream(fault Fault) {
	p := sim.proxy(fault)
	old := p.stream
	if old == 0 || sim.isPartitioned(p.zone) {
		return
	}
	c := sim.controllers[p.controller]
	sim.join(p)
	sim.after(fault.Duration, func() { c.enqueue(controller.StreamClosed{Stream: old}) })
}

// replace replaces a replica by a new process of the same ID, which warms up.
func (sim *Simulation) replace(r *Replica) {
	r.Fault = NoFault
	r.recentAttempts = nil
	sim.changeState(r, control.Ready, sim.now)
}

// changeState changes the state of a replica in the list and notifies the controllers.
func (sim *Simulation) changeState(r *Replica, state control.State, upSince int64) {
	r.Member.State = state
	r.Member.StartedAt = upSince
	r.notifiedAt = sim.now
	for _, c := range sim.controllers {
		c.enqueue(controller.ReplicaList{Revision: 1, ReadAt: sim.now, ReadAtWallClock: sim.now, Members: []controller.Member{r.Member}})
	}
}

// reconnectZone ends one partition of a zone. After the zone's last partition its proxies join again, and messages to
// their old streams are lost.
func (sim *Simulation) reconnectZone(zone string) {
	sim.partitions[zone]--
	if sim.partitions[zone] > 0 {
		return
	}
	for _, p := range sim.proxies {
		if p.zone == zone {
			sim.rejoin(p)
		}
	}
}

// rejoin replaces a proxy's stream by a new stream to the same controller, or to another controller if the same one is
// not running.
func (sim *Simulation) rejoin(p *proxy) {
	c := sim.controllers[p.controller]
	if c.core == nil {
		sim.reconnect(p)
		return
	}
	if p.stream != 0 {
		c.enqueue(controller.StreamClosed{Stream: p.stream})
	}
	sim.join(p)
}
