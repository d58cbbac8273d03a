package configstore

import (
	"cmp"
	"slices"

	"lilacbend/internal/configapi"
)

const (
	// watchersMax bounds how many followers are remembered; more are served, though not shown.
	watchersMax = 1 << 16
	// watcherKept is for how long a follower is shown that is not heard any more.
	watcherKept = int64(3600 * 1e9)
	// sweepEvery is how often those that are not heard any more are forgotten.
	sweepEvery = int64(60 * 1e9)
)

// Book remembers what each follower said last.
type Book struct {
	watchers map[watcherKey]watcher
	swept    int64
}

type watcherKey struct{ service, instance string }

type watcher struct {
	query configapi.Query
	heard int64
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{watchers: map[watcherKey]watcher{}} }

// Heard notes a follower's query.
func (b *Book) Heard(q configapi.Query, now int64) {
	if q.Instance == "" {
		return
	}
	if now-b.swept > sweepEvery {
		b.sweep(now)
	}
	key := watcherKey{q.Service, q.Instance}
	if _, known := b.watchers[key]; known || len(b.watchers) < watchersMax {
		b.watchers[key] = watcher{q, now}
	}
}

func (b *Book) sweep(now int64) {
	b.swept = now
	for key, w := range b.watchers {
		if now-w.heard > watcherKept {
			delete(b.watchers, key)
		}
	}
}

// Watchers are all followers, by service and name.
func (b *Book) Watchers(now int64) []configapi.Watcher {
	all := make([]configapi.Watcher, 0, len(b.watchers))
	for key, w := range b.watchers {
		all = append(all, configapi.Watcher{Instance: key.instance, Service: key.service, Zone: w.query.Zone, Region: w.query.Region,
			InForce: w.query.Since, Refused: w.query.Refused, HeardMS: milliseconds(now - w.heard)})
	}
	slices.SortFunc(all, func(a, b configapi.Watcher) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

// Services are the versions of all services and when they came.
func (s *Store) Services(now int64) []configapi.ServiceStatus {
	all := make([]configapi.ServiceStatus, 0, len(s.services))
	for _, name := range s.Names() {
		held := s.services[name]
		status := configapi.ServiceStatus{Name: name, Version: held.Version, Bytes: len(held.Settings)}
		for _, p := range held.history {
			status.History = append(status.History, configapi.Published{Version: p.version, AgoMS: milliseconds(now - p.at)})
		}
		all = append(all, status)
	}
	return all
}
