package configstore

import (
	"testing"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

const second = int64(1e9)

func TestWatcherTableExpiresWatchers(t *testing.T) {
	table := NewWatcherTable()
	table.Record(configapi.Query{Service: "orders"}, 0) // ignored, as it has no name
	table.Record(configapi.Query{Service: "orders", Instance: "n1", Zone: "a"}, 0)
	table.Record(configapi.Query{Service: "orders", Instance: "n0", Since: version(1, 2)}, 0)
	table.Record(configapi.Query{Service: "orders", Instance: "n0", Since: version(1, 3)}, second)
	watchers := table.Watchers(3 * second)
	if len(watchers) != 2 || watchers[0].Instance != "n0" || watchers[0].Active != version(1, 3) || watchers[0].LastSeenMS != 2000 || watchers[1].Zone != "a" {
		t.Errorf("watchers %+v, want the last poll of n0 and that of n1", watchers)
	}
	table.Record(configapi.Query{Service: "orders", Instance: "n2"}, watcherTTL+2*second)
	if watchers = table.Watchers(watcherTTL + 2*second); len(watchers) != 1 || watchers[0].Instance != "n2" {
		t.Errorf("watchers %+v, want only n2 after watcherTTL", watchers)
	}
}

// The summary combines two servers, one of which has lost the writer, and lists the controllers that lag behind the newest
// version.
func TestSummarizeShowsLaggingWatchers(t *testing.T) {
	writer := newWriter(t, 3)
	if _, err := writer.Put("orders", []byte(`{"a":1}`), 10*second); err != nil {
		t.Fatal(err)
	}
	disconnected := New(checkObject) // the store of a server that is disconnected after the merge
	if _, err := disconnected.Merge(writer.Snapshot(), 11*second); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Put("orders", []byte(`{"a":2}`), 20*second); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Put("orders", []byte(`{"a":3}`), 30*second); err != nil {
		t.Fatal(err)
	}
	current, outdated, now := NewWatcherTable(), NewWatcherTable(), 40*second
	record := func(table *WatcherTable, instance, zone string, active, rejected revision.Version, at int64) {
		table.Record(configapi.Query{Service: "orders", Instance: instance, Zone: zone, Since: active, Rejected: rejected}, at)
	}
	record(current, "n0", "a", version(3, 3), revision.Version{}, 39*second)
	record(current, "n1", "a", version(3, 2), version(3, 3), 39*second)
	record(outdated, "n2", "b", version(3, 1), revision.Version{}, 38*second) // n2 polls the disconnected server
	record(outdated, "n0", "a", version(3, 1), revision.Version{}, 15*second) // n0's earlier poll of the disconnected server
	record(current, "s1", "", version(3, 3), revision.Version{}, 39*second)
	current.Record(configapi.Query{Instance: "s2", Since: version(3, 3)}, 39*second) // this follower is a server
	status := func(name string, store *Store, table *WatcherTable) configapi.Status {
		return configapi.Status{Server: name, Version: store.Version(), Services: store.Services(now), Watchers: table.Watchers(now)}
	}
	summary := Summarize([]configapi.Status{status("s2", disconnected, outdated), status("s1", writer, current)})
	if summary.Version != version(3, 3) || len(summary.Servers) != 2 || len(summary.Services) != 1 || len(summary.Services[0].Zones) != 3 {
		t.Fatalf("summary %+v, want version 3.3, two servers, and one service in three zones", summary)
	}
	if len(summary.Lagging) != 2 || summary.Lagging[0].Instance != "n2" || summary.Lagging[0].ForMS != 20000 || summary.Lagging[0].Newest != version(3, 3) ||
		summary.Lagging[1].Instance != "n1" || summary.Lagging[1].ForMS != 10000 {
		t.Errorf("lagging watchers %+v, want n2 for 20 s and n1 for 10 s", summary.Lagging)
	}
	zone := summary.Services[0].Zones[1]
	if zone.Zone != "a" || zone.Lagging != 1 || zone.Rejected != 1 || len(zone.Active) != 2 || zone.Active[0] != (VersionCount{version(3, 3), 1}) {
		t.Errorf("zone %+v, want zone a with one lagging and one rejecting controller", zone)
	}
}
