// Package controlclient is the client side of the control protocol: a sidecar's stream to a controller, the collector that
// sums the reports of a zone's sidecars, and a sidecar's reports to a collector. The package reads and writes messages; the
// sidecar's dispatcher applies the updates.
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

// errMalformed is returned for a part of an update that cannot be parsed. Later messages of the same stream cannot be used.
var errMalformed = errors.New("malformed update")

// updateMessage is one update of a controller, assembled from its parts.
type updateMessage struct {
	parts      []dispatch.UpdatePart
	wantsAck   bool
	nonce      uint64
	unfinished bool // more parts of the update follow
}

// addPart parses the next part of the update.
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
	m.parts = append(m.parts, part.UpdatePart)
	return nil
}

// partFields are the fields of one part of an update. Admission and retry policy may come in either order.
type partFields struct {
	dispatch.UpdatePart
	admission   string
	retryPolicy string
}

// setField parses one field of a part of an update. Unknown fields are ignored, since later versions of the protocol may add
// fields.
func (m *updateMessage) setField(part *partFields, key, value string) (err error) {
	switch key {
	case keyClasses:
		part.Classes = strings.Split(value, "+")
	case keyFull:
		part.Replace, err = parseFlag(value)
	case keyEndpoints:
		part.Weights, err = parseEndpoints(value)
	case keyAdmission:
		part.admission = value
	case keyRetryPolicy:
		part.retryPolicy = value
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

// settings parses the admission and the retry policy of a part of an update. A part must have both or neither; without them
// the result is nil.
func (p partFields) settings() ([]dispatch.ClassSettings, error) {
	if (p.admission == "") != (p.retryPolicy == "") {
		return nil, fmt.Errorf("%w: admit and policy come together", errMalformed)
	}
	if p.admission == "" {
		return nil, nil
	}
	admission, admissionErr := strconv.ParseFloat(p.admission, 64)
	policy, policyErr := strconv.Atoi(p.retryPolicy)
	if errors.Join(admissionErr, policyErr) != nil {
		return nil, fmt.Errorf("%w: admit=%.40q policy=%.40q", errMalformed, p.admission, p.retryPolicy)
	}
	return []dispatch.ClassSettings{{Admission: admission, Retry: control.RetryPolicy(policy)}}, nil
}

// parseFlag parses a flag, which is 0 or 1.
func parseFlag(value string) (bool, error) {
	if value != "0" && value != "1" {
		return false, errors.New("neither 0 nor 1")
	}
	return value == "1", nil
}

// parseEndpoints parses id:weight pairs, separated by commas. The list may be empty.
func parseEndpoints(value string) (map[string]float64, error) {
	endpoints := map[string]float64{}
	if value == "" {
		return endpoints, nil
	}
	for pair := range strings.SplitSeq(value, ",") {
		id, weightText, found := strings.Cut(pair, ":")
		weight, err := strconv.ParseFloat(weightText, 64)
		if !found || err != nil || id == "" {
			return nil, fmt.Errorf("endpoint %.40q", pair)
		}
		endpoints[id] = weight
	}
	return endpoints, nil
}
