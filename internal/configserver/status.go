package configserver

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// counters are the counts of handled queries and sent answers that Status returns.
type counters struct {
	requests, copies, changes, throttled, bytesOut, writeErrors atomic.Int64
}

// Version returns the version of the whole configuration.
func (s *Server) Version() revision.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Version()
}

func (s *Server) serviceNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.ServiceNames()
}

// Status returns the server's configuration, faults, followers and counters.
func (s *Server) Status() configapi.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.isWriter() {
		s.store.WriterSeen(0, now)
	}
	status := configapi.Status{
		Server:      s.options.Name,
		Region:      s.options.Region,
		Writer:      s.isWriter(),
		Version:     s.store.Version(),
		WriterAgeMS: s.store.WriterAge(now) / int64(time.Millisecond),
		Faults:      []configapi.Fault{},
		Services:    s.store.Services(now),
		Watchers:    s.watchers.Watchers(now),
		Counters:    s.currentCounters(),
	}
	for _, name := range slices.Sorted(maps.Keys(s.faults)) {
		status.Faults = append(status.Faults, configapi.Fault{File: name, Reason: s.faults[name]})
	}
	return status
}

func (s *Server) currentCounters() configapi.Counters {
	return configapi.Counters{
		Requests:    s.counts.requests.Load(),
		Copies:      s.counts.copies.Load(),
		Changes:     s.counts.changes.Load(),
		Throttled:   s.counts.throttled.Load(),
		Refused:     s.listener.Refused.Load(),
		BytesOut:    s.counts.bytesOut.Load(),
		WriteErrors: s.counts.writeErrors.Load(),
		Connections: s.listener.Open.Load(),
	}
}
