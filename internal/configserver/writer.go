package configserver

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configstore"
	"lilacbend/internal/revision"
)

// poll reads the folder now and again, and when asked.
func (s *Server) poll(ctx context.Context) {
	ticks := time.NewTicker(s.options.PollEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			s.rescan(false)
		case <-s.rereads:
			s.rescan(true)
		}
	}
}

// rescan takes over what the folder holds now.
func (s *Server) rescan(all bool) {
	if s.watcher != nil {
		return
	}
	read, present, err := s.folder.scan(time.Now(), all)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.fault(s.options.Folder, err)
		return
	}
	if len(present) == 0 && len(s.store.Names()) > 0 { // not mounted, most likely
		s.fault(s.options.Folder, errGone)
		return
	}
	s.well(s.options.Folder)
	changed := s.put(read)
	absent := s.absent
	s.absent = map[string]bool{}
	for _, name := range s.store.Names() {
		if present[name] {
			continue
		}
		if s.absent[name] = true; absent[name] && s.store.Remove(name) { // some replace a file by removing it first
			s.options.Log.Warn("service removed, its governors keep what they have", "service", name, "version", s.store.Version().String())
			changed = append(changed, name)
		}
	}
	for name := range maps.Clone(s.faults) {
		if name != s.options.Folder && !present[strings.TrimSuffix(name, suffix)] {
			s.well(name)
		}
	}
	s.publish(changed)
}

// put takes over files that were read.
func (s *Server) put(read []file) (changed []string) {
	for _, one := range read {
		err := one.err
		if errors.Is(err, errChanging) { // it is read again soon
			continue
		}
		var is bool
		if err == nil {
			is, err = s.store.Put(one.service, one.settings, s.now())
		}
		if err != nil {
			s.fault(one.name, err)
			continue
		}
		s.well(one.name)
		if is {
			changed = append(changed, one.service)
			s.options.Log.Info("configuration changed", "service", one.service, "version", s.store.Version().String())
		}
	}
	return changed
}

// fault notes what is wrong with a file, and says it once.
func (s *Server) fault(name string, err error) {
	if reason := err.Error(); s.faults[name] != reason {
		s.faults[name] = reason
		s.options.Log.Error("file refused, the last good one stays", "file", name, "error", reason)
	}
}

func (s *Server) well(name string) {
	if _, had := s.faults[name]; had {
		delete(s.faults, name)
		s.options.Log.Info("file can be used again", "file", name)
	}
}

// observe looks whether a follower has a later epoch in force than this writer's.
func (s *Server) observe(v revision.Version) {
	switch rival := s.store.Observe(v); {
	case rival == configstore.NoRival || s.watcher != nil:
	case rival == configstore.LostCount:
		if err := s.store.Begin(v.Epoch+1, s.now()); err != nil {
			s.fault(s.options.Folder, err)
			return
		}
		s.options.Log.Warn("a follower has a later epoch in force, this one is begun after it", "follower", v.String(), "version", s.store.Version().String())
		s.publish(s.store.Names())
	case !s.rival:
		s.rival = true
		s.options.Log.Error("a follower has a later epoch in force: another writer is about, and this one is not followed", "follower", v.String(),
			"version", s.store.Version().String())
	}
}

// Version is that of the whole configuration.
func (s *Server) Version() revision.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Version()
}

func (s *Server) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Names()
}

// Status is what the server knows.
func (s *Server) Status() configapi.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.watcher == nil {
		s.store.Heard(0, now)
	}
	status := configapi.Status{Server: s.options.Name, Region: s.options.Region, Writer: s.watcher == nil, Version: s.store.Version(),
		AgeMS: s.store.Age(now) / int64(time.Millisecond), Faults: []configapi.Fault{}, Services: s.store.Services(now),
		Watchers: s.book.Watchers(now), Counters: s.counts.counters(s.listener)}
	for _, name := range slices.Sorted(maps.Keys(s.faults)) {
		status.Faults = append(status.Faults, configapi.Fault{File: name, Reason: s.faults[name]})
	}
	return status
}
