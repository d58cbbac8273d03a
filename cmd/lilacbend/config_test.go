package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseConfigurationNamesInvalidKey(t *testing.T) {
	valid, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfiguration(valid, options{listen: "127.0.0.1:9"})
	if err != nil || c.listen != "127.0.0.1:9" || c.seed == 0 || len(c.names.Classes) != len(c.settings.Classes) || !c.known.Complete {
		t.Errorf("parsed example is %+v, error %v", c, err)
	}
	for _, change := range [][3]string{{"", "", "[]"}, {`"seed": "8`, `"seed": "9`, "[]"}, {`"memory_mb": `, `"memory_mb": 1`, "[limits]"},
		{`"push_rate": `, `"push_rate": 1`, "[settings]"}, {`"listen": "`, `"listen": "x`, "[]"}} { // the flag takes precedence
		next, err := parseConfiguration([]byte(strings.Replace(string(valid), change[0], change[1], 1)), options{listen: "127.0.0.1:9"})
		if err != nil || fmt.Sprint(c.changesAtRestart(next)) != change[2] {
			t.Errorf("%s: changes at restart are %v, want %s; error %v", change[1], c.changesAtRestart(next), change[2], err)
		}
	}
	for _, fault := range [][3]string{
		{`"listen"`, `"listens"`, `listen="" is not an address of the form host:port`},
		{`"discovery"`, `"disco"`, `discovery="" is not an address of the form host:port`},
		{`"seed": "`, `"seed": "x`, `is not a hexadecimal number`},
		{`"memory_mb"`, `"memory"`, `limits.memory_mb`},
		{`"known"`, `"unknown"`, `known or settings is missing`},
		{`"revision"`, `"version"`, `known: not a list`},
		{`"push_rate"`, `"rate"`, `settings: setting domain.push_rate is missing`},
		{`"pick": "random"`, `"pick": "best"`, `settings: setting domain.pick="best" is not known`},
		{`"slo_ms"`, `"slo"`, `settings: setting lanes.0.slo_ms is missing`},
		{`"name": "lookup"`, `"title": "lookup"`, `settings: setting lanes.0.name is missing`},
		{`{`, `[`, `not readable as JSON`},
	} {
		if !strings.Contains(string(valid), fault[0]) {
			t.Fatalf("the example does not contain %s", fault[0])
		}
		invalid := strings.Replace(string(valid), fault[0], fault[1], 1)
		if _, err := parseConfiguration([]byte(invalid), options{}); err == nil || !strings.Contains(err.Error(), fault[2]) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: error %v, want one line with %q", fault[1], fault[0], err, fault[2])
		}
	}
	missing := filepath.Join(t.TempDir(), "none.json")
	for file, want := range map[string]string{"": "PROXY_CONFIG", missing: missing} {
		if _, err := readConfiguration(options{file: file}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("configuration file %q: error %v, want one with %q", file, err, want)
		}
	}
}

func TestFirstNonEmpty(t *testing.T) {
	for _, c := range []struct{ first, second, want string }{
		{"", "", ""},
		{"a", "", "a"},
		{"", "b", "b"},
		{"a", "b", "a"},
	} {
		if got := firstNonEmpty(c.first, c.second); got != c.want {
			t.Errorf("firstNonEmpty(%q, %q) is %q, want %q", c.first, c.second, got, c.want)
		}
	}
}
