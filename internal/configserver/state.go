package configserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/google/renameio/v2"

	"lilacbend/internal/configapi"
)

// restore reads the state file. A writer then begins a later epoch than that of the restored configuration, because it
// may have been restored from a backup: in the new epoch its configuration outranks every version that it served before.
func (s *Server) restore() error {
	if s.options.StateFile != "" {
		if err := s.readState(); err != nil {
			s.options.Log.Error("state file rejected, starting without it", "file", s.options.StateFile, "error", err)
		}
	}
	if len(s.options.Upstreams) > 0 {
		return nil
	}
	s.folder = folder{path: s.options.Folder}
	epoch := max(s.store.Version().Epoch+1, uint64(max(1, s.start.UnixMilli())))
	return s.store.BeginEpoch(epoch, s.now())
}

func (s *Server) readState() error {
	raw, err := os.ReadFile(s.options.StateFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var answer configapi.Answer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return err
	}
	if err := answer.Check(configapi.Query{}); err != nil {
		return err
	}
	if !answer.Complete {
		return errors.New("state is not a complete copy")
	}
	for _, service := range answer.Services {
		if err := Check(service.Settings); err != nil {
			return fmt.Errorf("service %s: %w", service.Name, err)
		}
	}
	_, err = s.store.Merge(answer, s.now())
	return err
}

// saveChanges writes the state file at intervals and when ctx ends, each time only if the configuration has changed.
func (s *Server) saveChanges(ctx context.Context) {
	if s.options.StateFile == "" {
		return
	}
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for failing := false; ; {
		err := s.save()
		if (err != nil) != failing {
			failing = err != nil
			s.options.Log.Error("state file write status changed", "file", s.options.StateFile, "kept", !failing, "error", err)
		}
		select {
		case <-ctx.Done():
			s.save()
			return
		case <-ticker.C:
		}
	}
}

// save writes the state file if the configuration has changed since it was last written.
func (s *Server) save() error {
	s.mu.Lock()
	if !s.dirty {
		s.mu.Unlock()
		return nil
	}
	s.dirty = false
	snapshot := s.store.Snapshot()
	s.mu.Unlock()
	err := writeState(s.options.StateFile, snapshot)
	if err != nil {
		s.mu.Lock()
		s.dirty = true
		s.mu.Unlock()
	}
	return err
}

// writeState replaces the state file atomically. It writes service by service: the whole file in memory would be as large as
// the store.
func writeState(path string, snapshot configapi.Answer) error {
	pending, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o600))
	if err != nil {
		return err
	}
	defer pending.Cleanup()
	buffered := bufio.NewWriter(pending)
	if _, err := snapshot.WriteTo(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return pending.CloseAtomicallyReplace()
}
