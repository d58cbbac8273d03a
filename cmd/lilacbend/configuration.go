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

// configurationFollower brings changes of the settings from configuration servers to the core, and the core's verdict back.
// A nil one follows nothing.
type configurationFollower struct {
	watcher  *configwatch.Watcher
	kept     *keptConfiguration // nil: nothing is kept
	seed     uint64
	exchange *eventloop.Exchange
	log      *slog.Logger
}

// newConfigurationFollower is nil where the operator file has no such section.
func newConfigurationFollower(ctx context.Context, c configuration, own controller.Topology, x *eventloop.Exchange, log *slog.Logger) (*configurationFollower, error) {
	following := c.operator.Configuration
	if !following.On() {
		return nil, nil
	}
	f := &configurationFollower{seed: c.seed, exchange: x, log: log}
	f.kept = openKeptConfiguration(ctx, c, own, log)
	var err error
	f.watcher, err = configwatch.New(configwatch.Options{Instance: c.name, Service: following.Service, Region: following.Region,
		Zone: following.Zone, Servers: following.Servers, Seed: c.seed, Log: log, OnOffer: f.offer, OnActive: f.kept.keep})
	return f, err
}

// topology is the one to begin with: that of the settings which were in force before a restart, or the one of the
// governor's own file.
func (f *configurationFollower) topology(own controller.Topology) controller.Topology {
	if f.resumes() {
		return f.kept.topology
	}
	return own
}

// resumes says whether it begins with what was in force before a restart.
func (f *configurationFollower) resumes() bool {
	return f != nil && f.kept != nil && f.kept.record != nil
}

// resume offers what was in force before a restart to the core. It comes before run and the first turn.
func (f *configurationFollower) resume() {
	if f.resumes() {
		f.watcher.Resume(f.kept.record.Version, f.kept.record.Settings)
	}
}

// run follows the servers until ctx ends.
func (f *configurationFollower) run(ctx context.Context) {
	if f == nil {
		return
	}
	var keeping sync.WaitGroup
	defer keeping.Wait()
	keeping.Go(func() { f.kept.run(ctx) })
	f.watcher.Run(ctx)
}

// offer checks settings as at a start and hands them to the core.
func (f *configurationFollower) offer(v revision.Version, raw []byte) {
	names, decoded, err := settings.Load(raw, f.seed)
	if err != nil {
		f.watcher.Rejected(v, err)
		return
	}
	f.exchange.Publish(controller.Configure{Version: v, Names: names, Settings: decoded,
		Start: func() controller.Module { return policy.New(decoded) }})
}

// settle passes the core's verdicts on: to the servers, and to those who check and hold what peers send.
func (f *configurationFollower) settle(configured []controller.ConfigurationResult, core *controller.Core, server *controlserver.Server) {
	for _, c := range configured {
		server.Reconfigure(core.CurrentTopology())
		if c.Err != nil {
			f.watcher.Rejected(c.Version, c.Err)
			continue
		}
		f.exchange.Expect(notesExpected(c.Settings.Proxies, len(c.Names.Classes)))
		f.watcher.Applied(c.Version)
		f.log.Info("configuration in force", "version", c.Version.String(), "proxies", c.Settings.Proxies, "traffic_groups", len(c.Names.Classes))
	}
}

// notesExpected is how many proxies' worth of notes the inbox is to hold: each tells its usage of every group.
func notesExpected(proxies, groups int) int { return proxies * (1 + groups/groupsUsual) }

// figures are the counters of following; none where nothing is followed.
func (f *configurationFollower) figures(core *controller.Core) slog.Attr {
	if f == nil {
		return slog.Attr{}
	}
	n, c := f.watcher.Counts(), core.Counters
	return slog.Group("configuration", "version", f.watcher.Active().String(), "changes", c.ConfigurationsApplied, "refused", n.Rejected,
		"requests", n.Requests, "dials", n.Dials, "failures", n.Failures, "sent_away", n.Throttled, "bytes_in", n.BytesIn, "bytes_out", n.BytesOut, f.kept.figures())
}
