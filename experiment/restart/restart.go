// Package restart measures how a restart of the controller affects requests, with and without the state learned before the
// restart. All results are simulated.
package restart

import (
	"fmt"
	"math/rand"
	"slices"

	"lilacbend/experiment/emulator"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/snapshot"
)

const second = int64(1e9)

// Scenario is a fault that affects a fraction of the replicas and starts at faultTime.
type Scenario struct {
	Name     string
	Fault    emulator.ReplicaFault
	Fraction float64 // fraction of the replicas that have the fault
}

// Scenarios are the scenarios of the standard measurement.
var Scenarios = []Scenario{
	{"none", emulator.NoFault, 0},
	{"silent 1/10", emulator.Unresponsive, 0.1},
	{"slow 1/10", emulator.Slow, 0.1},
	{"failing 1/10", emulator.Failing, 0.1},
	{"silent 1/3", emulator.Unresponsive, 1.0 / 3},
	{"slow 1/3", emulator.Slow, 1.0 / 3},
	{"failing 1/3", emulator.Failing, 1.0 / 3},
}

// StateKind is the kind of learned state that the restarted controller receives.
type StateKind int

// Kinds of learned state.
const (
	NoRestart  StateKind = iota // the controller does not restart
	NoState                     // no state
	KeptState                   // the state learned before the restart
	OldState                    // state two minutes older; ejected replicas are healthy, and healthy ones are on probation
	WrongState                  // the learned state, with the entries of the replicas exchanged at random
)

// String returns the name of the kind in tables of results.
func (k StateKind) String() string {
	return [...]string{"no restart", "without state", "with state", "state old", "state wrong"}[k]
}

const (
	faultTime      = 10 * second
	minRestartTime = 30 * second
	downtime       = second / 2
	// snapshotInterval is the time between two snapshots of the learned state. A controller stops at a random time within
	// an interval, so that the latest snapshot is at most this old.
	snapshotInterval = 5 * second
	// window is the time after the restart in which arriving requests are counted. settleTime is the time after the
	// window in which these requests may finish.
	window     = 10 * second
	settleTime = 5 * second
	halfLife   = 60 * second
)

// Run simulates one restart, and counts the requests that arrive within the window after it by outcome.
func Run(site emulator.Site, scenario Scenario, kind StateKind, seed int64) (emulator.OutcomeCounts, error) {
	simulation := emulator.New(site, seed)
	simulation.Start(nil)
	simulation.Run(faultTime)
	random := rand.New(rand.NewSource(seed))
	faulty := random.Perm(site.Replicas)[:int(scenario.Fraction*float64(site.Replicas)+0.5)]
	simulation.ChangeReplicas(func(k int, r *emulator.Replica) {
		if slices.Contains(faulty, k) {
			r.Fault = scenario.Fault
		}
	})
	simulation.Run(minRestartTime + random.Int63n(snapshotInterval))
	counted := simulation.CountOutcomes(simulation.Now(), simulation.Now()+window)
	if kind == NoRestart {
		simulation.Run(simulation.Now() + window + settleTime)
		return *counted, nil
	}
	learned := simulation.LearnedState
	simulation.Stop()
	simulation.Run(simulation.Now() + downtime)
	restored, err := restore(simulation, learned, kind, random)
	if err != nil {
		return emulator.OutcomeCounts{}, err
	}
	simulation.Start(restored)
	simulation.Run(simulation.Now() + window + settleTime)
	return *counted, nil
}

// restore encodes and decodes the learned state as a snapshot, and changes it according to the kind of state. It returns nil
// if there is no state.
func restore(simulation *emulator.Simulation, learned *learnedstate.State, kind StateKind, random *rand.Rand) (*learnedstate.AgedState, error) {
	if kind == NoState || learned == nil {
		return nil, nil
	}
	raw, err := snapshot.Encode(*learned, 1)
	if err != nil {
		return nil, err
	}
	generation, err := snapshot.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("decoding the encoded snapshot: %w", err)
	}
	state := generation.State
	age := state.TakenAt.Age(learnedstate.Timestamp{Wall: simulation.Now()})
	switch kind {
	case OldState:
		age += 2 * halfLife
		invertHealth(state.Replicas)
	case WrongState:
		shuffleReplicaState(state.Replicas, random)
	}
	names := simulation.Site.Names
	installation := learnedstate.Installation{Classes: names.Classes, HardwareClasses: names.HardwareClasses, ProxyCount: simulation.Site.Proxies}
	restricted, _ := learnedstate.Restrict(state, installation, age, halfLife)
	return learnedstate.NewAgedState(restricted, simulation.Now(), age, halfLife), nil
}

// invertHealth marks replicas healthy that are ejected or on probation, and puts healthy ones on probation.
func invertHealth(replicas []learnedstate.Replica) {
	for k := range replicas {
		r := &replicas[k]
		if r.RemainingEjection > 0 || r.Probation {
			r.RemainingEjection = 0
			r.Probation = false
			continue
		}
		r.Probation = true
		r.EjectionCount = 1
	}
}

// shuffleReplicaState exchanges the learned state of the replicas at random.
func shuffleReplicaState(replicas []learnedstate.Replica, random *rand.Rand) {
	originals := slices.Clone(replicas)
	for k, n := range random.Perm(len(originals)) {
		r := &replicas[k]
		other := originals[n]
		r.Speed = other.Speed
		r.SampleCount = other.SampleCount
		r.RemainingEjection = other.RemainingEjection
		r.Probation = other.Probation
		r.EjectionCount = other.EjectionCount
	}
}
