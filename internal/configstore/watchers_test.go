package configstore

import (
	"testing"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

const second = int64(1e9)

func TestWatcherTableExpiresWatchers(t *testing.T) {
	b := NewWatcherTable()
	b.Record(configapi.Query{Service: "orders"}, 0) // without a name
	b.Record(configapi.Query{Service: "orders", Instance: "n1", Zone: "a"}, 0)
	b.Record(configapi.Query{Service: "orders", Instance: "n0", Since: version(1, 2)}, 0)
	b.Record(configapi.Query{Service: "orders", Instance: "n0", Since: version(1, 3)}, second)
	all := b.Watchers(3 * second)
	if len(all) != 2 || all[0].Instance != "n0" || all[0].Active != version(1, 3) || all[0].LastSeenMS != 2000 || all[1].Zone != "a" {
		t.Errorf("%+v", all)
	}
	b.Record(configapi.Query{Service: "orders", Instance: "n2"}, watcherTTL+2*second)
	if all = b.Watchers(watcherTTL + 2*second); len(all) != 1 || all[0].Instance != "n2" {
		t.Errorf("%+v", all)
	}
}

func TestSummarizeShowsLaggingWatchers(t *testing.T) {
	s := writer(t, 3)
	if _, err := s.Put("orders", []byte(`{"a":1}`), 10*second); err != nil {
		t.Fatal(err)
	}
	behind := New(object) // a server that is disconnected from now on
	if _, err := behind.Merge(s.Snapshot(), 11*second); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put("orders", []byte(`{"a":2}`), 20*second); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put("orders", []byte(`{"a":3}`), 30*second); err != nil {
		t.Fatal(err)
	}
	here, there, now := NewWatcherTable(), NewWatcherTable(), 40*second
	hear := func(b *WatcherTable, instance, zone string, active, rejected revision.Version, at int64) {
		b.Record(configapi.Query{Service: "orders", Instance: instance, Zone: zone, Since: active, Rejected: rejected}, at)
	}
	hear(here, "n0", "a", version(3, 3), revision.Version{}, 39*second)
	hear(here, "n1", "a", version(3, 2), version(3, 3), 39*second)
	hear(there, "n2", "b", version(3, 1), revision.Version{}, 38*second) // at the disconnected server
	hear(there, "n0", "a", version(3, 1), revision.Version{}, 15*second) // an earlier poll at the other server
	hear(here, "s1", "", version(3, 3), revision.Version{}, 39*second)
	here.Record(configapi.Query{Instance: "s2", Since: version(3, 3)}, 39*second) // a server
	status := func(name string, s *Store, b *WatcherTable) configapi.Status {
		return configapi.Status{Server: name, Version: s.Version(), Services: s.Services(now), Watchers: b.Watchers(now)}
	}
	sum := Summarize([]configapi.Status{status("s2", behind, there), status("s1", s, here)})
	if sum.Version != version(3, 3) || len(sum.Servers) != 2 || len(sum.Services) != 1 || len(sum.Services[0].Zones) != 3 {
		t.Fatalf("%+v", sum)
	}
	if len(sum.Lagging) != 2 || sum.Lagging[0].Instance != "n2" || sum.Lagging[0].ForMS != 20000 || sum.Lagging[0].Newest != version(3, 3) ||
		sum.Lagging[1].Instance != "n1" || sum.Lagging[1].ForMS != 10000 {
		t.Errorf("%+v", sum.Lagging)
	}
	a := sum.Services[0].Zones[1]
	if a.Zone != "a" || a.Lagging != 1 || a.Rejected != 1 || len(a.Active) != 2 || a.Active[0] != (VersionCount{version(3, 3), 1}) {
		t.Errorf("%+v", a)
	}
}
