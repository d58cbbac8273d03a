package golden

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
)

// recorder is a testing.TB that records errors instead of failing a test.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Helper()           {}
func (r *recorder) Error(args ...any) { r.failures = append(r.failures, fmt.Sprint(args...)) }

func TestCompareFailsOnAnyDifference(t *testing.T) {
	const content = "first\nsecond\n"
	for _, c := range []struct {
		name, file, output, wantError string
	}{
		{"equal", "sample.golden", content, ""},
		{"first byte", "sample.golden", "First\nsecond\n", "at byte 0 of 13"},
		{"byte in the middle", "sample.golden", "first\nsecund\n", "at byte 9 of 13"},
		{"last byte", "sample.golden", "first\nsecond ", "at byte 12 of 13"},
		{"last byte missing", "sample.golden", "first\nsecond", "at byte 12 of 13, the output has 12"},
		{"one byte added", "sample.golden", content + "\n", "at byte 13 of 13, the output has 14"},
		{"line ends", "sample.golden", "first\r\nsecond\r\n", "at byte 5 of 13"},
		{"empty output", "sample.golden", "", "the output has 0"},
		{"missing file", "missing.golden", content, "no such file"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{TB: t}
			Compare(r, c.file, []byte(c.output))
			failed := len(r.failures) > 0
			if failed != (c.wantError != "") || failed && !strings.Contains(r.failures[0], c.wantError) {
				t.Errorf("errors %q, want %q", r.failures, c.wantError)
			}
		})
	}
	CheckDetectsChange(t, "sample.golden", []byte(content))
}

func TestPackageIsNotLinkedIntoThePrograms(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "lilacbend/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	packages := strings.Fields(string(out))
	if len(packages) < 100 {
		t.Errorf("go list names %d packages, want at least 100", len(packages))
	}
	for _, name := range packages {
		if name == "lilacbend/internal/golden" {
			t.Errorf("%s is linked into a program", name)
		}
	}
}
