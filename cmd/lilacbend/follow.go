package main

import (
	"context"
	"log/slog"
	"sync"

	"lilacbend/internal/configwatch"
	"lilacbend/internal/controller"
	"lilacbend/internal/controlserver"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/revision"
	"lilacbend/policy"
	"lilacbend/settings"
)

// configurationFollower passes new settings from configuration servers to the core, and the core's results back. A nil one
// follows nothing.
type configurationFollower struct {
	watcher *configwatch.Watcher
	cache   *settingsCache // nil: settings are not kept
	seed    uint64
	queues  *eventloop.Queues
	log     *slog.Logger
}

// newConfigurationFollower returns nil if the operator file has no such section.
func newConfigurationFollower(ctx context.Context, c configuration, own controller.Topology, queues *eventloop.Queues, log *slog.Logger) (*configurationFollower, error) {
	following := c.operator.Configuration
	if !following.On() {
		return nil, nil
	}
	f := &configurationFollower{
		cache:  openSettingsCache(ctx, c, own, log),
		seed:   c.seed,
		queues: queues,
		log:    log,
	}
	watcher, err := configwatch.New(configwatch.Options{
		Instance: c.name,
		Service:  following.Service,
		Region:   following.Region,
		Zone:     following.Zone,
		Servers:  following.Servers,
		Seed:     c.seed,
		Log:      log,
		OnOffer:  f.offer,
		OnActive: f.cache.submit,
	})
	if err != nil {
		return nil, err
	}
	f.watcher = watcher
	return f, nil
}

// topology returns the topology to start with: that of the settings from before a restart, or own.
func (f *configurationFollower) topology(own controller.Topology) controller.Topology {
	if f.resumes() {
		return f.cache.topology
	}
	return own
}

// resumes reports whether the controller starts with the settings from before a restart.
func (f *configurationFollower) resumes() bool {
	return f != nil && f.cache != nil && f.cache.record != nil
}

// resume offers the settings from before a restart to the core. It is called before run and the first turn.
func (f *configurationFollower) resume() {
	if f.resumes() {
		f.watcher.Resume(f.cache.record.Version, f.cache.record.Settings)
	}
}

// run follows the servers until ctx ends.
func (f *configurationFollower) run(ctx context.Context) {
	if f == nil {
		return
	}
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	goroutines.Go(func() { f.cache.run(ctx) })
	f.watcher.Run(ctx)
}

// offer checks settings as at a start and passes them to the core.
func (f *configurationFollower) offer(version revision.Version, raw []byte) {
	names, decoded, err := settings.Load(raw, f.seed)
	if err != nil {
		f.watcher.Rejected(version, err)
		return
	}
	f.queues.Enqueue(controller.Configure{
		Version:  version,
		Names:    names,
		Settings: decoded,
		Start:    func() controller.Module { return policy.New(decoded) },
	})
}

// handleResults reports the core's results to the configuration servers, and updates the control server and the queue of
// events to the active settings.
func (f *configurationFollower) handleResults(results []controller.ConfigurationResult, core *controller.Core, server *controlserver.Server) {
	for _, result := range results {
		server.Reconfigure(core.CurrentTopology())
		if result.Err != nil {
			f.watcher.Rejected(result.Version, result.Err)
			continue
		}
		f.queues.SetProxies(queuedProxies(result.Settings.Proxies, len(result.Names.Classes)))
		f.watcher.Applied(result.Version)
		f.log.Info("configuration in force", "version", result.Version.String(), "proxies", result.Settings.Proxies, "traffic_groups", len(result.Names.Classes))
	}
}

// counters returns the counters of following; empty if nothing is followed.
func (f *configurationFollower) counters(core *controller.Core) slog.Attr {
	if f == nil {
		return slog.Attr{}
	}
	counts := f.watcher.Counts()
	return slog.Group("configuration",
		"version", f.watcher.Active().String(),
		"changes", core.Counters.ConfigurationsApplied,
		"refused", counts.Rejected,
		"requests", counts.Requests,
		"dials", counts.Dials,
		"failures", counts.Failures,
		"sent_away", counts.Throttled,
		"bytes_in", counts.BytesIn,
		"bytes_out", counts.BytesOut,
		f.cache.counters())
}
