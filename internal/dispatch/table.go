// Package dispatch is the core of a sidecar: at a time, with what a flow has met so far, it says what is to be done
// next, and always ends in one final answer. It holds the tables that a governor has pushed, picks lines, shuns
// replicas by its own failures, bounds repeats, and lets flows in by level and by limits. No I/O, no clock, no
// goroutine; chance from a seed. It is not safe for several goroutines at once.
package dispatch

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"lilacbend/control"
)

// Push is one part of a governor's message.
type Push struct {
	Groups []string // the traffic groups that it is for; none: all
	Full   bool
	Lines  map[string]float64 // weight 0 removes
	Levels []Level
	Shut   []string
	Let    []string
}

// Level is what is let in of a group, and the manner of trying again.
type Level struct {
	Share float64
	Tries control.RetryPolicy
}

// ErrUnusable: a push that cannot be applied; nothing of it has been, and the stream is to be reset.
var ErrUnusable = errors.New("push cannot be used")

const (
	// More lines than any listed site has: a governor that sends more is broken.
	linesMost = 1 << 14
	levelMost = 1e6
)

// line is one replica of a table, with what smooth rotation needs.
type line struct {
	replica string
	weight  float64
	credit  float64
}

type table struct {
	lines  []line // by replica
	levels Level
	set    bool // a level was pushed
	bucket bucket
}

func (t *table) find(replica string) (int, bool) {
	return slices.BinarySearchFunc(t.lines, replica, func(l line, id string) int { return cmp.Compare(l.replica, id) })
}

func (t *table) put(replica string, weight float64) {
	k, has := t.find(replica)
	switch {
	case weight == 0 && has:
		t.lines = slices.Delete(t.lines, k, k+1)
	case weight == 0:
	case has:
		t.lines[k].weight = weight
	default:
		t.lines = slices.Insert(t.lines, k, line{replica: replica, weight: weight})
	}
}

// Apply applies the parts of one push in their order: all of them, or nothing.
func (d *Desk) Apply(now int64, parts ...Push) error {
	for _, p := range parts {
		if err := d.check(p); err != nil {
			return err
		}
	}
	for _, p := range parts {
		d.apply(now, p)
	}
	return nil
}

func (d *Desk) check(p Push) error {
	if _, err := d.groupsOf(p.Groups); err != nil {
		return err
	}
	if len(p.Lines) > linesMost {
		return fmt.Errorf("%w: %d lines", ErrUnusable, len(p.Lines))
	}
	for _, id := range slices.Sorted(maps.Keys(p.Lines)) {
		if w := p.Lines[id]; id == "" || !(w >= 0) || math.IsInf(w, 0) {
			return fmt.Errorf("%w: line %.40q of weight %v", ErrUnusable, id, w)
		}
	}
	for _, l := range p.Levels {
		if !(l.Share >= 0) || l.Share > levelMost || l.Tries < control.NoRetry || l.Tries > control.RetryTwice {
			return fmt.Errorf("%w: level %v, manner %d", ErrUnusable, l.Share, l.Tries)
		}
	}
	return nil
}

func (d *Desk) apply(now int64, p Push) {
	groups, _ := d.groupsOf(p.Groups)
	for _, g := range groups {
		t := &d.tables[g]
		if p.Full {
			t.lines, t.set = t.lines[:0:0], false
		}
		for _, id := range slices.Sorted(maps.Keys(p.Lines)) {
			t.put(id, p.Lines[id])
		}
		for _, l := range p.Levels {
			t.levels, t.set = l, true
		}
	}
	for _, id := range p.Shut {
		d.shut[id] = true
	}
	for _, id := range p.Let {
		delete(d.shut, id)
	}
	if p.Full || len(p.Lines) > 0 {
		d.steered = true
		d.forgetUnnamed(now)
	}
}

func (d *Desk) groupsOf(names []string) (groups []int, err error) {
	if len(names) == 0 {
		for g := range d.plan.Groups {
			groups = append(groups, g)
		}
		return groups, nil
	}
	for _, name := range names {
		g := d.Group(name)
		if g < 0 {
			return nil, fmt.Errorf("%w: no traffic group %.40q", ErrUnusable, name)
		}
		groups = append(groups, g)
	}
	return groups, nil
}

// forgetUnnamed drops what is known of replicas that no table names and that have no flow, so that a sidecar that
// runs for weeks holds no more than its tables.
func (d *Desk) forgetUnnamed(now int64) {
	named := map[string]bool{}
	for g := range d.tables {
		for _, l := range d.tables[g].lines {
			named[l.replica] = true
		}
	}
	for id, r := range d.replicas {
		if !named[id] && r.flows == 0 && r.shunned <= now {
			delete(d.replicas, id)
		}
	}
	if len(d.shut) > shutMost { // a governor lets in again whom it names
		for id := range d.shut {
			if !named[id] {
				delete(d.shut, id)
			}
		}
	}
}

// shutMost bounds the replicas that are kept as shut out though no table names them.
const shutMost = 1024

// Tables says how many lines each group has, for the counters.
func (d *Desk) Tables() map[string]int {
	n := map[string]int{}
	for g, t := range d.tables {
		n[d.plan.Groups[g].Name] = len(t.lines)
	}
	return n
}

// Blank says whether no table was ever pushed: a hello tells it.
func (d *Desk) Blank() bool { return !d.steered }
