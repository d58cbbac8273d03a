// Package restart measures what the restart of a governor costs, with and without what the one before it had
// learned. All figures are simulated.
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

// Trouble is what is wrong with some of the replicas from the tenth second on.
type Trouble struct {
	Name string
	Mood emulator.Mood
	Part float64
}

// Troubles are the ones of the standing measurement.
var Troubles = []Trouble{{"none", emulator.Well, 0}, {"silent 1/10", emulator.Silent, 0.1}, {"slow 1/10", emulator.Slow, 0.1},
	{"failing 1/10", emulator.Failing, 0.1}, {"silent 1/3", emulator.Silent, 1.0 / 3}, {"slow 1/3", emulator.Slow, 1.0 / 3}, {"failing 1/3", emulator.Failing, 1.0 / 3}}

// Memory says what the second governor is told.
type Memory int

const (
	NoRestart Memory = iota
	None
	Kept
	Old   // by two minutes, and all that was sick is well, all that was well is sick
	Wrong // fresh, but each replica's is another's
)

func (m Memory) String() string {
	return [...]string{"no restart", "without state", "with state", "state old", "state wrong"}[m]
}

const (
	hurtAt, downAt, downSpan = 10 * second, 30 * second, second / 2
	window                   = 10 * second
	halfLife                 = 60 * second
)

// Run plays one restart and counts the flows that come in the 10 s from the moment of the kill.
func Run(site emulator.Site, t Trouble, m Memory, seed int64) (emulator.Outcome, error) {
	w := emulator.New(site, seed)
	w.Up(nil)
	w.Run(hurtAt)
	chance := rand.New(rand.NewSource(seed))
	sick := chance.Perm(site.Replicas)[:int(t.Part*float64(site.Replicas)+0.5)]
	w.Change(func(k int, r *emulator.Replica) {
		if slices.Contains(sick, k) {
			r.Mood = t.Mood
		}
	})
	w.Run(downAt + chance.Int63n(5*second)) // the state was written up to 5 s before
	counted := w.Count(w.Now(), w.Now()+window)
	if m == NoRestart {
		w.Run(w.Now() + window + 5*second)
		return *counted, nil
	}
	learned := w.Learned
	w.Down()
	w.Run(w.Now() + downSpan)
	past, err := recall(w, learned, m, chance)
	if err != nil {
		return emulator.Outcome{}, err
	}
	w.Up(past)
	w.Run(w.Now() + window + 5*second)
	return *counted, nil
}

// recall takes what was learned through the form in which it is kept.
func recall(w *emulator.World, learned *learnedstate.State, m Memory, chance *rand.Rand) (*learnedstate.AgedState, error) {
	if m == None || learned == nil {
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
	kept := generation.State
	age := kept.Taken.Age(learnedstate.Timestamp{Wall: w.Now()})
	switch m {
	case Old:
		age += 2 * halfLife
		for k := range kept.Replicas {
			r := &kept.Replicas[k]
			if sick := r.EjectedFor > 0 || r.Probation; sick {
				r.EjectedFor, r.Probation = 0, false
			} else {
				r.Probation, r.Ejections = true, 1
			}
		}
	case Wrong:
		other := slices.Clone(kept.Replicas)
		for k, n := range chance.Perm(len(other)) {
			r := &kept.Replicas[k]
			r.Speed, r.SampleCount, r.EjectedFor, r.Probation, r.Ejections = other[n].Speed, other[n].SampleCount, other[n].EjectedFor, other[n].Probation, other[n].Ejections
		}
	}
	kept, _ = learnedstate.Fit(kept, learnedstate.Installation{Classes: w.Site.Names.Classes, HardwareClasses: w.Site.Names.HardwareClasses, Proxies: w.Site.Proxies}, age, halfLife)
	return learnedstate.NewAgedState(kept, w.Now(), age, halfLife), nil
}
