// Package configstore holds the configuration of all services on one server: which version each has, what a follower
// lacks, who has what in force, and how many whole copies may be under way. It has no I/O, no clock and no goroutine; times
// are nanoseconds of any one clock. Callers serialize access.
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
	// ServicesMax is how many services one installation may have.
	ServicesMax = 1 << 14
	// SettingsMax is the largest settings of one service, in bytes.
	SettingsMax = 1 << 20
	// BytesMax bounds the settings of all services together, which a server keeps in memory.
	BytesMax = 64 << 20
	// removedMax is how many removed services are remembered one by one; whoever is further behind gets a whole copy.
	removedMax = 1 << 12
	// historyMax is how many versions of a service are remembered with their times, to say for how long a follower lags.
	historyMax = 32
)

// Check says what is wrong with the settings of a service.
type Check func(settings []byte) error

// Store is the configuration of all services.
type Store struct {
	check     Check
	version   revision.Version // of the whole
	services  map[string]*service
	removed   map[string]uint64 // revision with which a service was removed
	compacted uint64            // removals up to this revision are forgotten
	bytes     int
	heard     int64 // when the writer is known to have been alive
	followed  bool  // a follower has this epoch in force
}

// service is what the store knows of one service.
type service struct {
	configapi.Service
	history []published // the newest last
}

type published struct {
	version revision.Version
	at      int64
}

// neverHeard is how old the last word of the writer is taken to be before the first one.
const neverHeard = int64(24 * 3600 * 1e9)

// New makes an empty store whose settings have to pass a check.
func New(check Check) *Store {
	return &Store{check: check, heard: -neverHeard, services: map[string]*service{}, removed: map[string]uint64{}}
}

// Version is that of the whole configuration.
func (s *Store) Version() revision.Version { return s.version }

// Names are the services, in order.
func (s *Store) Names() []string { return slices.Sorted(maps.Keys(s.services)) }

// Begin starts an epoch, which must be later than the present one: revisions go on, and every service gets the new epoch.
func (s *Store) Begin(epoch uint64, now int64) error {
	if epoch <= s.version.Epoch || epoch > revision.Max {
		return fmt.Errorf("epoch %d does not follow epoch %d", epoch, s.version.Epoch)
	}
	s.version.Epoch, s.followed = epoch, false
	s.compacted = s.version.Revision
	clear(s.removed)
	for _, held := range s.services {
		held.Epoch = epoch
		held.publish(now)
	}
	return nil
}

// Put takes over the settings of a service. They get a revision only if they pass the check and differ from those held;
// otherwise the store stays as it is.
func (s *Store) Put(name string, settings []byte, now int64) (changed bool, err error) {
	if err := CheckName(name); err != nil {
		return false, err
	}
	if len(settings) > SettingsMax {
		return false, fmt.Errorf("%d bytes, at most %d may be", len(settings), SettingsMax)
	}
	if err := s.check(settings); err != nil {
		return false, err
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, settings); err != nil {
		return false, err
	}
	held := s.services[name]
	if held != nil && bytes.Equal(held.Settings, compact.Bytes()) {
		return false, nil
	}
	if err := s.room(held, compact.Len()); err != nil {
		return false, err
	}
	s.version.Revision++
	s.set(configapi.Service{Name: name, Version: s.version, Settings: compact.Bytes()}, now)
	return true, nil
}

// room says whether settings of a size fit in the place of those held.
func (s *Store) room(held *service, size int) error {
	total := s.bytes + size
	if held != nil {
		total -= len(held.Settings)
	}
	if total > BytesMax {
		return fmt.Errorf("the settings of all services would have %d bytes, at most %d may be", total, BytesMax)
	}
	if held == nil && len(s.services) >= ServicesMax {
		return fmt.Errorf("there are %d services already, which is the most", len(s.services))
	}
	return nil
}

// Remove takes a service out. Governors that have its settings go on with them.
func (s *Store) Remove(name string) (changed bool) {
	if s.services[name] == nil {
		return false
	}
	s.version.Revision++
	s.drop(name, s.version.Revision)
	return true
}

func (s *Store) set(update configapi.Service, now int64) {
	held := s.services[update.Name]
	if held == nil {
		held = &service{}
		s.services[update.Name] = held
		delete(s.removed, update.Name)
	}
	s.bytes += len(update.Settings) - len(held.Settings)
	held.Service = update
	held.publish(now)
}

func (s *Store) drop(name string, at uint64) {
	if held := s.services[name]; held != nil {
		s.bytes -= len(held.Settings)
		delete(s.services, name)
	}
	s.removed[name] = at
	if len(s.removed) <= removedMax {
		return
	}
	oldest := name
	for other, revision := range s.removed {
		if revision < s.removed[oldest] {
			oldest = other
		}
	}
	s.compacted = max(s.compacted, s.removed[oldest])
	delete(s.removed, oldest)
}

func (held *service) publish(now int64) {
	held.history = append(held.history, published{held.Version, now})
	held.history = held.history[max(0, len(held.history)-historyMax):]
}

// Heard notes that the writer was alive so long ago.
func (s *Store) Heard(age, now int64) { s.heard = max(s.heard, now-max(0, age)) }

// Age is since when nothing is known of the writer.
func (s *Store) Age(now int64) int64 { return max(0, now-s.heard) }

// Merge takes over what another server answered: all of it or nothing. It changes nothing where the answer is no newer.
func (s *Store) Merge(a configapi.Answer, now int64) (changed []string, err error) {
	switch {
	case s.version.Newer(a.Version):
		return nil, fmt.Errorf("version %s is older than %s, which is held", a.Version, s.version)
	case a.Version == s.version:
		return nil, nil
	case !a.Complete && a.Epoch != s.version.Epoch:
		return nil, fmt.Errorf("changes of epoch %d where epoch %d is held", a.Epoch, s.version.Epoch)
	}
	if err := s.mergeable(a); err != nil {
		return nil, err
	}
	if a.Complete {
		changed = s.replace(a, now)
	} else {
		changed = s.change(a, now)
	}
	if s.version.Epoch != a.Epoch {
		s.followed = false
	}
	s.version = a.Version
	return changed, nil
}

// mergeable says whether what an answer would leave is within the bounds.
func (s *Store) mergeable(a configapi.Answer) error {
	sizes := map[string]int{}
	if !a.Complete {
		for name, held := range s.services {
			sizes[name] = len(held.Settings)
		}
	}
	for _, update := range a.Services {
		if err := CheckName(update.Name); err != nil {
			return err
		}
		if delete(sizes, update.Name); !update.Removed {
			sizes[update.Name] = len(update.Settings)
		}
	}
	total := 0
	for _, size := range sizes {
		total += size
	}
	if total > BytesMax || len(sizes) > ServicesMax {
		return fmt.Errorf("%d services of %d bytes in all, at most %d of %d may be", len(sizes), total, ServicesMax, BytesMax)
	}
	return nil
}

// replace makes a whole copy the configuration.
func (s *Store) replace(a configapi.Answer, now int64) (changed []string) {
	listed := map[string]bool{}
	for _, update := range a.Services {
		listed[update.Name] = !update.Removed
	}
	for _, name := range s.Names() {
		if !listed[name] {
			s.drop(name, a.Revision)
			changed = append(changed, name)
		}
	}
	clear(s.removed)
	s.compacted = a.Revision
	for _, update := range a.Services {
		if update.Removed {
			continue
		}
		if held := s.services[update.Name]; held == nil || held.Version != update.Version {
			s.set(update, now)
			changed = append(changed, update.Name)
		}
	}
	return changed
}

// change merges what has changed since the version that is held.
func (s *Store) change(a configapi.Answer, now int64) (changed []string) {
	for _, update := range a.Services {
		if update.Removed {
			s.drop(update.Name, update.Revision)
		} else {
			s.set(update, now)
		}
		changed = append(changed, update.Name)
	}
	return changed
}

// CheckName says what is wrong with the name of a service: it is the name of a file too.
func CheckName(name string) error {
	switch {
	case name == "" || strings.HasPrefix(name, "."):
		return fmt.Errorf("%.40q is no name of a service: it is empty or begins with a dot", name)
	case len(name) > configapi.NameMax:
		return fmt.Errorf("%.40q... has %d bytes, at most %d may be", name, len(name), configapi.NameMax)
	case strings.ContainsFunc(name, unusual):
		return fmt.Errorf("%.40q is no name of a service: letters, digits, dots, dashes and underscores are", name)
	}
	return nil
}

func unusual(r rune) bool {
	usual := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-' || r == '_'
	return !usual
}
