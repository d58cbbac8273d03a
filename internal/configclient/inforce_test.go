package configclient

import (
	"fmt"
	"testing"
	"time"
)

func nobody(*governor) bool { return false }

// Whatever ends, is cut off or comes back, what is reachable has each change in force within the bound, and nobody goes
// back or takes what it refused.
func TestEveryChangeIsInForceWithinTheBound(t *testing.T) {
	for seed := range int64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 4, 2, 200, 12)
			w.run(inForceBound)
			w.settled(nobody)

			for range 100 { // at once
				w.change(w.Intn(12))
			}
			w.run(inForceBound)
			w.settled(nobody)

			w.lost(w.nodes[3])
			w.change(w.Intn(12))
			w.run(inForceBound)
			w.settled(nobody)

			w.cut["r2"] = true
			w.run(int64(2 * time.Minute))
			for k := range 12 {
				w.change(k)
			}
			w.run(inForceBound)
			w.settled(func(g *governor) bool { return g.region == "r2" })
			w.nodes[3].up = true
			w.followAsServer(w.nodes[3], serversOf(w))
			w.run(int64(time.Minute))
			w.cut["r2"] = false
			w.run(inForceBound)
			w.settled(nobody)

			for _, g := range w.governors { // restarted within a minute, and a change amidst
				w.after(w.Int63n(int64(time.Minute)), func() { w.followAsGovernor(g, serversOf(w)) })
			}
			w.run(int64(30 * time.Second))
			w.change(3)
			w.run(int64(30*time.Second) + inForceBound)
			w.settled(nobody)

			queries := w.queries
			w.run(int64(time.Minute))
			if quiet := w.queries - queries; quiet > (len(w.governors)+3*len(w.nodes))*13 {
				t.Errorf("%d queries in a quiet minute", quiet)
			}
		})
	}
}

func serversOf(w *world) (all []Server) {
	for _, n := range w.nodes {
		all = append(all, n.server)
	}
	return all
}
