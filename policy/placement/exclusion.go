package placement

const (
	// maxOutlierFraction is the maximum fraction of the fleet's warmed-up replicas that is excluded as outliers, so that the
	// fleet keeps some replicas whatever outlier detection reports. A table may lose all of its own replicas: it then gets
	// spillover endpoints, or its proxies are bound to a sibling table (balance.go).
	maxOutlierFraction = 0.75

	// surgeFactor is the ratio of a zone's newest requests to its usual requests above which the zone's requests surge.
	surgeFactor = 1.5
)

// exclude marks the replicas that are excluded from all tables, and returns those that were not excluded before. These
// replicas are excluded:
//
//   - replicas that are not ready
//   - ejected replicas that are warmed up: the first ones in the given order, up to maxOutlierFraction of the warmed-up
//     replicas
//   - replicas that are warming up and are ejected or held back, or are in a zone whose requests surge: proxies soon avoid
//     all overloaded replicas, and a replica that has just started would get all requests, whatever its weight. These
//     replicas are not excluded if no replica is warmed up.
func (p *Placer) exclude(in Input, replicas []*placedReplica, zoneStride int) (newlyExcluded []uint32) {
	surges := surgingZones(in, zoneStride)
	warmedUp := countWarmedUp(replicas)
	outliersLeft := warmedUp * maxOutlierFraction
	excluded := map[uint32]bool{}
	for _, r := range replicas {
		switch {
		case !r.Ready:
			r.excluded = true
		case r.WarmingUp:
			r.excluded = warmedUp > 0 && (r.Ejected || r.HeldBack || surges[r.table%zoneStride])
		case r.Ejected && outliersLeft >= 1:
			r.excluded = true
			outliersLeft--
		}
		if !r.excluded {
			continue
		}
		excluded[r.ID] = true
		if !p.excluded[r.ID] {
			newlyExcluded = append(newlyExcluded, r.ID)
		}
	}
	p.excluded = excluded
	return newlyExcluded
}

func countWarmedUp(replicas []*placedReplica) float64 {
	count := 0.0
	for _, r := range replicas {
		if r.Ready && !r.WarmingUp {
			count++
		}
	}
	return count
}

// surgingZones reports for each zone whether the newest requests of its proxies are more than surgeFactor times the usual
// ones.
func surgingZones(in Input, zoneStride int) []bool {
	usual := make([]float64, zoneStride)
	newest := make([]float64, zoneStride)
	for _, proxy := range in.Proxies {
		row := proxy.Table % zoneStride
		usual[row] += in.Demand.Requests[proxy.ID]
		newest[row] += in.Demand.LatestRequests[proxy.ID]
	}
	surges := make([]bool, zoneStride)
	for row := range surges {
		surges[row] = newest[row] > surgeFactor*max(1, usual[row])
	}
	return surges
}
