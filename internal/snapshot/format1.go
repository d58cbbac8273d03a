package snapshot

import (
	"maps"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// body1 is the body of format 1, which can be read but is no longer written. It has one request rate for each proxy, and no
// bindings and no placement keys.
type body1 struct {
	Controller            string             `cbor:"1,keyasint"`
	Wall                  int64              `cbor:"2,keyasint"`
	Revision              int64              `cbor:"3,keyasint"`
	Replicas              []replica1         `cbor:"4,keyasint"`
	RequestRates          map[int]float64    `cbor:"5,keyasint"` // by proxy
	BaselineResponseTimes map[string]float64 `cbor:"6,keyasint"` // by hardware class
	Classes               []string           `cbor:"7,keyasint"`
	AdmissionThreshold    float64            `cbor:"8,keyasint"`
}

type replica1 struct {
	ID              string  `cbor:"1,keyasint"`
	Zone            string  `cbor:"2,keyasint"`
	HardwareClass   string  `cbor:"3,keyasint"`
	UpSince         int64   `cbor:"4,keyasint"`
	Weight          float64 `cbor:"5,keyasint"`
	Draining        bool    `cbor:"6,keyasint,omitempty"`
	Speed           float64 `cbor:"7,keyasint"`
	SampleCount     float64 `cbor:"8,keyasint"`
	Health          string  `cbor:"9,keyasint,omitempty"` // ejected1, probation1 or empty
	Ejections       int     `cbor:"10,keyasint,omitempty"`
	SinceLastSample int64   `cbor:"11,keyasint,omitempty"`
}

// Health of a replica in format 1; empty: healthy.
const (
	ejected1   = "sick"
	probation1 = "trial"
)

// format1EjectionTime replaces the remaining time of an ejection, which format 1 lacks: the shortest ejection, in
// nanoseconds.
const format1EjectionTime = int64(3 * 1e9)

// state returns the state that the body holds. A proxy's request rate is divided evenly among the traffic classes.
func (b body1) state() learnedstate.State {
	state := learnedstate.State{
		Controller:         b.Controller,
		TakenAt:            learnedstate.Timestamp{Wall: b.Wall},
		Revision:           b.Revision,
		Classes:            b.Classes,
		AdmissionThreshold: b.AdmissionThreshold,
	}
	for _, r := range b.Replicas {
		state.Replicas = append(state.Replicas, r.replica())
	}
	for _, class := range slices.Sorted(maps.Keys(b.BaselineResponseTimes)) {
		times := []float64{b.BaselineResponseTimes[class]}
		state.BaselineResponseTimes = append(state.BaselineResponseTimes, learnedstate.ResponseTimes{HardwareClass: class, Times: times})
	}
	for _, proxy := range slices.Sorted(maps.Keys(b.RequestRates)) {
		rate := b.RequestRates[proxy] / float64(len(b.Classes))
		for _, class := range b.Classes {
			state.RequestRates = append(state.RequestRates, learnedstate.RequestRate{Proxy: proxy, Class: class, Rate: rate})
		}
	}
	return state
}

func (r replica1) replica() learnedstate.Replica {
	replica := learnedstate.Replica{
		ID:              r.ID,
		Zone:            r.Zone,
		HardwareClass:   r.HardwareClass,
		StartedAt:       r.UpSince,
		ListedWeight:    r.Weight,
		Speed:           r.Speed,
		SampleCount:     r.SampleCount,
		Probation:       r.Health == probation1,
		EjectionCount:   r.Ejections,
		SinceLastSample: r.SinceLastSample,
	}
	if r.Draining {
		replica.State = control.Draining
	}
	if r.Health == ejected1 {
		replica.RemainingEjection = format1EjectionTime
	}
	return replica
}
