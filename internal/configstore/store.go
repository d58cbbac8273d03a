// Package configstore holds the configuration of all services on one server: the version of each, the answer to a follower's
// query, the active versions of followers, and how many complete copies may be sent at once. It has no I/O, no clock and no
// goroutine; times are nanoseconds of any one clock. Callers serialize access.
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
	// MaxServices is how many services one installation may have.
	MaxServices = 1 << 14
	// MaxSettingsSize is the largest settings of one service, in bytes.
	MaxSettingsSize = 1 << 20
	// MaxTotalSize limits the settings of all services together, in bytes: a server keeps them in memory.
	MaxTotalSize = 64 << 20
	// maxRemoved is how many removed services are recorded. A follower that is further behind receives a complete copy.
	maxRemoved = 1 << 12
	// maxHistory is how many versions of a service are recorded with their times, which show for how long a follower lags.
	maxHistory = 32
)

// Check returns what is wrong with the settings of a service.
type Check func(settings []byte) error

// Store is the configuration of all services.
type Store struct {
	check      Check
	version    revision.Version // of the whole configuration
	services   map[string]*service
	removed    map[string]uint64 // revisions with which services were removed
	compacted  uint64            // removals up to this revision are no longer in removed
	bytes      int               // of all settings
	writerSeen int64             // when the writer is known to have been running
	followed   bool              // this epoch is active at a follower
}

// service is the stored state of one service.
type service struct {
	configapi.Service
	history []published // oldest first
}

type published struct {
	version revision.Version
	at      int64
}

// writerNeverSeen is how long ago the writer is taken to have been running before anything is known of it, in nanoseconds.
const writerNeverSeen = int64(24 * 3600 * 1e9)

// New returns an empty store. Settings must pass check.
func New(check Check) *Store {
	return &Store{check: check, writerSeen: -writerNeverSeen, services: map[string]*service{}, removed: map[string]uint64{}}
}

// Version returns the version of the whole configuration.
func (s *Store) Version() revision.Version { return s.version }

// Names returns the services, sorted.
func (s *Store) Names() []string { return slices.Sorted(maps.Keys(s.services)) }

// BeginEpoch starts an epoch, which must be later than the current one. Revisions continue, and all services get the new
// epoch.
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

// Put stores the settings of a service. They get a revision only if they are valid and differ from the stored ones; otherwise
// the store does not change.
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

// checkCapacity returns an error if settings of a size do not fit in place of the stored ones.
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

// Remove removes a service. Controllers that have its settings keep them.
func (s *Store) Remove(name string) (changed bool) {
	if s.services[name] == nil {
		return false
	}
	s.version.Revision++
	s.remove(name, s.version.Revision)
	return true
}

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

// remove removes a service at a revision, and drops the oldest recorded removal beyond maxRemoved.
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

// publish records the current version in the history.
func (s *service) publish(now int64) {
	s.history = append(s.history, published{version: s.Version, at: now})
	s.history = s.history[max(0, len(s.history)-maxHistory):]
}

// WriterSeen records that the writer was running so long ago.
func (s *Store) WriterSeen(age, now int64) { s.writerSeen = max(s.writerSeen, now-max(0, age)) }

// WriterAge returns how long ago the writer is known to have been running.
func (s *Store) WriterAge(now int64) int64 { return max(0, now-s.writerSeen) }

// CheckName returns what is wrong with the name of a service, which is also the name of a file.
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
