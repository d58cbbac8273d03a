package operator

import (
	"strings"
	"testing"
	"time"
)

func TestParseState(t *testing.T) {
	for _, c := range []struct {
		raw  string
		want Retention
	}{
		{"", Retention{}},
		{"state: {folder: /s}", Retention{"/s", 5 * time.Second, time.Minute, 3}},
		{"state: {folder: s, every: 1s, half_life: 10m, keep: 7}", Retention{"/etc/s", time.Second, 10 * time.Minute, 7}},
	} {
		file, err := Parse("/etc/operator.yaml", []byte(c.raw))
		if err != nil || file.State != c.want {
			t.Errorf("%q: parsed %+v, error %v; want %+v", c.raw, file.State, err, c.want)
		}
	}
	for raw, want := range map[string]string{
		"state: {}":                          "o.yaml:1:8: state: lacks folder",
		"state: {folder: ''}":                "state.folder: is empty",
		"state: {folder: /s, every: 1ms}":    "state.every: is 1ms, want 100ms to 1h0m0s",
		"state: {folder: /s, half_life: 0s}": "state.half_life: is 0s, want 1s to 24h0m0s",
		"state: {folder: /s, keep: 0}":       "state.keep: is 0, want 1 to 100",
		"state: {folder: /s, halflife: 1m}":  "state.halflife: is not known: did you mean half_life?",
		"stat: {folder: /s}":                 "stat: is not known: did you mean state?",
		"state: {folder: /s, folder: /t}":    "state.folder: given twice",
		"state: {folder: [/s]}":              "state.folder: is a list, want a string",
	} {
		if _, err := Parse("o.yaml", []byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", raw, err, want)
		}
	}
}
