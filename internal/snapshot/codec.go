package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

// A generation is a head of 40 bytes, whose layout holds for all formats, and a body in CBOR:
//
//	0  magic "LILACST\n"     8  format     12  length of the body    16  generation
//	24 xxhash64 of the body  32 xxhash64 of bytes 0 to 31            (numbers big-endian)
//
// The head has a sum of its own, so that a flipped byte is never taken for a newer format.
const (
	magic    = "LILACST\n"
	headSize = 40
	// Format is what is written; from oldest on all are read.
	Format, oldest = 2, 1
	// A site of 1,000 replicas and 10,000 proxies takes 0.7 MB. More than this is nobody's, and would
	// have to be held, up to eight times as large, beside a governor that may have 32 MB in all.
	fileMost = 2 << 20
)

var (
	// ErrDamaged: the file is not as it was written: torn, or a byte of it has changed.
	ErrDamaged = errors.New("damaged")
	// ErrNewer: a newer program wrote it.
	ErrNewer = errors.New("of a newer format")
	// ErrNotSnapshot: it is no file of ours.
	ErrNotSnapshot = errors.New("no state of a governor")
	// ErrTooLarge: it is larger than any that was written.
	ErrTooLarge = errors.New("too large")
)

// body1 is format 1: flows by proxy alone, no seats, verdicts as a word.
type body1 struct {
	Governor           string             `cbor:"1,keyasint"`
	Wall               int64              `cbor:"2,keyasint"`
	Revision           int64              `cbor:"3,keyasint"`
	Replicas           []replica1         `cbor:"4,keyasint"`
	Rates              map[int]float64    `cbor:"5,keyasint"`
	UsualResponses     map[string]float64 `cbor:"6,keyasint"`
	Classes            []string           `cbor:"7,keyasint"`
	AdmissionThreshold float64            `cbor:"8,keyasint"`
}

type replica1 struct {
	ID              string  `cbor:"1,keyasint"`
	Zone            string  `cbor:"2,keyasint"`
	Kind            string  `cbor:"3,keyasint"`
	UpSince         int64   `cbor:"4,keyasint"`
	Weight          float64 `cbor:"5,keyasint"`
	Draining        bool    `cbor:"6,keyasint,omitempty"`
	Speed           float64 `cbor:"7,keyasint"`
	SampleCount     float64 `cbor:"8,keyasint"`
	Verdict         string  `cbor:"9,keyasint,omitempty"` // empty, sick or trial
	Ejections       int     `cbor:"10,keyasint,omitempty"`
	SinceLastSample int64   `cbor:"11,keyasint,omitempty"`
}

// body2 is format 2.
type body2 struct {
	Governor           string            `cbor:"1,keyasint" json:"governor"`
	Wall               int64             `cbor:"2,keyasint" json:"taken_ns"`
	Boot               string            `cbor:"3,keyasint,omitempty" json:"boot"`
	Up                 int64             `cbor:"4,keyasint,omitempty" json:"up_ns"`
	Revision           int64             `cbor:"5,keyasint" json:"revision"`
	Classes            []string          `cbor:"6,keyasint" json:"groups"`
	Replicas           []replica2        `cbor:"7,keyasint" json:"replicas"`
	UsualResponses     []responses2      `cbor:"8,keyasint" json:"calm"`
	Usage              map[int][]float64 `cbor:"9,keyasint" json:"flows"` // flows a second by proxy, in the order of Classes
	Bindings           map[int]int       `cbor:"10,keyasint" json:"seats"`
	Tables             int               `cbor:"11,keyasint" json:"tables"`
	AdmissionThreshold float64           `cbor:"12,keyasint" json:"line"`
	MaxSuccessRate     float64           `cbor:"13,keyasint" json:"served"`
	RetriesStopped     bool              `cbor:"14,keyasint,omitempty" json:"once"`
}

type replica2 struct {
	ID              string  `cbor:"1,keyasint" json:"id"`
	Zone            string  `cbor:"2,keyasint" json:"zone"`
	Kind            string  `cbor:"3,keyasint" json:"kind"`
	UpSince         int64   `cbor:"4,keyasint,omitempty" json:"up_since_ns"`
	State           int     `cbor:"5,keyasint,omitempty" json:"state"`
	Weight          float64 `cbor:"6,keyasint" json:"size"`
	Speed           float64 `cbor:"7,keyasint" json:"speed"`
	SampleCount     float64 `cbor:"8,keyasint" json:"evidence"`
	Ticket          float64 `cbor:"9,keyasint" json:"ticket"`
	Table           int     `cbor:"10,keyasint,omitempty" json:"table"`
	EjectedFor      int64   `cbor:"11,keyasint,omitempty" json:"rest_ns"`
	Probation       bool    `cbor:"12,keyasint,omitempty" json:"trial"`
	Ejections       int     `cbor:"13,keyasint,omitempty" json:"relapses"`
	SinceLastSample int64   `cbor:"14,keyasint,omitempty" json:"idle_ns"`
}

type responses2 struct {
	HardwareClass string    `cbor:"1,keyasint" json:"kind"`
	Times         []float64 `cbor:"2,keyasint" json:"answers_s"`
}

var (
	writes = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16}.EncMode())
	// A body may name little more than a memory may hold, so that a crafted length asks for nothing.
	reads = must(cbor.DecOptions{MaxArrayElements: 2 * learnedstate.MaxReplicas, MaxMapPairs: 4 * learnedstate.MaxReplicas, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}

// Encode writes a memory as a generation.
func Encode(m learnedstate.State, generation uint64) ([]byte, error) {
	return seal(bodyOf(m), Format, generation)
}

func bodyOf(m learnedstate.State) body2 {
	b := body2{Governor: m.Controller, Wall: m.Taken.Wall, Boot: m.Taken.Boot, Up: m.Taken.Up, Revision: m.Revision,
		Classes: m.Classes, Tables: m.Tables, AdmissionThreshold: m.AdmissionThreshold, MaxSuccessRate: m.MaxSuccessRate, RetriesStopped: m.RetriesStopped,
		Replicas: make([]replica2, 0, len(m.Replicas)), Usage: map[int][]float64{}, Bindings: map[int]int{}}
	for _, r := range m.Replicas {
		b.Replicas = append(b.Replicas, replica2{r.ID, r.Zone, r.HardwareClass, r.UpSince, int(r.State), r.Weight, r.Speed,
			r.SampleCount, r.PlacementKey, r.Table, r.EjectedFor, r.Probation, r.Ejections, r.SinceLastSample})
	}
	for _, c := range m.BaselineResponseTimes {
		b.UsualResponses = append(b.UsualResponses, responses2(c))
	}
	order := map[string]int{}
	for k, g := range m.Classes {
		order[g] = k
	}
	for _, u := range m.RequestRates {
		if k, ok := order[u.Class]; ok {
			if b.Usage[u.Proxy] == nil {
				b.Usage[u.Proxy] = make([]float64, len(m.Classes))
			}
			b.Usage[u.Proxy][k] = float64(float32(u.Rate)) // more digits say nothing of a rate
		}
	}
	for _, s := range m.Bindings {
		b.Bindings[s.Proxy] = s.Table
	}
	return b
}

func seal(b any, format uint32, generation uint64) ([]byte, error) {
	raw, err := writes.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encoding generation %d: %w", generation, err)
	}
	if len(raw)+headSize > fileMost {
		return nil, fmt.Errorf("generation %d has %d bytes: %w", generation, len(raw), ErrTooLarge)
	}
	head := make([]byte, 0, headSize+len(raw))
	head = append(head, magic...)
	head = binary.BigEndian.AppendUint32(head, format)
	head = binary.BigEndian.AppendUint32(head, uint32(len(raw)))
	head = binary.BigEndian.AppendUint64(head, generation)
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(raw))
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(head))
	return append(head, raw...), nil
}

// Decode reads a generation that is whole, or says what it is instead: ErrStrange, ErrDamaged, ErrNewer or
// ErrTooLarge.
func Decode(raw []byte) (m learnedstate.State, generation uint64, format int, err error) {
	body, generation, format, err := open(raw)
	if err != nil {
		return m, generation, format, err
	}
	if format == 1 {
		m, err = first(body)
	} else {
		m, err = second(body)
	}
	if err != nil {
		return learnedstate.State{}, generation, format, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return m, generation, format, nil
}

// open checks that a file is as it was written, and does not read its body.
func open(raw []byte) (body []byte, generation uint64, format int, err error) {
	switch {
	case len(raw) > fileMost:
		return nil, 0, 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(raw), fileMost)
	case len(raw) < len(magic) || string(raw[:len(magic)]) != magic:
		return nil, 0, 0, fmt.Errorf("%w: it does not begin as one", ErrNotSnapshot)
	case len(raw) < headSize:
		return nil, 0, 0, fmt.Errorf("%w: ends after %d of %d bytes of its head", ErrDamaged, len(raw), headSize)
	case xxhash.Sum64(raw[:headSize-8]) != binary.BigEndian.Uint64(raw[headSize-8:]):
		return nil, 0, 0, fmt.Errorf("%w: the sum of its head does not hold", ErrDamaged)
	}
	format, length := int(binary.BigEndian.Uint32(raw[8:])), int(binary.BigEndian.Uint32(raw[12:]))
	generation = binary.BigEndian.Uint64(raw[16:])
	body = raw[headSize:]
	switch {
	case length != len(body):
		return nil, generation, format, fmt.Errorf("%w: %d bytes where the head tells %d", ErrDamaged, len(body), length)
	case xxhash.Sum64(body) != binary.BigEndian.Uint64(raw[24:]):
		return nil, generation, format, fmt.Errorf("%w: the sum of its body does not hold", ErrDamaged)
	case format > Format:
		return nil, generation, format, fmt.Errorf("%w: %d, this program reads %d to %d", ErrNewer, format, oldest, Format)
	case format < oldest:
		return nil, generation, format, fmt.Errorf("%w: format %d", ErrNotSnapshot, format)
	}
	return body, generation, format, nil
}

func second(body []byte) (m learnedstate.State, err error) {
	var b body2
	if err := reads.Unmarshal(body, &b); err != nil {
		return m, err
	}
	return b.memory()
}

func (b body2) memory() (learnedstate.State, error) {
	m := learnedstate.State{Controller: b.Governor, Taken: learnedstate.Timestamp{Wall: b.Wall, Boot: b.Boot, Up: b.Up}, Revision: b.Revision,
		Classes: b.Classes, Tables: b.Tables, AdmissionThreshold: b.AdmissionThreshold, MaxSuccessRate: b.MaxSuccessRate, RetriesStopped: b.RetriesStopped}
	for _, r := range b.Replicas {
		m.Replicas = append(m.Replicas, learnedstate.Replica{ID: r.ID, Zone: r.Zone, HardwareClass: r.Kind, UpSince: r.UpSince,
			State: control.State(r.State), Weight: r.Weight, Speed: r.Speed, SampleCount: r.SampleCount, PlacementKey: r.Ticket, Table: r.Table,
			EjectedFor: r.EjectedFor, Probation: r.Probation, Ejections: r.Ejections, SinceLastSample: r.SinceLastSample})
	}
	for _, c := range b.UsualResponses {
		m.BaselineResponseTimes = append(m.BaselineResponseTimes, learnedstate.ResponseTimes(c))
	}
	for _, proxy := range sortedKeys(b.Usage) {
		for k, rate := range b.Usage[proxy] {
			if k < len(b.Classes) && rate != 0 {
				m.RequestRates = append(m.RequestRates, learnedstate.RequestRate{Proxy: proxy, Class: b.Classes[k], Rate: rate})
			}
		}
	}
	for _, proxy := range sortedKeys(b.Bindings) {
		m.Bindings = append(m.Bindings, control.Binding{Proxy: proxy, Table: b.Bindings[proxy]})
	}
	return m, bounded(m)
}

// first reads format 1. It had one rate a proxy, which is taken as shared evenly by the groups; a rest left was
// not told, and a sick replica gets the shortest; tickets were not told, so that tables are drawn anew.
func first(body []byte) (m learnedstate.State, err error) {
	var b body1
	if err := reads.Unmarshal(body, &b); err != nil {
		return m, err
	}
	m = learnedstate.State{Controller: b.Governor, Taken: learnedstate.Timestamp{Wall: b.Wall}, Revision: b.Revision, Classes: b.Classes, AdmissionThreshold: b.AdmissionThreshold}
	for _, r := range b.Replicas {
		n := learnedstate.Replica{ID: r.ID, Zone: r.Zone, HardwareClass: r.Kind, UpSince: r.UpSince, Weight: r.Weight, Speed: r.Speed,
			SampleCount: r.SampleCount, Ejections: r.Ejections, SinceLastSample: r.SinceLastSample, Probation: r.Verdict == "trial"}
		if r.Draining {
			n.State = control.Draining
		}
		if r.Verdict == "sick" {
			n.EjectedFor = firstEjection
		}
		m.Replicas = append(m.Replicas, n)
	}
	for _, kind := range sortedKeys(b.UsualResponses) {
		m.BaselineResponseTimes = append(m.BaselineResponseTimes, learnedstate.ResponseTimes{HardwareClass: kind, Times: []float64{b.UsualResponses[kind]}})
	}
	for _, proxy := range sortedKeys(b.Rates) {
		for _, g := range b.Classes {
			m.RequestRates = append(m.RequestRates, learnedstate.RequestRate{Proxy: proxy, Class: g, Rate: b.Rates[proxy] / float64(len(b.Classes))})
		}
	}
	return m, bounded(m)
}

// firstEjection stands for the rest that format 1 did not tell.
const firstEjection = int64(3 * 1e9)

func bounded(m learnedstate.State) error {
	if len(m.Replicas) > learnedstate.MaxReplicas || len(m.RequestRates) > learnedstate.MaxRequestRates || len(m.BaselineResponseTimes) > learnedstate.MaxNames ||
		len(m.Classes) > learnedstate.MaxNames || m.Taken.Wall < math.MinInt64/2 || m.Taken.Wall > math.MaxInt64/2 {
		return fmt.Errorf("%d replicas, %d flows of proxies, %d groups: more than there can be", len(m.Replicas), len(m.RequestRates), len(m.Classes))
	}
	return nil
}
