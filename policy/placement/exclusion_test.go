package placement

import (
	"slices"
	"testing"
)

// planExclusions makes a plan and returns the excluded and the newly excluded replicas.
func planExclusions(t *testing.T, p *Placer, in Input) (all, newlyExcluded []uint32) {
	t.Helper()
	in.Settings = settings()
	plan := mustPlace(t, p, in)
	for _, r := range in.Replicas {
		if plan.Excluded[r.ID] != p.Excluded(r.ID) {
			t.Errorf("replica %d: excluded is %v in the plan, but %v in the Placer", r.ID, plan.Excluded[r.ID], p.Excluded(r.ID))
		}
		if plan.Excluded[r.ID] {
			all = append(all, r.ID)
		}
	}
	return all, plan.NewlyExcluded
}

func TestEjectionLeavesAQuarterOfTheReplicas(t *testing.T) {
	p := placerWithTables(1, map[uint32]int{})
	replicas := []Replica{ejectedReplica(1, 1), ejectedReplica(2, 0), ejectedReplica(3, 1), ejectedReplica(4, 0)}
	all, newly := planExclusions(t, p, Input{Replicas: replicas})
	if !slices.Equal(all, []uint32{1, 2, 3}) || !slices.Equal(newly, all) {
		t.Errorf("excluded %v, newly excluded %v, want the first three of four replicas", all, newly)
	}
	replicas[3] = goneReplica(4, 0)
	all, newly = planExclusions(t, p, Input{Replicas: replicas})
	if !slices.Contains(all, 4) || !slices.Equal(newly, []uint32{4}) {
		t.Errorf("excluded %v, newly excluded %v, want replica 4, which is not ready, as well", all, newly)
	}
}

func TestExclusionOfReplicasThatWarmUp(t *testing.T) {
	warming := func(change func(*Replica)) Replica {
		r := readyReplica(1, 0)
		r.WarmingUp = true
		change(&r)
		return r
	}
	for _, c := range []struct {
		name   string
		first  Replica
		second Replica
		want   []uint32
	}{
		{"warming up", warming(func(*Replica) {}), readyReplica(2, 0), nil},
		{"held back", warming(func(r *Replica) { r.HeldBack = true }), readyReplica(2, 0), []uint32{1}},
		{"ejected", warming(func(r *Replica) { r.Ejected = true }), readyReplica(2, 0), []uint32{1}},
		{"held back, but no replica is warmed up", warming(func(r *Replica) { r.HeldBack = true }), goneReplica(2, 0), []uint32{2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			all, _ := planExclusions(t, placerWithTables(1, map[uint32]int{}), Input{Replicas: []Replica{c.first, c.second}})
			if !slices.Equal(all, c.want) {
				t.Errorf("excluded %v, want %v", all, c.want)
			}
		})
	}
}

func TestReplicasThatWarmUpAreExcludedWhileRequestsSurge(t *testing.T) {
	warming := readyReplica(1, 0)
	warming.WarmingUp = true
	for _, c := range []struct {
		name   string
		newest float64
		want   []uint32
	}{{"requests as usual", 120, nil}, {"requests at the limit", 150, nil}, {"surge", 200, []uint32{1}}} {
		t.Run(c.name, func(t *testing.T) {
			all, _ := planExclusions(t, placerWithTables(1, map[uint32]int{}), Input{
				Replicas: []Replica{warming, readyReplica(2, 0)},
				Proxies:  []Proxy{{ID: 7}},
				Demand:   Demand{Requests: map[int]float64{7: 100}, LatestRequests: map[int]float64{7: c.newest}},
			})
			if !slices.Equal(all, c.want) {
				t.Errorf("excluded %v, want %v", all, c.want)
			}
		})
	}
}

func TestSurgeInOneZoneDoesNotExcludeReplicasOfAnotherZone(t *testing.T) {
	first, second := readyReplica(1, 0), readyReplica(2, 1)
	first.WarmingUp, second.WarmingUp = true, true
	all, _ := planExclusions(t, placerWithTables(2, map[uint32]int{}), Input{
		Replicas: []Replica{first, second, readyReplica(3, 0), readyReplica(4, 1)},
		Proxies:  []Proxy{{ID: 7, Table: 0}, {ID: 8, Table: 1}},
		Demand:   Demand{Requests: map[int]float64{7: 100, 8: 100}, LatestRequests: map[int]float64{7: 100, 8: 200}},
	})
	if !slices.Equal(all, []uint32{2}) {
		t.Errorf("excluded %v, want only replica 2", all)
	}
}
