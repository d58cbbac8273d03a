// Package ci tests the scripts under .ci on small modules, and compares documents and deploy files with the source.
package ci

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Two packages with a test of the same name, which fails in one of them only. Each test logs a line when it runs.
const (
	hereSource = `package here

import "testing"

func TestSame(t *testing.T)      { t.Fatal("ran: here.TestSame") }
func TestSameToo(t *testing.T)   { t.Log("ran: here.TestSameToo") }
func TestFixed(t *testing.T)     { t.Log("ran: here.TestFixed") }
`
	thereSource = `package there

import (
	"os"
	"testing"
)

func TestSame(t *testing.T) {
	if t.Log("ran: there.TestSame"); os.Getenv("THERE") != "" {
		t.Fail()
	}
}
`
)

// newScriptRunner writes a small module, and returns a function that runs .ci/known-red on it with a KNOWN-RED.txt.
func newScriptRunner(t *testing.T) func(list string, env ...string) (output string, passed bool) {
	script, err := filepath.Abs("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(text), 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module small\n\ngo 1.25\n")
	write("here/here_test.go", hereSource)
	write("there/there_test.go", thereSource)
	write("none/none.go", "package none\n")
	return func(list string, env ...string) (string, bool) {
		write("KNOWN-RED.txt", list)
		cmd := exec.Command("bash", script)
		cmd.Dir, cmd.Env = dir, append(os.Environ(), append(env, "GOFLAGS=-v -vet=off -ldflags=-s", "GOWORK=off", "GORACE=atexit_sleep_ms=0")...)
		out, err := cmd.CombinedOutput()
		return string(out), err == nil
	}
}

// runOrder returns the tests that ran, in their order, and between them the reported results of the listed ones.
func runOrder(output string) string {
	return strings.Join(regexp.MustCompile(`ran: \S+|known red: .*`).FindAllString(output, -1), "\n")
}

const validLine = "TestSame | here | go test ./here, seed 7 | it fails | 31\n"

func TestKnownRedRejectsInvalidList(t *testing.T) {
	t.Parallel()
	runScript := newScriptRunner(t)
	for _, test := range [][2]string{
		{strings.Repeat(validLine, 4), "4 lines, at most 3"},
		{validLine + "\n", "malformed"},
		{"# none\n", "malformed"},
		{"TestSame | here | it fails | 31\n", "malformed"}, // without its command
		{"TestSame | here | go test | it fails\n", "malformed"},
		{"TestSame | here | go test | it fails |  \n", "malformed"},
		{"TestSame | here | go test | | 31\n", "malformed"},
		{"TestSame | here | | it fails | 31\n", "malformed"},
		{" | here | go test | it fails | 31\n", "malformed"},
		{"TestSame | | go test | it fails | 31\n", "malformed"},
		{"TestSame | here | go test | it fails | 31 |\n", "malformed"},
		{"TestSame | here | go test | it fails | 31 | more\n", "malformed"},
		{"TestSame/part | here | go test | it fails | 31\n", "malformed"},
		{"Test.* | here | go test | it fails | 31\n", "malformed"},
		{"TestFixed | ./there | go test | it fails | 31\n", "no such test: TestFixed"},
		{"TestSam | here | go test | it fails | 31\n", "no such test: TestSam "},
		{"TestSame | none | go test | it fails | 31\n", "no such test: TestSame | none"},
		{"TestSame | nowhere | go test | it fails | 31\n", "no such package"},
		{"TestSame | ./... | go test | it fails | 31\n", "no such package"},
		{"TestSame | her. | go test | it fails | 31\n", "no such package"},
	} {
		output, passed := runScript(test[0])
		if passed || strings.Count(output, "\n") != 1 || !strings.Contains(output, test[1]) || runOrder(output) != "" {
			t.Errorf("list %q: passed: %v, want a failure with %q and no test run, output: %s", test[0], passed, test[1], output)
		}
	}
}

// Listed tests run last, their results are reported, and their failures do not fail the run.
func TestKnownRedIgnoresListedFailures(t *testing.T) {
	t.Parallel()
	output, passed := newScriptRunner(t)("TestSame | ./here | go test, seed 7 | it fails | 31\nTestFixed|small/here|go test|fixed since|12")
	want := `ran: here.TestSameToo
ran: there.TestSame
ran: here.TestSame
known red: fails TestSame | ./here | go test, seed 7 | it fails | 31
ran: here.TestFixed
known red: passes TestFixed|small/here|go test|fixed since|12`
	if !passed || runOrder(output) != want {
		t.Errorf("passed: %v\n%s\ncomplete output:\n%s", passed, runOrder(output), output)
	}
}

// A test in another package that has the name of a listed test runs as usual, and its failure fails the run. The listed test
// still runs.
func TestKnownRedReportsUnlistedFailures(t *testing.T) {
	t.Parallel()
	output, passed := newScriptRunner(t)(validLine, "THERE=fails")
	want := `ran: here.TestSameToo
ran: here.TestFixed
ran: there.TestSame
ran: here.TestSame
known red: fails ` + strings.TrimSpace(validLine)
	if passed || runOrder(output) != want {
		t.Errorf("passed: %v\n%s\ncomplete output:\n%s", passed, runOrder(output), output)
	}
}
