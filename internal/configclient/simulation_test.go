package configclient

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configstore"
	"lilacbend/internal/revision"
)

// This file simulates an installation in virtual time: a writer, other servers and controllers of several services in
// several regions. Regions can be disconnected, and servers can fail and recover. Stores, copy limiters and clients are
// those of production.

// Limits of the simulated network, and of propagation.
const (
	maxDelay         = int64(40 * time.Millisecond) // longest delay of a message in one direction
	answerTimeout    = int64(AnswerTimeout)
	propagationLimit = int64(18 * time.Second)
)

// node is a server.
type node struct {
	server  Server
	store   *configstore.Store
	copies  *configstore.CopyLimiter
	client  *Client // nil at the writer
	up      bool
	waiting []*call // calls that wait for a change
}

// controller follows one service and records the versions that it has applied.
type controller struct {
	instance, service, region string
	client                    *Client
	applied                   []revision.Version
	rejectsSome               bool // rejects every revision that is divisible by five
}

// call is one query that is in flight or waits at a server.
type call struct {
	from   *follower
	to     *node
	query  configapi.Query
	sent   int64
	closed bool
}

// follower is a controller or a server that polls servers for new versions.
type follower struct {
	client    *Client
	region    string
	accept    func(a configapi.Answer)
	down      func() bool
	pollCount int // number of polls so far, by which outcomes of earlier polls are recognized and dropped
}

// event is a function that is scheduled for a virtual time. Events of the same time run in order of seq.
type event struct {
	at  int64
	seq int
	run func()
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of the simulated installation. Its random numbers come from one seed.
type simulation struct {
	*rand.Rand
	t            testing.TB
	now          int64
	seq          int
	queue        events
	nodes        []*node
	controllers  []*controller
	disconnected map[string]bool // whether a region is disconnected, by region
	queries      int
}

// after schedules a function to run after a delay.
func (s *simulation) after(delay int64, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + delay, s.seq, run})
}

// run executes all events that are due within a duration, and advances the virtual time by it.
func (s *simulation) run(duration int64) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simulation) networkDelay() int64 { return 1 + s.Int63n(maxDelay) }

// connected reports whether messages between two regions arrive.
func (s *simulation) connected(a, b string) bool {
	return a == b || !s.disconnected[a] && !s.disconnected[b]
}

// newSimulation returns an installation whose first server is the writer, and whose followers have started.
func newSimulation(t testing.TB, seed int64, regions, perRegion, controllers, services int) *simulation {
	s := &simulation{Rand: rand.New(rand.NewSource(seed)), t: t, disconnected: map[string]bool{}}
	var servers []Server
	for r := range regions {
		for k := range perRegion {
			servers = append(servers, Server{fmt.Sprintf("s%d-%d", r, k), fmt.Sprintf("r%d", r)})
		}
	}
	for k, server := range servers {
		n := &node{server: server, store: configstore.New(func([]byte) error { return nil }), copies: configstore.NewCopyLimiter(8), up: true}
		s.nodes = append(s.nodes, n)
		if k == 0 {
			if err := n.store.BeginEpoch(1, 0); err != nil {
				t.Fatal(err)
			}
			continue
		}
		s.followAsServer(n, servers)
	}
	for k := range services {
		s.changeService(k)
	}
	for k := range controllers {
		s.followAsController(&controller{instance: fmt.Sprintf("n%d", k), service: serviceName(k % services),
			region: fmt.Sprintf("r%d", s.Intn(regions)), rejectsSome: k%7 == 0}, servers)
	}
	return s
}

// serviceName returns the name of the service with a number.
func serviceName(service int) string { return fmt.Sprintf("service-%d", service) }

// followAsServer makes a server follow all others, which are in order of preference.
func (s *simulation) followAsServer(n *node, servers []Server) {
	var others []Server
	for _, server := range servers {
		if server != n.server {
			others = append(others, server)
		}
	}
	client, err := New(Options{Instance: n.server.Address, Region: n.server.Region, Servers: others, Ordered: true, Seed: s.Uint64()})
	if err != nil {
		s.t.Fatal(err)
	}
	n.client = client
	f := &follower{client: client, region: n.server.Region, down: func() bool { return !n.up }}
	f.accept = func(a configapi.Answer) {
		if _, err := n.store.Merge(a, s.now); err != nil {
			s.t.Errorf("server %s does not merge an answer: %v", n.server.Address, err)
		}
		client.Applied(a.Version, nil)
		s.wake(n)
	}
	s.after(s.networkDelay(), func() { s.poll(f) })
}

// followAsController starts a controller, or restarts it without an active version.
func (s *simulation) followAsController(controller *controller, servers []Server) {
	client, err := New(Options{Instance: controller.instance, Service: controller.service, Region: controller.region, Servers: servers, Seed: s.Uint64()})
	if err != nil {
		s.t.Fatal(err)
	}
	if controller.client == nil {
		s.controllers = append(s.controllers, controller)
	}
	controller.client, controller.applied = client, nil
	f := &follower{client: client, region: controller.region, down: func() bool { return controller.client != client }}
	f.accept = func(a configapi.Answer) {
		if controller.rejectsSome && a.Revision%5 == 0 {
			client.Rejected(a.Version)
			return
		}
		if len(controller.applied) > 0 && !a.Version.Newer(controller.applied[len(controller.applied)-1]) {
			s.t.Errorf("controller %s applies version %s after %s", controller.instance, a.Version, controller.applied[len(controller.applied)-1])
		}
		controller.applied = append(controller.applied, a.Version)
		client.Applied(a.Version, a.Services[0].Settings)
	}
	s.after(s.networkDelay(), func() { s.poll(f) })
}

func (s *simulation) node(address string) *node {
	for _, n := range s.nodes {
		if n.server.Address == address {
			return n
		}
	}
	s.t.Fatalf("no server %s", address)
	return nil
}

// poll executes the next poll of a follower.
func (s *simulation) poll(f *follower) {
	if f.down() {
		return
	}
	poll := f.client.NextPoll(s.now)
	f.pollCount++
	pollNumber := f.pollCount
	s.after(poll.At-s.now, func() {
		if f.down() || f.pollCount != pollNumber {
			return
		}
		s.queries++
		c := &call{from: f, to: s.node(poll.Server.Address), query: poll.Query, sent: s.now}
		if !s.connected(f.region, c.to.server.Region) { // the query is lost
			s.after(answerTimeout, func() { s.fail(c, pollNumber) })
			return
		}
		s.after(s.networkDelay(), func() { s.receive(c) })
		s.after(int64(poll.Query.Timeout)+answerTimeout, func() { s.fail(c, pollNumber) })
	})
}

// fail ends a call without an answer, unless a later poll has replaced it.
func (s *simulation) fail(c *call, pollNumber int) {
	if c.closed || c.from.pollCount != pollNumber {
		return
	}
	c.closed = true
	c.from.client.Failed(s.now)
	s.poll(c.from)
}

// receive handles a query at a server.
func (s *simulation) receive(c *call) {
	if c.closed {
		return
	}
	if !c.to.up { // the connection is refused
		s.fail(c, c.from.pollCount)
		return
	}
	s.serve(c, true)
}

// serve answers a query, or lets it wait for a change if mayWait is true.
func (s *simulation) serve(c *call, mayWait bool) {
	n := c.to
	if n.client == nil {
		n.store.WriterSeen(0, s.now)
	}
	a, result := n.store.Answer(c.query, s.now)
	switch {
	case result == configstore.Unchanged && mayWait:
		n.waiting = append(n.waiting, c)
		s.after(int64(c.query.Timeout), func() { s.serve(c, false) })
		return
	case c.closed:
		return
	case result == configstore.UnknownService:
		s.reply(c, func() { c.from.client.Unknown(s.now) })
		return
	case a.Complete:
		ok, retryAfter := n.copies.Acquire(1, s.now)
		if !ok {
			s.reply(c, func() { c.from.client.Busy(s.now, time.Duration(retryAfter)) })
			return
		}
		copyDuration := int64(5 * time.Millisecond)
		s.after(copyDuration, func() { n.copies.Release(1, copyDuration) })
	}
	s.reply(c, func() {
		if c.from.down() {
			return
		}
		if a.Check(c.query) != nil { // the server has no configuration yet
			c.from.client.Failed(s.now)
			return
		}
		offer, err := c.from.client.Answered(s.now, a)
		if err != nil {
			s.t.Errorf("answer to %+v is unusable: %v", c.query, err)
		}
		if offer {
			c.from.accept(a)
		}
		if owner := s.nodeOf(c.from); owner != nil {
			owner.store.WriterSeen(a.AgeMS*int64(time.Millisecond), s.now)
		}
	})
}

// nodeOf returns the node of a follower that is a server, or nil for a controller.
func (s *simulation) nodeOf(f *follower) *node {
	for _, n := range s.nodes {
		if n.client == f.client {
			return n
		}
	}
	return nil
}

// reply delivers an answer, unless the server has failed or the regions are disconnected when it arrives.
func (s *simulation) reply(c *call, deliver func()) {
	s.after(s.networkDelay(), func() {
		if c.closed || !c.to.up || !s.connected(c.from.region, c.to.server.Region) {
			return
		}
		c.closed = true
		deliver()
		s.poll(c.from)
	})
}

// wake serves the waiting calls of a server again after its configuration has changed.
func (s *simulation) wake(n *node) {
	waiting := n.waiting
	n.waiting = nil
	for _, c := range waiting {
		if !c.closed {
			s.serve(c, true)
		}
	}
}

// changeService stores new settings of a service at the writer.
func (s *simulation) changeService(service int) {
	if _, err := s.nodes[0].store.Put(serviceName(service), fmt.Appendf(nil, `{"at":%d}`, s.seq*1000+s.Intn(1000)), s.now); err != nil {
		s.t.Fatal(err)
	}
	s.seq++
	s.wake(s.nodes[0])
}

// stop stops a server. Its followers detect this at once, because their connections are reset.
func (s *simulation) stop(n *node) {
	n.up = false
	for _, c := range n.waiting {
		if !c.closed {
			s.fail(c, c.from.pollCount)
		}
	}
	n.waiting = nil
}

// checkPropagated checks that the newest version is active at all controllers except those for which except is true and
// those that have rejected it.
func (s *simulation) checkPropagated(except func(g *controller) bool) {
	s.t.Helper()
	for _, controller := range s.controllers {
		a, _ := s.nodes[0].store.Answer(configapi.Query{Service: controller.service}, s.now)
		active := controller.client.Active()
		if active == a.Version || except(controller) || controller.rejectsSome && a.Revision%5 == 0 && controller.client.newestKnown() == a.Version {
			continue
		}
		s.t.Errorf("controller %s of service %s in region %s has version %s active, not %s, at virtual time %v", controller.instance, controller.service, controller.region, active, a.Version, time.Duration(s.now))
	}
}
