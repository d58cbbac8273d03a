// Package controlclient is the client side of the control protocol: a sidecar's stream to a controller, a collector that sums the
// reports of a zone's sidecars, and a sidecar's reports to it. It reads and writes messages; what an update does is up to the
// sidecar's dispatcher.
package controlclient

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lilacbend/control"
	"lilacbend/internal/dispatch"
)

// maxParts bounds the parts of one update.
const maxParts = 64

// errMalformed is the cause of a part that cannot be read. What follows it on the stream cannot be used.
var errMalformed = errors.New("malformed update")

// updateMessage is one update of a controller, put together from its parts.
type updateMessage struct {
	parts      []dispatch.Update
	wantsAck   bool
	nonce      uint64
	unfinished bool // more parts follow
}

// addPart reads one more part.
func (m *updateMessage) addPart(words []string) error {
	if len(m.parts) >= maxParts {
		return fmt.Errorf("%w: more than %d parts", errMalformed, maxParts)
	}
	if len(words) == 0 || words[0] != wordUpdate || len(words)%2 == 0 {
		return fmt.Errorf("%w: %.60q", errMalformed, strings.Join(words, " "))
	}
	m.unfinished = false
	part := partFields{}
	for k := 1; k < len(words); k += 2 {
		key, value := words[k], words[k+1]
		if err := m.setField(&part, key, value); err != nil {
			return fmt.Errorf("%w: %s=%.40q: %w", errMalformed, key, value, err)
		}
	}
	settings, err := part.settings()
	if err != nil {
		return err
	}
	part.Settings = settings
	m.parts = append(m.parts, part.Update)
	return nil
}

// partFields are the fields of one part. Admission and retry policy may come in either order.
type partFields struct {
	dispatch.Update
	admit  string
	policy string
}

// setField takes over one field of a part. Fields of later versions of the protocol are ignored.
func (m *updateMessage) setField(part *partFields, key, value string) (err error) {
	switch key {
	case keyClasses:
		part.Classes = strings.Split(value, "+")
	case keyFull:
		part.Full, err = parseFlag(value)
	case keyEndpoints:
		part.Weights, err = parseEndpoints(value)
	case keyAdmission:
		part.admit = value
	case keyRetryPolicy:
		part.policy = value
	case keyEject:
		part.Eject = strings.Split(value, ",")
	case keyUneject:
		part.Uneject = strings.Split(value, ",")
	case keyUpdateNonce:
		m.wantsAck = true
		m.nonce, err = strconv.ParseUint(value, 10, 64)
	case keyContinued:
		m.unfinished, err = parseFlag(value)
	}
	return err
}

// settings reads the admission of a part and its retry policy, which come together; nil if neither is there.
func (p partFields) settings() ([]dispatch.ClassSettings, error) {
	if (p.admit == "") != (p.policy == "") {
		return nil, fmt.Errorf("%w: admit and policy come together", errMalformed)
	}
	if p.admit == "" {
		return nil, nil
	}
	admission, admissionErr := strconv.ParseFloat(p.admit, 64)
	policy, policyErr := strconv.Atoi(p.policy)
	if errors.Join(admissionErr, policyErr) != nil {
		return nil, fmt.Errorf("%w: admit=%.40q policy=%.40q", errMalformed, p.admit, p.policy)
	}
	return []dispatch.ClassSettings{{Admission: admission, Retry: control.RetryPolicy(policy)}}, nil
}

// parseFlag reads 0 or 1.
func parseFlag(value string) (bool, error) {
	if value != "0" && value != "1" {
		return false, errors.New("neither 0 nor 1")
	}
	return value == "1", nil
}

// parseEndpoints reads id:weight pairs, joined by commas. There may be none.
func parseEndpoints(value string) (map[string]float64, error) {
	endpoints := map[string]float64{}
	if value == "" {
		return endpoints, nil
	}
	for pair := range strings.SplitSeq(value, ",") {
		id, text, found := strings.Cut(pair, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if !found || err != nil || id == "" {
			return nil, fmt.Errorf("endpoint %.40q", pair)
		}
		endpoints[id] = weight
	}
	return endpoints, nil
}
