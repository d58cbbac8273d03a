package configstore

import (
	"cmp"
	"slices"

	"lilacbend/internal/configapi"
)

const (
	// maxWatchers limits how many followers are recorded. Further ones are served, but Watchers does not return them.
	maxWatchers = 1 << 16
	// watcherTTL is how long a follower stays recorded after its last poll, in nanoseconds.
	watcherTTL = int64(3600 * 1e9)
	// expiryInterval is how often followers whose watcherTTL has passed are removed, in nanoseconds.
	expiryInterval = int64(60 * 1e9)
)

// WatcherTable records the last poll of each follower.
type WatcherTable struct {
	watchers   map[watcherKey]watcher
	lastExpiry int64
}

// watcherKey identifies a follower. The service of a server that follows all services is empty.
type watcherKey struct{ service, instance string }

// watcher is the last poll of a follower and when it was received.
type watcher struct {
	query    configapi.Query
	lastSeen int64
}

// NewWatcherTable returns an empty table.
func NewWatcherTable() *WatcherTable { return &WatcherTable{watchers: map[watcherKey]watcher{}} }

// Record records a poll. It ignores a poll without the follower's name.
func (t *WatcherTable) Record(query configapi.Query, now int64) {
	if query.Instance == "" {
		return
	}
	if now-t.lastExpiry > expiryInterval {
		t.expire(now)
	}
	key := watcherKey{service: query.Service, instance: query.Instance}
	_, known := t.watchers[key]
	if known || len(t.watchers) < maxWatchers {
		t.watchers[key] = watcher{query: query, lastSeen: now}
	}
}

func (t *WatcherTable) expire(now int64) {
	t.lastExpiry = now
	for key, w := range t.watchers {
		if now-w.lastSeen > watcherTTL {
			delete(t.watchers, key)
		}
	}
}

// Watchers returns all followers, sorted by service and name.
func (t *WatcherTable) Watchers(now int64) []configapi.Watcher {
	watchers := make([]configapi.Watcher, 0, len(t.watchers))
	for key, w := range t.watchers {
		watchers = append(watchers, configapi.Watcher{
			Instance:   key.instance,
			Service:    key.service,
			Zone:       w.query.Zone,
			Region:     w.query.Region,
			Active:     w.query.Since,
			Rejected:   w.query.Rejected,
			LastSeenMS: milliseconds(now - w.lastSeen),
		})
	}
	slices.SortFunc(watchers, func(a, b configapi.Watcher) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return watchers
}
