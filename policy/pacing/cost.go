package pacing

import (
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// commandCost is the cost of sending a command.
type commandCost struct {
	recipients []int   // the proxies that the command reaches
	units      float64 // cost units at all recipients together, message overheads included
}

// costOf returns the cost of a command in addition to what the turn has sent already: its content for each recipient, and
// the overhead of a message for each recipient that gets no message in this turn yet. Recipients in messaged count as
// getting a message; the others are added to messaged, unless it is nil.
func (p *Pacer) costOf(command control.Command, messaged map[int]bool) commandCost {
	recipients, units := p.recipientsAndUnits(command)
	total := float64(units * len(recipients))
	for _, proxy := range recipients {
		if p.turn.reached[proxy] || messaged[proxy] {
			continue
		}
		total += float64(p.settings.MessageOverhead + 1) // 1: the nonce
		if messaged != nil {
			messaged[proxy] = true
		}
	}
	return commandCost{recipients, total}
}

// recipientsAndUnits returns the proxies that a command reaches and the cost units of its content for each of them.
//
// An ejection reaches only the proxies that hold an endpoint of the replica. Other proxies would not send an ack for it, and
// the channel would count as full while the ack is missing.
func (p *Pacer) recipientsAndUnits(command control.Command) (recipients []int, units int) {
	switch c := command.(type) {
	case control.Bind:
		return []int{c.Proxy}, p.tableUnits(c.Table)
	case control.BindSubset:
		return []int{c.Proxy}, len(c.Replicas) + c.UnejectedCount + p.admissionUnits()
	case control.SetEndpoint:
		return p.proxies.holders(c.Table, c.Replica), 1
	case control.SetEjected:
		return p.proxies.holdersInAnyTable(c.Replica), 1
	}
	return ordered.Keys(p.proxies.bindings), 1
}

// tableUnits returns the cost of a complete table for one proxy: two units for each endpoint, as each may have to be ejected
// or unejected as well, and the units that are sent with each first table.
func (p *Pacer) tableUnits(table int) int {
	return 2*len(p.proxies.tables[table]) + p.admissionUnits()
}

// admissionUnits returns the cost of what is sent with each first table: an admission rate for each traffic class, and the
// binding.
func (p *Pacer) admissionUnits() int { return len(p.settings.Classes) + 1 }

// holdersInAnyTable returns the proxies that hold an endpoint of a replica, ascending.
func (s *proxyStates) holdersInAnyTable(replica uint32) []int {
	var holders []int
	for table, weights := range s.tables {
		if weights[replica] > 0 {
			holders = append(holders, s.holders(table, replica)...)
		}
	}
	slices.Sort(holders)
	return holders
}
