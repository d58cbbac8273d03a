// Package golden compares the output of a test with a golden file in the testdata directory of the tested package, byte for
// byte. It is only for tests. To write the golden files of a package instead of comparing with them, run
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
	// maxChanges is the maximum number of bytes that CheckDetectsChange changes, one at a time, besides the last byte.
	maxChanges = 512
	// shownBytes is the maximum number of bytes of an output that an error shows before and after the first difference.
	shownBytes = 60
)

var update = flag.Bool("update", false, "write golden files instead of comparing with them")

// errDiffers is the cause of an error for an output that differs from its golden file.
var errDiffers = errors.New("output differs from its golden file")

// Compare fails the test unless the output equals the named golden file.
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

// CheckDetectsChange fails the test unless the output equals the named golden file, and unless Compare would fail for an
// output with one byte changed, added or missing.
func CheckDetectsChange(t testing.TB, name string, output []byte) {
	t.Helper()
	if *update {
		return
	}
	if err := check(name, output); err != nil {
		t.Fatal(err)
	}
	if len(output) == 0 {
		t.Fatalf("%s: output is empty", name)
	}
	for offset := 0; offset < len(output); offset += 1 + len(output)/maxChanges {
		changed := bytes.Clone(output)
		changed[offset] ^= 1
		requireDiffers(t, name, fmt.Sprintf("byte %d changed", offset), changed)
	}
	last := len(output) - 1
	changed := bytes.Clone(output)
	changed[last] ^= 1
	requireDiffers(t, name, "last byte changed", changed)
	requireDiffers(t, name, "last byte missing", output[:last])
	requireDiffers(t, name, "one byte added", append(bytes.Clone(output), '\n'))
}

func requireDiffers(t testing.TB, name, change string, output []byte) {
	t.Helper()
	if err := check(name, output); !errors.Is(err, errDiffers) {
		t.Errorf("%s, %s: error %v, want %v", name, change, err, errDiffers)
	}
}

// Read returns the contents of the named golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(path(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// path returns the path of the named golden file.
func path(name string) string { return filepath.Join(folder, name) }

// write writes the named golden file.
func write(t testing.TB, name string, output []byte) {
	t.Helper()
	if err := errors.Join(os.MkdirAll(folder, 0o755), os.WriteFile(path(name), output, 0o644)); err != nil {
		t.Fatal(err)
	}
}

// check returns an error that wraps errDiffers if the output differs from the named golden file.
func check(name string, output []byte) error {
	want, err := os.ReadFile(path(name))
	if err != nil {
		return err
	}
	if bytes.Equal(want, output) {
		return nil
	}
	offset := firstDifference(want, output)
	return fmt.Errorf("%s: %w at byte %d of %d, the output has %d bytes:\n got ...%q\nwant ...%q", path(name), errDiffers, offset, len(want), len(output),
		excerpt(output, offset), excerpt(want, offset))
}

// firstDifference returns the index of the first byte in which a and b differ, or the length of the shorter one if there is
// none.
func firstDifference(a, b []byte) int {
	n := min(len(a), len(b))
	for k := range n {
		if a[k] != b[k] {
			return k
		}
	}
	return n
}

// excerpt returns the bytes of b around an offset.
func excerpt(b []byte, offset int) []byte {
	return b[max(0, offset-shownBytes):min(len(b), offset+shownBytes)]
}
