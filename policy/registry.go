package policy

import (
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/internal/zone"
	"lilacbend/policy/pacing"
	"math"
	"slices"
)

// connectedProxy is a proxy that is here, since when, and its table; below 0: none yet.
type connectedProxy struct {
	control.StreamOpened
	since int64
	table int
}

type binder struct {
	*sharedState
	here         map[int]*connectedProxy
	loose        int   // of them, without a table
	boundTo      []int // where each table's proxies are bound
	past         control.FleetRestored
	formerTables map[int]int     // tables of proxies at an earlier governor
	came         map[int]float64 // flows a second of each there
	wait         map[uint64]map[int]bool
	last         uint64
}

func (r *binder) handle(m message) {
	switch n := m.(type) {
	case tablesAssigned:
		r.assign(n.tables)
	case streamOpened:
		if came, ok := r.came[n.Proxy]; ok { // a hello tells a rough figure
			n.Rate += (came - n.Rate) * r.past.Weight
		}
		r.drop(n.Proxy)
		r.here[n.Proxy] = &connectedProxy{n.StreamOpened, r.now, -1}
		r.loose++
	case fleetRestored:
		r.remember(n.FleetRestored)
	case streamClosed:
		r.drop(n.Proxy)
	case ackReceived:
		mark := r.last - (r.last-n.Nonce)&pacing.NonceMask // marks go round on the way
		r.enqueue(pacingComponent, acknowledged{mark: mark})
		r.acknowledge(n.Proxy, mark)
	case messagesSent:
		r.await(n)
	default:
		unexpected(r, m)
	}
}

// assign binds the proxies without a table, and moves those whose table is served by another one now.
func (r *binder) assign(tables []int) {
	if r.loose == 0 && slices.Equal(tables, r.boundTo) { // nobody to bind or to move
		return
	}
	load := make([]float64, len(tables))
	for _, proxy := range ordered.Keys(r.here) {
		if c := r.here[proxy]; c.table >= 0 {
			if load[c.table] += c.Rate; tables[c.table] != r.boundTo[c.table] {
				r.enqueue(updateComponent, bindRequested{control.Bind{Proxy: proxy, Table: tables[c.table]}})
			}
		}
	}
	for _, proxy := range ordered.Keys(r.here) {
		if c := r.here[proxy]; c.table < 0 {
			c.table = zone.LeastLoaded(c.Zone, r.Zones, load)
			if sat, ok := r.formerTables[proxy]; ok && r.past.Tables == len(tables) && sat < len(tables) &&
				sat%zone.Rows(r.Zones, len(tables)) == c.Zone%zone.Rows(r.Zones, len(tables)) {
				c.table = sat // as its connections are
			}
			delete(r.formerTables, proxy)
			load[c.table] += c.Rate
			r.loose--
			r.enqueue(placementComponent, proxyBound{*c})
			r.enqueue(pacingComponent, bindRequested{control.Bind{Proxy: proxy, Table: tables[c.table]}})
		}
	}
	r.boundTo = tables
}

// acknowledge: no mark up to this one waits for the proxy any more. An answer speaks for the proxy's earlier
// marks, and nothing waits for a proxy that has left. Its leaving tells nothing of the channel, though: what was
// written to it, and to all others before, may wait there still, and taken for sent lets a crowd that leaves at
// once fill the channel twice.
func (r *binder) acknowledge(proxy int, upto uint64) {
	for _, mark := range ordered.Keys(r.wait) {
		if w := r.wait[mark]; mark <= upto && w[proxy] {
			if delete(w, proxy); len(w) == 0 {
				delete(r.wait, mark)
				r.enqueue(pacingComponent, acknowledged{mark, true, upto == math.MaxUint64})
				r.enqueue(updateComponent, acknowledged{mark: mark, all: true})
			}
		}
	}
}

// remember keeps what an earlier governor knew of proxies.
func (r *binder) remember(n control.FleetRestored) {
	r.past, r.formerTables, r.came = n, map[int]int{}, map[int]float64{}
	for _, s := range n.Bindings {
		r.formerTables[s.Proxy] = s.Table
	}
	for _, u := range n.RequestRates {
		r.came[u.Proxy] += u.Rate
	}
}

// await notes whose answers to a mark are missing.
func (r *binder) await(n messagesSent) {
	r.last, r.wait[n.nonce] = n.nonce, map[int]bool{}
	for _, proxy := range n.proxies {
		r.wait[n.nonce][proxy] = true
	}
}

// drop forgets a proxy that has left: no mark waits for it any more.
func (r *binder) drop(proxy int) {
	r.acknowledge(proxy, math.MaxUint64)
	if c := r.here[proxy]; c != nil && c.table < 0 {
		r.loose--
	}
	delete(r.here, proxy)
}

// renumberZones takes over the zones of the proxies.
func (r *binder) renumberZones(proxies []control.StreamOpened) {
	for _, joined := range proxies {
		c := r.here[joined.Proxy]
		if c == nil {
			continue
		}
		if c.Zone = joined.Zone; c.table >= 0 {
			r.enqueue(placementComponent, proxyBound{*c})
		}
	}
}

// rebind puts the proxies on tables that were dealt anew. Where there are as many as before who is still in its row stays;
// all others move as in any update, once their new table is laid out. Bound says where each is bound now.
func (r *binder) rebind(before, tables int, bound map[int]int) {
	load, row := make([]float64, tables), zone.Rows(r.Zones, tables)
	r.boundTo = slices.Collect(numbers(tables))
	stays := func(c *connectedProxy) bool {
		return before == tables && c.table%row == c.Zone%row
	}
	members := slices.DeleteFunc(ordered.Keys(r.here), func(proxy int) bool { return r.here[proxy].table < 0 })
	for _, proxy := range members {
		if c := r.here[proxy]; stays(c) {
			load[c.table] += c.Rate
		}
	}
	for _, proxy := range members {
		c := r.here[proxy]
		if !stays(c) {
			c.table = zone.LeastLoaded(c.Zone, r.Zones, load)
			load[c.table] += c.Rate
		}
		switch bind := (control.Bind{Proxy: proxy, Table: c.table}); {
		case bound[proxy] < 0:
			r.enqueue(pacingComponent, bindRequested{bind})
		case bound[proxy] != c.table:
			r.enqueue(updateComponent, bindRequested{bind})
		}
		r.enqueue(placementComponent, proxyBound{*c})
	}
}
