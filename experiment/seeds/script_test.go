package seeds

import (
	"strings"
	"testing"
)

// What a seed draws, written and read again, is the same run.
func TestAScriptIsReadAsItIsWritten(t *testing.T) {
	p := Profiles["smoke"]
	drawn := p.Draw(7)
	written := Script{"smoke", 7, drawn}.String()
	s, err := ReadScript("7.yaml", []byte(written))
	if err != nil {
		t.Fatalf("%v in\n%s", err, written)
	}
	if a, b := p.Play(7, drawn, nil), Profiles[s.Profile].Play(s.Seed, s.Faults, nil); a.Digest != b.Digest {
		t.Errorf("%016x as drawn, %016x as read", a.Digest, b.Digest)
	}
}

func TestAFaultOfAScriptNamesFileLineAndKey(t *testing.T) {
	for raw, want := range map[string]string{
		"profile: smok\n": "smoke",
		"profile: smoke\nfaults:\n  - kind: silnt\n":                   "s.yaml:3",
		"profile: smoke\nfaults:\n  - at: 1s\n":                        "lacks kind",
		"profile: smoke\nfaults:\n  - kind: cut\n    who: 2\n":         "zone 2 of 2",
		"profile: smoke\nfaults:\n  - kind: silent\n    at: -1s\n":     "faults[0].at",
		"profile: smoke\nfaults:\n  - kind: silent\n    when: 1s\n":    "when",
		"profile: smoke\nseed: many\nfaults:\n  - kind: silent\n":      "seed",
		"profile: smoke\nfaults:\n  - kind: silent\n    span: a day\n": "span",
	} {
		if _, err := ReadScript("s.yaml", []byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q named", raw, err, want)
		}
	}
}
