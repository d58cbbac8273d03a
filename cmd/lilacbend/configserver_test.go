package main

import (
	"reflect"
	"testing"
	"time"

	"lilacbend/internal/configclient"
	"lilacbend/internal/configserver"
)

func TestOverriddenPrefersFlags(t *testing.T) {
	file := configserver.Options{
		Name: "s0", Region: "r0", Listen: ":1", Folder: "f", StateFile: "s",
		Upstreams:    []configclient.Server{{Address: "a"}},
		PollInterval: time.Second, MaxConnections: 1, MaxConcurrentCopies: 2,
	}
	flags := configserver.Options{
		Name: "s1", Region: "r1", Listen: ":2", Folder: "g", StateFile: "t",
		Upstreams:    []configclient.Server{{Address: "b"}},
		PollInterval: time.Minute, MaxConnections: 3, MaxConcurrentCopies: 4,
	}
	for name, c := range map[string]struct{ file, flags, want configserver.Options }{
		"no flags":           {file, configserver.Options{}, file},
		"no file":            {configserver.Options{}, flags, flags},
		"all flags":          {file, flags, flags},
		"one option in each": {configserver.Options{Name: "s0"}, configserver.Options{MaxConcurrentCopies: 4}, configserver.Options{Name: "s0", MaxConcurrentCopies: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := overridden(c.file, c.flags); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got  %+v\nwant %+v", got, c.want)
			}
		})
	}
}

func TestParseServers(t *testing.T) {
	got := parseServers([]string{"s0:7000", "s1:7000=r1", "s2:7000="})
	want := []configclient.Server{{Address: "s0:7000"}, {Address: "s1:7000", Region: "r1"}, {Address: "s2:7000"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
