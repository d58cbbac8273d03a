package policy

import (
	"cmp"
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"maps"
	"math"
	"slices"
)

// Tuned values of an update.
const (
	changeWorth = 0.15       // relative change of a weight that is sent
	stepTimeout = 2 * second // after which a step no longer waits for an answer
)

const (
	add = iota
	overwrite
	rebind
	remove
	steps
)

type updater struct {
	*sharedState
	want  targetTables
	laid  map[tableEndpoint]float64
	out   map[uint32]bool // withdrawn, not lifted yet
	moves map[int]int     // proxies to rebind
	at    int
	sent  bool             // the open step has sent something
	open  map[uint64]int64 // marks of the open step and when they were set
}

func (s *updater) handle(m message) {
	switch n := m.(type) {
	case targetTables:
		s.want = n
		maps.Copy(s.out, n.ejected)
	case replicaEvicted: // stays withdrawn: no lift is ordered for who is forgotten
		delete(s.out, n.replica)
	case bindRequested:
		s.moves[n.Proxy] = n.Table
	case messagesSent:
		s.note(n)
		return
	case acknowledged:
		delete(s.open, n.nonce)
	case tickStarted:
		maps.DeleteFunc(s.open, func(_ uint64, since int64) bool { return s.now-since > stepTimeout })
	default:
		unexpected(s, m)
	}
	s.proceed()
}

// proceed hands the pacer what the open step has to send. A new target folds in: additions go at once. A step
// whose marks are answered is over though more of its kind has come, or removals would be kept back for ever.
func (s *updater) proceed() {
	first, orders := s.orders(add), []control.Command(nil)
	for range steps {
		if orders = first; s.at != add && (s.at != remove || len(first)+len(s.moves) == 0) { // removals wait for additions and moves
			orders = append(slices.Clone(first), s.orders(s.at)...)
		}
		if len(s.open) > 0 || len(orders) > 0 && !s.sent {
			break
		}
		s.at, s.sent = (s.at+1)%steps, false
	}
	s.enqueue(pacingComponent, updateStep{len(first), orders})
}

func (s *updater) orders(at int) []control.Command {
	var ls []tableEndpoint
	sums := map[int]float64{} // whole tables, as a message's head costs more than a line
	size := func(l tableEndpoint) float64 {
		return math.Abs(s.want.weights[l]-s.laid[l]) / math.Max(s.laid[l], s.want.weights[l])
	}
	lines := maps.Clone(s.laid)
	maps.Copy(lines, s.want.weights)
	for l := range lines {
		want, has, kind := s.want.weights[l], s.laid[l], overwrite
		switch {
		case has == 0 || s.out[l.replica] && !s.want.ejected[l.replica]: // who is let in is picked by its lines as they stand
			kind = add
		case want == 0:
			kind = remove
		}
		if kind == at && want >= 0 && want != has && (kind == add || size(l) >= changeWorth) {
			ls = append(ls, l)
			sums[l.table] = math.Max(sums[l.table], size(l))
		}
	}
	slices.SortFunc(ls, func(a, b tableEndpoint) int {
		return cmp.Or(cmp.Compare(sums[b.table], sums[a.table]), cmp.Compare(a.table, b.table),
			cmp.Compare(size(b), size(a)), cmp.Compare(a.replica, b.replica))
	})
	var orders, raised []control.Command
	for _, l := range ls {
		o := control.SetEndpoint{Table: l.table, Replica: l.replica, Weight: s.want.weights[l]}
		if has := s.laid[l]; has > 0 && s.out[l.replica] && o.Weight > has { // let in by less is safe, and needs no line first
			raised = append(raised, o)
		} else {
			orders = append(orders, o)
		}
	}
	for _, id := range ordered.Keys(s.out) {
		if at == add && s.out[id] && !s.want.ejected[id] {
			orders = append(orders, control.SetEjected{Replica: id})
		}
	}
	orders = append(orders, raised...)
	for _, proxy := range ordered.Keys(s.moves) {
		if at == rebind {
			orders = append(orders, control.Bind{Proxy: proxy, Table: s.moves[proxy]})
		}
	}
	return orders
}

// note keeps what has gone out of the step: lines laid, lifts and moves done, marks to wait for.
func (s *updater) note(m messagesSent) {
	for _, o := range m.orders {
		switch o := o.(type) {
		case control.SetEjected:
			delete(s.out, o.Replica)
		case control.Bind:
			delete(s.moves, o.Proxy)
		case control.SetEndpoint:
			if s.laid[tableEndpoint{o.Table, o.Replica}] = o.Weight; o.Weight == 0 {
				delete(s.laid, tableEndpoint{o.Table, o.Replica})
			}
		}
		if m.mark > 0 {
			s.open[m.mark], s.sent = s.now, true
		}
	}
}
