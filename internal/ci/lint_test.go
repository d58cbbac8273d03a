package ci

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runLint runs .ci/lint in a folder of its own, with a linter that prints the findings, and returns what it printed and
// whether it passed.
func runLint(t *testing.T, pending, findings string) (output string, passed bool) {
	t.Helper()
	script, err := os.ReadFile("../../.ci/lint")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(text), 0o755)); err != nil {
			t.Fatal(err)
		}
	}
	write(".ci/lint", string(script))
	write(".ci/lint-pending", pending)
	write("findings", findings)
	write("bin/go", "#!/bin/sh\n[ \"$1 $2\" = 'tool revive' ] || exit 9\ncat findings\n[ ! -s findings ]\n")
	cmd := exec.Command("bash", filepath.Join(dir, ".ci/lint"))
	cmd.Env = append(os.Environ(), "PATH="+filepath.Join(dir, "bin")+":"+os.Getenv("PATH"))
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

func TestLint(t *testing.T) {
	t.Parallel()
	const (
		inOne     = "a/one/file.go:3:1: function has cognitive complexity 16\n"
		wholeFile = "a/one/file.go:401: file length is 401 lines\n"
		inNested  = "a/one/nested/file.go:7:2: no comment\n"
	)
	for _, c := range []struct {
		name, pending, findings string
		passes                  bool
		says                    string
	}{
		{"no findings", "", "", true, "lint: clean"},
		{"finding", "", inOne, false, inOne},
		{"finding without a column", "", wholeFile, false, wholeFile},
		{"findings of a pending package are counted", "a/one\n", inOne + wholeFile, true, "lint: a/one pending, 2 findings"},
		{"a package below a pending one is not pending", "a/one\n", inOne + inNested, false, inNested},
		{"pending package without findings", "a/one\na/two\n", inOne, false, "remove it from .ci/lint-pending"},
		{"the linter itself fails", "a/one\n", "cannot read revive.toml\n", false, "revive failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			output, passed := runLint(t, c.pending, c.findings)
			if passed != c.passes || !strings.Contains(output, c.says) {
				t.Errorf("passed: %v, want %v and %q:\n%s", passed, c.passes, c.says, output)
			}
		})
	}
}
