package controller

import (
	"fmt"
	"strconv"
	"strings"

	"lilacbend/control"
)

// applyCommands applies the commands of a turn in order and returns the resulting changes.
func (c *Core) applyCommands(t *turn, commands []control.Command) *turnChanges {
	changes := newTurnChanges()
	for _, command := range commands {
		c.applyCommand(t, command, changes)
	}
	return changes
}

// applyCommand applies one command. A control.HealthCheck counts as invalid, since controllers do not probe replicas.
func (c *Core) applyCommand(t *turn, command control.Command, changes *turnChanges) {
	switch command := command.(type) {
	case control.SetEndpoint:
		c.setEndpoint(command, changes)
	case control.Bind:
		c.bind(command)
	case control.BindSubset:
		c.bindSubset(command)
	case control.SetEjected:
		c.setEjected(command, changes)
	case control.SetAdmission:
		c.setAdmission(command, changes)
	case control.RequestAck:
		changes.wantsAck = true
		changes.nonce = command.Nonce
	case control.SetTimer:
		c.timers.set(command.Timer, t.now+max(0, command.After))
	case control.Snapshot:
		snapshot := c.snapshot(command, t.now)
		t.result.Snapshot = &snapshot
	case control.Log:
		t.result.LogLines = append(t.result.LogLines, c.replaceReplicaNumber(command.Text))
	default:
		c.Counters.InvalidInputs++
	}
}

// setEndpoint sets the weight of a replica in a table. The command is invalid if the replica's name is not known, since an
// update could not name the replica to a proxy.
func (c *Core) setEndpoint(command control.SetEndpoint, changes *turnChanges) {
	if c.replicas.byNumber[command.Replica] == nil {
		c.Counters.InvalidInputs++
		return
	}
	changes.markEndpoint(command.Table, command.Replica)
	c.routing.setWeight(command.Table, command.Replica, control.FiniteOrZero(command.Weight))
	c.Counters.CostRequested += int64(len(c.streams.byTable[command.Table]))
}

// bind binds a proxy to a table. If the proxy already has a subset of that table, bind marks the rest of the table as due.
func (c *Core) bind(command control.Bind) {
	s := c.streams.byProxy[command.Proxy]
	if s == nil {
		return
	}
	if s.binding.table == command.Table && s.binding.subset != nil && !s.binding.needsFull {
		s.binding.subset.restDue = true
		c.delivery.markDue(s)
	} else {
		c.bindStream(s, command.Table)
		s.binding.needsFull = true
	}
	c.Counters.CostRequested += int64(c.routing.tableCost(command.Table, len(c.names.Classes)))
}

// bindSubset binds a proxy to a subset of a table.
func (c *Core) bindSubset(command control.BindSubset) {
	s := c.streams.byProxy[command.Proxy]
	if s == nil {
		return
	}
	c.bindStream(s, command.Table)
	s.binding.needsFull = true
	s.binding.subset = newSubset(command)
	c.Counters.CostRequested += int64(len(command.Replicas) + 1)
}

// setEjected ejects a replica or unejects it.
func (c *Core) setEjected(command control.SetEjected, changes *turnChanges) {
	if c.replicas.byNumber[command.Replica] == nil {
		c.Counters.InvalidInputs++
		return
	}
	changes.ejections[command.Replica] = true
	c.routing.setEjected(command.Replica, command.Ejected)
	for _, table := range c.routing.tablesWith(command.Replica) {
		c.Counters.CostRequested += int64(len(c.streams.byTable[table]))
	}
}

// setAdmission sets the admission of a traffic class in one table or in all tables.
func (c *Core) setAdmission(command control.SetAdmission, changes *turnChanges) {
	changes.admissions[command.Table] = true
	c.routing.admissions[tableClass{command.Table, command.Class}] = command
	c.Counters.CostRequested += int64(len(c.streams.inTable(command.Table)))
}

// replaceReplicaNumber replaces the number of a replica in a log line by its name, since operators do not know the numbers.
func (c *Core) replaceReplicaNumber(text string) string {
	var number uint32
	scanned, _ := fmt.Sscanf(text, "replica %d ", &number)
	if scanned != 1 || c.replicas.byNumber[number] == nil {
		return text
	}
	return strings.Replace(text, strconv.Itoa(int(number)), c.replicas.byNumber[number].name, 1)
}
