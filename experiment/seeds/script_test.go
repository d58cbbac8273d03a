package seeds

import (
	"strings"
	"testing"
)

// A random script that is written to a file and read again must give the same run.
func TestScriptRoundTrip(t *testing.T) {
	p := Profiles["smoke"]
	faults := p.RandomFaults(7)
	written := Script{"smoke", 7, faults}.String()
	read, err := ReadScript("7.yaml", []byte(written))
	if err != nil {
		t.Fatalf("%v in script\n%s", err, written)
	}
	if drawn, replayed := p.Play(7, faults, nil), Profiles[read.Profile].Play(read.Seed, read.Faults, nil); drawn.Digest != replayed.Digest {
		t.Errorf("digest %016x of the random script, %016x of the one read from the file", drawn.Digest, replayed.Digest)
	}
}

func TestScriptErrorsNameFileLineAndKey(t *testing.T) {
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
			t.Errorf("%q: error %v, want one that contains %q", raw, err, want)
		}
	}
}
