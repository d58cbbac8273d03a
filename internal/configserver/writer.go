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

// pollFolder scans the folder at intervals and when Rescan requests it, until ctx ends.
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

// scan reads the folder and publishes its changes. If all is true, it also reads files that seem unchanged.
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
	if len(present) == 0 && len(s.store.ServiceNames()) > 0 { // most likely its file system is not mounted
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
		if errors.Is(file.err, errFileChanging) { // the next scan reads it again
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

// removeAbsent removes the services that had no file in two consecutive scans; a single scan is not enough because some
// programs replace a file by removing it first. It returns the services that were removed.
func (s *Server) removeAbsent(present map[string]bool) []string {
	var removed []string
	absentBefore := s.absent
	s.absent = map[string]bool{}
	for _, name := range s.store.ServiceNames() {
		if present[name] {
			continue
		}
		s.absent[name] = true
		if absentBefore[name] && s.store.Remove(name) {
			s.options.Log.Warn("service removed, its controllers keep their settings", "service", name, "version", s.store.Version().String())
			removed = append(removed, name)
		}
	}
	return removed
}

// recordFault records the fault of a file or of the folder, and logs it unless it is recorded already.
func (s *Server) recordFault(name string, err error) {
	reason := err.Error()
	if s.faults[name] == reason {
		return
	}
	s.faults[name] = reason
	s.options.Log.Error("settings file or folder rejected, last valid settings stay", "file", name, "error", reason)
}

func (s *Server) clearFault(name string) {
	if _, ok := s.faults[name]; !ok {
		return
	}
	delete(s.faults, name)
	s.options.Log.Info("settings file or folder is valid again", "file", name)
}

// observe records the version that is active at a follower. A writer that has lost its state begins a later epoch than the
// follower's. The caller holds mu.
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
	s.options.Log.Warn("writer began a new epoch because a follower reported a later one",
		"follower", active.String(), "version", s.store.Version().String())
	s.publish(s.store.ServiceNames())
}

func (s *Server) reportAnotherWriter(active revision.Version) {
	if s.anotherWriterLogged {
		return
	}
	s.anotherWriterLogged = true
	s.options.Log.Error("a later epoch is active at a follower: there is another writer, which is followed instead of this one",
		"follower", active.String(), "version", s.store.Version().String())
}
