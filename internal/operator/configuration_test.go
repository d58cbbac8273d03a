package operator

import (
	"reflect"
	"strings"
	"testing"

	"lilacbend/internal/configclient"
)

func TestParseConfiguration(t *testing.T) {
	raw := "configuration:\n  service: orders\n  region: r1\n  zone: a\n  servers: [{address: 's0:7000', region: r0}, {address: 's1:7000', region: r1}]\n"
	file, err := Parse("o.yaml", []byte(raw))
	want := ConfigurationSource{Service: "orders", Region: "r1", Zone: "a", Servers: []configclient.Server{{Address: "s0:7000", Region: "r0"}, {Address: "s1:7000", Region: "r1"}}}
	if err != nil || !reflect.DeepEqual(file.Configuration, want) || !file.Configuration.Enabled() {
		t.Errorf("parsed %+v, error %v; want %+v", file.Configuration, err, want)
	}
	if empty := (File{}); empty.Configuration.Enabled() || !reflect.DeepEqual(empty.ChangedSections(file), []string{"configuration"}) || len(file.ChangedSections(file)) != 0 {
		t.Errorf("sections that differ from an empty file %v, from itself %v; want [configuration] and none", empty.ChangedSections(file), file.ChangedSections(file))
	}
	withFolder := "configuration:\n  service: orders\n  servers: [{address: 's0:7000'}]\n  folder: kept\n"
	if file, err := Parse("/etc/o.yaml", []byte(withFolder)); err != nil || file.Configuration.Folder != "/etc/kept" {
		t.Errorf("relative folder: parsed %+v, error %v; want folder /etc/kept", file.Configuration, err)
	}
	for raw, wantError := range map[string]string{
		"configuration: {}":                                                                                     "configuration: lacks service",
		"configuration: {service: orders}":                                                                      "configuration: lacks servers",
		"configuration: {service: a/b, servers: [{address: ':7'}]}":                                             `configuration.service: "a/b" is no name of a service`,
		"configuration: {service: orders, servers: []}":                                                         "configuration.servers: names no server",
		"configuration: {service: orders, servers: [{address: x}]}":                                             "configuration.servers[0].address: is \"x\"",
		"configuration: {service: orders, servers: [{address: ':7'}], regoin: a}":                               "configuration.regoin: is not known: did you mean region?",
		"configuration: {service: orders, servers: [{address: ':7'}, {address: ':7'}]}":                         "is listed twice",
		"configuration: {service: orders, servers: [{address: ':7'}], zone: [a]}":                               "configuration.zone: is a list",
		"configuration: [orders]":                                                                               "configuration: is a list",
		"configuration: {service: orders, servers: [{address: ':7', adress: ':8'}]}":                            "configuration.servers[0].adress: is not known",
		"configuration: {service: orders, servers: [{address: ':7'}], folder: ''}":                              "configuration.folder: is empty",
		"{state: {folder: /s/x}, configuration: {service: orders, servers: [{address: ':7'}], folder: /s/./x}}": "configuration.folder: is also the folder of state",
		"configurations: {service: orders, servers: [{address: ':7'}]}":                                         "configurations: is not known: did you mean configuration?",
		"configuration: {service: orders, servers: ['s0:7000']}":                                                "configuration.servers: names no server: want a list of sections",
	} {
		if _, err := Parse("o.yaml", []byte(raw)); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("%q: error %v, want %q", raw, err, wantError)
		}
	}
}
