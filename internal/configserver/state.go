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

// restore reads the state file. A writer begins a later epoch than any it knows of, as it may have been restored from a
// backup: what it serves then outranks what it served before.
func (s *Server) restore() error {
	if s.options.StateFile != "" {
		if err := s.readState(); err != nil {
			s.options.Log.Error("state refused, the server begins without", "file", s.options.StateFile, "error", err)
		}
	}
	if len(s.options.Follow) > 0 {
		return nil
	}
	s.folder = folder{path: s.options.Folder}
	epoch := max(s.store.Version().Epoch+1, uint64(max(1, s.start.UnixMilli())))
	return s.store.Begin(epoch, s.now())
}

func (s *Server) readState() error {
	raw, err := os.ReadFile(s.options.StateFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var a configapi.Answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return err
	}
	if err := a.Check(configapi.Query{}); err != nil {
		return err
	}
	if !a.Complete {
		return errors.New("it is no whole copy")
	}
	for _, service := range a.Services {
		if err := Check(service.Settings); err != nil {
			return fmt.Errorf("service %s: %w", service.Name, err)
		}
	}
	_, err = s.store.Merge(a, s.now())
	return err
}

// keep writes the state file when the configuration has changed, and at the end.
func (s *Server) keep(ctx context.Context) {
	if s.options.StateFile == "" {
		return
	}
	ticks := time.NewTicker(saveEvery)
	defer ticks.Stop()
	for failing := false; ; {
		err := s.save()
		if (err != nil) != failing {
			failing = err != nil
			s.options.Log.Error("state file", "file", s.options.StateFile, "kept", !failing, "error", err)
		}
		select {
		case <-ctx.Done():
			s.save()
			return
		case <-ticks.C:
		}
	}
}

func (s *Server) save() error {
	s.mu.Lock()
	if !s.dirty {
		s.mu.Unlock()
		return nil
	}
	s.dirty = false
	a := s.store.Snapshot()
	s.mu.Unlock()
	err := writeState(s.options.StateFile, a)
	if err != nil {
		s.mu.Lock()
		s.dirty = true
		s.mu.Unlock()
	}
	return err
}

// writeState replaces the state file as a whole, service by service: a copy of all would be as large as the store.
func writeState(path string, a configapi.Answer) error {
	pending, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o600))
	if err != nil {
		return err
	}
	defer pending.Cleanup()
	buffered := bufio.NewWriter(pending)
	if _, err := a.WriteTo(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return pending.CloseAtomicallyReplace()
}
