package controller

import (
	"maps"
	"slices"
	"time"

	"lilacbend/control"
)

// maxNames bounds the names that are known at a time, listed or not: more than any list of one deployment, so that a discovery
// that makes up names cannot fill the memory. Past it new ones are not taken in.
const maxNames = 1 << 16

// replicaSet gives replicas numbers: a replica keeps its number for as long as it is known.
type replicaSet struct {
	numbers    map[string]uint32 // by name
	byNumber   map[uint32]*replica
	lastNumber uint32
	revision   int64 // of the last list
	lists      int   // taken in so far
	// evictedEjections are names that were evicted though some streams may still eject them.
	evictedEjections []string
}

// replica is what lists have said of one replica.
type replica struct {
	control.ListedReplica
	name          string
	zone          string // as listed
	hardwareClass string // as listed
	upSince       int64  // as listed, by the wall clock
	lastListed    int64  // when it was last listed and not gone
	// lastList is the number of the last list that named it. Two lists may be taken in at one time, within one turn.
	lastList int
}

func newReplicaSet() replicaSet {
	return replicaSet{numbers: map[string]uint32{}, byNumber: map[uint32]*replica{}}
}

// indexOrLast returns the index of a name, or one more than the last for all names that the settings do not have.
func indexOrLast(names []string, name string) int {
	index := slices.Index(names, name)
	if index < 0 {
		return len(names)
	}
	return index
}

// appliedList is what a list has changed.
type appliedList struct {
	event    control.ReplicasListed
	started  []control.ListedReplica // those not known before, or started or moved since
	unusable int                     // members
}

// applyList takes in an answer of discovery.
func (c *Core) applyList(list ReplicaList, now int64) appliedList {
	applied := appliedList{event: control.ReplicasListed{Full: list.Complete}}
	c.replicas.revision = list.Revision
	c.replicas.lists++
	for _, member := range list.Members {
		r := c.lookUp(member)
		if r == nil {
			applied.unusable++
			continue
		}
		switch {
		case member.Unusable:
			applied.unusable++
		case c.updateReplica(r, member, list):
			applied.started = append(applied.started, r.ListedReplica)
		}
		r.lastListed = now
		r.lastList = c.replicas.lists
		applied.event.Entries = append(applied.event.Entries, r.ListedReplica)
	}
	if list.Complete {
		c.replicas.markUnlistedGone()
	}
	return applied
}

// lookUp returns the replica of a member, which it takes in if it is new; nil: it is new and cannot be used, or one too many.
func (c *Core) lookUp(member Member) *replica {
	if number, known := c.replicas.numbers[member.ID]; known {
		return c.replicas.byNumber[number]
	}
	if member.ID == "" || member.Unusable || len(c.replicas.byNumber) >= maxNames {
		return nil
	}
	if slices.Contains(c.replicas.evictedEjections, member.ID) {
		c.assumeEjections()
	}
	return c.replicas.add(member.ID)
}

// updateReplica takes over what a list says of a replica, and reports whether it is new, has started or has moved.
func (c *Core) updateReplica(r *replica, member Member, list ReplicaList) bool {
	restarted := member.UpSince != r.upSince
	moved := member.Zone != r.zone || member.HardwareClass != r.hardwareClass
	if restarted { // only then, so that steps of the wall clock look like no restart
		r.upSince = member.UpSince
		r.Start = startTime(member.UpSince, list)
	}
	r.zone = member.Zone
	r.hardwareClass = member.HardwareClass
	r.renumber(c.Topology)
	r.State = member.State
	r.Weight = member.Weight
	return restarted || moved
}

// renumber sets the numbers of the replica's zone and hardware class.
func (r *replica) renumber(topology Topology) {
	r.Zone = indexOrLast(topology.names.Zones, r.zone)
	r.HardwareClass = indexOrLast(topology.names.HardwareClasses, r.hardwareClass)
}

// startTime returns by the core's clock when a process started that is up since a time of the wall clock: above 0 and not
// after the list was read; 0: long ago.
func startTime(upSince int64, list ReplicaList) int64 {
	if upSince <= 0 {
		return 0
	}
	return max(1, min(list.ReadAt, list.ReadAt-list.ReadAtWall+upSince))
}

// add gives a new name the next number.
func (set *replicaSet) add(name string) *replica {
	set.lastNumber++
	added := &replica{
		ListedReplica: control.ListedReplica{Replica: set.lastNumber},
		name:          name,
		upSince:       -1, // unlike any that is listed
	}
	set.numbers[name] = set.lastNumber
	set.byNumber[set.lastNumber] = added
	return added
}

// markUnlistedGone marks whoever the last list did not name as gone.
func (set *replicaSet) markUnlistedGone() {
	for _, r := range set.byNumber {
		if r.lastList != set.lists {
			r.State = control.Gone
		}
	}
}

// currentList returns the replicas that are listed, for a module that starts over.
func (set *replicaSet) currentList() control.ReplicasListed {
	list := control.ReplicasListed{Full: true}
	for _, number := range slices.Sorted(maps.Keys(set.byNumber)) {
		r := set.byNumber[number]
		if r.State != control.Gone {
			list.Entries = append(list.Entries, r.ListedReplica)
		}
	}
	return list
}

// nameRetention is how long a name is kept that is no longer listed, in nanoseconds: for as long as discovery may leave it out
// by mistake, and shorter than the module keeps a replica that is gone. One that returns later has a new number and is new
// to both.
const nameRetention = int64(30 * time.Second)

// maxEvictedEjections bounds the names that were evicted though they may be ejected at some stream: a few releases of a
// thousand replicas. Past it every stream is taken to eject whoever it got no report about, which costs a unit for
// each endpoint.
const maxEvictedEjections = 4 << 10

// evictNames drops the names of replicas that have long been gone and that nobody needs any more.
func (c *Core) evictNames(now int64) {
	needed := c.neededNames()
	for number, r := range c.replicas.byNumber {
		switch {
		case r.State != control.Gone:
			r.lastListed = now
		case now-r.lastListed > nameRetention && !needed[number]:
			c.evictName(number, r)
		}
	}
	if len(c.replicas.evictedEjections) > maxEvictedEjections {
		c.assumeEjections()
		c.replicas.evictedEjections = nil
	}
}

// neededNames returns the replicas that are in a table, or in changes that some stream has yet to be sent.
func (c *Core) neededNames() map[uint32]bool {
	needed := map[uint32]bool{}
	for _, weights := range c.routing.tables {
		for replica := range weights {
			needed[replica] = true
		}
	}
	for _, s := range c.streams.byProxy {
		if s.pending != nil {
			maps.Copy(needed, s.pending.endpoints)
			maps.Copy(needed, s.pending.ejections)
		}
	}
	return needed
}

// evictName drops the number of a replica. Its name is kept if its ejection was delivered to some stream.
func (c *Core) evictName(number uint32, r *replica) {
	delete(c.replicas.numbers, r.name)
	delete(c.replicas.byNumber, number)
	c.routing.setEjected(number, false)
	ejectedSomewhere := false
	for _, s := range c.streams.byProxy {
		ejectedSomewhere = ejectedSomewhere || s.delivered.ejections[number]
		delete(s.delivered.ejections, number)
	}
	if ejectedSomewhere {
		c.replicas.evictedEjections = append(c.replicas.evictedEjections, r.name)
	}
}

// assumeEjections takes all streams to eject whoever they got no report about.
func (c *Core) assumeEjections() {
	for _, s := range c.streams.byProxy {
		s.delivered.ejectsOnlyReported = false
	}
}
