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

// minListedWeight keeps weights above 0.
const minListedWeight = 1e-6

// replica is the component of one replica. It decides nothing: package outlier evaluates its health, weight estimates its speed,
// slowstart limits it while it warms up.
type replica struct {
	*sharedState
	queue        int
	entry        control.ListedReplica
	knownSince   int64   // when its start became known
	lastListed   int64   // when it was last seen in the endpoint list
	placementKey float64 // its rank in the order in which replicas are assigned to tables
	evaluatedAt  int64   // 0: not yet
	lostFraction float64 // see slowstart.Recovery
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
		r.list(n.ListedReplica)
	case outcomesReported:
		r.observe(n.Outcomes)
		return // the next evaluation reports the status
	case replicaRestored:
		r.restore(n.ReplicaRestored)
	case replicaEvaluation:
		r.evaluate(n)
	default:
		unexpected(r, m)
	}
	r.enqueue(placementComponent, r.status())
}

// list takes over an entry of the endpoint list. A new start is a new process, which has neither health nor speed.
func (r *replica) list(entry control.ListedReplica) {
	if entry.Start != r.entry.Start && entry.State == control.Ready {
		r.detector = outlier.Detector{}
		r.estimate.Restart()
		r.knownSince = r.now
	}
	r.entry = entry
}

func (r *replica) observe(o control.Outcomes) {
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
		Confidence:  learned.Weight,
	})
	r.report(r.detector.Restore(now, outlier.Restored{
		Ejected:    learned.EjectedFor > 0 || learned.Probation,
		Ejections:  learned.Ejections,
		Confidence: learned.Weight,
	}))
}

func (r *replica) evaluate(fleet replicaEvaluation) {
	now := time.Duration(r.now)
	r.lostFraction = fleet.lostFraction
	r.estimate.Follow(fleet.weightGoal, time.Duration(r.now-r.evaluatedAt), time.Duration(r.now-r.knownSince))
	r.evaluatedAt = r.now
	r.report(r.detector.Evaluate(now, fleet.health, time.Duration(r.ReportInterval)))
}

// report writes a change of health into the log.
func (r *replica) report(change outlier.Change) {
	if change.Happened() {
		r.logf("replica %d %s", r.entry.Replica, change)
	}
}

// status sums up for placement what the replica can serve and how it is.
func (r *replica) status() replicaStatus {
	now := time.Duration(r.now)
	config := r.slowStart()
	start := slowstart.Replica{
		Start:      time.Duration(r.entry.Start),
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
		rememberedSpeed:  r.estimate.RememberedSpeed,
		confidence:       r.estimate.Confidence,
		penalty:          r.detector.Penalty(),
		capacityFraction: config.CapacityFraction(now, start),
		warmingUp:        config.WarmingUp(now, start),
		heldBack:         config.HeldBack(now, start, r.evaluatedAt != 0, r.lostFraction),
		ejected:          r.detector.Ejected(),
		onProbation:      r.detector.OnProbation() && r.detector.Penalty() == 0,
	}
}

// learned is what is of use after a restart of the controller, without the table.
func (r *replica) learned() control.LearnedReplica {
	now := time.Duration(r.now)
	return control.LearnedReplica{
		Replica:         r.entry.Replica,
		PlacementKey:    r.placementKey,
		Speed:           r.estimate.Speed,
		SampleCount:     r.estimate.SampleCount,
		EjectedFor:      int64(r.detector.EjectedFor(now)),
		Probation:       r.detector.OnProbation(),
		Ejections:       r.detector.Ejections(),
		SinceLastSample: int64(max(0, now-r.estimate.LastSample)),
	}
}

func (r *replica) slowStart() slowstart.Config {
	return slowstart.Config{
		Duration:         time.Duration(r.SlowStartTime),
		InitialFraction:  r.SlowStartFraction,
		OverloadMultiple: r.OverloadMultiple,
	}
}
