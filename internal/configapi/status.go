package configapi

import "lilacbend/internal/revision"

// Status is the state of one server: the versions of its services, and the versions that are active at its followers.
type Status struct {
	Server      string           `json:"server"`
	Region      string           `json:"region"`
	Writer      bool             `json:"writer"`
	Version     revision.Version `json:"version"`
	WriterAgeMS int64            `json:"age_ms"` // milliseconds since the writer was last known to be running; 0 at the writer
	Faults      []Fault          `json:"faults"` // rejected settings files
	Services    []ServiceStatus  `json:"services"`
	Watchers    []Watcher        `json:"watchers"`
	Counters    Counters         `json:"counters"`
}

// Fault is a rejected settings file, or an unusable folder, and the reason.
type Fault struct {
	File   string `json:"file"`
	Reason string `json:"reason"`
}

// ServiceStatus is the version of a service at a server, and how long ago the server received this version and earlier
// ones.
type ServiceStatus struct {
	Name    string           `json:"name"`
	Version revision.Version `json:"version"`
	Bytes   int              `json:"bytes"`
	History []Published      `json:"history"` // versions, oldest first
}

// Published is a version and how long ago the server received it.
type Published struct {
	Version revision.Version `json:"version"`
	AgoMS   int64            `json:"ago_ms"`
}

// Watcher is a follower, which is a controller or another server, as of its last poll.
type Watcher struct {
	Instance   string           `json:"instance"`
	Service    string           `json:"service"` // empty: the follower is a server
	Zone       string           `json:"zone"`
	Region     string           `json:"region"`
	Active     revision.Version `json:"in_force"`
	Rejected   revision.Version `json:"refused"`
	LastSeenMS int64            `json:"heard_ms"` // milliseconds since its last poll
}

// Counters count requests, answers and connections of a server since its start.
type Counters struct {
	Requests    int64 `json:"requests"`
	Copies      int64 `json:"copies"`       // complete copies sent
	Changes     int64 `json:"changes"`      // answers with changes
	Throttled   int64 `json:"sent_away"`    // queries rejected because too many complete copies were being sent
	Refused     int64 `json:"refused"`      // connections closed because of the connection limit
	BytesOut    int64 `json:"bytes_out"`    // bytes of response bodies sent
	WriteErrors int64 `json:"write_errors"` // answers that a follower did not receive in time
	Connections int64 `json:"connections"`  // connections that are open now
}
