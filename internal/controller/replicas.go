package controller

import (
	"maps"
	"slices"
	"time"

	"lilacbend/control"
)

// maxNames limits how many replica names are known at a time, whether listed or gone. It exceeds the list of any deployment,
// so that a discovery service that invents names cannot exhaust memory. Once it is reached, new names are rejected.
const maxNames = 1 << 16

// replicaSet assigns numbers to replicas. A replica keeps its number for as long as its name is known.
type replicaSet struct {
	numbers      map[string]uint32 // by name
	byNumber     map[uint32]*replica
	lastNumber   uint32
	revision     int64 // of the last list
	appliedLists int   // number of lists applied
	// evictedEjections are the names of evicted replicas that some proxies may still hold as ejected.
	evictedEjections []string
}

// replica is the state of one replica according to the lists applied so far.
type replica struct {
	control.ListedReplica
	name          string
	zone          string // as listed
	hardwareClass string // as listed
	listedStart   int64  // as listed, according to the wall clock
	lastListed    int64  // when the replica was last listed or not gone
	// lastList is the number of the last list that contained the replica. A time would not identify a list, since one turn
	// may apply several lists.
	lastList int
}

func newReplicaSet() replicaSet {
	return replicaSet{numbers: map[string]uint32{}, byNumber: map[uint32]*replica{}}
}

// indexOrLast returns the index of a name in names, or len(names) for any name that is not in the settings.
func indexOrLast(names []string, name string) int {
	index := slices.Index(names, name)
	if index < 0 {
		return len(names)
	}
	return index
}

// appliedList is the result of applying a list.
type appliedList struct {
	event          control.ReplicasListed
	newOrRestarted []control.ListedReplica // replicas that are new, or have restarted or moved since the last list
	invalidMembers int                     // number of list members that could not be used
}

// applyList applies a response of discovery.
func (c *Core) applyList(list ReplicaList, now int64) appliedList {
	applied := appliedList{event: control.ReplicasListed{Full: list.Complete}}
	c.replicas.revision = list.Revision
	c.replicas.appliedLists++
	for _, member := range list.Members {
		r := c.findOrAdd(member)
		if r == nil {
			applied.invalidMembers++
			continue
		}
		switch {
		case member.StateUnreadable:
			applied.invalidMembers++
		case c.updateReplica(r, member, list):
			applied.newOrRestarted = append(applied.newOrRestarted, r.ListedReplica)
		}
		r.lastListed = now
		r.lastList = c.replicas.appliedLists
		applied.event.Entries = append(applied.event.Entries, r.ListedReplica)
	}
	if list.Complete {
		c.replicas.markUnlistedGone()
	}
	return applied
}

// findOrAdd returns the replica of a member and adds it if it is new. It returns nil if the replica is new and either the
// member cannot be used or maxNames is reached.
func (c *Core) findOrAdd(member Member) *replica {
	if number, known := c.replicas.numbers[member.ID]; known {
		return c.replicas.byNumber[number]
	}
	if member.ID == "" || member.StateUnreadable || len(c.replicas.byNumber) >= maxNames {
		return nil
	}
	if slices.Contains(c.replicas.evictedEjections, member.ID) {
		c.assumeUnreportedEjected()
	}
	return c.replicas.add(member.ID)
}

// updateReplica updates a replica from a list and reports whether the replica is new, has restarted or has moved.
func (c *Core) updateReplica(r *replica, member Member, list ReplicaList) bool {
	restarted := member.StartedAt != r.listedStart
	moved := member.Zone != r.zone || member.HardwareClass != r.hardwareClass
	if restarted { // only then, so that steps of the wall clock do not look like restarts
		r.listedStart = member.StartedAt
		r.StartedAt = startTime(member.StartedAt, list)
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

// startTime converts the start time of a process from the wall clock to the core's clock. The result is above 0 and not
// after the time at which the list was read; it is 0 if the process started long ago.
func startTime(listedStart int64, list ReplicaList) int64 {
	if listedStart <= 0 {
		return 0
	}
	return max(1, min(list.ReadAt, list.ReadAt-list.ReadAtWallClock+listedStart))
}

// add adds a replica with a new name and the next number.
func (set *replicaSet) add(name string) *replica {
	set.lastNumber++
	added := &replica{
		ListedReplica: control.ListedReplica{Replica: set.lastNumber},
		name:          name,
		listedStart:   -1, // differs from every listed value
	}
	set.numbers[name] = set.lastNumber
	set.byNumber[set.lastNumber] = added
	return added
}

// markUnlistedGone marks the replicas that the last list did not contain as gone.
func (set *replicaSet) markUnlistedGone() {
	for _, r := range set.byNumber {
		if r.lastList != set.appliedLists {
			r.State = control.Gone
		}
	}
}

// currentList returns the replicas that are not gone as a complete list, for a new module or changed settings.
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

// nameRetention is how long the name of a replica is kept after it was last listed, in nanoseconds: for as long as discovery
// may omit a replica by mistake, and for less time than the module keeps a replica that is gone. A replica that returns
// later gets a new number and is new to the core and the module.
const nameRetention = int64(30 * time.Second)

// maxEvictedEjections limits the number of evicted names that some proxies may still hold as ejected: enough for a few
// releases of a thousand replicas. Beyond it, every stream's proxy is assumed to eject all replicas that it has received no
// report about, which costs one unit per endpoint.
const maxEvictedEjections = 4 << 10

// evictNames drops the names of replicas that have been gone for longer than nameRetention and are no longer needed.
func (c *Core) evictNames(now int64) {
	needed := c.neededReplicas()
	for number, r := range c.replicas.byNumber {
		switch {
		case r.State != control.Gone:
			r.lastListed = now
		case now-r.lastListed > nameRetention && !needed[number]:
			c.evictName(number, r)
		}
	}
	if len(c.replicas.evictedEjections) > maxEvictedEjections {
		c.assumeUnreportedEjected()
		c.replicas.evictedEjections = nil
	}
}

// neededReplicas returns the replicas that are in a table or in the pending changes of a stream.
func (c *Core) neededReplicas() map[uint32]bool {
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

// evictName drops a replica and its number. The name is added to evictedEjections if the ejection of the replica was
// delivered to any stream.
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

// assumeUnreportedEjected makes the core assume that every connected proxy ejects all replicas that it has received no
// report about.
func (c *Core) assumeUnreportedEjected() {
	for _, s := range c.streams.byProxy {
		s.delivered.ejectsOnlyReported = false
	}
}
