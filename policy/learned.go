package policy

import (
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// learned returns all that an earlier controller's successor can use. Each component contributes what it has learned itself.
func (p *Policy) learned() control.Snapshot {
	var snapshot control.Snapshot
	for _, id := range ordered.Keys(p.replicas) {
		replica := p.replicas[id].learned()
		replica.Table = p.placement.placer.TableOf(id)
		snapshot.Replicas = append(snapshot.Replicas, replica)
	}
	p.placement.learned(&snapshot.LearnedFleet)
	p.binding.learned(&snapshot.LearnedFleet)
	p.admission.learned(&snapshot.LearnedFleet, p.now-p.startedAt)
	return snapshot
}

func (p *planner) learned(fleet *control.LearnedFleet) {
	fleet.Tables = p.placer.Tables()
	fleet.BaselineResponseTimes = p.baselines.Snapshot(p.HardwareClasses + 1) // one more stands for the whole fleet
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
