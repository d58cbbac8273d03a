// Package restart measures the cost of a controller's restart, with and without the state that was learned before it. All
// results are simulated.
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

// Scenario is the fault of some replicas from the tenth second on.
type Scenario struct {
	Name     string
	Fault    emulator.ReplicaFault
	Fraction float64 // of the replicas
}

// Scenarios are the faults of the standard measurement.
var Scenarios = []Scenario{
	{"none", emulator.NoFault, 0},
	{"silent 1/10", emulator.Unresponsive, 0.1},
	{"slow 1/10", emulator.Slow, 0.1},
	{"failing 1/10", emulator.Failing, 0.1},
	{"silent 1/3", emulator.Unresponsive, 1.0 / 3},
	{"slow 1/3", emulator.Slow, 1.0 / 3},
	{"failing 1/3", emulator.Failing, 1.0 / 3},
}

// StateKind is the state that the restarted controller receives.
type StateKind int

// Kinds of state.
const (
	NoRestart  StateKind = iota // the controller does not restart
	NoState                     // no state
	KeptState                   // the learned state
	OldState                    // two minutes old, with all ejected replicas healthy and all healthy ones on probation
	WrongState                  // the learned state with that of replicas exchanged
)

// String returns the name in tables.
func (m StateKind) String() string {
	return [...]string{"no restart", "without state", "with state", "state old", "state wrong"}[m]
}

const (
	faultAt     = 10 * second
	restartAt   = 30 * second
	restartTime = second / 2
	// snapshotInterval is how old the learned state may be at the restart.
	snapshotInterval = 5 * second
	// window is how long requests are counted, from the restart on, and settleTime how long they may take after it.
	window     = 10 * second
	settleTime = 5 * second
	halfLife   = 60 * second
)

// Run simulates one restart and counts the requests that arrive in the window from the restart on.
func Run(site emulator.Site, trouble Scenario, memory StateKind, seed int64) (emulator.OutcomeCounts, error) {
	simulation := emulator.New(site, seed)
	simulation.Start(nil)
	simulation.Run(faultAt)
	random := rand.New(rand.NewSource(seed))
	faulty := random.Perm(site.Replicas)[:int(trouble.Fraction*float64(site.Replicas)+0.5)]
	simulation.ChangeReplicas(func(k int, r *emulator.Replica) {
		if slices.Contains(faulty, k) {
			r.Fault = trouble.Fault
		}
	})
	simulation.Run(restartAt + random.Int63n(snapshotInterval))
	counted := simulation.CountOutcomes(simulation.Now(), simulation.Now()+window)
	if memory == NoRestart {
		simulation.Run(simulation.Now() + window + settleTime)
		return *counted, nil
	}
	learned := simulation.LearnedState
	simulation.Stop()
	simulation.Run(simulation.Now() + restartTime)
	restored, err := restore(simulation, learned, memory, random)
	if err != nil {
		return emulator.OutcomeCounts{}, err
	}
	simulation.Start(restored)
	simulation.Run(simulation.Now() + window + settleTime)
	return *counted, nil
}

// restore encodes and decodes the learned state as a snapshot, and changes it as the kind of state says.
func restore(simulation *emulator.Simulation, learned *learnedstate.State, memory StateKind, random *rand.Rand) (*learnedstate.AgedState, error) {
	if memory == NoState || learned == nil {
		return nil, nil
	}
	raw, err := snapshot.Encode(*learned, 1)
	if err != nil {
		return nil, err
	}
	generation, err := snapshot.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("what was kept is not read: %w", err)
	}
	state := generation.State
	age := state.Taken.Age(learnedstate.Timestamp{Wall: simulation.Now()})
	switch memory {
	case OldState:
		age += 2 * halfLife
		invertHealth(state.Replicas)
	case WrongState:
		exchangeReplicas(state.Replicas, random)
	}
	names := simulation.Site.Names
	installation := learnedstate.Installation{Classes: names.Classes, HardwareClasses: names.HardwareClasses, Proxies: simulation.Site.Proxies}
	fitted, _ := learnedstate.Fit(state, installation, age, halfLife)
	return learnedstate.NewAgedState(fitted, simulation.Now(), age, halfLife), nil
}

// invertHealth makes ejected replicas healthy, and puts healthy ones on probation.
func invertHealth(replicas []learnedstate.Replica) {
	for k := range replicas {
		r := &replicas[k]
		if r.EjectedFor > 0 || r.Probation {
			r.EjectedFor = 0
			r.Probation = false
			continue
		}
		r.Probation = true
		r.Ejections = 1
	}
}

// exchangeReplicas gives each replica the learned state of another one.
func exchangeReplicas(replicas []learnedstate.Replica, random *rand.Rand) {
	originals := slices.Clone(replicas)
	for k, n := range random.Perm(len(originals)) {
		r := &replicas[k]
		other := originals[n]
		r.Speed = other.Speed
		r.SampleCount = other.SampleCount
		r.EjectedFor = other.EjectedFor
		r.Probation = other.Probation
		r.Ejections = other.Ejections
	}
}
