package policy

import (
	"time"

	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
)

// learnedState returns the learned state that a restarted controller or a successor can restore. Each component contributes
// its part.
func (p *Policy) learnedState() control.Snapshot {
	var snapshot control.Snapshot
	for _, id := range ordered.Keys(p.replicas) {
		replica := p.replicas[id].learnedState()
		replica.Table = p.placement.placer.TableOf(id)
		snapshot.Replicas = append(snapshot.Replicas, replica)
	}
	p.placement.addLearned(&snapshot.LearnedFleet)
	p.binding.addLearned(&snapshot.LearnedFleet)
	p.admission.addLearned(&snapshot.LearnedFleet, p.now-p.startedAt)
	return snapshot
}

func (p *planner) addLearned(fleet *control.LearnedFleet) {
	fleet.TableCount = p.placer.Tables()
	fleet.BaselineResponseTimes = p.baselines.Snapshot(p.HardwareClasses + 1) // the last element is that of the whole fleet
}

func (b *binder) addLearned(fleet *control.LearnedFleet) {
	fleet.Bindings = b.bindings.LearnedBindings()
}

// addLearned adds the state of admission control and retries. uptime is the uptime of the controller, in nanoseconds.
func (a *admissionController) addLearned(fleet *control.LearnedFleet, uptime int64) {
	fleet.AdmissionThreshold = a.threshold.AdmittedFraction()
	fleet.MaxSuccessRate = a.threshold.MaxSuccessRate()
	fleet.RequestRates = a.demand.RatesByProxy(time.Duration(uptime))
	fleet.RetriesStopped = a.retries.Stopped()
}
