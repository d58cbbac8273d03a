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

// controllerNode is one controller, with its queued inputs and reports.
type controllerNode struct {
	simulation    *Simulation
	index         int
	core          *controller.Core // nil: not running
	startedAt     int64
	inputs        []controller.Input
	nextTurn      int64 // time of the next turn; 0: none is scheduled
	channelFreeAt int64 // time at which the send channel has sent all queued messages
	learned       *learnedstate.State
	queuedReports []reportLine // queued by the rate limit, oldest first
	reportCredit  float64      // report lines that the rate limit permits at present
}

// Start starts all controllers. The first controller receives the restored state.
func (sim *Simulation) Start(restored *learnedstate.AgedState) {
	for _, c := range sim.controllers {
		sim.start(c, restored)
		restored = nil
	}
}

// Core returns the core of a controller, or nil if it does not run.
func (sim *Simulation) Core(k int) *controller.Core { return sim.controllers[k].core }

// start starts a controller. It receives the restored state, if any, the replica list, and later the proxies that join it.
// Proxies keep the tables that they have.
func (sim *Simulation) start(c *controllerNode, restored *learnedstate.AgedState) {
	settings := sim.Site.Settings
	settings.Seed = uint64(sim.random.Int63())
	c.startedAt = sim.now
	c.core = controller.New(func() controller.Module {
		if sim.WrapModule != nil {
			return sim.WrapModule(policy.New(settings))
		}
		return policy.New(settings)
	}, controller.NewTopology(sim.Site.Names, settings))
	if restored != nil {
		c.enqueue(controller.SnapshotRestored{Snapshot: restored})
	}
	sim.sendReplicaList(c)
	for _, p := range sim.proxies {
		delete(p.messageTimes, c.index) // times of messages that the process before the restart sent
		if sim.isPreferredController(p, c) {
			sim.scheduleJoin(p, c)
		}
	}
}

// scheduleJoin has a proxy join a controller that has started: within a third of a second if it has no stream, or 3 to 12 s
// later if it has a stream to another controller.
func (sim *Simulation) scheduleJoin(p *proxy, c *controllerNode) {
	core := c.core
	sim.after(sim.random.Int63n(second/3), func() {
		if c.core == core && !sim.isPartitioned(p.zone) && p.stream == 0 {
			p.controller = c.index
			sim.join(p)
		}
	})
	if len(sim.controllers) == 1 {
		return
	}
	sim.after(3*second+sim.random.Int63n(9*second), func() {
		if c.core == core && !sim.isPartitioned(p.zone) && p.stream != 0 && p.controller != c.index {
			sim.controllers[p.controller].enqueue(controller.StreamClosed{Stream: p.stream})
			p.controller = c.index
			sim.join(p)
		}
	})
}

// Stop kills all controllers. Their unprocessed inputs are lost.
func (sim *Simulation) Stop() {
	for _, c := range sim.controllers {
		sim.stop(c)
	}
}

func (sim *Simulation) stop(c *controllerNode) {
	c.core = nil
	c.inputs = nil
	c.nextTurn = 0
	c.queuedReports = nil
	for _, p := range sim.proxies {
		if p.controller == c.index {
			p.stream = 0
			sim.reconnect(p)
		}
	}
}

// ChangeReplicas calls change for each replica, and then sends the replica list to the running controllers.
func (sim *Simulation) ChangeReplicas(change func(k int, r *Replica)) {
	for k, r := range sim.Replicas {
		change(k, r)
	}
	for _, c := range sim.controllers {
		if c.core != nil {
			sim.sendReplicaList(c)
		}
	}
}

func (sim *Simulation) sendReplicaList(c *controllerNode) {
	list := controller.ReplicaList{Revision: 1, Complete: true, ReadAt: sim.now, ReadAtWallClock: sim.now}
	for _, r := range sim.Replicas {
		list.Members = append(list.Members, r.Member)
	}
	c.enqueue(list)
}

// enqueue adds an input for the next turn and schedules that turn. A controller that is not running ignores it.
func (c *controllerNode) enqueue(input controller.Input) {
	if c.core == nil {
		return
	}
	c.inputs = append(c.inputs, input)
	c.scheduleTurn(c.simulation.now + batchDelay)
}

// scheduleTurn schedules a turn, unless an earlier one is already scheduled.
func (c *controllerNode) scheduleTurn(time int64) {
	if c.nextTurn != 0 && c.nextTurn <= time {
		return
	}
	core := c.core
	sim := c.simulation
	c.nextTurn = max(time, sim.now)
	sim.at(time, func() {
		if c.core != core || c.nextTurn != sim.now { // the controller was restarted, or the turn was moved to another time
			return
		}
		c.nextTurn = 0
		sim.turn(c)
	})
}

// turn runs one turn of a controller's core and sends the resulting updates.
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
		c.learned.TakenAt = learnedstate.Timestamp{Wall: sim.now}
		sim.LearnedState = sim.controllers[0].learned
	}
	for _, outgoing := range result.Updates {
		sim.send(c, outgoing)
	}
	if result.NextTurn > 0 {
		c.scheduleTurn(result.NextTurn)
	}
}

// send sends an update through the controller's send channel to the proxy of the update's stream, which applies updates
// in order.
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
	c.inputs = append(c.inputs, controller.MessageSent{ChargeNumber: outgoing.ChargeNumber})
	p.lastApplied = max(p.lastApplied, sentAt+transitTime, p.stalledUntil)
	sim.at(p.lastApplied, func() { sim.apply(p, outgoing) })
}

// wireBytes returns the bytes that a controller writes to a proxy's stream for an update.
func wireBytes(update controller.Update) []byte {
	var buffer bytes.Buffer
	pool := resp.NewPool(0)
	for _, words := range controlserver.EncodeUpdate(update) {
		resp.Write(&buffer, pool, words...) // writes to a bytes.Buffer do not fail
	}
	return buffer.Bytes()
}
