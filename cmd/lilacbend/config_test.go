package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseConfigurationNamesFault(t *testing.T) {
	good, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfiguration(good, options{listen: "127.0.0.1:9"})
	if err != nil || c.listen != "127.0.0.1:9" || c.seed == 0 || len(c.names.Classes) != len(c.settings.Classes) || !c.known.Complete {
		t.Errorf("%+v %v", c, err)
	}
	for _, w := range [][3]string{{"", "", "[]"}, {`"seed": "8`, `"seed": "9`, "[]"}, {`"memory_mb": `, `"memory_mb": 1`, "[limits]"},
		{`"push_rate": `, `"push_rate": 1`, "[settings]"}, {`"listen": "`, `"listen": "x`, "[]"}} { // the flag says otherwise
		n, err := parseConfiguration([]byte(strings.Replace(string(good), w[0], w[1], 1)), options{listen: "127.0.0.1:9"})
		if err != nil || fmt.Sprint(c.changesAtRestart(n)) != w[2] {
			t.Errorf("%s: %v differs, %v", w[1], c.changesAtRestart(n), err)
		}
	}
	for _, w := range [][3]string{
		{`"listen"`, `"listens"`, `listen="" is no address`},
		{`"discovery"`, `"disco"`, `discovery="" is no address`},
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
		if !strings.Contains(string(good), w[0]) {
			t.Fatalf("no %s in the example", w[0])
		}
		bad := strings.Replace(string(good), w[0], w[1], 1)
		if _, err := parseConfiguration([]byte(bad), options{}); err == nil || !strings.Contains(err.Error(), w[2]) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v", w[1], w[0], err)
		}
	}
	missing := filepath.Join(t.TempDir(), "none.json")
	for file, says := range map[string]string{"": "PROXY_CONFIG", missing: missing} {
		if _, err := readConfiguration(options{file: file}); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v", file, err)
		}
	}
}

func TestOrPrefersFirst(t *testing.T) {
	for _, c := range []struct{ first, second, want string }{
		{"", "", ""},
		{"a", "", "a"},
		{"", "b", "b"},
		{"a", "b", "a"},
	} {
		if got := or(c.first, c.second); got != c.want {
			t.Errorf("or(%q, %q) is %q, want %q", c.first, c.second, got, c.want)
		}
	}
}
