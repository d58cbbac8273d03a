// Package configapi defines the messages between configuration servers and their followers. A follower polls like a client
// of service discovery: the query has the version in use (since) and how long the server may wait for a newer one
// (timeout_ms), and the answer says whether it is a complete copy. The package has no I/O and no clock.
package configapi

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"lilacbend/internal/revision"
)

// Paths of the requests that a server handles.
const (
	WatchPath  = "/configuration"
	StatusPath = "/status"
)

const (
	// MaxWait is the longest time that a query may request a server to wait for a newer version.
	MaxWait = time.Minute
	// MaxNameLength is the largest length of the name of a service, an instance, a zone or a region, in bytes.
	MaxNameLength = 128
)

// Query is the poll of a follower.
type Query struct {
	Service  string           // empty: all services
	Since    revision.Version // the version that is active at the follower
	Rejected revision.Version // the newest version that the follower could not use, if any
	Timeout  time.Duration    // how long the server may wait for a newer version
	Instance string           // the follower's name
	Zone     string
	Region   string
}

// Parameters of a query.
const (
	keyService  = "service"
	keySince    = "since"
	keyRejected = "refused"
	keyTimeout  = "timeout_ms"
	keyInstance = "instance"
	keyZone     = "zone"
	keyRegion   = "region"
)

// Encode returns the path and the parameters of the request.
func (q Query) Encode() string {
	values := url.Values{}
	setNonEmpty(values, keyService, q.Service)
	setNonEmpty(values, keyInstance, q.Instance)
	setNonEmpty(values, keyZone, q.Zone)
	setNonEmpty(values, keyRegion, q.Region)
	if !q.Since.IsZero() {
		values.Set(keySince, q.Since.String())
	}
	if !q.Rejected.IsZero() {
		values.Set(keyRejected, q.Rejected.String())
	}
	if q.Timeout > 0 {
		values.Set(keyTimeout, strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	}
	return WatchPath + "?" + values.Encode()
}

func setNonEmpty(values url.Values, key, value string) {
	if value != "" {
		values.Set(key, value)
	}
}

// ParseQuery parses the parameters of a request. An error names the invalid parameter.
func ParseQuery(values url.Values) (Query, error) {
	var query Query
	for _, parameter := range []struct {
		key         string
		destination *string
	}{{keyService, &query.Service}, {keyInstance, &query.Instance}, {keyZone, &query.Zone}, {keyRegion, &query.Region}} {
		value := values.Get(parameter.key)
		if len(value) > MaxNameLength {
			return Query{}, fmt.Errorf("%s has %d bytes, at most %d may be", parameter.key, len(value), MaxNameLength)
		}
		*parameter.destination = value
	}
	for _, parameter := range []struct {
		key         string
		destination *revision.Version
	}{{keySince, &query.Since}, {keyRejected, &query.Rejected}} {
		value, err := revision.Parse(values.Get(parameter.key))
		if err != nil {
			return Query{}, fmt.Errorf("%s: %w", parameter.key, err)
		}
		*parameter.destination = value
	}
	timeout, err := parseTimeout(values.Get(keyTimeout))
	if err != nil {
		return Query{}, err
	}
	query.Timeout = timeout
	return query, nil
}

// parseTimeout parses the number of milliseconds that a server may wait. The empty text is 0.
func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > MaxWait.Milliseconds() {
		return 0, fmt.Errorf("%s=%.40q is not a whole number from 0 to %d", keyTimeout, text, MaxWait.Milliseconds())
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// Answer is a server's answer to a query. It has no services if there is no newer version than the follower's.
type Answer struct {
	revision.Version           // the version of the service that the query names, or of the server's whole configuration
	Complete         bool      `json:"complete"` // Services has all queried services; otherwise only the changed ones
	AgeMS            int64     `json:"age_ms"`   // milliseconds since the writer was last known to be running; 0 at the writer
	Services         []Service `json:"services"`
}

// Service is one version of a service's configuration, or its removal.
type Service struct {
	Name string `json:"name"`
	revision.Version
	Settings json.RawMessage `json:"settings,omitempty"`
	Removed  bool            `json:"removed,omitempty"`
}

// Refusal is the body of the answer to a query that is not served.
type Refusal struct {
	Reason       string `json:"error"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"` // milliseconds after which the follower should poll again; 0: unknown
}

// Check returns an error if an answer to a query is invalid. It does not check the settings themselves.
func (a Answer) Check(query Query) error {
	switch {
	case !a.Valid() || a.AgeMS < 0:
		return fmt.Errorf("version %s or age %d ms is out of range", a.Version, a.AgeMS)
	case a.Epoch == 0: // a server without any configuration, or another program that answers with JSON
		return fmt.Errorf("version %s has no epoch", a.Version)
	}
	for _, service := range a.Services {
		err := a.checkService(service, query)
		if err != nil {
			return err
		}
	}
	if query.Service != "" && len(a.Services) > 1 {
		return fmt.Errorf("answer has %d services, but the query names only service %s", len(a.Services), query.Service)
	}
	return nil
}

func (a Answer) checkService(service Service, query Query) error {
	switch {
	case service.Name == "" || len(service.Name) > MaxNameLength:
		return fmt.Errorf("name %.40q of a service is empty or too long", service.Name)
	case query.Service != "" && service.Name != query.Service:
		return fmt.Errorf("query for service %s was answered with service %s", query.Service, service.Name)
	case service.Newer(a.Version):
		return fmt.Errorf("service %s has version %s, which is newer than version %s of the answer", service.Name, service.Version, a.Version)
	case !service.Removed && len(service.Settings) == 0:
		return fmt.Errorf("service %s has no settings", service.Name)
	}
	return nil
}
