// Package configstore holds the configuration of all services on one server. It assigns the version of each service, answers
// the queries of followers, records the versions that are active at them, and limits how many complete copies are sent at
// once. It has no I/O, no clock and no goroutine; times are nanoseconds of the caller's clock, whose zero is arbitrary.
// Callers serialize access.
package configstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

const (
	// MaxServices is the largest number of services of one installation.
	MaxServices = 1 << 14
	// MaxSettingsSize is the largest size of one service's settings, in bytes.
	MaxSettingsSize = 1 << 20
	// MaxTotalSize limits the size of all services' settings together, in bytes: a server keeps them in memory.
	MaxTotalSize = 64 << 20
	// maxRemoved is how many removed services are recorded. A follower that lacks an earlier removal receives a complete
	// copy.
	maxRemoved = 1 << 12
	// maxHistory is how many versions of a service are recorded with their times, which show how long a follower has lagged.
	maxHistory = 32
)

// Check returns an error if the settings of a service are invalid.
type Check func(settings []byte) error

// Store is the configuration of all services.
type Store struct {
	check      Check
	version    revision.Version // version of the whole configuration
	services   map[string]*service
	removed    map[string]uint64 // the revision of each recorded removal, by service
	compacted  uint64            // removals up to this revision are no longer in removed
	bytes      int               // size of all settings together, in bytes
	writerSeen int64             // the latest time at which the writer is known to have been running
	followed   bool              // the current epoch is active at a follower
}

// service is the stored state of one service.
type service struct {
	configapi.Service
	history []published // oldest first
}

// published is a version and when it was stored.
type published struct {
	version revision.Version
	at      int64
}

// writerNeverSeen is how long before time 0 the writer is assumed to have been running until WriterSeen is called, in
// nanoseconds.
const writerNeverSeen = int64(24 * 3600 * 1e9)

// New returns an empty store, which accepts only settings for which check returns no error.
func New(check Check) *Store {
	return &Store{check: check, writerSeen: -writerNeverSeen, services: map[string]*service{}, removed: map[string]uint64{}}
}

// Version returns the version of the whole configuration.
func (s *Store) Version() revision.Version { return s.version }

// ServiceNames returns the names of all services, sorted.
func (s *Store) ServiceNames() []string { return slices.Sorted(maps.Keys(s.services)) }

// BeginEpoch starts an epoch, which must be later than the current one. Revisions continue from the current one, and all
// services get the new epoch.
func (s *Store) BeginEpoch(epoch uint64, now int64) error {
	if epoch <= s.version.Epoch || epoch > revision.Max {
		return fmt.Errorf("epoch %d does not follow epoch %d", epoch, s.version.Epoch)
	}
	s.version.Epoch = epoch
	s.followed = false
	s.compacted = s.version.Revision
	clear(s.removed)
	for _, stored := range s.services {
		stored.Epoch = epoch
		stored.publish(now)
	}
	return nil
}

// Put stores the settings of a service under a new revision if they are valid and differ from the stored ones. Otherwise the
// store does not change.
func (s *Store) Put(name string, settings []byte, now int64) (changed bool, err error) {
	if err := CheckName(name); err != nil {
		return false, err
	}
	if len(settings) > MaxSettingsSize {
		return false, fmt.Errorf("%d bytes, at most %d may be", len(settings), MaxSettingsSize)
	}
	if err := s.check(settings); err != nil {
		return false, err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, settings); err != nil {
		return false, err
	}
	stored := s.services[name]
	if stored != nil && bytes.Equal(stored.Settings, compact.Bytes()) {
		return false, nil
	}
	if err := s.checkCapacity(stored, compact.Len()); err != nil {
		return false, err
	}
	s.version.Revision++
	s.set(configapi.Service{Name: name, Version: s.version, Settings: compact.Bytes()}, now)
	return true, nil
}

// checkCapacity returns an error if the store would exceed its limits after settings of the given size replace the
// stored ones.
func (s *Store) checkCapacity(stored *service, size int) error {
	total := s.bytes + size
	if stored != nil {
		total -= len(stored.Settings)
	}
	if total > MaxTotalSize {
		return fmt.Errorf("the settings of all services would have %d bytes, at most %d may be", total, MaxTotalSize)
	}
	if stored == nil && len(s.services) >= MaxServices {
		return fmt.Errorf("there are %d services already, which is the most", len(s.services))
	}
	return nil
}

// Remove removes a service under a new revision. Controllers that have its settings keep them.
func (s *Store) Remove(name string) (changed bool) {
	if s.services[name] == nil {
		return false
	}
	s.version.Revision++
	s.remove(name, s.version.Revision)
	return true
}

// set stores the settings and the version of a service.
func (s *Store) set(update configapi.Service, now int64) {
	stored := s.services[update.Name]
	if stored == nil {
		stored = &service{}
		s.services[update.Name] = stored
		delete(s.removed, update.Name)
	}
	s.bytes += len(update.Settings) - len(stored.Settings)
	stored.Service = update
	stored.publish(now)
}

// remove removes a service at a revision, and drops the oldest recorded removal if there are more than maxRemoved.
func (s *Store) remove(name string, removedAt uint64) {
	if stored := s.services[name]; stored != nil {
		s.bytes -= len(stored.Settings)
		delete(s.services, name)
	}
	s.removed[name] = removedAt
	if len(s.removed) <= maxRemoved {
		return
	}
	oldest := name
	for other, at := range s.removed {
		if at < s.removed[oldest] {
			oldest = other
		}
	}
	s.compacted = max(s.compacted, s.removed[oldest])
	delete(s.removed, oldest)
}

// publish records the current version in the history, without the oldest entries beyond maxHistory.
func (s *service) publish(now int64) {
	s.history = append(s.history, published{version: s.Version, at: now})
	s.history = s.history[max(0, len(s.history)-maxHistory):]
}

// WriterSeen records that the writer was running age nanoseconds before now.
func (s *Store) WriterSeen(age, now int64) { s.writerSeen = max(s.writerSeen, now-max(0, age)) }

// WriterAge returns how many nanoseconds before now the writer was last known to be running.
func (s *Store) WriterAge(now int64) int64 { return max(0, now-s.writerSeen) }

// CheckName returns an error if name is no valid name of a service. The name is also part of the name of the settings file.
func CheckName(name string) error {
	switch {
	case name == "" || strings.HasPrefix(name, "."):
		return fmt.Errorf("%.40q is no name of a service: it is empty or begins with a dot", name)
	case len(name) > configapi.MaxNameLength:
		return fmt.Errorf("%.40q... has %d bytes, at most %d may be", name, len(name), configapi.MaxNameLength)
	case strings.ContainsFunc(name, notAllowedInName):
		return fmt.Errorf("%.40q is no name of a service: letters, digits, dots, dashes and underscores are", name)
	}
	return nil
}

func notAllowedInName(r rune) bool {
	allowed := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-' || r == '_'
	return !allowed
}
