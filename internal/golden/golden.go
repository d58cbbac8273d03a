// Package golden holds the output of a test against a file under the package's testdata folder, byte for byte. It is for tests
// alone. A file is written anew, instead of compared, by
//
//	go test ./PACKAGE -update
package golden

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const (
	folder = "testdata"
	// maxChanges bounds the bytes that CheckDetectsChange changes, one at a time.
	maxChanges = 512
	// shownBytes is how much of an output an error shows before and after the first difference.
	shownBytes = 60
)

var update = flag.Bool("update", false, "write golden files instead of comparing with them")

// errDiffers says that an output is not what its golden file holds.
var errDiffers = errors.New("output differs from its golden file")

// Compare fails the test unless the output is what the named golden file holds.
func Compare(t testing.TB, name string, output []byte) {
	t.Helper()
	if *update {
		write(t, name, output)
		return
	}
	if err := check(name, output); err != nil {
		t.Error(err)
	}
}

// CheckDetectsChange fails the test unless the output is what the named golden file holds and is refused as soon as one byte
// of it is changed, added or missing.
func CheckDetectsChange(t testing.TB, name string, output []byte) {
	t.Helper()
	if *update {
		return
	}
	if err := check(name, output); err != nil {
		t.Fatal(err)
	}
	if len(output) == 0 {
		t.Fatalf("%s: there is no output", name)
	}
	for at := 0; at < len(output); at += 1 + len(output)/maxChanges {
		changed := bytes.Clone(output)
		changed[at] ^= 1
		requireDiffers(t, name, fmt.Sprintf("byte %d changed", at), changed)
	}
	last := len(output) - 1
	changed := bytes.Clone(output)
	changed[last] ^= 1
	requireDiffers(t, name, "last byte changed", changed)
	requireDiffers(t, name, "last byte missing", output[:last])
	requireDiffers(t, name, "one byte more", append(bytes.Clone(output), '\n'))
}

func requireDiffers(t testing.TB, name, change string, output []byte) {
	t.Helper()
	if err := check(name, output); !errors.Is(err, errDiffers) {
		t.Errorf("%s, %s: %v, want %v", name, change, err, errDiffers)
	}
}

// Read returns what a golden file holds.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	held, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return held
}

func path(name string) string { return filepath.Join(folder, name) }

func write(t testing.TB, name string, output []byte) {
	t.Helper()
	if err := errors.Join(os.MkdirAll(folder, 0o755), os.WriteFile(path(name), output, 0o644)); err != nil {
		t.Fatal(err)
	}
}

func check(name string, output []byte) error {
	held, err := os.ReadFile(path(name))
	if err != nil {
		return err
	}
	if bytes.Equal(held, output) {
		return nil
	}
	at := firstDifference(held, output)
	return fmt.Errorf("%s: %w at byte %d of %d, the output has %d:\n got ...%q\nwant ...%q", path(name), errDiffers, at, len(held), len(output),
		around(output, at), around(held, at))
}

func firstDifference(a, b []byte) int {
	n := min(len(a), len(b))
	for k := range n {
		if a[k] != b[k] {
			return k
		}
	}
	return n
}

func around(b []byte, at int) []byte {
	return b[max(0, at-shownBytes):min(len(b), at+shownBytes)]
}
