// Package configapi holds the messages between configuration servers and those that follow them. A follower asks in the
// manner of discovery's watch: what it has (since), how long the server may wait for news (timeout_ms); the answer says
// whether it is a whole copy (complete). The package has no I/O and no clock.
package configapi

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"lilacbend/internal/revision"
)

// Paths of the server.
const (
	WatchPath  = "/configuration"
	StatusPath = "/status"
)

const (
	// WaitMax is the longest that a server waits for news.
	WaitMax = time.Minute
	// NameMax is the longest name of a service, an instance, a zone or a region, in bytes.
	NameMax = 128
)

// Query is what a follower asks.
type Query struct {
	Service  string           // whose settings; empty: those of all services
	Since    revision.Version // what the follower has in force
	Refused  revision.Version // the newest that the follower could not use, if any
	Timeout  time.Duration    // for how long the server may wait for something newer
	Instance string           // the follower's name
	Zone     string
	Region   string
}

// Keys of a query.
const (
	keyService, keySince, keyRefused, keyTimeout = "service", "since", "refused", "timeout_ms"
	keyInstance, keyZone, keyRegion              = "instance", "zone", "region"
)

// Encode writes a query as path and parameters of a request.
func (q Query) Encode() string {
	v := url.Values{}
	set := func(key, value string) {
		if value != "" {
			v.Set(key, value)
		}
	}
	set(keyService, q.Service)
	set(keyInstance, q.Instance)
	set(keyZone, q.Zone)
	set(keyRegion, q.Region)
	if !q.Since.IsZero() {
		v.Set(keySince, q.Since.String())
	}
	if !q.Refused.IsZero() {
		v.Set(keyRefused, q.Refused.String())
	}
	if q.Timeout > 0 {
		v.Set(keyTimeout, strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	}
	return WatchPath + "?" + v.Encode()
}

// ParseQuery reads the parameters of a request. The error names the parameter.
func ParseQuery(v url.Values) (q Query, err error) {
	for _, text := range []struct {
		key  string
		into *string
	}{{keyService, &q.Service}, {keyInstance, &q.Instance}, {keyZone, &q.Zone}, {keyRegion, &q.Region}} {
		if *text.into = v.Get(text.key); len(*text.into) > NameMax {
			return Query{}, fmt.Errorf("%s has %d bytes, at most %d may be", text.key, len(*text.into), NameMax)
		}
	}
	if q.Since, err = revision.Parse(v.Get(keySince)); err != nil {
		return Query{}, fmt.Errorf("%s: %w", keySince, err)
	}
	if q.Refused, err = revision.Parse(v.Get(keyRefused)); err != nil {
		return Query{}, fmt.Errorf("%s: %w", keyRefused, err)
	}
	if text := v.Get(keyTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > WaitMax.Milliseconds() {
			return Query{}, fmt.Errorf("%s=%.40q is not a whole number from 0 to %d", keyTimeout, text, WaitMax.Milliseconds())
		}
		q.Timeout = time.Duration(ms) * time.Millisecond
	}
	return q, nil
}

// Answer is what a server has for a query. Without services there is nothing newer than what the follower has.
type Answer struct {
	revision.Version           // of the service that was asked for, or of the server's whole configuration
	Complete         bool      `json:"complete"` // Services are all there are; else those that have changed
	AgeMS            int64     `json:"age_ms"`   // since when the server has not heard of the writer; 0 at the writer
	Services         []Service `json:"services"`
}

// Service is the configuration of one service.
type Service struct {
	Name string `json:"name"`
	revision.Version
	Settings json.RawMessage `json:"settings,omitempty"`
	Removed  bool            `json:"removed,omitempty"`
}

// Refusal is the answer to a query that is not served.
type Refusal struct {
	Reason       string `json:"error"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"` // when to come back; 0: not said
}

// Check says what is wrong with an answer to a query, whatever its settings mean.
func (a Answer) Check(q Query) error {
	switch {
	case !a.Valid() || a.AgeMS < 0:
		return fmt.Errorf("version %s or age %d ms is out of range", a.Version, a.AgeMS)
	case a.Epoch == 0: // a server without any configuration, or something else that speaks JSON
		return fmt.Errorf("version %s has no epoch", a.Version)
	}
	for _, s := range a.Services {
		switch {
		case s.Name == "" || len(s.Name) > NameMax:
			return fmt.Errorf("a service is called %.40q", s.Name)
		case q.Service != "" && s.Name != q.Service:
			return fmt.Errorf("service %s was asked for, not %s", q.Service, s.Name)
		case s.Newer(a.Version):
			return fmt.Errorf("service %s has version %s, the answer %s", s.Name, s.Version, a.Version)
		case !s.Removed && len(s.Settings) == 0:
			return fmt.Errorf("service %s has no settings", s.Name)
		}
	}
	if q.Service != "" && len(a.Services) > 1 {
		return fmt.Errorf("%d services where %s was asked for", len(a.Services), q.Service)
	}
	return nil
}
