package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"lilacbend/control"
	"lilacbend/internal/controller"
)

// maxIDLength is the longest id of a replica, in bytes. Longer ids could make a message to a proxy exceed its limit.
const maxIDLength = 128

// listMessage is the body of an answer of service discovery: a complete list of replicas, or the changes of a list. A nil
// pointer is a missing field, as opposed to a field that is zero.
type listMessage struct {
	Revision *int64           `json:"revision"`
	Complete *bool            `json:"complete"`
	Members  *[]memberMessage `json:"members"`
}

// memberMessage describes one replica of a listMessage.
type memberMessage struct {
	ID       string   `json:"id"`
	HostPort string   `json:"host_port"`
	Cell     any      `json:"cell"`
	Locality string   `json:"locality"`
	Flavor   string   `json:"flavor"`
	Phase    string   `json:"phase"`
	Size     *float64 `json:"size"`
	UpSince  float64  `json:"up_since_ms"`
}

// stateByPhase maps discovery's phases to replica states.
var stateByPhase = map[string]control.State{
	"Ready":       control.Ready,
	"Terminating": control.Draining,
	"Gone":        control.Gone,
}

// defaultWeight is the weight of a member without a size.
const defaultWeight = 1.0

// Parse decodes the body of an answer of service discovery. A member that cannot be used stays in the list, marked as
// unusable.
func Parse(raw []byte) (controller.ReplicaList, error) {
	var message listMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return controller.ReplicaList{}, fmt.Errorf("not a list: %w", err)
	}
	if message.Revision == nil || message.Complete == nil || message.Members == nil {
		return controller.ReplicaList{}, errors.New("not a list: revision, complete or members is missing")
	}
	list := controller.ReplicaList{Revision: *message.Revision, Complete: *message.Complete}
	for _, member := range *message.Members {
		list.Members = append(list.Members, member.decode())
	}
	return list, nil
}

// decode returns the member as the controller's type.
func (m memberMessage) decode() controller.Member {
	state, known := stateByPhase[m.Phase]
	weight := defaultWeight
	if m.Size != nil {
		weight = *m.Size
	}
	usable := known && validID(m.ID) && weight >= 0 && m.UpSince >= 0
	return controller.Member{
		ID:              m.ID,
		Zone:            m.Locality,
		HardwareClass:   m.Flavor,
		Address:         m.HostPort,
		Cell:            fmt.Sprint(m.Cell),
		State:           state,
		StateUnreadable: !usable,
		Weight:          weight,
		StartedAt:       control.MillisToNanos(m.UpSince),
	}
}

// validID reports whether an id can be written into the endpoint lists sent to proxies.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.ContainsFunc(id, isDelimiter)
}

// isDelimiter reports whether a character would end an id in a message, or is unprintable.
func isDelimiter(r rune) bool {
	return r == ',' || r == ':' || r <= ' ' || r == 0x7f
}
