package configclient

import (
	"fmt"
	"testing"
	"time"
)

// noController matches no controller.
func noController(*controller) bool { return false }

// Each change becomes active at all reachable controllers within propagationLimit: after many changes at once, the loss of a
// server, the disconnection of a region, their recovery, and restarts of all controllers. No controller goes back to an
// older version or applies one that it rejected.
func TestChangesPropagateWithinLimit(t *testing.T) {
	for seed := range int64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, 4, 2, 200, 12)
			s.run(propagationLimit)
			s.checkPropagated(noController)

			for range 100 { // 100 changes at the same time
				s.changeService(s.Intn(12))
			}
			s.run(propagationLimit)
			s.checkPropagated(noController)

			s.stop(s.nodes[3])
			s.changeService(s.Intn(12))
			s.run(propagationLimit)
			s.checkPropagated(noController)

			s.disconnected["r2"] = true
			s.run(int64(2 * time.Minute))
			for k := range 12 {
				s.changeService(k)
			}
			s.run(propagationLimit)
			s.checkPropagated(func(g *controller) bool { return g.region == "r2" })
			s.nodes[3].up = true
			s.followAsServer(s.nodes[3], allServers(s))
			s.run(int64(time.Minute))
			s.disconnected["r2"] = false
			s.run(propagationLimit)
			s.checkPropagated(noController)

			for _, controller := range s.controllers { // all restart within a minute, during which a service changes
				s.after(s.Int63n(int64(time.Minute)), func() { s.followAsController(controller, allServers(s)) })
			}
			s.run(int64(30 * time.Second))
			s.changeService(3)
			s.run(int64(30*time.Second) + propagationLimit)
			s.checkPropagated(noController)

			queries := s.queries
			s.run(int64(time.Minute))
			if idleQueries := s.queries - queries; idleQueries > (len(s.controllers)+3*len(s.nodes))*13 {
				t.Errorf("%d queries in a minute without changes, which is more than 13 for each controller and 39 for each server", idleQueries)
			}
		})
	}
}

// allServers returns the servers of all nodes.
func allServers(s *simulation) (all []Server) {
	for _, n := range s.nodes {
		all = append(all, n.server)
	}
	return all
}
