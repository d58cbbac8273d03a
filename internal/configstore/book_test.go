package configstore

import (
	"testing"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

const second = int64(1e9)

func TestTheBookForgetsWhoIsNotHeard(t *testing.T) {
	b := NewBook()
	b.Heard(configapi.Query{Service: "orders"}, 0) // has no name
	b.Heard(configapi.Query{Service: "orders", Instance: "n1", Zone: "a"}, 0)
	b.Heard(configapi.Query{Service: "orders", Instance: "n0", Since: version(1, 2)}, 0)
	b.Heard(configapi.Query{Service: "orders", Instance: "n0", Since: version(1, 3)}, second)
	all := b.Watchers(3 * second)
	if len(all) != 2 || all[0].Instance != "n0" || all[0].InForce != version(1, 3) || all[0].HeardMS != 2000 || all[1].Zone != "a" {
		t.Errorf("%+v", all)
	}
	b.Heard(configapi.Query{Service: "orders", Instance: "n2"}, watcherKept+2*second)
	if all = b.Watchers(watcherKept + 2*second); len(all) != 1 || all[0].Instance != "n2" {
		t.Errorf("%+v", all)
	}
}

func TestWhoLagsAndForHowLong(t *testing.T) {
	s := writer(t, 3)
	if _, err := s.Put("orders", []byte(`{"a":1}`), 10*second); err != nil {
		t.Fatal(err)
	}
	behind := New(object) // a server that is cut off now
	if _, err := behind.Merge(s.Snapshot(), 11*second); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put("orders", []byte(`{"a":2}`), 20*second); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put("orders", []byte(`{"a":3}`), 30*second); err != nil {
		t.Fatal(err)
	}
	here, there, now := NewBook(), NewBook(), 40*second
	hear := func(b *Book, instance, zone string, inForce, refused revision.Version, at int64) {
		b.Heard(configapi.Query{Service: "orders", Instance: instance, Zone: zone, Since: inForce, Refused: refused}, at)
	}
	hear(here, "n0", "a", version(3, 3), revision.Version{}, 39*second)
	hear(here, "n1", "a", version(3, 2), version(3, 3), 39*second)
	hear(there, "n2", "b", version(3, 1), revision.Version{}, 38*second) // at the server that is cut off
	hear(there, "n0", "a", version(3, 1), revision.Version{}, 15*second) // was there before
	hear(here, "s1", "", version(3, 3), revision.Version{}, 39*second)
	here.Heard(configapi.Query{Instance: "s2", Since: version(3, 3)}, 39*second) // a server
	status := func(name string, s *Store, b *Book) configapi.Status {
		return configapi.Status{Server: name, Version: s.Version(), Services: s.Services(now), Watchers: b.Watchers(now)}
	}
	sum := Summarize([]configapi.Status{status("s2", behind, there), status("s1", s, here)})
	if sum.Version != version(3, 3) || len(sum.Servers) != 2 || len(sum.Services) != 1 || len(sum.Services[0].Zones) != 3 {
		t.Fatalf("%+v", sum)
	}
	if len(sum.Lagging) != 2 || sum.Lagging[0].Instance != "n2" || sum.Lagging[0].ForMS != 20000 || sum.Lagging[0].Wants != version(3, 3) ||
		sum.Lagging[1].Instance != "n1" || sum.Lagging[1].ForMS != 10000 {
		t.Errorf("%+v", sum.Lagging)
	}
	a := sum.Services[0].Zones[1]
	if a.Zone != "a" || a.Lagging != 1 || a.Refused != 1 || len(a.InForce) != 2 || a.InForce[0] != (VersionCount{version(3, 3), 1}) {
		t.Errorf("%+v", a)
	}
}
