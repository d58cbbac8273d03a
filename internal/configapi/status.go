package configapi

import "lilacbend/internal/revision"

// Status is what one server knows: its configuration, and what those that follow it have in force.
type Status struct {
	Server   string           `json:"server"`
	Region   string           `json:"region"`
	Writer   bool             `json:"writer"`
	Version  revision.Version `json:"version"`
	AgeMS    int64            `json:"age_ms"`
	Faults   []Fault          `json:"faults"` // files that are refused
	Services []ServiceStatus  `json:"services"`
	Watchers []Watcher        `json:"watchers"`
	Counters Counters         `json:"counters"`
}

// Fault is a file that is refused, and why.
type Fault struct {
	File   string `json:"file"`
	Reason string `json:"reason"`
}

// ServiceStatus is the version of a service that a server holds, and when it and those before it came.
type ServiceStatus struct {
	Name    string           `json:"name"`
	Version revision.Version `json:"version"`
	Bytes   int              `json:"bytes"`
	History []Published      `json:"history"` // the newest last
}

// Published is a version and how long ago the server got it.
type Published struct {
	Version revision.Version `json:"version"`
	AgoMS   int64            `json:"ago_ms"`
}

// Watcher is a follower, a governor or another server, as it was last heard.
type Watcher struct {
	Instance string           `json:"instance"`
	Service  string           `json:"service"` // empty: a server
	Zone     string           `json:"zone"`
	Region   string           `json:"region"`
	InForce  revision.Version `json:"in_force"`
	Refused  revision.Version `json:"refused"`
	HeardMS  int64            `json:"heard_ms"` // ago
}

// Counters are what a server has done so far.
type Counters struct {
	Requests    int64 `json:"requests"`
	Copies      int64 `json:"copies"`       // whole copies sent
	Changes     int64 `json:"changes"`      // answers with changes
	SentAway    int64 `json:"sent_away"`    // told to come back later
	Refused     int64 `json:"refused"`      // connections over the bound
	BytesOut    int64 `json:"bytes_out"`    // bodies
	WriteErrors int64 `json:"write_errors"` // followers that did not take their answer in time
	Connections int64 `json:"connections"`  // now
}
