package configstore

import (
	"fmt"

	"lilacbend/internal/configapi"
)

// Merge stores another server's answer and returns the names of the services that changed. If it returns an error, it has
// stored nothing of the answer. An answer with the stored version changes nothing.
func (s *Store) Merge(answer configapi.Answer, now int64) (changed []string, err error) {
	switch {
	case s.version.Newer(answer.Version):
		return nil, fmt.Errorf("answer of version %s is older than stored version %s", answer.Version, s.version)
	case answer.Version == s.version:
		return nil, nil
	case !answer.Complete && answer.Epoch != s.version.Epoch:
		return nil, fmt.Errorf("changes of epoch %d do not apply to a configuration of epoch %d", answer.Epoch, s.version.Epoch)
	}
	if err := s.checkMerge(answer); err != nil {
		return nil, err
	}
	if answer.Complete {
		changed = s.replaceAll(answer, now)
	} else {
		changed = s.applyChanges(answer, now)
	}
	if s.version.Epoch != answer.Epoch {
		s.followed = false
	}
	s.version = answer.Version
	return changed, nil
}

// checkMerge returns an error if an answer has an invalid name, or if the store would exceed its limits after the merge.
func (s *Store) checkMerge(answer configapi.Answer) error {
	sizes := map[string]int{}
	if !answer.Complete {
		for name, stored := range s.services {
			sizes[name] = len(stored.Settings)
		}
	}
	for _, update := range answer.Services {
		if err := CheckName(update.Name); err != nil {
			return err
		}
		if update.Removed {
			delete(sizes, update.Name)
		} else {
			sizes[update.Name] = len(update.Settings)
		}
	}
	total := 0
	for _, size := range sizes {
		total += size
	}
	if total > MaxTotalSize || len(sizes) > MaxServices {
		return fmt.Errorf("merged configuration has %d services with %d bytes in total, but the limits are %d services and %d bytes", len(sizes), total, MaxServices, MaxTotalSize)
	}
	return nil
}

// replaceAll replaces the configuration by a complete copy, and returns the names of the services that changed.
func (s *Store) replaceAll(answer configapi.Answer, now int64) []string {
	var changed []string
	listed := map[string]bool{}
	for _, update := range answer.Services {
		listed[update.Name] = !update.Removed
	}
	for _, name := range s.ServiceNames() {
		if !listed[name] {
			s.remove(name, answer.Revision)
			changed = append(changed, name)
		}
	}
	clear(s.removed)
	s.compacted = answer.Revision
	for _, update := range answer.Services {
		if update.Removed {
			continue
		}
		stored := s.services[update.Name]
		if stored == nil || stored.Version != update.Version {
			s.set(update, now)
			changed = append(changed, update.Name)
		}
	}
	return changed
}

// applyChanges stores an answer with the changes since the stored version, and returns the names of the changed services.
func (s *Store) applyChanges(answer configapi.Answer, now int64) []string {
	var changed []string
	for _, update := range answer.Services {
		if update.Removed {
			s.remove(update.Name, update.Revision)
		} else {
			s.set(update, now)
		}
		changed = append(changed, update.Name)
	}
	return changed
}
