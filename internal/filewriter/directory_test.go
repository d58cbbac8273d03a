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

func TestDirectoryIsHeldByOneProcess(t *testing.T) {
	dir := Directory(filepath.Join(t.TempDir(), "made", "here"))
	first, err := dir.Acquire("n0")
	if err != nil {
		t.Fatal(err)
	}
	var held *LockedError
	if _, err := dir.Acquire("n1"); !errors.As(err, &held) || held.Owner != fmt.Sprintf("n0, process %d", os.Getpid()) {
		t.Errorf("%v", err)
	}
	first.Release()
	again, err := dir.Acquire("n1")
	if err != nil {
		t.Fatal(err)
	}
	again.Release()
	os.Chmod(string(dir), 0o777)
	if _, err := dir.Acquire("n0"); err == nil || !strings.Contains(err.Error(), "others may write") {
		t.Errorf("a folder for all: %v", err)
	}
	os.Chmod(string(dir), 0o700)
	file := Directory(filepath.Join(string(dir), LockName, "under"))
	if _, err := file.Acquire("n0"); !errors.Is(err, syscall.ENOTDIR) {
		t.Errorf("a file for a folder: %v", err)
	}
	if os.Geteuid() == 0 {
		os.Chown(string(dir), 12345, 12345)
		if _, err := dir.Acquire("n0"); err == nil || !strings.Contains(err.Error(), "belongs to user 12345") {
			t.Errorf("somebody else's: %v", err)
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
			t.Errorf("%q %v, want %q", got, err, content)
		}
	}
	if err := directory.Replace("a", nil); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(string(directory), "c"), 0o700); err != nil {
		t.Fatal(err)
	}
	if names, err := directory.List(); err != nil || !slices.Equal(names, []string{"a", "b"}) {
		t.Errorf("%v %v", names, err)
	}
	if err := directory.Remove("b"); err != nil {
		t.Error(err)
	}
	if _, err := directory.Read("b", 6); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a removed file: %v", err)
	}
}

func TestDirectoryRefusesLargeFiles(t *testing.T) {
	directory := Directory(t.TempDir())
	if err := directory.Replace("a", []byte("1234")); err != nil {
		t.Fatal(err)
	}
	if _, err := directory.Read("a", 3); !errors.Is(err, ErrTooLarge) {
		t.Errorf("4 bytes of at most 3: %v", err)
	}
	if got, err := directory.Read("a", 4); err != nil || len(got) != 4 {
		t.Errorf("4 bytes of at most 4: %q %v", got, err)
	}
}
