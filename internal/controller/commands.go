package controller

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacbend/control"
)

// This file carries out the module's commands on the tables, and keeps what has changed by them.

// turnChanges is what the commands of one turn have changed, and whom they reach.
type turnChanges struct {
	endpoints     map[int]map[uint32]bool // by table
	ejections     map[uint32]bool         // ejected or restored
	admissions    map[int]bool            // by table, AllTables among them
	wantsAck      bool
	nonce         uint64
	fullTables    map[int]endpointList // a table is worked out once for all its proxies
	changedTables map[int]endpointList
}

// endpointList is a table, or what changed of it, in the order of its numbers.
type endpointList struct {
	ids       []uint32
	endpoints []WeightedEndpoint
}

// newTurnChanges returns changes of nothing yet.
func newTurnChanges() *turnChanges {
	return &turnChanges{
		endpoints:     map[int]map[uint32]bool{},
		ejections:     map[uint32]bool{},
		admissions:    map[int]bool{},
		fullTables:    map[int]endpointList{},
		changedTables: map[int]endpointList{},
	}
}

// applyCommands carries out the commands of a turn and returns what they change.
func (c *Core) applyCommands(commands []control.Command, now int64, o *TurnResult) *turnChanges {
	n := newTurnChanges()
	for _, command := range commands {
		c.applyCommand(command, n, now, o)
	}
	return n
}

// applyCommand carries out one command. A Probe is not known here: replicas may not be probed.
func (c *Core) applyCommand(command control.Command, n *turnChanges, now int64, o *TurnResult) {
	switch w := command.(type) {
	case control.SetEndpoint:
		c.setEndpoint(w, n)
	case control.Bind:
		if s := c.proxies[w.Proxy]; s != nil {
			c.bind(s, w.Table)
			c.Counters.CostRequested += int64(c.fullTableLines(w.Table))
		}
	case control.BindSubset:
		if s := c.proxies[w.Proxy]; s != nil {
			c.bindPart(s, w)
			c.Counters.CostRequested += int64(len(w.Replicas) + 1)
		}
	case control.SetEjected:
		c.setEjected(w, n)
	case control.SetAdmission:
		n.admissions[w.Table] = true
		c.admissions[tableClass{w.Table, w.Class}] = w
		c.Counters.CostRequested += int64(len(c.streamsReached(w.Table)))
	case control.RequestAck:
		n.wantsAck = true
		n.nonce = w.Nonce
	case control.SetTimer:
		c.setTimer(w, now)
	case control.Snapshot:
		m := c.snapshot(w, now)
		o.Snapshot = &m
	case control.Log:
		o.Logs = append(o.Logs, c.nameReplica(w.Text))
	default:
		c.Counters.Invalid++
	}
}

// setEndpoint sets the weight of a replica in a table. One without a name is skipped, as it could never be named to a proxy.
func (c *Core) setEndpoint(w control.SetEndpoint, n *turnChanges) {
	if c.replicas.known[w.Replica] == nil {
		c.Counters.Invalid++
		return
	}
	if c.tables[w.Table] == nil {
		c.tables[w.Table] = map[uint32]float64{}
	}
	if n.endpoints[w.Table] == nil {
		n.endpoints[w.Table] = map[uint32]bool{}
	}
	n.endpoints[w.Table][w.Replica] = true
	c.tables[w.Table][w.Replica] = control.Finite(w.Weight)
	if c.tables[w.Table][w.Replica] <= 0 {
		delete(c.tables[w.Table], w.Replica)
	}
	c.Counters.CostRequested += int64(len(c.bound[w.Table]))
}

// setEjected ejects a replica, or restores it.
func (c *Core) setEjected(w control.SetEjected, n *turnChanges) {
	if c.replicas.known[w.Replica] == nil {
		c.Counters.Invalid++
		return
	}
	n.ejections[w.Replica] = true
	if w.Ejected {
		c.ejected[w.Replica] = true
	} else {
		delete(c.ejected, w.Replica)
	}
	for _, table := range c.tablesWith(w.Replica) {
		c.Counters.CostRequested += int64(len(c.bound[table]))
	}
}

// setTimer sets a timer. One that is set already fires once, at the earlier of both times.
func (c *Core) setTimer(w control.SetTimer, now int64) {
	due := now + max(0, w.After)
	if at, set := c.timers[w.Timer]; !set || due < at {
		c.timers[w.Timer] = due
	}
}

// nameReplica puts the replica's name into a line of the log, for those who look for the machine.
func (c *Core) nameReplica(text string) string {
	var id uint32
	if n, _ := fmt.Sscanf(text, "replica %d ", &id); n == 1 && c.replicas.known[id] != nil {
		return strings.Replace(text, strconv.Itoa(int(id)), c.replicas.known[id].name, 1)
	}
	return text
}

// streamsReached are the streams that an admission of a table reaches.
func (c *Core) streamsReached(table int) map[int]*stream {
	if table == control.AllTables {
		return c.proxies
	}
	return c.bound[table]
}

// tablesWith are the tables whose proxies an ejection concerns: what an unbound proxy brought with it is not known.
func (c *Core) tablesWith(id uint32) []int {
	tables := []int{-1}
	for table, lines := range c.tables {
		if _, has := lines[id]; has {
			tables = append(tables, table)
		}
	}
	return tables
}

func (c *Core) fullTableLines(table int) int {
	lines := 1 + len(c.tables[table])
	for id := range c.tables[table] {
		if c.ejected[id] {
			lines++
		}
	}
	for class := range c.names.Classes {
		if _, set := c.admissionOf(table, class); set {
			lines++
		}
	}
	return lines
}

// admissionOf is what holds for a class in a table: the lower share, the table's own way of trying again.
func (c *Core) admissionOf(table, class int) (Admission, bool) {
	own, mine := c.admissions[tableClass{table, class}]
	all, everywhere := c.admissions[tableClass{control.AllTables, class}]
	l := Admission{Class: c.names.Classes[class], Fraction: own.Fraction, Retries: own.Retries}
	switch {
	case mine && everywhere:
		l.Fraction = math.Min(own.Fraction, all.Fraction)
	case everywhere:
		l.Fraction, l.Retries = all.Fraction, all.Retries
	}
	return l, mine || everywhere
}
