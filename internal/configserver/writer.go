package configserver

import (
	"context"
	"errors"
	"maps"
	"strings"
	"time"

	"lilacbend/internal/configstore"
	"lilacbend/internal/revision"
)

// pollFolder scans the folder at intervals and on request, until ctx ends.
func (s *Server) pollFolder(ctx context.Context) {
	ticker := time.NewTicker(s.options.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.scan(false)
		case <-s.rescans:
			s.scan(true)
		}
	}
}

// scan stores the changes of the folder. If all is true, it reads files that seem unchanged, too.
func (s *Server) scan(all bool) {
	if !s.isWriter() {
		return
	}
	read, present, err := s.folder.scan(time.Now(), all)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.recordFault(s.options.Folder, err)
		return
	}
	if len(present) == 0 && len(s.store.Names()) > 0 { // most likely the folder is not mounted
		s.recordFault(s.options.Folder, errFolderEmpty)
		return
	}
	s.clearFault(s.options.Folder)
	changed := s.putFiles(read)
	changed = append(changed, s.removeAbsent(present)...)
	for name := range maps.Clone(s.faults) {
		if name != s.options.Folder && !present[strings.TrimSuffix(name, settingsSuffix)] {
			s.clearFault(name)
		}
	}
	s.publish(changed)
}

// putFiles stores files, and returns the services that changed.
func (s *Server) putFiles(files []settingsFile) []string {
	var changed []string
	for _, file := range files {
		if errors.Is(file.err, errFileChanging) { // it is read again at the next scan
			continue
		}
		isChanged, err := s.putFile(file)
		if err != nil {
			s.recordFault(file.name, err)
			continue
		}
		s.clearFault(file.name)
		if isChanged {
			changed = append(changed, file.service)
			s.options.Log.Info("configuration changed", "service", file.service, "version", s.store.Version().String())
		}
	}
	return changed
}

func (s *Server) putFile(file settingsFile) (changed bool, err error) {
	if file.err != nil {
		return false, file.err
	}
	return s.store.Put(file.service, file.settings, s.now())
}

// removeAbsent removes the services that had no file in two scans in a row, as some programs replace a file by removing it
// first. It returns the services that were removed.
func (s *Server) removeAbsent(present map[string]bool) []string {
	var removed []string
	absentBefore := s.absent
	s.absent = map[string]bool{}
	for _, name := range s.store.Names() {
		if present[name] {
			continue
		}
		s.absent[name] = true
		if absentBefore[name] && s.store.Remove(name) {
			s.options.Log.Warn("service removed, its governors keep what they have", "service", name, "version", s.store.Version().String())
			removed = append(removed, name)
		}
	}
	return removed
}

// recordFault records the fault of a file, and logs it if it is a new one.
func (s *Server) recordFault(name string, err error) {
	reason := err.Error()
	if s.faults[name] == reason {
		return
	}
	s.faults[name] = reason
	s.options.Log.Error("file refused, the last good one stays", "file", name, "error", reason)
}

func (s *Server) clearFault(name string) {
	if _, ok := s.faults[name]; !ok {
		return
	}
	delete(s.faults, name)
	s.options.Log.Info("file can be used again", "file", name)
}

// observe handles the version that is active at a follower. A writer that has lost its state begins a later epoch than the
// follower's.
func (s *Server) observe(active revision.Version) {
	conflict := s.store.Observe(active)
	if !s.isWriter() {
		return
	}
	switch conflict {
	case configstore.NoConflict:
	case configstore.EpochLost:
		s.beginEpochAfter(active)
	case configstore.AnotherWriter:
		s.reportAnotherWriter(active)
	}
}

func (s *Server) beginEpochAfter(active revision.Version) {
	err := s.store.BeginEpoch(active.Epoch+1, s.now())
	if err != nil {
		s.recordFault(s.options.Folder, err)
		return
	}
	s.options.Log.Warn("a follower has a later epoch in force, this one is begun after it",
		"follower", active.String(), "version", s.store.Version().String())
	s.publish(s.store.Names())
}

func (s *Server) reportAnotherWriter(active revision.Version) {
	if s.anotherWriter {
		return
	}
	s.anotherWriter = true
	s.options.Log.Error("a follower has a later epoch in force: another writer is about, and this one is not followed",
		"follower", active.String(), "version", s.store.Version().String())
}
