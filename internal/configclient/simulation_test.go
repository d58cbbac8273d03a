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

// This file simulates an installation in virtual time: a writer and its followers in regions, controllers of several
// services, a network that loses whole regions, servers that fail and recover. Stores, limiters and clients are the real ones.

// Limits of the simulated network, and of propagation.
const (
	maxDelay         = int64(40 * time.Millisecond) // at most, one way
	answerTimeout    = int64(AnswerTimeout)
	propagationLimit = int64(18 * time.Second)
)

type node struct {
	server  Server
	store   *configstore.Store
	copies  *configstore.CopyLimiter
	client  *Client // nil at the writer
	up      bool
	waiting []*call // calls to be answered later
}

type controller struct {
	instance, service, region string
	client                    *Client
	applied                   []revision.Version
	bad                       bool // rejects every version that is divisible by five
}

// call is one query in flight or waiting at a server.
type call struct {
	from   *follower
	to     *node
	query  configapi.Query
	sent   int64
	closed bool
}

// follower is a controller, or a server that follows others.
type follower struct {
	client *Client
	region string
	take   func(a configapi.Answer)
	down   func() bool
	turn   int // counts polls, so that outcomes of earlier ones are dropped
}

type event struct {
	at  int64
	seq int
	do  func()
}

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

type simulation struct {
	*rand.Rand
	t            testing.TB
	now          int64
	seq          int
	queue        events
	nodes        []*node
	controllers  []*controller
	disconnected map[string]bool // by region
	queries      int
}

func (s *simulation) after(span int64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + span, s.seq, do})
}

func (s *simulation) run(span int64) {
	until := s.now + span
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *simulation) delay() int64 { return 1 + s.Int63n(maxDelay) }

func (s *simulation) linked(a, b string) bool {
	return a == b || !s.disconnected[a] && !s.disconnected[b]
}

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
		s.change(k)
	}
	for k := range controllers {
		s.followAsController(&controller{instance: fmt.Sprintf("n%d", k), service: name(k % services),
			region: fmt.Sprintf("r%d", s.Intn(regions)), bad: k%7 == 0}, servers)
	}
	return s
}

func name(service int) string { return fmt.Sprintf("service-%d", service) }

func (s *simulation) followAsServer(n *node, servers []Server) {
	var others []Server
	for _, server := range servers {
		if server != n.server {
			others = append(others, server)
		}
	}
	c, err := New(Options{Instance: n.server.Address, Region: n.server.Region, Servers: others, Ordered: true, Seed: s.Uint64()})
	if err != nil {
		s.t.Fatal(err)
	}
	n.client = c
	f := &follower{client: c, region: n.server.Region, down: func() bool { return !n.up }}
	f.take = func(a configapi.Answer) {
		if _, err := n.store.Merge(a, s.now); err != nil {
			s.t.Errorf("%s: %v", n.server.Address, err)
		}
		c.Applied(a.Version, nil)
		s.wake(n)
	}
	s.after(s.delay(), func() { s.poll(f) })
}

func (s *simulation) followAsController(g *controller, servers []Server) {
	c, err := New(Options{Instance: g.instance, Service: g.service, Region: g.region, Servers: servers, Seed: s.Uint64()})
	if err != nil {
		s.t.Fatal(err)
	}
	if g.client == nil {
		s.controllers = append(s.controllers, g)
	}
	g.client, g.applied = c, nil
	f := &follower{client: c, region: g.region, down: func() bool { return g.client != c }}
	f.take = func(a configapi.Answer) {
		if g.bad && a.Revision%5 == 0 {
			c.Rejected(a.Version)
			return
		}
		if len(g.applied) > 0 && !a.Version.Newer(g.applied[len(g.applied)-1]) {
			s.t.Errorf("%s activates %s after %s", g.instance, a.Version, g.applied[len(g.applied)-1])
		}
		g.applied = append(g.applied, a.Version)
		c.Applied(a.Version, a.Services[0].Settings)
	}
	s.after(s.delay(), func() { s.poll(f) })
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
	f.turn++
	turn := f.turn
	s.after(poll.At-s.now, func() {
		if f.down() || f.turn != turn {
			return
		}
		s.queries++
		c := &call{from: f, to: s.node(poll.Server.Address), query: poll.Query, sent: s.now}
		if !s.linked(f.region, c.to.server.Region) { // no answer arrives
			s.after(answerTimeout, func() { s.fail(c, turn) })
			return
		}
		s.after(s.delay(), func() { s.receive(c) })
		s.after(int64(poll.Query.Timeout)+answerTimeout, func() { s.fail(c, turn) })
	})
}

func (s *simulation) fail(c *call, turn int) {
	if c.closed || c.from.turn != turn {
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
	if !c.to.up { // rejected at once
		s.fail(c, c.from.turn)
		return
	}
	s.serve(c, true)
}

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
		took := int64(5 * time.Millisecond)
		s.after(took, func() { n.copies.Release(1, took) })
	}
	s.reply(c, func() {
		if c.from.down() {
			return
		}
		if a.Check(c.query) != nil { // of a server without a configuration
			c.from.client.Failed(s.now)
			return
		}
		offer, err := c.from.client.Answered(s.now, a)
		if err != nil {
			s.t.Errorf("%+v: %v", c.query, err)
		}
		if offer {
			c.from.take(a)
		}
		if owner := s.owner(c.from); owner != nil {
			owner.store.WriterSeen(a.AgeMS*int64(time.Millisecond), s.now)
		}
	})
}

func (s *simulation) owner(f *follower) *node {
	for _, n := range s.nodes {
		if n.client == f.client {
			return n
		}
	}
	return nil
}

// reply delivers an answer if the network and the server still work.
func (s *simulation) reply(c *call, take func()) {
	s.after(s.delay(), func() {
		if c.closed || !c.to.up || !s.linked(c.from.region, c.to.server.Region) {
			return
		}
		c.closed = true
		take()
		s.poll(c.from)
	})
}

// wake answers the waiting calls of a server that have become answerable.
func (s *simulation) wake(n *node) {
	waiting := n.waiting
	n.waiting = nil
	for _, c := range waiting {
		if !c.closed {
			s.serve(c, true)
		}
	}
}

func (s *simulation) change(service int) {
	if _, err := s.nodes[0].store.Put(name(service), fmt.Appendf(nil, `{"at":%d}`, s.seq*1000+s.Intn(1000)), s.now); err != nil {
		s.t.Fatal(err)
	}
	s.seq++
	s.wake(s.nodes[0])
}

// lost stops a server: its followers notice at once, as their connections are reset.
func (s *simulation) lost(n *node) {
	n.up = false
	for _, c := range n.waiting {
		if !c.closed {
			s.fail(c, c.from.turn)
		}
	}
	n.waiting = nil
}

// settled checks that the newest version is active at all controllers but those that match except.
func (s *simulation) settled(except func(g *controller) bool) {
	s.t.Helper()
	for _, g := range s.controllers {
		a, _ := s.nodes[0].store.Answer(configapi.Query{Service: g.service}, s.now)
		have := g.client.Active()
		if have == a.Version || except(g) || g.bad && a.Revision%5 == 0 && g.client.newestKnown() == a.Version {
			continue
		}
		s.t.Errorf("%s of %s in %s has %s active, not %s, after %v", g.instance, g.service, g.region, have, a.Version, time.Duration(s.now))
	}
}
