package configstore

import (
	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// Result classifies an answer to a query by what it has for the follower.
type Result int

// Results of a query.
const (
	Unchanged      Result = iota // the server has no newer version than the follower, which may wait for one
	Changed                      // the answer has a newer version than the follower's
	UnknownService               // the server does not have the queried service
)

// Answer returns the answer to a query as of now.
func (s *Store) Answer(query configapi.Query, now int64) (configapi.Answer, Result) {
	if query.Service != "" {
		return s.answerService(query, now)
	}
	return s.answerAll(query, now)
}

func (s *Store) answerService(query configapi.Query, now int64) (configapi.Answer, Result) {
	stored := s.services[query.Service]
	if stored == nil {
		return configapi.Answer{}, UnknownService
	}
	answer := configapi.Answer{Version: stored.Version, AgeMS: milliseconds(s.WriterAge(now)), Services: []configapi.Service{}}
	if !stored.Version.Newer(revision.Latest(query.Since, query.Rejected)) {
		return answer, Unchanged
	}
	answer.Complete = query.Since.Epoch != stored.Epoch
	answer.Services = append(answer.Services, stored.Service)
	return answer, Changed
}

func (s *Store) answerAll(query configapi.Query, now int64) (configapi.Answer, Result) {
	answer := configapi.Answer{Version: s.version, AgeMS: milliseconds(s.WriterAge(now)), Services: []configapi.Service{}}
	if !s.version.Newer(revision.Latest(query.Since, query.Rejected)) {
		return answer, Unchanged
	}
	answer.Complete = query.Since.Epoch != s.version.Epoch || query.Since.Revision < s.compacted
	for _, name := range s.ServiceNames() {
		stored := s.services[name]
		if answer.Complete || stored.Revision > query.Since.Revision {
			answer.Services = append(answer.Services, stored.Service)
		}
	}
	if answer.Complete {
		return answer, Changed
	}
	for name, removedAt := range s.removed {
		if removedAt > query.Since.Revision {
			version := revision.Version{Epoch: s.version.Epoch, Revision: removedAt}
			answer.Services = append(answer.Services, configapi.Service{Name: name, Version: version, Removed: true})
		}
	}
	return answer, Changed
}

// Snapshot returns the whole configuration as an answer, which Merge restores after a restart.
func (s *Store) Snapshot() configapi.Answer {
	answer, _ := s.answerAll(configapi.Query{}, s.writerSeen)
	answer.Complete = true
	return answer
}

// Services returns the current and earlier versions of all services, and how long ago the server received each of them.
func (s *Store) Services(now int64) []configapi.ServiceStatus {
	services := make([]configapi.ServiceStatus, 0, len(s.services))
	for _, name := range s.ServiceNames() {
		stored := s.services[name]
		status := configapi.ServiceStatus{Name: name, Version: stored.Version, Bytes: len(stored.Settings)}
		for _, entry := range stored.history {
			status.History = append(status.History, configapi.Published{Version: entry.version, AgoMS: milliseconds(now - entry.at)})
		}
		services = append(services, status)
	}
	return services
}

// EpochConflict classifies what a follower's epoch means to a writer.
type EpochConflict int

// Epoch conflicts. EpochLost and AnotherWriter are caused by a follower whose epoch is later than the writer's.
const (
	NoConflict    EpochConflict = iota
	EpochLost                   // no follower uses the writer's epoch: the writer has lost its state and begins a later one
	AnotherWriter               // followers use the writer's epoch: there is a second writer
)

// Observe records the version that is active at a follower, and returns the conflict if its epoch is later than the store's.
// Only a writer must act on a conflict; any other server receives the later epoch from its writer.
func (s *Store) Observe(version revision.Version) EpochConflict {
	switch {
	case version.Epoch == s.version.Epoch && !version.IsZero():
		s.followed = true
	case version.Epoch > s.version.Epoch && s.followed:
		return AnotherWriter
	case version.Epoch > s.version.Epoch:
		return EpochLost
	}
	return NoConflict
}

const nanosPerMilli = int64(1e6)

func milliseconds(nanos int64) int64 { return nanos / nanosPerMilli }
