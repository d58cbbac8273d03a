package configclient

import (
	"fmt"
	"testing"
	"time"
)

func none(*controller) bool { return false }

// Whatever fails, is disconnected or recovers, each change is active at all reachable controllers within the limit, and no
// controller goes back or applies a version that it rejected.
func TestChangesPropagateWithinLimit(t *testing.T) {
	for seed := range int64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, 4, 2, 200, 12)
			s.run(propagationLimit)
			s.settled(none)

			for range 100 { // at one time
				s.change(s.Intn(12))
			}
			s.run(propagationLimit)
			s.settled(none)

			s.lost(s.nodes[3])
			s.change(s.Intn(12))
			s.run(propagationLimit)
			s.settled(none)

			s.disconnected["r2"] = true
			s.run(int64(2 * time.Minute))
			for k := range 12 {
				s.change(k)
			}
			s.run(propagationLimit)
			s.settled(func(g *controller) bool { return g.region == "r2" })
			s.nodes[3].up = true
			s.followAsServer(s.nodes[3], serversOf(s))
			s.run(int64(time.Minute))
			s.disconnected["r2"] = false
			s.run(propagationLimit)
			s.settled(none)

			for _, g := range s.controllers { // restarted within a minute, with a change meanwhile
				s.after(s.Int63n(int64(time.Minute)), func() { s.followAsController(g, serversOf(s)) })
			}
			s.run(int64(30 * time.Second))
			s.change(3)
			s.run(int64(30*time.Second) + propagationLimit)
			s.settled(none)

			queries := s.queries
			s.run(int64(time.Minute))
			if quiet := s.queries - queries; quiet > (len(s.controllers)+3*len(s.nodes))*13 {
				t.Errorf("%d queries in a quiet minute", quiet)
			}
		})
	}
}

func serversOf(s *simulation) (all []Server) {
	for _, n := range s.nodes {
		all = append(all, n.server)
	}
	return all
}
