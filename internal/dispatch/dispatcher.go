// Package dispatch decides what a sidecar does with a request: whether it is admitted, which replica it is sent to,
// whether a failed attempt is retried, and when the sidecar gives up on the request. It holds the tables that a
// controller has sent, and ejects replicas by the failures that this sidecar observes. Each request gets exactly one
// final step.
//
// The package does no I/O, reads no clock and starts no goroutine. Callers pass times in nanoseconds of one clock of their
// choice, and random choices derive from a seed. A Dispatcher is not safe for concurrent use.
package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lilacbend/control"
)

// Class is a traffic class with its settings.
type Class struct {
	Name string
	control.TrafficClass
}

// Config is the configuration of a Dispatcher.
type Config struct {
	Seed      uint64
	Classes   []Class
	Pick      control.PickPolicy
	Admission control.AdmissionMode

	// AttemptTimeoutFactor is the timeout of an attempt that may be retried, as a multiple of the latency objective of its
	// class.
	AttemptTimeoutFactor float64
	// DefaultRetry is the retry policy of the classes for which no controller has sent one.
	DefaultRetry control.RetryPolicy

	// MaxConsecutiveFailures is the number of failures in a row after which a replica is ejected; 0: never.
	MaxConsecutiveFailures int
	// EjectionTime is how long the first of consecutive ejections lasts.
	EjectionTime time.Duration

	// RetryBudgetRatio is the fraction of the requests that may be retries.
	RetryBudgetRatio float64
	// RetryBudgetBurst is the largest number of unused retries that the budget keeps for later.
	RetryBudgetBurst float64

	MaxRequests           int // limit of requests in flight
	MaxRequestsPerReplica int // limit of requests in flight at one replica; 0: no limit
	MaxQueuedRequests     int // limit of requests that wait for capacity
	MaxQueueTime          time.Duration
}

// Dispatcher holds the dispatch state of one sidecar.
type Dispatcher struct {
	config     Config
	admissions randomSequence
	picks      randomSequence
	tables     []table // by class

	// ejectedByController holds the replicas that a controller has ejected: they are never picked. The sidecar's own
	// ejections are in replicaState.locallyEjectedUntil: other replicas are preferred to replicas that the sidecar has
	// ejected.
	ejectedByController map[string]bool

	endpoints map[string]Endpoint
	replicas  map[string]*replicaState

	retryTokens float64 // tokens of the retry budget; each allows one retry
	hasTables   bool    // a controller has sent a table
	draining    bool
	inFlight    int
	queued      int
	candidates  []candidate // scratch space of choose

	outcomes map[string]*OutcomeSum // by replica
	demand   []Demand               // by class

	// Counters count the events since the Dispatcher was created.
	Counters Counters
}

// Counters count the requests, attempts and ejections of a Dispatcher.
type Counters struct {
	Requests      int64
	Succeeded     int64
	SucceededLate int64 // requests in Succeeded that took longer than the latency objective
	Attempts      int64
	Retries       int64
	Ejections     int64
	Rejected      map[Reason]int64 // requests that ended before the first attempt
	Failed        map[Reason]int64 // requests that ended after one or more attempts, or were canceled by the client
}

// Clone returns a copy that later requests do not change.
func (c Counters) Clone() Counters {
	c.Rejected = maps.Clone(c.Rejected)
	c.Failed = maps.Clone(c.Failed)
	return c
}

// pickSeed separates the random sequence of picks from that of admissions.
const pickSeed = 0x9e3779b97f4a7c15

// New returns a Dispatcher without tables and endpoints.
func New(config Config) (*Dispatcher, error) {
	if len(config.Classes) == 0 || config.MaxRequests < 1 {
		return nil, fmt.Errorf("dispatcher config has %d traffic classes and a limit of %d requests in flight, want at least 1 of each",
			len(config.Classes), config.MaxRequests)
	}
	return &Dispatcher{
		config:              config,
		picks:               randomSequence{seed: pickSeed},
		tables:              make([]table, len(config.Classes)),
		ejectedByController: map[string]bool{},
		endpoints:           map[string]Endpoint{},
		replicas:            map[string]*replicaState{},
		retryTokens:         config.RetryBudgetBurst,
		outcomes:            map[string]*OutcomeSum{},
		demand:              make([]Demand, len(config.Classes)),
		Counters:            Counters{Rejected: map[Reason]int64{}, Failed: map[Reason]int64{}},
	}, nil
}

// Class returns the index of the traffic class with the given name, or -1 if there is none.
func (d *Dispatcher) Class(name string) int {
	return slices.IndexFunc(d.config.Classes, func(class Class) bool { return class.Name == name })
}

// Drain makes the Dispatcher reject all new requests.
func (d *Dispatcher) Drain() { d.draining = true }

// InFlight returns the number of requests that have no final step yet.
func (d *Dispatcher) InFlight() int { return d.inFlight + d.queued }

// randomSequence is a sequence of random numbers. Admissions and picks have a sequence each: neighbouring numbers of one
// sequence are correlated, so a request that one draw admits would bias the draw that picks its replica.
type randomSequence struct {
	seed  uint64
	draws uint64
}

// random returns the next number of a sequence, above 0 and up to 1.
func (d *Dispatcher) random(sequence *randomSequence) float64 {
	sequence.draws++
	return control.Random(d.config.Seed^sequence.seed, sequence.draws)
}
