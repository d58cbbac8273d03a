package governor

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"lilacbend/control"
)

// marksKept bounds the marks that one stream may leave unanswered: a proxy gets a few messages a second and
// answers speak for all before them, so so many are hours of silence.
const marksKept = 4096

// news is what the orders of one turn have changed, and whom they reach.
type news struct {
	lines   map[int]map[uint32]bool // by table
	turned  map[uint32]bool         // withdrawn or let in
	levels  map[int]bool            // by table, AllTables among them
	marked  bool
	mark    uint64
	wholes  map[int]sheet // a table is worked out once for all its proxies
	changes map[int]sheet
}

// sheet is a table, or what changed of it, in the order of its numbers.
type sheet struct {
	ids   []uint32
	lines []Line
}

// carry carries out orders on the tables and says what is new.
func (c *Core) carry(orders []control.Command, now int64, o *Outcome) *news {
	n := &news{lines: map[int]map[uint32]bool{}, turned: map[uint32]bool{}, levels: map[int]bool{},
		wholes: map[int]sheet{}, changes: map[int]sheet{}}
	for _, order := range orders {
		switch w := order.(type) {
		case control.SetEndpoint:
			if c.roster.known[w.Replica] == nil { // never to be named
				c.Count.Strange++
				continue
			}
			if c.tables[w.Table] == nil {
				c.tables[w.Table] = map[uint32]float64{}
			}
			if n.lines[w.Table] == nil {
				n.lines[w.Table] = map[uint32]bool{}
			}
			n.lines[w.Table][w.Replica] = true
			if c.tables[w.Table][w.Replica] = control.Finite(w.Weight); c.tables[w.Table][w.Replica] <= 0 {
				delete(c.tables[w.Table], w.Replica)
			}
			c.Count.LinesOrdered += int64(len(c.seated[w.Table]))
		case control.Bind:
			if s := c.seats[w.Proxy]; s != nil {
				c.bind(s, w.Table)
				c.Count.LinesOrdered += int64(c.bindLines(w.Table))
			}
		case control.BindPart:
			if s := c.seats[w.Proxy]; s != nil {
				c.bindPart(s, w)
				c.Count.LinesOrdered += int64(len(w.Replicas) + 1)
			}
		case control.SetEjected:
			if c.roster.known[w.Replica] == nil {
				c.Count.Strange++
				continue
			}
			n.turned[w.Replica] = true
			if c.out[w.Replica] = true; !w.Ejected {
				delete(c.out, w.Replica)
			}
			for _, table := range c.holding(w.Replica) {
				c.Count.LinesOrdered += int64(len(c.seated[table]))
			}
		case control.SetAdmission:
			n.levels[w.Table], c.levels[tableGroup{w.Table, w.Class}] = true, w
			c.Count.LinesOrdered += int64(len(c.reached(w.Table)))
		case control.RequestAck:
			n.marked, n.mark = true, w.Nonce
		case control.SetTimer:
			at, set := c.wakes[w.Timer]
			if due := now + max(0, w.After); !set || due < at { // one label wakes once, however late
				c.wakes[w.Timer] = due
			}
		case control.Snapshot:
			m := c.learned(w, now)
			o.Learned = &m
		case control.Log:
			o.Logs = append(o.Logs, c.named(w.Text))
		default:
			c.Count.Strange++ // a probe: replicas may not be probed here
		}
	}
	return n
}

// named puts the replica's name into a line of the log, for those who look for the machine.
func (c *Core) named(text string) string {
	var id uint32
	if n, _ := fmt.Sscanf(text, "replica %d ", &id); n == 1 && c.roster.known[id] != nil {
		return strings.Replace(text, strconv.Itoa(int(id)), c.roster.known[id].name, 1)
	}
	return text
}

// reached are the streams that a level of a table reaches.
func (c *Core) reached(table int) map[int]*stream {
	if table == control.AllTables {
		return c.seats
	}
	return c.seated[table]
}

// holding are the tables whose proxies a withdrawal concerns: what an unbound proxy brought with it is not known.
func (c *Core) holding(id uint32) []int {
	tables := []int{-1}
	for table, lines := range c.tables {
		if _, has := lines[id]; has {
			tables = append(tables, table)
		}
	}
	return tables
}

func (c *Core) bindLines(table int) int {
	lines := 1 + len(c.tables[table])
	for id := range c.tables[table] {
		if c.out[id] {
			lines++
		}
	}
	for group := range c.names.Classes {
		if _, set := c.level(table, group); set {
			lines++
		}
	}
	return lines
}

// holds says whether a withdrawal concerns the stream: what an unbound proxy brought with it is not known.
func (c *Core) holds(s *stream, id uint32) bool {
	_, has := c.tables[s.table][id]
	return has && (s.part == nil || s.part[id]) || s.table < 0
}

// level is what holds for a group in a table: the lower share, the table's own way of trying again.
func (c *Core) level(table, group int) (Level, bool) {
	own, mine := c.levels[tableGroup{table, group}]
	all, everywhere := c.levels[tableGroup{control.AllTables, group}]
	l := Level{Group: c.names.Classes[group], Share: own.Share, Tries: own.Retries}
	switch {
	case mine && everywhere:
		l.Share = math.Min(own.Share, all.Share)
	case everywhere:
		l.Share, l.Tries = all.Share, all.Retries
	}
	return l, mine || everywhere
}

// concerned are the proxies that the news concern, or that are due: no others are looked at, as there may be ten
// thousand of them.
func (c *Core) concerned(n *news) []int {
	all := c.due
	c.due = map[int]*stream{}
	for table := range n.lines {
		maps.Copy(all, c.seated[table])
	}
	for id := range n.turned {
		for _, table := range c.holding(id) {
			maps.Copy(all, c.seated[table])
		}
	}
	for table := range n.levels {
		maps.Copy(all, c.reached(table))
	}
	return slices.Sorted(maps.Keys(all))
}

// send makes one message for each proxy that the news concern, those first that keep proxies away from replicas. What
// has no room in the channel waits in a queue, the oldest in front, and goes with all that has become new by then: a
// message that waits in the channel instead is stale when it comes, and each costs its head.
func (c *Core) send(n *news, now int64, o *Outcome) {
	c.account.Age(now)
	c.brief(now)
	var urgent, rest []*stream
	for _, proxy := range c.concerned(n) {
		s := c.seats[proxy]
		switch {
		case s == nil:
		case s.held != nil:
			c.hold(s, n)
		case c.urgent(s, n.turned):
			urgent = append(urgent, s)
		default:
			rest = append(rest, s)
		}
	}
	c.flush(&c.urgents, true, n, now, o)
	c.write(urgent, true, n, now, o)
	c.flush(&c.others, false, n, now, o)
	c.write(rest, false, n, now, o)
	c.ask(now, o)
}

// asksFrom is half the way round of the marks that a proxy can answer: the module's last ones are never near.
const asksFrom, marksRound = 1 << 15, 1 << 16

// ask has a proxy answer a mark of the core's own when answers are missing and nothing is written: the proxies by turns,
// as the one that is asked may not live.
func (c *Core) ask(now int64, o *Outcome) {
	if !c.account.Quiet(now) {
		return
	}
	var owing []int
	for proxy, s := range c.seats {
		if len(s.marks) > 0 && c.account.Under(proxy, now) {
			owing = append(owing, proxy)
		}
	}
	if len(owing) == 0 {
		return
	}
	slices.Sort(owing)
	s := c.seats[owing[c.asks%uint64(len(owing))]]
	mark := (s.marks[len(s.marks)-1].mark + asksFrom) % marksRound
	if s.marks[len(s.marks)-1].asked {
		mark = (s.marks[len(s.marks)-1].mark + 1) % marksRound
	}
	c.asks++
	c.Count.Asks++
	p := Push{Marked: true, Mark: mark}
	s.marks = append(s.marks, sent{p.Mark, c.account.Charge(s.joined.Proxy, p.lines(), now), true})
	o.Pushes = append(o.Pushes, Sent{s.id, p, s.marks[len(s.marks)-1].number})
}

// write tells streams that wait for nothing of the news, behind those that wait.
func (c *Core) write(streams []*stream, urgent bool, n *news, now int64, o *Outcome) {
	queue := &c.others
	if urgent {
		queue = &c.urgents
	}
	for _, s := range streams {
		if len(*queue) > 0 || !c.account.Fits(s.joined.Proxy, c.most(s, n, urgent), urgent, now) {
			c.hold(s, n)
			continue
		}
		c.put(s, n, urgent, now, o)
	}
}

// flush writes what has waited, for as long as the channel has room.
func (c *Core) flush(queue *[]*stream, urgent bool, n *news, now int64, o *Outcome) {
	var stay []*stream
	for k, s := range *queue {
		if s.held == nil || s.held.urgent != urgent || c.seats[s.joined.Proxy] != s { // gone already, or in the other queue
			continue
		}
		if !c.account.Room(urgent) {
			stay = append(stay, (*queue)[k:]...)
			break
		}
		all := s.held.with(n, s.table)
		if !c.account.Fits(s.joined.Proxy, c.most(s, all, urgent), urgent, now) {
			stay = append(stay, s)
			continue
		}
		s.held = nil
		c.put(s, all, urgent, now, o)
	}
	*queue = stay
}

// urgent says whether a message keeps a proxy away from a replica. A whole table, or the first part of one, does: it replaces
// what the proxy brought, which may name any replica that is withdrawn.
func (c *Core) urgent(s *stream, turned map[uint32]bool) bool {
	if s.whole && s.table >= 0 && c.grace > 0 || s.rest && c.bare(s) {
		return true
	}
	for id := range turned {
		if c.out[id] && !s.told[id] && c.holds(s, id) {
			return true
		}
	}
	return false
}

// put makes the message of a stream and charges it.
func (c *Core) put(s *stream, n *news, urgent bool, now int64, o *Outcome) {
	p, reached := c.push(s, n, urgent)
	fresh := reached && n.marked
	if fresh {
		p.Marked, p.Mark = true, n.mark
		c.Count.LinesOrdered++
		c.Count.Marks++
	} else if last := len(s.marks) - 1; p.Anew && last >= 0 { // what asked for it may have been lost
		p.Marked, p.Mark = true, s.marks[last].mark
	}
	lines := p.lines()
	if lines > 0 || p.Anew { // an emptied outbox waits for it, whatever there is to say
		number := c.account.Charge(s.joined.Proxy, lines, now)
		if fresh { // an answer to a mark sent once more may be one to its first message, and clears no more than that
			s.marks = append(s.marks, sent{mark: p.Mark, number: number})
			s.marks = s.marks[max(0, len(s.marks)-marksKept):]
			if s.owes == 0 {
				s.owes = now
				c.owing = append(c.owing, debt{s, now})
			}
		}
		o.Pushes = append(o.Pushes, Sent{s.id, p, number})
	}
	if c.Count.LinesSent += int64(lines); lines > 0 {
		c.Count.Pushes++
	}
}

// most is how many lines a message could have: all levels go with some.
func (c *Core) most(s *stream, n *news, urgent bool) int {
	lines, count := n.lines[s.table], len(n.lines[s.table])
	switch {
	case s.whole && s.part != nil:
		return 1 + len(s.part) + s.sure + len(c.names.Classes) + 1
	case s.whole || c.restGoes(s, urgent):
		count = len(c.tables[s.table])
		for id := range c.tables[s.table] {
			count += c.tells(s, id)
		}
	}
	for id := range lines {
		if !s.whole {
			count += c.tells(s, id)
		}
	}
	turned := n.turned
	if s.whole && s.table < 0 {
		turned = c.out
	}
	for id := range turned {
		if _, counted := lines[id]; !counted || s.whole {
			count += c.tells(s, id)
		}
	}
	return 1 + count + len(s.lifted) + len(c.names.Classes) + 1
}

// tells is a line if a proxy has to be told whether a replica is withdrawn, as it may think otherwise.
func (c *Core) tells(s *stream, id uint32) int {
	shut, sure := s.told[id]
	if c.out[id] != shut || !sure && !s.blank {
		return 1
	}
	return 0
}

// hold keeps what the news mean to a stream until there is room for it.
func (c *Core) hold(s *stream, n *news) {
	if s.held == nil {
		c.Count.Held++
		s.held = &held{lines: map[uint32]bool{}, turned: map[uint32]bool{}}
		c.others = append(c.others, s)
	}
	maps.Copy(s.held.lines, n.lines[s.table])
	for id := range n.turned {
		if c.holds(s, id) {
			s.held.turned[id] = true
		}
	}
	if !s.held.urgent && c.urgent(s, s.held.turned) {
		s.held.urgent = true
		c.urgents = append(c.urgents, s)
	}
	if n.marked {
		s.held.marked, s.held.mark = true, n.mark
	}
}

// with are news for one stream alone: those that were held, the last of them among them.
func (h *held) with(n *news, table int) *news {
	return &news{lines: map[int]map[uint32]bool{table: h.lines}, turned: h.turned, marked: h.marked, mark: h.mark,
		wholes: n.wholes, changes: map[int]sheet{}}
}

// lines counts as the proxies' channel does.
func (p Push) lines() int {
	lines := len(p.Lines) + len(p.Shut) + len(p.Let) + len(p.Levels)
	if p.Full {
		lines++
	}
	if p.Marked {
		lines++
	}
	return lines
}

// push makes the message of a stream. An urgent one leaves out the rest of a table that the stream has a part of, unless nothing
// else is left to it.
func (c *Core) push(s *stream, n *news, urgent bool) (p Push, reached bool) {
	whole, rest := s.whole, c.restGoes(s, urgent)
	p.Anew, s.anew, s.whole = s.anew, false, false
	var t sheet
	if p.Full = whole && s.table >= 0; p.Full {
		c.Count.Whole++
		s.level = map[int]Level{}
	}
	switch {
	case p.Full && c.partLeft(s):
		t = c.firstPart(s)
	case p.Full:
		s.part, s.rest = nil, false
		t = written(c, s.table, c.tables[s.table], n.wholes)
	case rest:
		t = c.remaining(s, n)
	case s.part != nil:
		t = c.changed(s, n)
	default:
		t = written(c, s.table, n.lines[s.table], n.changes)
	}
	p.Lines = t.lines
	for k, id := range t.ids {
		if c.tables[s.table][id] > 0 && (!p.Full || s.part == nil || k < s.sure) {
			c.tell(s, id, &p)
		}
	}
	if !p.Full {
		turned := n.turned
		if whole { // its messages were lost while it was bound to nothing
			turned = c.out
		}
		for _, id := range slices.Sorted(maps.Keys(turned)) {
			if c.holds(s, id) {
				reached = true
				c.tell(s, id, &p)
			}
		}
	}
	if !p.Full { // which replaces all levels
		p.Levels = append(p.Levels, s.lifted...)
	}
	s.lifted = nil
	for group := range c.names.Classes { // what holds for all goes with every later message
		l, set := c.level(s.table, group)
		if told, has := s.level[group]; set && (!has || told != l) {
			p.Levels = append(p.Levels, l)
			s.level[group] = l
		}
	}
	concerned := s.part == nil && len(n.lines[s.table]) > 0
	reached = reached || p.lines() > 0 || concerned || n.levels[control.AllTables] || n.levels[s.table]
	if s.rest {
		c.due[s.joined.Proxy] = s
	}
	return p, reached
}

// tell says whether a replica is withdrawn, if the proxy may think otherwise.
func (c *Core) tell(s *stream, id uint32, p *Push) {
	if c.tells(s, id) > 0 {
		if s.told[id] = c.out[id]; c.out[id] {
			p.Shut = append(p.Shut, c.roster.known[id].name)
		} else {
			p.Let = append(p.Let, c.roster.known[id].name)
		}
	}
}

// written is a table, or what changed of it, as lines: worked out once for all its proxies.
func written[V any](c *Core, table int, ids map[uint32]V, done map[int]sheet) sheet {
	t, has := done[table]
	if !has {
		t.ids = slices.Sorted(maps.Keys(ids))
		for _, id := range t.ids {
			t.lines = append(t.lines, Line{c.roster.known[id].name, c.tables[table][id]})
		}
		done[table] = t
	}
	return t
}
