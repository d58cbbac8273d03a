package configstore

import (
	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// Result says what a store has for a query.
type Result int

// Results of a query.
const (
	Current Result = iota // nothing newer than what the follower has: it may wait
	News                  // something newer
	Unknown               // no such service
)

// Answer is what a store has for a query, and whether it is worth sending at once.
func (s *Store) Answer(q configapi.Query, now int64) (configapi.Answer, Result) {
	if q.Service != "" {
		return s.one(q, now)
	}
	return s.all(q, now)
}

func (s *Store) one(q configapi.Query, now int64) (configapi.Answer, Result) {
	held := s.services[q.Service]
	if held == nil {
		return configapi.Answer{}, Unknown
	}
	a := configapi.Answer{Version: held.Version, AgeMS: milliseconds(s.Age(now)), Services: []configapi.Service{}}
	if !held.Version.Newer(revision.Latest(q.Since, q.Refused)) {
		return a, Current
	}
	a.Complete = q.Since.Epoch != held.Epoch
	a.Services = append(a.Services, held.Service)
	return a, News
}

func (s *Store) all(q configapi.Query, now int64) (configapi.Answer, Result) {
	a := configapi.Answer{Version: s.version, AgeMS: milliseconds(s.Age(now)), Services: []configapi.Service{}}
	if !s.version.Newer(revision.Latest(q.Since, q.Refused)) {
		return a, Current
	}
	a.Complete = q.Since.Epoch != s.version.Epoch || q.Since.Revision < s.compacted
	for _, name := range s.Names() {
		if held := s.services[name]; a.Complete || held.Revision > q.Since.Revision {
			a.Services = append(a.Services, held.Service)
		}
	}
	if a.Complete {
		return a, News
	}
	for name, at := range s.removed {
		if at > q.Since.Revision {
			version := revision.Version{Epoch: s.version.Epoch, Revision: at}
			a.Services = append(a.Services, configapi.Service{Name: name, Version: version, Removed: true})
		}
	}
	return a, News
}

// Snapshot is all of the configuration as an answer, for a server that starts again.
func (s *Store) Snapshot() configapi.Answer {
	a, _ := s.all(configapi.Query{}, s.heard)
	a.Complete = true
	return a
}

// Rival is what a follower's version says of the writer that it follows.
type Rival int

// What a later epoch at a follower means to a writer.
const (
	NoRival   Rival = iota
	LostCount       // nobody has followed this epoch yet: the writer has lost its count and begins a later epoch
	Another         // somebody has: another writer is about
)

// Observe notes what a follower has in force, and says whether it tells of a later epoch than the store's own. Only
// a writer has to act on it; whoever follows gets the later epoch from its writer.
func (s *Store) Observe(v revision.Version) Rival {
	switch {
	case v.Epoch == s.version.Epoch && !v.IsZero():
		s.followed = true
	case v.Epoch > s.version.Epoch && s.followed:
		return Another
	case v.Epoch > s.version.Epoch:
		return LostCount
	}
	return NoRival
}

const nanosPerMilli = int64(1e6)

func milliseconds(nanos int64) int64 { return nanos / nanosPerMilli }
