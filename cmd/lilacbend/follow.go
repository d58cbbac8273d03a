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

// configurationFollower passes new settings from configuration servers to the core, and the core's results back to the
// servers. A nil follower does nothing.
type configurationFollower struct {
	watcher *configwatch.Watcher
	cache   *settingsCache // nil: settings are not kept over a restart
	seed    uint64
	queues  *eventloop.Queues
	log     *slog.Logger
}

// newConfigurationFollower returns the follower of the servers that the operator file names, or nil if the file has no
// section for them. own is the topology of the settings in the controller's configuration file.
func newConfigurationFollower(ctx context.Context, c configuration, own controller.Topology, queues *eventloop.Queues, log *slog.Logger) (*configurationFollower, error) {
	following := c.operator.Configuration
	if !following.Enabled() {
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

// topology returns the topology to start with: that of the cached settings if there are any, own otherwise.
func (f *configurationFollower) topology(own controller.Topology) controller.Topology {
	if f.resumes() {
		return f.cache.topology
	}
	return own
}

// resumes reports whether the controller starts with cached settings, which were active before the restart.
func (f *configurationFollower) resumes() bool {
	return f != nil && f.cache != nil && f.cache.record != nil
}

// resume offers the cached settings, if any, to the core. It has to be called before run and the first turn.
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

// offer checks settings in the same way as at the start of a controller and passes them to the core.
func (f *configurationFollower) offer(version revision.Version, raw []byte) {
	names, decoded, err := settings.Load(raw, f.seed)
	if err != nil {
		f.watcher.Rejected(version, err)
		return
	}
	f.queues.Enqueue(controller.Configure{
		Version:   version,
		Names:     names,
		Settings:  decoded,
		NewModule: func() controller.Module { return policy.New(decoded) },
	})
}

// handleResults reports which offered settings the core has applied or rejected to the configuration servers, and updates
// the control server and the limit of the input queue to the active settings.
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

// counters returns the counters of the follower, and an empty attribute if no configuration is followed.
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
