package policy

import (
	"cmp"
	"math"
	"time"

	"lilacbend/control"
	"lilacbend/policy/outlier"
	"lilacbend/policy/slowstart"
	"lilacbend/policy/weight"
)

// minListedWeight replaces smaller listed weights, so that the weights of endpoints stay above 0.
const minListedWeight = 1e-6

// replica is the component that holds the state of one replica. It makes no decisions itself: package outlier evaluates its
// health, package weight estimates its speed, and package slowstart limits its weight while it warms up.
type replica struct {
	*sharedState
	queue        int
	entry        control.ListedReplica
	knownSince   int64   // when the replica was first listed with its current start time
	lastListed   int64   // last tick at which the replica was not in state Gone
	placementKey float64 // rank in the order in which replicas are assigned to tables
	evaluatedAt  int64   // time of the last evaluation; 0: not evaluated yet
	lostFraction float64 // see slowstart.Recovery.LostFraction
	detector     outlier.Detector
	estimate     weight.Estimate
}

func newReplica(shared *sharedState, queue int, entry control.ListedReplica) *replica {
	return &replica{
		sharedState: shared,
		queue:       queue,
		entry:       entry,
		knownSince:  shared.now,
		estimate:    weight.NewEstimate(time.Duration(shared.now)),
	}
}

func (r *replica) handle(m message) {
	switch n := m.(type) {
	case replicaListed:
		r.setEntry(n.ListedReplica)
	case outcomesReported:
		r.observe(n.OutcomeReport)
		return // the status is reported at the next evaluation
	case replicaRestored:
		r.restore(n.ReplicaRestored)
	case replicaEvaluation:
		r.evaluate(n)
	default:
		unexpected(r, m)
	}
	r.enqueue(placementComponent, r.status())
}

// setEntry sets the replica's entry of the endpoint list. If it is ready and its start time differs from the earlier one, it
// is a new process: the health is reset, and the samples behind the speed no longer count.
func (r *replica) setEntry(entry control.ListedReplica) {
	if entry.StartedAt != r.entry.StartedAt && entry.State == control.Ready {
		r.detector = outlier.Detector{}
		r.estimate.Restart()
		r.knownSince = r.now
	}
	r.entry = entry
}

func (r *replica) observe(o control.OutcomeReport) {
	now := time.Duration(r.now)
	r.detector.Observe(now, o.Attempts, o.Failures, time.Duration(o.ResponseTime))
	r.estimate.Observe(now, o.Attempts)
}

func (r *replica) restore(learned control.ReplicaRestored) {
	now := time.Duration(r.now)
	r.placementKey = cmp.Or(learned.PlacementKey, r.placementKey)
	r.estimate.Restore(now, weight.Restored{
		Speed:       learned.Speed,
		SampleCount: learned.SampleCount,
		Age:         time.Duration(learned.Age),
		Confidence:  learned.Confidence,
	})
	r.logChange(r.detector.Restore(now, outlier.Restored{
		Ejected:    learned.RemainingEjection > 0 || learned.Probation,
		Ejections:  learned.EjectionCount,
		Confidence: learned.Confidence,
	}))
}

func (r *replica) evaluate(fleet replicaEvaluation) {
	now := time.Duration(r.now)
	r.lostFraction = fleet.lostFraction
	r.estimate.MoveTowards(fleet.weightGoal, time.Duration(r.now-r.evaluatedAt), time.Duration(r.now-r.knownSince))
	r.evaluatedAt = r.now
	r.logChange(r.detector.Evaluate(now, fleet.health, time.Duration(r.ReportInterval)))
}

// logChange logs a change of health.
func (r *replica) logChange(change outlier.Change) {
	if change.Occurred() {
		r.logf("replica %d %s", r.entry.Replica, change)
	}
}

// status returns the replica's weight, capacity and health for placement.
func (r *replica) status() replicaStatus {
	now := time.Duration(r.now)
	config := r.slowStart()
	start := slowstart.Replica{
		Start:      time.Duration(r.entry.StartedAt),
		KnownSince: time.Duration(r.knownSince),
		Ejected:    r.detector.Ejected(),
	}
	listed := math.Max(r.entry.Weight, minListedWeight) * config.WeightFraction(now, start, r.lostFraction)
	return replicaStatus{
		ListedReplica:    r.entry,
		queue:            r.queue,
		weight:           listed * r.estimate.Speed,
		capacity:         listed * r.estimate.Goal,
		placementKey:     r.placementKey,
		window:           r.detector.Window(now),
		learnedSpeed:     r.estimate.LearnedSpeed,
		confidence:       r.estimate.Confidence,
		penalty:          r.detector.Penalty(),
		capacityFraction: config.CapacityFraction(now, start),
		warmingUp:        config.WarmingUp(now, start),
		heldBack:         config.HeldBack(now, start, r.evaluatedAt != 0, r.lostFraction),
		ejected:          r.detector.Ejected(),
		onProbation:      r.detector.OnProbation() && r.detector.Penalty() == 0,
	}
}

// learnedState returns the replica's state that can be restored after a restart of the controller, except its table.
func (r *replica) learnedState() control.LearnedReplica {
	now := time.Duration(r.now)
	return control.LearnedReplica{
		Replica:           r.entry.Replica,
		PlacementKey:      r.placementKey,
		Speed:             r.estimate.Speed,
		SampleCount:       r.estimate.SampleCount,
		RemainingEjection: int64(r.detector.RemainingEjection(now)),
		Probation:         r.detector.OnProbation(),
		EjectionCount:     r.detector.Ejections(),
		SinceLastSample:   int64(max(0, now-r.estimate.LastSample)),
	}
}

func (r *replica) slowStart() slowstart.Config {
	return slowstart.Config{
		Duration:         time.Duration(r.SlowStartTime),
		InitialFraction:  r.SlowStartFraction,
		OverloadMultiple: r.OverloadMultiple,
	}
}
