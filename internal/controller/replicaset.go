package controller

import (
	"maps"
	"slices"

	"lilacbend/control"
)

const (
	// A name that is listed no more is kept for as long as discovery may leave it out by mistake, and shorter than
	// the module keeps a replica that is gone: back later it has a new number, and is new to both.
	nameRetention = int64(30 * 1e9)
	// So many forgotten names are known to be ejected at some stream, a few releases of a fleet of a thousand; past it every
	// stream is taken to eject whoever it was not told of, which costs a line for each line of a table.
	maxForgottenEjections = 4 << 10
	// More names than any list of one deployment: past it new ones are not taken in, so that a discovery
	// that makes up names cannot fill the memory.
	maxNames = 1 << 16
)

// replicaSet gives replicas numbers: the same replica the same number for as long as it is known.
type replicaSet struct {
	numbers            map[string]uint32
	known              map[uint32]*replica
	forgottenEjections []string // names forgotten, though some streams may still eject them
	last               uint32
	listCount          int // taken in so far
}

type replica struct {
	control.ListedReplica
	name    string
	zone    string // as listed
	kind    string
	upSince int64
	seen    int64 // when it was last listed and not gone
	list    int   // the last one that named it: two lists may be taken in with one turn, at one time
}

func newReplicaSet() replicaSet {
	return replicaSet{numbers: map[string]uint32{}, known: map[uint32]*replica{}}
}

func indexOrLast(names []string, name string) int {
	if k := slices.Index(names, name); k >= 0 {
		return k
	}
	return len(names) // one more, for all that the settings do not name
}

// applyList takes in an answer of discovery and returns it as an event, with the entries that were not known before or have
// started or moved since, and how many of its members could not be used.
func (c *Core) applyList(l ReplicaList, now int64) (event control.ReplicasListed, fresh []control.ListedReplica, odd int) {
	event.Full = l.Complete
	c.revision = l.Revision
	c.replicas.listCount++
	for _, m := range l.Members {
		r := c.lookUp(m)
		if r == nil {
			odd++
			continue
		}
		switch {
		case m.Unusable:
			odd++
		case c.update(r, m, l):
			fresh = append(fresh, r.ListedReplica)
		}
		r.seen = now
		r.list = c.replicas.listCount
		event.Entries = append(event.Entries, r.ListedReplica)
	}
	if l.Complete {
		c.replicas.markUnlistedGone()
	}
	return event, fresh, odd
}

// lookUp finds the replica of a member, or takes it in as a new one; nil if it is new and cannot be used, or one too many.
func (c *Core) lookUp(m Member) *replica {
	if id, known := c.replicas.numbers[m.ID]; known {
		return c.replicas.known[id]
	}
	if m.ID == "" || m.Unusable || len(c.replicas.known) >= maxNames {
		return nil
	}
	if slices.Contains(c.replicas.forgottenEjections, m.ID) {
		c.assumeEjections()
	}
	return c.replicas.add(m.ID)
}

// update takes over what a list says of a replica, and returns whether it is new, has started or has moved.
func (c *Core) update(r *replica, m Member, l ReplicaList) bool {
	another := m.UpSince != r.upSince || m.Zone != r.zone || m.HardwareClass != r.kind
	r.zone = m.Zone
	r.kind = m.HardwareClass
	if m.UpSince != r.upSince { // worked out once, so that steps of the wall clock start nobody anew
		r.upSince = m.UpSince
		r.Start = startTime(m.UpSince, l)
	}
	r.Zone = indexOrLast(c.names.Zones, m.Zone)
	r.HardwareClass = indexOrLast(c.names.HardwareClasses, m.HardwareClass)
	r.State = m.State
	r.Weight = m.Weight
	return another
}

// startTime is a start that was told by the wall clock on the core's clock, above 0 and not after the list was read; 0 for long
// ago.
func startTime(upSince int64, l ReplicaList) int64 {
	if upSince <= 0 {
		return 0
	}
	return max(1, min(l.ReadAt, l.ReadAt-l.ReadAtWall+upSince))
}

// add gives a new name the next number.
func (r *replicaSet) add(name string) *replica {
	r.last++
	added := &replica{ListedReplica: control.ListedReplica{Replica: r.last}, name: name, upSince: -1}
	r.numbers[name] = r.last
	r.known[r.last] = added
	return added
}

// markUnlistedGone marks whoever the last list did not name as gone.
func (r *replicaSet) markUnlistedGone() {
	for _, m := range r.known {
		if m.list != r.listCount {
			m.State = control.Gone
		}
	}
}

// currentList is the last list, for a module that starts over.
func (c *Core) currentList() control.ReplicasListed {
	ev := control.ReplicasListed{Full: true}
	for _, id := range slices.Sorted(maps.Keys(c.replicas.known)) {
		if r := c.replicas.known[id]; r.State != control.Gone {
			ev.Entries = append(ev.Entries, r.ListedReplica)
		}
	}
	return ev
}

// assumeEjections takes all streams to eject whoever they were not told of.
func (c *Core) assumeEjections() {
	for _, s := range c.proxies {
		s.blank = false
	}
}

// sweep forgets what need not be kept: old charges, streams that have ended, and names.
func (c *Core) sweep(now int64) {
	c.account.Evict(now)
	ended := func(s *stream) bool { return c.proxies[s.opened.Proxy] != s }
	c.urgentQueue = slices.DeleteFunc(c.urgentQueue, ended)
	c.normalQueue = slices.DeleteFunc(c.normalQueue, ended)
	c.sweepNames(now)
}

// sweepNames forgets the names of replicas that are long gone and that nobody needs any more.
func (c *Core) sweepNames(now int64) {
	needed := c.neededNames()
	for id, r := range c.replicas.known {
		if r.State != control.Gone {
			r.seen = now
		} else if now-r.seen > nameRetention && !needed[id] {
			c.forget(id, r)
		}
	}
	if len(c.replicas.forgottenEjections) > maxForgottenEjections {
		c.assumeEjections()
		c.replicas.forgottenEjections = nil
	}
}

// neededNames are the replicas that a table holds, or that some stream has yet to be told of.
func (c *Core) neededNames() map[uint32]bool {
	needed := map[uint32]bool{}
	for _, lines := range c.tables {
		for id := range lines {
			needed[id] = true
		}
	}
	for _, s := range c.proxies {
		if s.pending != nil {
			maps.Copy(needed, s.pending.endpoints)
			maps.Copy(needed, s.pending.ejections)
		}
	}
	return needed
}

// forget drops the number of a replica. Its name is kept if some stream was told of it, as that stream may still eject it.
func (c *Core) forget(id uint32, r *replica) {
	delete(c.replicas.numbers, r.name)
	delete(c.replicas.known, id)
	delete(c.ejected, id)
	told := false
	for _, s := range c.proxies {
		told = told || s.toldEjected[id]
		delete(s.toldEjected, id)
	}
	if told {
		c.replicas.forgottenEjections = append(c.replicas.forgottenEjections, r.name)
	}
}
