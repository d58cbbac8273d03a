package revision

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestNewerOrdersByEpochAndRevision(t *testing.T) {
	for _, c := range []struct {
		older, newer string
	}{
		{"", "1.0"}, {"1.1", "1.2"}, {"1.9", "1.10"}, {"1.900", "2.1"}, {"9.1", "10.0"},
	} {
		older, err := Parse(c.older)
		if err != nil {
			t.Fatal(err)
		}
		newer, err := Parse(c.newer)
		if err != nil {
			t.Fatal(err)
		}
		if !newer.Newer(older) || older.Newer(newer) || older.Newer(older) || Latest(older, newer) != newer || Latest(newer, older) != newer {
			t.Errorf("Newer or Latest do not order %s after %s", newer, older)
		}
	}
}

func TestVersionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := Version{rapid.Uint64Range(0, Max).Draw(t, "epoch"), rapid.Uint64Range(0, Max).Draw(t, "revision")}
		if got, err := Parse(v.String()); err != nil || got != v || !v.Valid() {
			t.Fatalf("version %s parsed as %s, error %v", v, got, err)
		}
	})
}

func TestParseRejectsInvalidText(t *testing.T) {
	for text, want := range map[string]string{
		"7": "lacks the dot", "a.1": "epoch", "1.b": "revision", "-1.2": "epoch", "1.9007199254740993": "is over", "1.2.3": "revision",
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
	if v, err := Parse(""); err != nil || !v.IsZero() {
		t.Errorf("empty string parsed as %v, error %v; want the zero version", v, err)
	}
	if (Version{Epoch: Max + 1}).Valid() {
		t.Error("epoch Max+1 is valid, want invalid")
	}
}
