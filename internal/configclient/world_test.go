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

// This file plays an installation in virtual time: a writer and followers of it in regions, governors of several services,
// a network that loses whole regions, servers that end and come back. Only the real stores, bounds and clients decide.

// Bounds of the world's network and of what it must keep.
const (
	worldDelay   = int64(40 * time.Millisecond) // at most, one way
	worldLate    = int64(AnswerLate)
	inForceBound = int64(18 * time.Second)
)

type node struct {
	server Server
	store  *configstore.Store
	copies *configstore.Copies
	client *Client // nil at the writer
	up     bool
	held   []*call // watches that wait
}

type governor struct {
	instance, service, region string
	client                    *Client
	applied                   []revision.Version
	bad                       bool // refuses every version that is divisible by five
}

// call is one query on its way, or waiting at a server.
type call struct {
	from   *follower
	to     *node
	query  configapi.Query
	sent   int64
	closed bool
}

// follower is a governor or a server that follows others.
type follower struct {
	client *Client
	region string
	take   func(a configapi.Answer)
	down   func() bool
	turn   int // counts conversations, so that what belongs to an older one is dropped
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

type world struct {
	*rand.Rand
	t         testing.TB
	now       int64
	seq       int
	queue     events
	nodes     []*node
	governors []*governor
	cut       map[string]bool // regions without a way to others
	queries   int
}

func (w *world) after(span int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + span, w.seq, do})
}

func (w *world) run(span int64) {
	until := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) delay() int64 { return 1 + w.Int63n(worldDelay) }

func (w *world) linked(a, b string) bool { return a == b || !w.cut[a] && !w.cut[b] }

func newWorld(t testing.TB, seed int64, regions, perRegion, governors, services int) *world {
	w := &world{Rand: rand.New(rand.NewSource(seed)), t: t, cut: map[string]bool{}}
	var servers []Server
	for r := range regions {
		for k := range perRegion {
			servers = append(servers, Server{fmt.Sprintf("s%d-%d", r, k), fmt.Sprintf("r%d", r)})
		}
	}
	for k, s := range servers {
		n := &node{server: s, store: configstore.New(func([]byte) error { return nil }), copies: configstore.NewCopies(8), up: true}
		w.nodes = append(w.nodes, n)
		if k == 0 {
			if err := n.store.Begin(1, 0); err != nil {
				t.Fatal(err)
			}
			continue
		}
		w.followAsServer(n, servers)
	}
	for k := range services {
		w.change(k)
	}
	for k := range governors {
		w.followAsGovernor(&governor{instance: fmt.Sprintf("n%d", k), service: name(k % services),
			region: fmt.Sprintf("r%d", w.Intn(regions)), bad: k%7 == 0}, servers)
	}
	return w
}

func name(service int) string { return fmt.Sprintf("service-%d", service) }

func (w *world) followAsServer(n *node, servers []Server) {
	var others []Server
	for _, s := range servers {
		if s != n.server {
			others = append(others, s)
		}
	}
	c, err := New(Options{Instance: n.server.Address, Region: n.server.Region, Servers: others, Ordered: true, Seed: w.Uint64()})
	if err != nil {
		w.t.Fatal(err)
	}
	n.client = c
	f := &follower{client: c, region: n.server.Region, down: func() bool { return !n.up }}
	f.take = func(a configapi.Answer) {
		if _, err := n.store.Merge(a, w.now); err != nil {
			w.t.Errorf("%s: %v", n.server.Address, err)
		}
		c.Applied(a.Version, nil)
		w.wake(n)
	}
	w.after(w.delay(), func() { w.ask(f) })
}

func (w *world) followAsGovernor(g *governor, servers []Server) {
	c, err := New(Options{Instance: g.instance, Service: g.service, Region: g.region, Servers: servers, Seed: w.Uint64()})
	if err != nil {
		w.t.Fatal(err)
	}
	if g.client == nil {
		w.governors = append(w.governors, g)
	}
	g.client, g.applied = c, nil
	f := &follower{client: c, region: g.region, down: func() bool { return g.client != c }}
	f.take = func(a configapi.Answer) {
		if g.bad && a.Revision%5 == 0 {
			c.Refused(a.Version)
			return
		}
		if len(g.applied) > 0 && !a.Version.Newer(g.applied[len(g.applied)-1]) {
			w.t.Errorf("%s puts %s in force after %s", g.instance, a.Version, g.applied[len(g.applied)-1])
		}
		g.applied = append(g.applied, a.Version)
		c.Applied(a.Version, a.Services[0].Settings)
	}
	w.after(w.delay(), func() { w.ask(f) })
}

func (w *world) node(address string) *node {
	for _, n := range w.nodes {
		if n.server.Address == address {
			return n
		}
	}
	w.t.Fatalf("no server %s", address)
	return nil
}

// ask carries out the next command of a follower.
func (w *world) ask(f *follower) {
	if f.down() {
		return
	}
	ask := f.client.Next(w.now)
	f.turn++
	turn := f.turn
	w.after(ask.At-w.now, func() {
		if f.down() || f.turn != turn {
			return
		}
		w.queries++
		c := &call{from: f, to: w.node(ask.Server.Address), query: ask.Query, sent: w.now}
		if !w.linked(f.region, c.to.server.Region) { // nothing comes back
			w.after(worldLate, func() { w.fail(c, turn) })
			return
		}
		w.after(w.delay(), func() { w.receive(c) })
		w.after(int64(ask.Query.Timeout)+worldLate, func() { w.fail(c, turn) })
	})
}

func (w *world) fail(c *call, turn int) {
	if c.closed || c.from.turn != turn {
		return
	}
	c.closed = true
	c.from.client.Failed(w.now)
	w.ask(c.from)
}

// receive has a server take a query in.
func (w *world) receive(c *call) {
	if c.closed {
		return
	}
	if !c.to.up { // refused at once
		w.fail(c, c.from.turn)
		return
	}
	w.serve(c, true)
}

func (w *world) serve(c *call, mayWait bool) {
	n := c.to
	if n.client == nil {
		n.store.Heard(0, w.now)
	}
	a, result := n.store.Answer(c.query, w.now)
	switch {
	case result == configstore.Current && mayWait:
		n.held = append(n.held, c)
		w.after(int64(c.query.Timeout), func() { w.serve(c, false) })
		return
	case c.closed:
		return
	case result == configstore.Unknown:
		w.reply(c, func() { c.from.client.Unknown(w.now) })
		return
	case a.Complete:
		ok, retryAfter := n.copies.Admit(1, w.now)
		if !ok {
			w.reply(c, func() { c.from.client.Busy(w.now, time.Duration(retryAfter)) })
			return
		}
		took := int64(5 * time.Millisecond)
		w.after(took, func() { n.copies.Done(1, took) })
	}
	w.reply(c, func() {
		if c.from.down() {
			return
		}
		if a.Check(c.query) != nil { // of a server that has nothing yet
			c.from.client.Failed(w.now)
			return
		}
		offer, err := c.from.client.Answered(w.now, a)
		if err != nil {
			w.t.Errorf("%+v: %v", c.query, err)
		}
		if offer {
			c.from.take(a)
		}
		if owner := w.owner(c.from); owner != nil {
			owner.store.Heard(a.AgeMS*int64(time.Millisecond), w.now)
		}
	})
}

func (w *world) owner(f *follower) *node {
	for _, n := range w.nodes {
		if n.client == f.client {
			return n
		}
	}
	return nil
}

// reply brings an answer back, if there is still a way and the server lives.
func (w *world) reply(c *call, take func()) {
	w.after(w.delay(), func() {
		if c.closed || !c.to.up || !w.linked(c.from.region, c.to.server.Region) {
			return
		}
		c.closed = true
		take()
		w.ask(c.from)
	})
}

// wake looks at all watches of a server again.
func (w *world) wake(n *node) {
	held := n.held
	n.held = nil
	for _, c := range held {
		if !c.closed {
			w.serve(c, true)
		}
	}
}

func (w *world) change(service int) {
	if _, err := w.nodes[0].store.Put(name(service), fmt.Appendf(nil, `{"at":%d}`, w.seq*1000+w.Intn(1000)), w.now); err != nil {
		w.t.Fatal(err)
	}
	w.seq++
	w.wake(w.nodes[0])
}

// lost ends a server: its followers notice at once, as their connections are reset.
func (w *world) lost(n *node) {
	n.up = false
	for _, c := range n.held {
		if !c.closed {
			w.fail(c, c.from.turn)
		}
	}
	n.held = nil
}

// settled says who has not what it should have; except may be without the newest.
func (w *world) settled(except func(g *governor) bool) {
	w.t.Helper()
	for _, g := range w.governors {
		a, _ := w.nodes[0].store.Answer(configapi.Query{Service: g.service}, w.now)
		have := g.client.InForce()
		if have == a.Version || except(g) || g.bad && a.Revision%5 == 0 && g.client.held() == a.Version {
			continue
		}
		w.t.Errorf("%s of %s in %s has %s in force, not %s, after %v", g.instance, g.service, g.region, have, a.Version, time.Duration(w.now))
	}
}
