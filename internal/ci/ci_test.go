// Package ci holds the tests of the scripts under .ci, which are played on small modules of their own.
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

// Two packages with a test of the same name: it fails in one of them alone. Each test writes a line for its run.
const (
	here = `package here

import "testing"

func TestSame(t *testing.T)      { t.Fatal("ran: here.TestSame") }
func TestSameToo(t *testing.T)   { t.Log("ran: here.TestSameToo") }
func TestMended(t *testing.T)    { t.Log("ran: here.TestMended") }
`
	there = `package there

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

// module writes the small module, and says how the script is played on it beside a list of known red tests.
func module(t *testing.T) func(list string, env ...string) (output string, passed bool) {
	script, err := filepath.Abs("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) {
		at := filepath.Join(dir, name)
		if err := errors.Join(os.MkdirAll(filepath.Dir(at), 0o755), os.WriteFile(at, []byte(text), 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module small\n\ngo 1.25\n")
	write("here/here_test.go", here)
	write("there/there_test.go", there)
	write("none/none.go", "package none\n")
	return func(list string, env ...string) (string, bool) {
		write("KNOWN-RED.txt", list)
		cmd := exec.Command("bash", script)
		cmd.Dir, cmd.Env = dir, append(os.Environ(), append(env, "GOFLAGS=-v -vet=off -ldflags=-s", "GOWORK=off", "GORACE=atexit_sleep_ms=0")...)
		out, err := cmd.CombinedOutput()
		return string(out), err == nil
	}
}

// ran are the tests that ran, in their order, with what was said of the listed ones in between.
func ran(output string) string {
	return strings.Join(regexp.MustCompile(`ran: \S+|known red: .*`).FindAllString(output, -1), "\n")
}

const good = "TestSame | here | go test ./here, seed 7 | it fails | 31\n"

func TestKnownRedIsRefused(t *testing.T) {
	t.Parallel()
	play := module(t)
	for _, c := range [][2]string{
		{strings.Repeat(good, 4), "4 lines, at most 3"},
		{good + "\n", "malformed"},
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
		{"TestMended | ./there | go test | it fails | 31\n", "no such test: TestMended"},
		{"TestSam | here | go test | it fails | 31\n", "no such test: TestSam "},
		{"TestSame | none | go test | it fails | 31\n", "no such test: TestSame | none"},
		{"TestSame | nowhere | go test | it fails | 31\n", "no such package"},
		{"TestSame | ./... | go test | it fails | 31\n", "no such package"},
		{"TestSame | her. | go test | it fails | 31\n", "no such package"},
	} {
		output, passed := play(c[0])
		if passed || strings.Count(output, "\n") != 1 || !strings.Contains(output, c[1]) || ran(output) != "" {
			t.Errorf("%q: passed: %v, want %q: %s", c[0], passed, c[1], output)
		}
	}
}

// What is listed fails nothing, is run last and told with its result.
func TestKnownRedFailsNothing(t *testing.T) {
	t.Parallel()
	output, passed := module(t)("TestSame | ./here | go test, seed 7 | it fails | 31\nTestMended|small/here|go test|mended since|12")
	want := `ran: here.TestSameToo
ran: there.TestSame
ran: here.TestSame
known red: fails TestSame | ./here | go test, seed 7 | it fails | 31
ran: here.TestMended
known red: passes TestMended|small/here|go test|mended since|12`
	if !passed || ran(output) != want {
		t.Errorf("passed: %v\n%s\nall of it:\n%s", passed, ran(output), output)
	}
}

// A test of its name elsewhere runs as ever, and its failure fails all; the listed one runs all the same.
func TestAllElseFails(t *testing.T) {
	t.Parallel()
	output, passed := module(t)(good, "THERE=fails")
	want := `ran: here.TestSameToo
ran: here.TestMended
ran: there.TestSame
ran: here.TestSame
known red: fails ` + strings.TrimSpace(good)
	if passed || ran(output) != want {
		t.Errorf("passed: %v\n%s\nall of it:\n%s", passed, ran(output), output)
	}
}
