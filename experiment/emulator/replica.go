package emulator

import (
	"fmt"

	"lilacbend/internal/controller"
)

// ReplicaFault is what is wrong with a replica.
type ReplicaFault int

// Faults of replicas.
const (
	NoFault      ReplicaFault = iota
	Unresponsive              // accepts requests and answers none
	Slow                      // takes slowFactor times as long
	Failing                   // rejects requests at once, before they run
)

const (
	// replicaSlots is how many requests a replica runs at once.
	replicaSlots = 8
	// baseTime is the mean time of a request at the faster hardware class, in seconds.
	baseTime   = 0.1
	slowFactor = 5
	// rejectTime is how long a rejection takes.
	rejectTime = 5 * milli
)

// Replica is one server. Requests beyond its slots wait.
type Replica struct {
	Member controller.Member
	Fault  ReplicaFault

	slots          int
	meanTime       float64 // seconds
	running        int
	waiting        []func()
	notifiedAt     int64   // when controllers were last notified of a change
	recentAttempts []int64 // times of attempts within overloadTime, while it is warming up
	outcomes       map[reporter]*outcomeSum
}

// reporter is who sums outcomes: the collector of a zone, for one controller.
type reporter struct {
	zone       string
	controller int
}

// outcomeSum sums the outcomes of attempts since they were last reported.
type outcomeSum struct {
	attempts     int
	failures     int
	responseTime int64 // of all successful attempts
}

func newReplica(site Site, zones []string, k int) *Replica {
	class := k / 2 % 2
	return &Replica{
		slots:    replicaSlots,
		meanTime: baseTime * float64(1+class),
		outcomes: map[reporter]*outcomeSum{},
		Member: controller.Member{
			ID:            fmt.Sprintf("s-%04d", k),
			Zone:          zones[k%len(zones)],
			HardwareClass: site.hardwareClass(class),
			Weight:        1,
		},
	}
}

// outcome returns the sum for a reporter.
func (r *Replica) outcome(by reporter) *outcomeSum {
	if r.outcomes[by] == nil {
		r.outcomes[by] = &outcomeSum{}
	}
	return r.outcomes[by]
}

func (s *outcomeSum) addFailure() {
	s.attempts++
	s.failures++
}

func (s *outcomeSum) addSuccess(responseTime int64) {
	s.attempts++
	s.responseTime += responseTime
}

// execute runs an attempt on a replica, at once or when a slot is free, and calls succeeded when it has run.
func (sim *Simulation) execute(r *Replica, succeeded func()) {
	if r.running >= r.slots {
		r.waiting = append(r.waiting, func() { sim.execute(r, succeeded) })
		return
	}
	r.running++
	mean := r.meanTime / sim.warmth(r)
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

// warmth returns the fraction of its capacity that a replica has, which is 1 once it is warmed up.
func (sim *Simulation) warmth(r *Replica) float64 {
	provision := sim.Site.Settings
	age := sim.now - r.Member.UpSince
	if r.Member.UpSince == 0 || age >= provision.SlowStartTime {
		return 1
	}
	return provision.SlowStartFraction + (1-provision.SlowStartFraction)*float64(age)/float64(provision.SlowStartTime)
}
