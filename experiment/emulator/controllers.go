package emulator

import (
	"bytes"
	"slices"

	"lilacbend/internal/controller"
	"lilacbend/internal/controlserver"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/resp"
	"lilacbend/policy"
)

// controllerNode is one controller, and what is on its way to it.
type controllerNode struct {
	simulation *Simulation
	index      int
	core       *controller.Core // nil: it does not run
	startedAt  int64
	inputs     []controller.Input
	nextTurn   int64 // 0: none is scheduled
	channelEnd int64 // when its channel has sent all that is queued
	learned    *learnedstate.State
	reports    []reportLine // that wait for the intake, the oldest first
	credit     float64      // lines that the intake lets through
}

// Start starts all controllers. The first one receives the restored state.
func (sim *Simulation) Start(restored *learnedstate.AgedState) {
	for _, c := range sim.controllers {
		sim.start(c, restored)
		restored = nil
	}
}

// Core returns the core of a controller, or nil if it does not run.
func (sim *Simulation) Core(k int) *controller.Core { return sim.controllers[k].core }

// start starts a controller. It receives the restored state, if any, the list, and its proxies as they join. Proxies keep the
// tables that they have.
func (sim *Simulation) start(c *controllerNode, restored *learnedstate.AgedState) {
	provision := sim.Site.Settings
	provision.Seed = uint64(sim.random.Int63())
	c.startedAt = sim.now
	c.core = controller.New(func() controller.Module {
		if sim.WrapModule != nil {
			return sim.WrapModule(policy.New(provision))
		}
		return policy.New(provision)
	}, controller.NewTopology(sim.Site.Names, provision))
	if restored != nil {
		c.enqueue(controller.SnapshotRestored{Snapshot: restored})
	}
	sim.sendList(c)
	for _, p := range sim.proxies {
		delete(p.messageTimes, c.index) // those of an earlier incarnation
		if sim.isOwn(p, c) {
			sim.scheduleJoin(p, c)
		}
	}
}

// scheduleJoin lets a proxy join a controller that has started: within a third of a second if it has none, some seconds later
// if it has another one.
func (sim *Simulation) scheduleJoin(p *proxy, c *controllerNode) {
	core := c.core
	sim.after(sim.random.Int63n(second/3), func() {
		if c.core == core && !sim.isCut(p.zone) && p.stream == 0 {
			p.controller = c.index
			sim.join(p)
		}
	})
	if len(sim.controllers) == 1 {
		return
	}
	sim.after(3*second+sim.random.Int63n(9*second), func() {
		if c.core == core && !sim.isCut(p.zone) && p.stream != 0 && p.controller != c.index {
			sim.controllers[p.controller].enqueue(controller.StreamClosed{Stream: p.stream})
			p.controller = c.index
			sim.join(p)
		}
	})
}

// Stop kills all controllers, with all inputs that they have not processed.
func (sim *Simulation) Stop() {
	for _, c := range sim.controllers {
		sim.stop(c)
	}
}

func (sim *Simulation) stop(c *controllerNode) {
	c.core = nil
	c.inputs = nil
	c.nextTurn = 0
	c.reports = nil
	for _, p := range sim.proxies {
		if p.controller == c.index {
			p.stream = 0
			sim.reconnect(p)
		}
	}
}

// ChangeReplicas changes replicas and sends the list to the controllers.
func (sim *Simulation) ChangeReplicas(change func(k int, r *Replica)) {
	for k, r := range sim.Replicas {
		change(k, r)
	}
	for _, c := range sim.controllers {
		if c.core != nil {
			sim.sendList(c)
		}
	}
}

func (sim *Simulation) sendList(c *controllerNode) {
	list := controller.ReplicaList{Revision: 1, Complete: true, ReadAt: sim.now, ReadAtWall: sim.now}
	for _, r := range sim.Replicas {
		list.Members = append(list.Members, r.Member)
	}
	c.enqueue(list)
}

// enqueue adds an input and schedules a turn.
func (c *controllerNode) enqueue(input controller.Input) {
	if c.core == nil {
		return
	}
	c.inputs = append(c.inputs, input)
	c.scheduleTurn(c.simulation.now + batchDelay)
}

// scheduleTurn schedules a turn, unless one is scheduled before.
func (c *controllerNode) scheduleTurn(when int64) {
	if c.nextTurn != 0 && c.nextTurn <= when {
		return
	}
	core := c.core
	sim := c.simulation
	c.nextTurn = max(when, sim.now)
	sim.at(when, func() {
		if c.core != core || c.nextTurn != sim.now { // replaced by another one
			return
		}
		c.nextTurn = 0
		sim.turn(c)
	})
}

// turn runs one turn of a core and sends its updates.
func (sim *Simulation) turn(c *controllerNode) {
	inputs := c.inputs
	c.inputs = nil
	start := int64(0)
	if sim.Clock != nil {
		start = sim.Clock()
	}
	result := c.core.Turn(sim.now, inputs)
	if sim.Clock != nil {
		sim.TurnTimes = append(sim.TurnTimes, sim.Clock()-start)
	}
	if result.Snapshot != nil {
		c.learned = result.Snapshot
		c.learned.Taken = learnedstate.Timestamp{Wall: sim.now}
		sim.LearnedState = sim.controllers[0].learned
	}
	for _, outgoing := range result.Updates {
		sim.send(c, outgoing)
	}
	if result.NextTurn > 0 {
		c.scheduleTurn(result.NextTurn)
	}
}

// send sends an update through the controller's channel to the proxy of its stream, which applies updates in order.
func (sim *Simulation) send(c *controllerNode, outgoing controller.OutgoingUpdate) {
	index := slices.IndexFunc(sim.proxies, func(p *proxy) bool { return p.stream == outgoing.Stream })
	if index < 0 {
		return
	}
	p := sim.proxies[index]
	if sim.Trace != nil {
		sim.Trace("%d push %d %q", sim.now, p.id, wireBytes(outgoing.Update))
	}
	sentAt := sim.checkChannel(p, outgoing.Update)
	c.inputs = append(c.inputs, controller.MessageSent{Number: outgoing.Number})
	p.lastApplied = max(p.lastApplied, sentAt+transit, p.stalledUntil)
	sim.at(p.lastApplied, func() { sim.apply(p, outgoing) })
}

// wireBytes returns an update as a controller writes it to a proxy's stream.
func wireBytes(update controller.Update) []byte {
	var buffer bytes.Buffer
	pool := resp.NewPool(0)
	for _, words := range controlserver.EncodeUpdate(update) {
		resp.Write(&buffer, pool, words...) // cannot fail on a buffer
	}
	return buffer.Bytes()
}
