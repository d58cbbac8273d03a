package snapshot

import (
	"maps"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// body2 is the body of format 2, encoded as CBOR in a generation's file and as JSON in an export.
type body2 struct {
	Controller            string            `cbor:"1,keyasint" json:"governor"`
	Wall                  int64             `cbor:"2,keyasint" json:"taken_ns"`
	Boot                  string            `cbor:"3,keyasint,omitempty" json:"boot"`
	Up                    int64             `cbor:"4,keyasint,omitempty" json:"up_ns"`
	Revision              int64             `cbor:"5,keyasint" json:"revision"`
	Classes               []string          `cbor:"6,keyasint" json:"groups"`
	Replicas              []replica2        `cbor:"7,keyasint" json:"replicas"`
	BaselineResponseTimes []responseTimes2  `cbor:"8,keyasint" json:"calm"`
	RequestRates          map[int][]float64 `cbor:"9,keyasint" json:"flows"`  // by proxy, in the order of Classes
	Bindings              map[int]int       `cbor:"10,keyasint" json:"seats"` // table number by proxy
	Tables                int               `cbor:"11,keyasint" json:"tables"`
	AdmissionThreshold    float64           `cbor:"12,keyasint" json:"line"`
	MaxSuccessRate        float64           `cbor:"13,keyasint" json:"served"`
	RetriesStopped        bool              `cbor:"14,keyasint,omitempty" json:"once"`
}

type replica2 struct {
	ID              string  `cbor:"1,keyasint" json:"id"`
	Zone            string  `cbor:"2,keyasint" json:"zone"`
	HardwareClass   string  `cbor:"3,keyasint" json:"kind"`
	UpSince         int64   `cbor:"4,keyasint,omitempty" json:"up_since_ns"`
	State           int     `cbor:"5,keyasint,omitempty" json:"state"`
	Weight          float64 `cbor:"6,keyasint" json:"size"`
	Speed           float64 `cbor:"7,keyasint" json:"speed"`
	SampleCount     float64 `cbor:"8,keyasint" json:"evidence"`
	PlacementKey    float64 `cbor:"9,keyasint" json:"ticket"`
	Table           int     `cbor:"10,keyasint,omitempty" json:"table"`
	EjectedFor      int64   `cbor:"11,keyasint,omitempty" json:"rest_ns"`
	Probation       bool    `cbor:"12,keyasint,omitempty" json:"trial"`
	Ejections       int     `cbor:"13,keyasint,omitempty" json:"relapses"`
	SinceLastSample int64   `cbor:"14,keyasint,omitempty" json:"idle_ns"`
}

type responseTimes2 struct {
	HardwareClass string    `cbor:"1,keyasint" json:"kind"`
	Times         []float64 `cbor:"2,keyasint" json:"answers_s"`
}

// newBody2 returns the body that holds a state.
func newBody2(state learnedstate.State) body2 {
	body := body2{
		Controller:         state.Controller,
		Wall:               state.TakenAt.Wall,
		Boot:               state.TakenAt.Boot,
		Up:                 state.TakenAt.Uptime,
		Revision:           state.Revision,
		Classes:            state.Classes,
		Replicas:           make([]replica2, 0, len(state.Replicas)),
		RequestRates:       newRequestRates2(state),
		Bindings:           map[int]int{},
		Tables:             state.TableCount,
		AdmissionThreshold: state.AdmissionThreshold,
		MaxSuccessRate:     state.MaxSuccessRate,
		RetriesStopped:     state.RetriesStopped,
	}
	for _, r := range state.Replicas {
		body.Replicas = append(body.Replicas, newReplica2(r))
	}
	for _, r := range state.BaselineResponseTimes {
		body.BaselineResponseTimes = append(body.BaselineResponseTimes, responseTimes2(r))
	}
	for _, b := range state.Bindings {
		body.Bindings[b.Proxy] = b.Table
	}
	return body
}

func newReplica2(r learnedstate.Replica) replica2 {
	return replica2{
		ID:              r.ID,
		Zone:            r.Zone,
		HardwareClass:   r.HardwareClass,
		UpSince:         r.StartedAt,
		State:           int(r.State),
		Weight:          r.ListedWeight,
		Speed:           r.Speed,
		SampleCount:     r.SampleCount,
		PlacementKey:    r.PlacementKey,
		Table:           r.Table,
		EjectedFor:      r.RemainingEjection,
		Probation:       r.Probation,
		Ejections:       r.EjectionCount,
		SinceLastSample: r.SinceLastSample,
	}
}

// newRequestRates2 returns the request rates by proxy, in the order of the traffic classes. They are rounded to float32,
// whose precision is sufficient for a rate.
func newRequestRates2(state learnedstate.State) map[int][]float64 {
	classIndex := map[string]int{}
	for index, class := range state.Classes {
		classIndex[class] = index
	}
	rates := map[int][]float64{}
	for _, r := range state.RequestRates {
		index, known := classIndex[r.Class]
		if !known {
			continue
		}
		if rates[r.Proxy] == nil {
			rates[r.Proxy] = make([]float64, len(state.Classes))
		}
		rates[r.Proxy][index] = float64(float32(r.Rate))
	}
	return rates
}

// state returns the state that the body holds.
func (b body2) state() learnedstate.State {
	state := learnedstate.State{
		Controller:         b.Controller,
		TakenAt:            learnedstate.Timestamp{Wall: b.Wall, Boot: b.Boot, Uptime: b.Up},
		Revision:           b.Revision,
		Classes:            b.Classes,
		RequestRates:       b.requestRates(),
		TableCount:         b.Tables,
		AdmissionThreshold: b.AdmissionThreshold,
		MaxSuccessRate:     b.MaxSuccessRate,
		RetriesStopped:     b.RetriesStopped,
	}
	for _, r := range b.Replicas {
		state.Replicas = append(state.Replicas, r.replica())
	}
	for _, r := range b.BaselineResponseTimes {
		state.BaselineResponseTimes = append(state.BaselineResponseTimes, learnedstate.ResponseTimes(r))
	}
	for _, proxy := range slices.Sorted(maps.Keys(b.Bindings)) {
		state.Bindings = append(state.Bindings, control.Binding{Proxy: proxy, Table: b.Bindings[proxy]})
	}
	return state
}

func (b body2) requestRates() []learnedstate.RequestRate {
	var rates []learnedstate.RequestRate
	for _, proxy := range slices.Sorted(maps.Keys(b.RequestRates)) {
		for index, rate := range b.RequestRates[proxy] {
			if index < len(b.Classes) && rate != 0 {
				rates = append(rates, learnedstate.RequestRate{Proxy: proxy, Class: b.Classes[index], Rate: rate})
			}
		}
	}
	return rates
}

func (r replica2) replica() learnedstate.Replica {
	return learnedstate.Replica{
		ID:                r.ID,
		Zone:              r.Zone,
		HardwareClass:     r.HardwareClass,
		StartedAt:         r.UpSince,
		State:             control.State(r.State),
		ListedWeight:      r.Weight,
		Speed:             r.Speed,
		SampleCount:       r.SampleCount,
		PlacementKey:      r.PlacementKey,
		Table:             r.Table,
		RemainingEjection: r.EjectedFor,
		Probation:         r.Probation,
		EjectionCount:     r.Ejections,
		SinceLastSample:   r.SinceLastSample,
	}
}
