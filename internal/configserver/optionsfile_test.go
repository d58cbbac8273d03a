package configserver

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"lilacbend/internal/configclient"
)

func TestParseFile(t *testing.T) {
	got, err := ParseOptions("/etc/l/s.yaml", []byte("name: s0\nregion: r0\nlisten: 127.0.0.1:7000\nfolder: settings\nstate: /var/s.json\npoll: 2s\n"))
	want := Options{Name: "s0", Region: "r0", Listen: "127.0.0.1:7000", Folder: "/etc/l/settings", StateFile: "/var/s.json", PollInterval: 2 * time.Second,
		MaxConnections: DefaultMaxConnections, MaxConcurrentCopies: DefaultMaxConcurrentCopies}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("writer's file: options %+v, error %v, want %+v", got, err, want)
	}
	got, err = ParseOptions("s.yaml", []byte("listen: :7000\nfollow: [{address: 's0:7000', region: r0}, {address: 's1:7000'}]\ncopies: 3\nconnections: 9\n"))
	if err != nil || !reflect.DeepEqual(got.Upstreams, []configclient.Server{{Address: "s0:7000", Region: "r0"}, {Address: "s1:7000"}}) || got.MaxConcurrentCopies != 3 || got.MaxConnections != 9 {
		t.Errorf("follower's file: options %+v, error %v", got, err)
	}
	for raw, wantError := range map[string]string{
		"listen: x\nfolder: f": `listen: is "x", want an address`,
		"folder: f":            "listen",
		"listen: :7\n":         "lacks folder or follow",
		"listen: :7\nfolder: f\nfollow: [{address: ':8'}]":       "follow: is set together with folder",
		"listen: :7\nfollow: []":                                 "follow: names no server",
		"listen: :7\nfollow: [{address: 8}]":                     `follow[0].address: is "8"`,
		"listen: :7\nfollow: [{address: ':8'}, {address: ':8'}]": "is listed twice",
		"listen: :7\nfollow: [{address: ':8', regoin: r}]":       "follow[0].regoin: is not known: did you mean region?",
		"listen: :7\nfolder: f\npoll: 1ms":                       "poll: is 1ms, want 100ms to 1h0m0s",
		"listen: :7\nfolder: f\ncopies: 0":                       "copies: is 0",
		"listen: :7\nfolder: f\nfolders: g":                      "folders: is not known: did you mean folder?",
		"listen: :7\nfolder: f\nconnections: many":               "connections: is \"many\"",
		"listen: :7\nfollow: {address: ':8'}":                    "follow: is a set of keys, want a list",
		"listen: :7\nfollow: [{address: ':8', region: [a]}]":     "follow[0].region: is a list",
		"listen: :7\nfolder: f\nstate: [x]":                      "state: is a list",
		"listen: :7\nfolder: f\nname: {}":                        "name: is a set of keys",
	} {
		if _, err := ParseOptions("s.yaml", []byte(raw)); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("file %q: error %v, want %q", raw, err, wantError)
		}
	}
}
