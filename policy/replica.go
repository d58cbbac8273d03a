package policy

import (
	"cmp"
	"lilacbend/control"
	"lilacbend/policy/internal/sample"
	"math"
)

// Tuned values of a replica's health, slow start and weight.
const (
	entryShare     = 0.5        // of a new replica's weight
	entrySpan      = 5 * second // how long
	settleSpan     = 4 * second // a weight follows in this
	firstSteps     = 8          // sooner if new
	coldSpare      = 1.0 / 3    // of a fall's multiple
	coldLost       = 0.3        // flows lost: no cold
	probationTries = 3          // attempts for a verdict on trial
	sickPart       = 0.5        // part missed more
	lostBad        = 0.4        // part missed of the fleet from which there are no verdicts
	fewGood        = 0.2        // good left
	ejectionSpan   = 3 * second // rest of the sick
	mostEjections  = 2
	confidenceMost = 16.0  // tries that a memory counts for
	penaltyPart    = 0.125 // weight of who was sick
)

type attemptSample struct {
	at                 int64
	tries, bad, answer float64
}

type replica struct {
	*sharedState
	box          int
	entry        control.ListedReplica
	heard        int64 // when its start became known
	ticket       float64
	met          []attemptSample
	speed        float64
	fleet        fleetBaseline
	ejectedUntil int64 // out until then
	trial        int64 // on trial since
	ejections    int
	judged       int64
	changed      int64 // when it was last seen not to be gone

	prior, confidence float64 // as offer
	penalty           float64
	sampleCount       float64 // tries behind its speed
	lastSample        int64   // when the last of them was told
}

func (r *replica) handle(m message) {
	switch n := m.(type) {
	case replicaListed:
		if n.Start != r.entry.Start && n.State == control.Ready {
			r.met, r.ejectedUntil, r.trial, r.ejections, r.heard, r.confidence, r.sampleCount, r.penalty = nil, 0, 0, 0, r.now, 0, 0, 0
		}
		r.entry = n.ListedReplica
	case outcomesReported:
		answer := float64(n.ResponseTime) / float64(second)
		r.met = sample.Newest(sample.Kept, append(r.met, attemptSample{r.now, float64(n.Attempts), float64(n.Failures), answer}))
		r.confidence, r.sampleCount, r.lastSample = r.confidence*confidenceLeft, math.Min(confidenceMost, r.sampleCount+float64(n.Attempts)), r.now
		return
	case replicaRestored:
		r.recall(n.ReplicaRestored)
	case fleetBaseline:
		r.fleet = n
		r.judge()
	default:
		unexpected(r, m)
	}
	tries, bad, answer := r.lately()
	size := math.Max(r.entry.Weight, 1e-6) * r.warmth()
	// The cold wait for the first word of the fleet: a line laid before it, in a collapse, draws all repeats.
	sick := r.ejectedUntil > 0 || r.cold() && (r.judged == 0 || r.fleet.lost > coldLost)
	r.enqueue(placementComponent, replicaStatus{r.entry, r.box, size * r.speed, size * r.fleet.goal, r.ticket, tries, bad, answer,
		r.prior, r.confidence, r.penalty, r.able(), r.cold(), sick, r.trial > 0 && r.penalty == 0})
}

// recall believes what an earlier governor knew as far as its age leaves it; first sums overrule its speed.
// The sick are on trial with little weight: withdrawn, they harm for longer where they have healed.
func (r *replica) recall(n control.ReplicaRestored) {
	r.ticket, r.sampleCount, r.lastSample = cmp.Or(n.PlacementKey, r.ticket), n.Weight*n.SampleCount, r.now-n.Age
	r.prior, r.confidence = math.Pow(n.Speed, n.Weight), n.Weight*math.Min(n.SampleCount, confidenceMost)
	r.speed, r.fleet.goal = r.prior, r.prior
	r.ejections = int(math.Round(n.Weight * float64(n.Ejections)))
	if n.EjectedFor > 0 || n.Probation {
		r.trial, r.penalty = r.now, 1-math.Pow(penaltyPart, n.Weight) // it was shut out: no sums of before come late
		r.say("replica %d remembered as sick: on trial with %.2f of its weight", r.entry.Replica, 1-r.penalty)
	}
}

// judge moves the replica between well, ejected and on trial. Silent, failing, cut-off ones miss most tries
// and give few good answers; who gives its share is busy. It harms where tries miss by chance.
func (r *replica) judge() {
	tries, bad, answer := r.lately()
	span := min(settleSpan, max(second, (r.now-r.heard)/firstSteps)) // what is new is learned faster
	r.speed *= math.Pow(r.fleet.goal/r.speed, math.Min(1, float64(r.now-r.judged)/float64(span)))
	r.judged = r.now
	switch {
	case r.ejectedUntil > r.now:
	case r.ejectedUntil > 0:
		r.ejectedUntil, r.trial = 0, r.now+r.ReportInterval // sums of before the trial come late
		r.say("replica %d on trial after rest %d", r.entry.Replica, r.ejections)
	case r.fleet.bad > lostBad && r.penalty == 0 || r.trial > 0 && tries < probationTries,
		tries < sickTries && r.trial == 0:
	case bad/math.Max(1, tries) > r.fleet.bad+sickPart*(1-r.fleet.bad) &&
		(r.trial > 0 || tries-bad < fewGood*r.fleet.good && answer < r.fleet.late):
		rest := ejectionSpan << min(r.ejections, mostEjections)
		r.ejectedUntil, r.trial, r.ejections, r.met, r.penalty = r.now+rest, 0, r.ejections+1, nil, 0
		r.say("replica %d sick: %.0f of %.0f missed, fleet %.2f, rests %ds", r.entry.Replica, bad, tries,
			r.fleet.bad, rest/second)
	case r.trial > 0:
		r.trial, r.penalty = 0, 0
		r.say("replica %d well again: %.0f of %.0f missed", r.entry.Replica, bad, tries)
	}
}

func (r *replica) cold() bool { return r.entry.Start > 0 && r.now-r.entry.Start < r.SlowStartTime }

// able is the part of its usual work that a cold replica surely can do: as at the slowest warming.
func (r *replica) able() float64 {
	if r.ejectedUntil > 0 {
		return 0
	}
	return r.SlowStartFraction + (1-r.SlowStartFraction)*float64(max(0, r.now-r.entry.Start))/float64(max(1, r.SlowStartTime))
}

// warmth is the part of its usual work a replica that started not long ago is given: a third of what makes it
// fall at the slowest warming, less the more of all tries miss: repeats push too. It harms who warms faster.
func (r *replica) warmth() float64 {
	if !r.cold() {
		return 1
	}
	w := math.Min(1, r.able()*coldSpare*r.OverloadMultiple) * math.Pow(1-r.fleet.lost, 2)
	if r.now-r.heard < entrySpan {
		w = math.Min(w, entryShare)
	}
	return w
}

// lately sums the samples still worth judging; answer is a mean in seconds.
func (r *replica) lately() (tries, bad, answer float64) {
	good := 0.0
	for _, s := range r.met {
		if s.at > max(r.now-recent, r.trial) {
			tries, bad = tries+s.tries, bad+s.bad
			if s.answer > 0 {
				answer, good = answer+s.answer*(s.tries-s.bad), good+s.tries-s.bad
			}
		}
	}
	return tries, bad, answer / math.Max(1, good)
}
