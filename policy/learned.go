package policy

import (
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// learned returns all that an earlier controller's successor can use. Each component contributes what it has learned itself.
func (p *Policy) learned() control.Snapshot {
	var snapshot control.Snapshot
	for _, id := range ordered.Keys(p.replicas) {
		replica := p.replicas[id].learned()
		replica.Table = p.placement.learnedTable(id)
		snapshot.Replicas = append(snapshot.Replicas, replica)
	}
	p.placement.learned(&snapshot.LearnedFleet)
	p.binding.learned(&snapshot.LearnedFleet)
	p.admission.learned(&snapshot.LearnedFleet, p.now-p.startedAt)
	return snapshot
}

// learned returns what is known of a replica, but for its table.
func (r *replica) learned() control.LearnedReplica {
	return control.LearnedReplica{
		Replica:         r.entry.Replica,
		PlacementKey:    r.ticket,
		Speed:           r.speed,
		SampleCount:     r.sampleCount,
		EjectedFor:      max(0, r.ejectedUntil-r.now),
		Probation:       r.trial > 0,
		Ejections:       r.ejections,
		SinceLastSample: max(0, r.now-r.lastSample),
	}
}

// learnedTable returns the table that a replica is assigned to, or was at an earlier controller.
func (p *planner) learnedTable(id uint32) int {
	table, assigned := p.own[id]
	if !assigned {
		return p.laid[id]
	}
	return table
}

func (p *planner) learned(fleet *control.LearnedFleet) {
	fleet.Tables = p.tables
	fleet.BaselineResponseTimes = make([][]float64, p.HardwareClasses+1)
	for class, responseTimes := range p.calm {
		if class >= 0 && class < len(fleet.BaselineResponseTimes) {
			fleet.BaselineResponseTimes[class] = slices.Clone(responseTimes)
		}
	}
}

func (b *binder) learned(fleet *control.LearnedFleet) {
	fleet.Bindings = b.bindings.Learned()
}

// learned takes the controller's uptime, in nanoseconds.
func (a *admissionController) learned(fleet *control.LearnedFleet, uptime int64) {
	fleet.AdmissionThreshold = a.threshold.AdmittedFraction()
	fleet.MaxSuccessRate = a.threshold.MaxSuccessRate()
	fleet.RequestRates = a.demand.RatesByProxy(time.Duration(uptime))
	fleet.RetriesStopped = a.retries.Stopped()
}
