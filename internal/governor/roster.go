package governor

import (
	"maps"
	"slices"

	"lilacbend/control"
)

const (
	// A name that is listed no more is kept for as long as discovery may leave it out by mistake, and shorter than
	// the module keeps a replica that is gone: back later it has a new number, and is new to both.
	nameKept = int64(30 * 1e9)
	// So many forgotten names are known as shut out by some stream, a few releases of a fleet of a thousand; past it every
	// stream is taken to shut out whoever it was not told of, which costs a line for each line of a table.
	shutMost = 4 << 10
	// More names than any list of one deployment: past it new ones are not taken in, so that a discovery
	// that makes up names cannot fill the memory.
	namesMost = 1 << 16
)

// roster gives replicas numbers: the same replica the same number for as long as it is known.
type roster struct {
	numbers map[string]uint32
	known   map[uint32]*member
	shut    []string // forgotten, though some streams may still shut them out
	last    uint32
	lists   int // taken in so far
}

type member struct {
	control.Entry
	name    string
	zone    string // as listed
	kind    string
	upSince int64
	seen    int64 // when it was last listed and not gone
	list    int   // the last one that named it: two lists may be taken in with one turn, at one time
}

func newRoster() roster {
	return roster{numbers: map[string]uint32{}, known: map[uint32]*member{}}
}

func index(names []string, name string) int {
	if k := slices.Index(names, name); k >= 0 {
		return k
	}
	return len(names) // one more, for all that the provision does not name
}

// listed reads an answer of discovery as an event, and says how many of its members it could not use.
// New are those that were not known, or have started or moved since.
func (c *Core) listed(l Listing, now int64) (ev control.ReplicasListed, fresh []control.Entry, odd int) {
	ev, c.revision = control.ReplicasListed{Full: l.Whole}, l.Revision
	c.roster.lists++
	for _, m := range l.Members {
		id, ok := c.roster.numbers[m.ID]
		if !ok && (m.ID == "" || m.Odd || len(c.roster.known) >= namesMost) {
			odd++
			continue
		}
		if !ok {
			if slices.Contains(c.roster.shut, m.ID) {
				c.doubt()
			}
			c.roster.last++
			id = c.roster.last
			c.roster.numbers[m.ID] = id
			c.roster.known[id] = &member{name: m.ID, upSince: -1}
		}
		r := c.roster.known[id]
		if m.Odd {
			odd++
		} else {
			another := m.UpSince != r.upSince || m.Zone != r.zone || m.Kind != r.kind
			r.zone, r.kind = m.Zone, m.Kind
			if m.UpSince != r.upSince { // worked out once, so that steps of the wall clock start nobody anew
				r.upSince, r.Start = m.UpSince, 0
				if m.UpSince > 0 {
					r.Start = max(1, min(l.At, l.At-l.Wall+m.UpSince))
				}
			}
			r.Entry = control.Entry{Replica: id, Zone: index(c.names.Zones, m.Zone),
				Kind: index(c.names.Kinds, m.Kind), State: m.State, Weight: m.Weight, Start: r.Start}
			if another {
				fresh = append(fresh, r.Entry)
			}
		}
		r.seen, r.list = now, c.roster.lists
		ev.Entries = append(ev.Entries, r.Entry)
	}
	if l.Whole {
		for _, r := range c.roster.known {
			if r.list != c.roster.lists {
				r.State = control.Gone
			}
		}
	}
	return ev, fresh, odd
}

// standing is the last list, for a module that starts over.
func (c *Core) standing() control.ReplicasListed {
	ev := control.ReplicasListed{Full: true}
	for _, id := range slices.Sorted(maps.Keys(c.roster.known)) {
		if r := c.roster.known[id]; r.State != control.Gone {
			ev.Entries = append(ev.Entries, r.Entry)
		}
	}
	return ev
}

// doubt takes all streams to shut out whoever they were not told of.
func (c *Core) doubt() {
	for _, s := range c.seats {
		s.blank = false
	}
}

// sweep forgets the names of replicas that are long gone and that no table holds, and what the account need not keep.
func (c *Core) sweep(now int64) {
	held := map[uint32]bool{}
	for _, lines := range c.tables {
		for id := range lines {
			held[id] = true
		}
	}
	for _, s := range c.seats {
		if s.held != nil { // not said yet, so it has to be named once more
			maps.Copy(held, s.held.lines)
			maps.Copy(held, s.held.turned)
		}
	}
	c.account.Sweep(now)
	gone := func(s *stream) bool { return c.seats[s.joined.Proxy] != s }
	c.urgents, c.others = slices.DeleteFunc(c.urgents, gone), slices.DeleteFunc(c.others, gone)
	for id, r := range c.roster.known {
		if r.State != control.Gone {
			r.seen = now
		} else if now-r.seen > nameKept && !held[id] {
			delete(c.roster.numbers, r.name)
			delete(c.roster.known, id)
			delete(c.out, id)
			told := false
			for _, s := range c.seats {
				told = told || s.told[id]
				delete(s.told, id)
			}
			if told {
				c.roster.shut = append(c.roster.shut, r.name)
			}
		}
	}
	if len(c.roster.shut) > shutMost {
		c.doubt()
		c.roster.shut = nil
	}
}
