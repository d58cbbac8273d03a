package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"lilacbend/control"
	"lilacbend/internal/governor"
)

// nameMost is the longest name of a replica that fits the messages to proxies with room to spare.
const nameMost = 128

// answer is the list in discovery's words.
type answer struct {
	Revision *int64    `json:"revision"`
	Complete *bool     `json:"complete"`
	Members  *[]member `json:"members"`
}

type member struct {
	ID       string   `json:"id"`
	HostPort string   `json:"host_port"`
	Cell     any      `json:"cell"`
	Locality string   `json:"locality"`
	Flavor   string   `json:"flavor"`
	Phase    string   `json:"phase"`
	Size     *float64 `json:"size"`
	UpSince  float64  `json:"up_since_ms"`
}

var states = map[string]control.State{"Ready": control.Ready, "Terminating": control.Draining, "Gone": control.Gone}

// Parse reads a list. A member that cannot be read stands in it as odd.
func Parse(raw []byte) (governor.Listing, error) {
	var a answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return governor.Listing{}, fmt.Errorf("not a list: %w", err)
	}
	if a.Revision == nil || a.Complete == nil || a.Members == nil {
		return governor.Listing{}, errors.New("not a list: no revision, no members, or not said whether they are all")
	}
	l := governor.Listing{Revision: *a.Revision, Whole: *a.Complete}
	for _, m := range *a.Members {
		state, known := states[m.Phase]
		weight := 1.0
		if m.Size != nil {
			weight = *m.Size
		}
		l.Members = append(l.Members, governor.Member{ID: m.ID, Zone: m.Locality, Kind: m.Flavor, State: state,
			Address: m.HostPort, Cell: fmt.Sprint(m.Cell),
			Odd: !known || !usable(m.ID) || weight < 0 || m.UpSince < 0, Weight: weight,
			UpSince: control.Nanos(m.UpSince)})
	}
	return l, nil
}

// usable says whether a name can stand in a list of lines.
func usable(id string) bool {
	return id != "" && len(id) <= nameMost &&
		!strings.ContainsFunc(id, func(r rune) bool { return r == ',' || r == ':' || r <= ' ' || r == 0x7f })
}
