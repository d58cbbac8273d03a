package configapi

import "lilacbend/internal/revision"

// Status is the state of one server: its configuration, and the versions that are active at its followers.
type Status struct {
	Server   string           `json:"server"`
	Region   string           `json:"region"`
	Writer   bool             `json:"writer"`
	Version  revision.Version `json:"version"`
	AgeMS    int64            `json:"age_ms"`
	Faults   []Fault          `json:"faults"` // rejected files
	Services []ServiceStatus  `json:"services"`
	Watchers []Watcher        `json:"watchers"`
	Counters Counters         `json:"counters"`
}

// Fault is a rejected file and the reason.
type Fault struct {
	File   string `json:"file"`
	Reason string `json:"reason"`
}

// ServiceStatus is a server's version of a service, and when it received this and earlier ones.
type ServiceStatus struct {
	Name    string           `json:"name"`
	Version revision.Version `json:"version"`
	Bytes   int              `json:"bytes"`
	History []Published      `json:"history"` // oldest first
}

// Published is a version and how long ago the server received it.
type Published struct {
	Version revision.Version `json:"version"`
	AgoMS   int64            `json:"ago_ms"`
}

// Watcher is a follower, which is a controller or another server, as of its last poll.
type Watcher struct {
	Instance   string           `json:"instance"`
	Service    string           `json:"service"` // empty: a server
	Zone       string           `json:"zone"`
	Region     string           `json:"region"`
	Active     revision.Version `json:"in_force"`
	Rejected   revision.Version `json:"refused"`
	LastSeenMS int64            `json:"heard_ms"` // how long ago
}

// Counters count a server's work since its start.
type Counters struct {
	Requests    int64 `json:"requests"`
	Copies      int64 `json:"copies"`       // complete copies sent
	Changes     int64 `json:"changes"`      // answers with changes
	Throttled   int64 `json:"sent_away"`    // queries answered with Retry-After
	Refused     int64 `json:"refused"`      // connections over the limit
	BytesOut    int64 `json:"bytes_out"`    // of bodies
	WriteErrors int64 `json:"write_errors"` // answers not received by the follower in time
	Connections int64 `json:"connections"`  // open now
}
