package filewriter

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

func TestDirectoryIsLockedByOneOwner(t *testing.T) {
	dir := Directory(filepath.Join(t.TempDir(), "made", "here"))
	first, err := dir.Acquire("n0")
	if err != nil {
		t.Fatal(err)
	}
	var locked *LockedError
	if _, err := dir.Acquire("n1"); !errors.As(err, &locked) || locked.Owner != fmt.Sprintf("n0, process %d", os.Getpid()) {
		t.Errorf("locked directory: error %v, want a LockedError that names n0 and this process", err)
	}
	first.Release()
	second, err := dir.Acquire("n1")
	if err != nil {
		t.Fatal(err)
	}
	second.Release()
	os.Chmod(string(dir), 0o777)
	if _, err := dir.Acquire("n0"); err == nil || !strings.Contains(err.Error(), "is writable by other users") {
		t.Errorf("directory that all users can write to: error %v, want \"is writable by other users\"", err)
	}
	os.Chmod(string(dir), 0o700)
	file := Directory(filepath.Join(string(dir), lockName, "under"))
	if _, err := file.Acquire("n0"); !errors.Is(err, syscall.ENOTDIR) {
		t.Errorf("directory path through a file: error %v, want ENOTDIR", err)
	}
	if os.Geteuid() == 0 {
		os.Chown(string(dir), 12345, 12345)
		if _, err := dir.Acquire("n0"); err == nil || !strings.Contains(err.Error(), "belongs to user 12345") {
			t.Errorf("directory of another user: error %v, want \"belongs to user 12345\"", err)
		}
	}
}

func TestDirectoryReplacesAndListsRegularFiles(t *testing.T) {
	directory := Directory(t.TempDir())
	for _, content := range []string{"first", "second"} {
		if err := directory.Replace("b", []byte(content)); err != nil {
			t.Fatal(err)
		}
		if got, err := directory.Read("b", 6); err != nil || string(got) != content {
			t.Errorf("read %q, error %v; want %q", got, err, content)
		}
	}
	if err := directory.Replace("a", nil); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(string(directory), "c"), 0o700); err != nil {
		t.Fatal(err)
	}
	if names, err := directory.List(); err != nil || !slices.Equal(names, []string{"a", "b"}) {
		t.Errorf("listed %v, error %v; want a and b", names, err)
	}
	if err := directory.Remove("b"); err != nil {
		t.Error(err)
	}
	if _, err := directory.Read("b", 6); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("removed file: error %v, want ErrNotExist", err)
	}
}

func TestReadRejectsLargeFiles(t *testing.T) {
	directory := Directory(t.TempDir())
	if err := directory.Replace("a", []byte("1234")); err != nil {
		t.Fatal(err)
	}
	if _, err := directory.Read("a", 3); !errors.Is(err, ErrTooLarge) {
		t.Errorf("4 bytes, at most 3: error %v, want ErrTooLarge", err)
	}
	if got, err := directory.Read("a", 4); err != nil || len(got) != 4 {
		t.Errorf("4 bytes, at most 4: read %q, error %v", got, err)
	}
}
