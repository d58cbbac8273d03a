package main

import (
	"context"
	"fmt"
	"log/slog"

	"lilacbend/internal/configcache"
	"lilacbend/internal/controller"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/revision"
	"lilacbend/settings"
)

// settingsCache keeps the active settings over a restart, in the folder that the operator file names. A nil cache stores
// nothing.
type settingsCache struct {
	service string
	digest  configcache.Digest // of the settings in the controller's configuration file
	writer  *configcache.Writer
	lock    *filewriter.Lock

	record   *configcache.Record // from before the restart; nil: no usable one was found
	topology controller.Topology // of the record's settings
}

// openSettingsCache acquires the lock of the cache folder and reads the settings that were active before the restart. If
// either fails, the failure is logged, and the controller starts with the settings in its configuration file.
func openSettingsCache(ctx context.Context, c configuration, own controller.Topology, log *slog.Logger) *settingsCache {
	following := c.operator.Configuration
	if following.Folder == "" {
		return nil
	}
	folder := filewriter.Directory(following.Folder)
	lock, err := acquireFolder(ctx, folder, firstNonEmpty(c.name, unnamedOwner))
	if err != nil {
		log.Warn("configuration cache disabled, its folder cannot be acquired", "folder", following.Folder, "error", err)
		return nil
	}
	cache := &settingsCache{
		service: following.Service,
		digest:  c.digest,
		writer:  configcache.NewWriter(folder, c.seed, log),
		lock:    lock,
	}
	record, found, err := configcache.Load(folder)
	if found {
		err = cache.use(record, own, c.seed)
	}
	switch {
	case err != nil:
		log.Warn("cached configuration rejected, starting with the configuration file", "folder", following.Folder, "version", record.Version.String(), "error", err)
	case found:
		log.Info("starting with the cached configuration", "folder", following.Folder, "version", record.Version.String())
	}
	return cache
}

// use makes the settings of a record those to start with. It returns an error if the record belongs to another service, if
// the configuration file has changed since, or if the settings are invalid or do not fit the topology of the configuration
// file.
func (s *settingsCache) use(record configcache.Record, own controller.Topology, seed uint64) error {
	if err := record.CheckUsable(s.service, s.digest); err != nil {
		return err
	}
	names, decoded, err := settings.Load(record.Settings, seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	topology := controller.NewTopology(names, decoded)
	if err := own.CheckChange(topology); err != nil {
		return err
	}
	s.record = &record
	s.topology = topology
	return nil
}

// submit passes settings that have become active to the writer.
func (s *settingsCache) submit(version revision.Version, raw []byte) {
	if s == nil {
		return
	}
	s.writer.Submit(configcache.Record{Service: s.service, Version: version, Start: s.digest, Settings: raw})
}

// run writes submitted settings until ctx ends. Then it releases the folder.
func (s *settingsCache) run(ctx context.Context) {
	if s == nil {
		return
	}
	s.writer.Run(ctx)
	s.lock.Release()
}

// counters returns the counters of the writer, and an empty attribute if settings are not cached.
func (s *settingsCache) counters() slog.Attr {
	if s == nil {
		return slog.Attr{}
	}
	return slog.Group("kept", "written", s.writer.Counters.Written.Load(), "failed", s.writer.Counters.Failed.Load())
}
