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

// Apply is called with received settings. It calls done once, when the settings are in force or have been refused.
type Apply func(v revision.Version, body []byte, done func(error))

// ConfigurationSource delivers the settings of a service to one incarnation of a controller.
type ConfigurationSource interface {
	// Start delivers the settings that were in force in the previous incarnation. It is called before the first turn.
	Start(apply Apply)
	// Run delivers new settings until ctx is done.
	Run(ctx context.Context)
}

// NewSource returns a configuration source for a controller. The storage is kept over the controller's incarnations.
type NewSource func(plan ControllerPlan, storage configcache.Storage) ConfigurationSource

// NewWatchSource returns a source that uses the product's configuration client.
func NewWatchSource(plan ControllerPlan, storage configcache.Storage) ConfigurationSource {
	return &watchSource{plan: plan, storage: storage, service: serviceName(plan.Service), digest: configcache.DigestOf(encodeSettings(plan.Shape, 1, true))}
}

// watchSource is a source that watches configuration servers.
type watchSource struct {
	plan    ControllerPlan
	storage configcache.Storage
	service string
	digest  configcache.Digest // digest of the settings that each incarnation starts with
	watcher *configwatch.Watcher
}

// Start creates the watcher, and resumes with the stored settings.
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
		Seed: s.plan.Seed, OnOffer: offer, OnActive: s.store})
	if err != nil {
		panic(fmt.Sprintf("watcher of controller %d: %v", s.plan.Number, err)) // the plan of the run is invalid
	}
	record, found, err := configcache.Load(s.storage)
	if err == nil && found && record.CheckUsable(s.service, s.digest) == nil {
		s.watcher.Resume(record.Version, record.Settings)
	}
}

// Run follows the servers until ctx is done.
func (s *watchSource) Run(ctx context.Context) { s.watcher.Run(ctx) }

// store stores active settings. The storage is in memory, so this may run within a turn.
func (s *watchSource) store(version revision.Version, settings []byte) {
	configcache.Write(s.storage, configcache.Record{Service: s.service, Version: version, Start: s.digest, Settings: settings})
}

// memoryStorage replaces the disk of a controller's machine.
type memoryStorage struct {
	mu    sync.Mutex
	files map[string][]byte
}

func newMemoryStorage() *memoryStorage { return &memoryStorage{files: map[string][]byte{}} }

// Read returns the content of a file.
func (d *memoryStorage) Read(name string, _ int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, found := d.files[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return data, nil
}

// Replace replaces the content of a file.
func (d *memoryStorage) Replace(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = bytes.Clone(data)
	return nil
}
