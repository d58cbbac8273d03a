package ci

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runLint runs .ci/lint in a temporary folder, with a fake linter that prints the findings. It returns the output of
// .ci/lint and whether it passed.
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
	for _, test := range []struct {
		name, pending, findings string
		wantPassed              bool
		wantOutput              string
	}{
		{"no findings", "", "", true, "lint: clean"},
		{"finding", "", inOne, false, inOne},
		{"finding without a column", "", wholeFile, false, wholeFile},
		{"findings of a pending package are counted", "a/one\n", inOne + wholeFile, true, "lint: a/one pending, 2 findings"},
		{"package nested in a pending one is not pending", "a/one\n", inOne + inNested, false, inNested},
		{"pending package without findings", "a/one\na/two\n", inOne, false, "remove it from .ci/lint-pending"},
		{"failure of the linter", "a/one\n", "cannot read revive.toml\n", false, "revive failed"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			output, passed := runLint(t, test.pending, test.findings)
			if passed != test.wantPassed || !strings.Contains(output, test.wantOutput) {
				t.Errorf("passed: %v, want %v and output with %q, output:\n%s", passed, test.wantPassed, test.wantOutput, output)
			}
		})
	}
}
