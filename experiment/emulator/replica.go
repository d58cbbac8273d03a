package emulator

import (
	"fmt"

	"lilacbend/internal/controller"
)

// ReplicaFault is a kind of fault of a replica.
type ReplicaFault int

// Kinds of faults of replicas.
const (
	NoFault      ReplicaFault = iota
	Unresponsive              // accepts requests but never responds
	Slow                      // takes slowFactor times as long for each request
	Failing                   // rejects requests before they run
)

const (
	// replicaSlots is the number of requests that a replica runs concurrently.
	replicaSlots = 8
	// baseServiceTime is the mean service time of the faster hardware class, in seconds.
	baseServiceTime = 0.1
	slowFactor      = 5
	// rejectTime is how long a replica takes to reject a request.
	rejectTime = 5 * millisecond
)

// Replica is one server. Requests wait while all its slots are in use.
type Replica struct {
	Member controller.Member
	Fault  ReplicaFault

	slots           int
	meanServiceTime float64 // seconds
	running         int
	waiting         []func()
	notifiedAt      int64   // when controllers were last notified of a change of the replica
	recentAttempts  []int64 // times of attempts within overloadTime, recorded while the replica is warming up
	outcomes        map[reporter]*outcomeSum
}

// reporter is the part of a zone's collector that sums outcomes for one controller.
type reporter struct {
	zone       string
	controller int
}

// outcomeSum sums the outcomes of attempts since the last report.
type outcomeSum struct {
	attempts     int
	failures     int
	responseTime int64 // total of all successful attempts, in nanoseconds
}

func newReplica(site Site, zones []string, k int) *Replica {
	class := k / 2 % 2
	return &Replica{
		slots:           replicaSlots,
		meanServiceTime: baseServiceTime * float64(1+class),
		outcomes:        map[reporter]*outcomeSum{},
		Member: controller.Member{
			ID:            fmt.Sprintf("s-%04d", k),
			Zone:          zones[k%len(zones)],
			HardwareClass: site.hardwareClass(class),
			Weight:        1,
		},
	}
}

// outcomesFor returns the replica's outcomes that a reporter has summed.
func (r *Replica) outcomesFor(from reporter) *outcomeSum {
	if r.outcomes[from] == nil {
		r.outcomes[from] = &outcomeSum{}
	}
	return r.outcomes[from]
}

func (s *outcomeSum) addFailure() {
	s.attempts++
	s.failures++
}

func (s *outcomeSum) addSuccess(responseTime int64) {
	s.attempts++
	s.responseTime += responseTime
}

// execute runs an attempt on a replica as soon as a slot is free, and calls succeeded when the attempt has completed. An
// unresponsive replica does not call it.
func (sim *Simulation) execute(r *Replica, succeeded func()) {
	if r.running >= r.slots {
		r.waiting = append(r.waiting, func() { sim.execute(r, succeeded) })
		return
	}
	r.running++
	mean := r.meanServiceTime / sim.warmUpFraction(r)
	if r.Fault == Slow {
		mean *= slowFactor
	}
	duration := mean * (0.5 + 0.5*sim.random.ExpFloat64()) * float64(second)
	sim.after(int64(duration), func() {
		r.running--
		if r.Fault != Unresponsive {
			succeeded()
		}
		if len(r.waiting) > 0 {
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			next()
		}
	})
}

// warmUpFraction returns the fraction of its full capacity that a replica has at present: 1 once it is warmed up.
func (sim *Simulation) warmUpFraction(r *Replica) float64 {
	settings := sim.Site.Settings
	age := sim.now - r.Member.StartedAt
	if r.Member.StartedAt == 0 || age >= settings.SlowStartTime {
		return 1
	}
	return settings.SlowStartFraction + (1-settings.SlowStartFraction)*float64(age)/float64(settings.SlowStartTime)
}
