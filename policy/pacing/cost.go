package pacing

import (
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// price is what sending a command takes.
type price struct {
	recipients []int   // the proxies that the command reaches
	units      float64 // cost units at all of them, message overheads included
}

// price returns what a command takes besides what the turn has sent already: its content at each recipient, and the overhead
// of a message for each recipient that gets none yet. It takes recipients in begun for those that get one, and adds the others to
// begun, unless that is nil.
func (p *Pacer) price(command control.Command, begun map[int]bool) price {
	recipients, units := p.content(command)
	total := float64(units * len(recipients))
	for _, proxy := range recipients {
		if p.turn.reached[proxy] || begun[proxy] {
			continue
		}
		total += float64(p.settings.MessageOverhead + 1) // 1: the nonce
		if begun != nil {
			begun[proxy] = true
		}
	}
	return price{recipients, total}
}

// content returns which proxies a command reaches and how many cost units its content takes at each.
//
// An ejection reaches only the proxies that hold an endpoint of the replica. No others would send an ack for it, and the
// channel would be taken for full while the ack is missing.
func (p *Pacer) content(command control.Command) (recipients []int, units int) {
	switch c := command.(type) {
	case control.Bind:
		return []int{c.Proxy}, p.tableUnits(c.Table)
	case control.BindSubset:
		return []int{c.Proxy}, len(c.Replicas) + c.Unejected + p.admissionUnits()
	case control.SetEndpoint:
		return p.proxies.holders(c.Table, c.Replica), 1
	case control.SetEjected:
		return p.proxies.holdersInAnyTable(c.Replica), 1
	}
	return ordered.Keys(p.proxies.bindings), 1
}

// tableUnits is the cost of a complete table at one proxy: two units for each endpoint, as each may have to be ejected or
// unejected as well.
func (p *Pacer) tableUnits(table int) int {
	return 2*len(p.proxies.tables[table]) + p.admissionUnits()
}

// admissionUnits is the cost of what goes with each first table: an admission rate for each traffic class, and the binding.
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
