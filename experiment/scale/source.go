package scale

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"sync"

	"lilacbend/internal/configcache"
	"lilacbend/internal/configwatch"
	"lilacbend/internal/revision"
)

// Apply takes settings that have arrived. done is called once, when they are in force or have been refused.
type Apply func(v revision.Version, body []byte, done func(error))

// ConfigurationSource brings the settings of one service to one life of a governor.
type ConfigurationSource interface {
	// Start brings what was in force in the life before, before the first turn.
	Start(apply Apply)
	// Run brings what comes until ctx ends.
	Run(ctx context.Context)
}

// SourceOf makes the configuration source of a governor, whose disk outlasts its lives.
type SourceOf func(plan ControllerPlan, disk configcache.Storage) ConfigurationSource

// Watch is the product's client.
func Watch(plan ControllerPlan, disk configcache.Storage) ConfigurationSource {
	return &watchSource{plan: plan, disk: disk, service: serviceName(plan.Service), digest: configcache.DigestOf(settingsOf(plan.Shape, 1, true))}
}

type watchSource struct {
	plan    ControllerPlan
	disk    configcache.Storage
	service string
	digest  configcache.Digest // of the settings that each incarnation starts with
	watcher *configwatch.Watcher
}

// Start prepares the watch, and resumes with the settings on disk.
func (s *watchSource) Start(apply Apply) {
	offer := func(v revision.Version, body []byte) {
		apply(v, body, func(err error) {
			if err != nil {
				s.watcher.Rejected(v, err)
			} else {
				s.watcher.Applied(v)
			}
		})
	}
	var err error
	s.watcher, err = configwatch.New(configwatch.Options{Instance: fmt.Sprintf("governor-%d", s.plan.Number), Service: s.service,
		Region: regionName(s.plan.Region), Zone: zoneName(s.plan.Number % max(1, s.plan.Shape.Zones)), Servers: s.plan.Servers,
		Seed: s.plan.Seed, OnOffer: offer, OnActive: s.keep})
	if err != nil {
		panic(fmt.Sprintf("governor %d: %v", s.plan.Number, err)) // the rig's own plan is wrong
	}
	record, found, err := configcache.Load(s.disk)
	if err == nil && found && record.CheckUsable(s.service, s.digest) == nil {
		s.watcher.Resume(record.Version, record.Settings)
	}
}

// Run follows the servers until ctx ends.
func (s *watchSource) Run(ctx context.Context) { s.watcher.Run(ctx) }

// keep stores active settings. The disk is memory, so this may happen in the turn.
func (s *watchSource) keep(v revision.Version, settings []byte) {
	configcache.Write(s.disk, configcache.Record{Service: s.service, Version: v, Start: s.digest, Settings: settings})
}

// memoryDisk replaces the disk of a controller's machine.
type memoryDisk struct {
	mu    sync.Mutex
	files map[string][]byte
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string][]byte{}} }

// Read returns the content of a file.
func (d *memoryDisk) Read(name string, _ int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, found := d.files[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return data, nil
}

// Replace replaces the content of a file.
func (d *memoryDisk) Replace(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = bytes.Clone(data)
	return nil
}
