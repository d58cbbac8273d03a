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

// keptConfiguration keeps the settings in force over a restart, as the operator file says. A nil one keeps nothing.
type keptConfiguration struct {
	service string
	digest  configcache.Digest // of the settings in the governor's own file
	keeper  *configcache.Writer
	lock    *filewriter.Lock

	record   *configcache.Record // of before the restart; nil: there is none that can be used
	topology controller.Topology // of its settings
}

// openKeptConfiguration holds the folder and reads what was in force before a restart. What goes wrong is logged, and the
// governor goes on by its own file.
func openKeptConfiguration(ctx context.Context, c configuration, own controller.Topology, log *slog.Logger) *keptConfiguration {
	following := c.operator.Configuration
	if following.Folder == "" {
		return nil
	}
	folder := filewriter.Directory(following.Folder)
	lock, err := holdFolder(ctx, folder, or(c.name, "a governor"))
	if err != nil {
		log.Warn("the configuration in force is neither read nor kept", "folder", following.Folder, "error", err)
		return nil
	}
	k := &keptConfiguration{service: following.Service, digest: c.digest, keeper: configcache.NewWriter(folder, c.seed, log), lock: lock}
	r, found, err := configcache.Load(folder)
	if found {
		err = k.use(r, own, c.seed)
	}
	switch {
	case err != nil:
		log.Warn("the kept configuration is not used", "folder", following.Folder, "version", r.Version.String(), "error", err)
	case found:
		log.Info("the kept configuration is used", "folder", following.Folder, "version", r.Version.String())
	}
	return k
}

// use takes a record as what to begin with, if this governor may.
func (k *keptConfiguration) use(r configcache.Record, own controller.Topology, seed uint64) error {
	if err := r.CheckUsable(k.service, k.digest); err != nil {
		return err
	}
	names, decoded, err := settings.Load(r.Settings, seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	topology := controller.NewTopology(names, decoded)
	if err := own.Accepts(topology); err != nil {
		return err
	}
	k.record, k.topology = &r, topology
	return nil
}

// keep hands over what has come into force.
func (k *keptConfiguration) keep(v revision.Version, raw []byte) {
	if k != nil {
		k.keeper.Submit(configcache.Record{Service: k.service, Version: v, Start: k.digest, Settings: raw})
	}
}

// run writes what comes into force until ctx ends.
func (k *keptConfiguration) run(ctx context.Context) {
	if k != nil {
		k.keeper.Run(ctx)
		k.lock.Release()
	}
}

// figures are the counters of keeping; none where nothing is kept.
func (k *keptConfiguration) figures() slog.Attr {
	if k == nil {
		return slog.Attr{}
	}
	return slog.Group("kept", "written", k.keeper.Counters.Written.Load(), "failed", k.keeper.Counters.Failed.Load())
}
