package filewriter

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"
)

// maxFiles is how many files of one directory are listed.
const maxFiles = 1 << 10

const (
	filePermissions      = 0o600
	directoryPermissions = 0o700
	// writableByOthers are the permissions that a directory must not have to be held: whoever can write there can make the
	// controller believe anything.
	writableByOthers = 0o022
)

// ErrTooLarge is a file that is larger than any that was written.
var ErrTooLarge = errors.New("too large")

// Directory is a directory of the file system, by its path.
type Directory string

// List returns the names of the regular files, sorted.
func (d Directory) List() ([]string, error) {
	directory, err := os.Open(string(d))
	if err != nil {
		return nil, err
	}
	defer directory.Close()
	entries, err := directory.ReadDir(maxFiles)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read returns the contents of a file of at most so many bytes; a larger one is an ErrTooLarge. Of one that grows meanwhile it
// reads one byte more.
func (d Directory) Read(name string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(filepath.Join(string(d), name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, info.Size(), maxBytes)
	}
	return io.ReadAll(io.LimitReader(file, maxBytes+1))
}

// Replace writes a file completely or not at all: it writes a temporary one, syncs and renames it, and then syncs the directory,
// without which the rename may not survive a power cut.
func (d Directory) Replace(name string, data []byte) error {
	temporary, err := renameio.NewPendingFile(filepath.Join(string(d), name),
		renameio.WithTempDir(string(d)), renameio.WithPermissions(filePermissions))
	if err != nil {
		return err
	}
	defer temporary.Cleanup()
	if n, err := temporary.Write(data); err != nil {
		return fmt.Errorf("after %d of %d bytes: %w", n, len(data), err)
	}
	if err := temporary.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("after all %d bytes: %w", len(data), err)
	}
	if err := d.sync(); err != nil {
		return fmt.Errorf("in place, but its folder is not synced: %w", err)
	}
	return nil
}

// sync makes renames in the directory durable. Some file systems cannot sync directories.
func (d Directory) sync() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer directory.Close()
	err = directory.Sync()
	if errors.Is(err, syscall.EINVAL) {
		return nil
	}
	return err
}

// Remove removes a file.
func (d Directory) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// lockName is the name of the file by which a directory is held.
const lockName = "lock"

// maxOwnerText bounds what is read of the owner of a lock, in bytes.
const maxOwnerText = 200

// Lock is a directory that this process holds.
type Lock struct{ file *os.File }

// LockedError says who holds a directory.
type LockedError struct{ Owner string }

func (e *LockedError) Error() string { return "held by " + e.Owner }

// Acquire creates the directory if need be and holds it for this process; a LockedError names who else holds it. The lock ends
// with the process, however that ends. A directory that belongs to another user, or that others may write to, is refused.
func (d Directory) Acquire(owner string) (*Lock, error) {
	if err := os.MkdirAll(string(d), directoryPermissions); err != nil {
		return nil, fmt.Errorf("creating the directory: %w", err)
	}
	if err := d.checkOwner(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(string(d), lockName), os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, fmt.Errorf("opening the lock file: %w", err)
	}
	if err := lockFile(file); err != nil {
		file.Close()
		return nil, err
	}
	// The owner's name is for people: a lock is held even if it cannot be written.
	file.Truncate(0)
	fmt.Fprintf(file, "%s, process %d\n", owner, os.Getpid())
	return &Lock{file}, nil
}

// checkOwner returns an error if others than this user can write to the directory.
func (d Directory) checkOwner() error {
	info, err := os.Stat(string(d))
	if err != nil {
		return err
	}
	if s, ok := info.Sys().(*syscall.Stat_t); ok && int(s.Uid) != os.Geteuid() {
		return fmt.Errorf("it belongs to user %d, this is user %d: chown it or name another folder", s.Uid, os.Geteuid())
	}
	if info.Mode().Perm()&writableByOthers != 0 {
		return fmt.Errorf("others may write to it (%v): chmod go-w", info.Mode().Perm())
	}
	return nil
}

// lockFile locks a file, or returns a LockedError with the owner that it names.
func lockFile(file *os.File) error {
	err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return nil
	}
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		return fmt.Errorf("locking the lock file: %w", err)
	}
	owner, _ := io.ReadAll(io.LimitReader(file, maxOwnerText)) // what cannot be read is not named
	return &LockedError{strings.Join(strings.Fields(string(owner)), " ")}
}

// Release ends the lock.
func (l *Lock) Release() { l.file.Close() }
