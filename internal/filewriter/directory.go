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

// maxFiles is the maximum number of directory entries that List reads.
const maxFiles = 1 << 10

const (
	filePermissions      = 0o600
	directoryPermissions = 0o700
	// writableByOthers are the permissions that a directory must not have: any user who can write to it could replace the files
	// that the controller trusts.
	writableByOthers = 0o022
)

// ErrTooLarge is returned for a file that is larger than any file that the program writes there.
var ErrTooLarge = errors.New("file is too large")

// Directory is the path of a directory in the file system.
type Directory string

// List returns the sorted names of the regular files among the first maxFiles entries of the directory.
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

// Read returns the contents of a file of at most maxBytes; for a larger file the error wraps ErrTooLarge. If the file grows
// beyond maxBytes during the call, Read returns maxBytes+1 bytes and no error.
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
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d bytes", ErrTooLarge, info.Size(), maxBytes)
	}
	return io.ReadAll(io.LimitReader(file, maxBytes+1))
}

// Replace writes a file completely or not at all: it writes a temporary file, syncs and renames it, and then syncs the
// directory, since otherwise the rename might not survive a power failure.
func (d Directory) Replace(name string, data []byte) error {
	temporary, err := renameio.NewPendingFile(filepath.Join(string(d), name),
		renameio.WithTempDir(string(d)), renameio.WithPermissions(filePermissions))
	if err != nil {
		return err
	}
	defer temporary.Cleanup()
	if n, err := temporary.Write(data); err != nil {
		return fmt.Errorf("write failed after %d of %d bytes: %w", n, len(data), err)
	}
	if err := temporary.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("replacing the file failed after all %d bytes were written: %w", len(data), err)
	}
	if err := d.sync(); err != nil {
		return fmt.Errorf("file was replaced, but syncing its directory failed: %w", err)
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

// lockName is the name of the lock file of a directory.
const lockName = "lock"

// maxOwnerText is the maximum number of bytes of the owner's name that are read from a lock file.
const maxOwnerText = 200

// Lock is a lock on a directory that this process holds.
type Lock struct{ file *os.File }

// LockedError is returned for a directory that Owner has locked.
type LockedError struct{ Owner string }

func (e *LockedError) Error() string { return "directory is locked by " + e.Owner }

// Acquire creates the directory if it does not exist and locks it for this process. If it is already locked, the error is a
// LockedError that names the owner of the lock. The operating system releases the lock when the process ends, even after a
// crash. Acquire rejects a directory that belongs to another user or is writable by other users.
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
	// The owner's name is only for operators: the lock is valid even if writing the name fails.
	file.Truncate(0)
	fmt.Fprintf(file, "%s, process %d\n", owner, os.Getpid())
	return &Lock{file}, nil
}

// checkOwner returns an error if the directory belongs to another user or is writable by other users.
func (d Directory) checkOwner() error {
	info, err := os.Stat(string(d))
	if err != nil {
		return err
	}
	if s, ok := info.Sys().(*syscall.Stat_t); ok && int(s.Uid) != os.Geteuid() {
		return fmt.Errorf("directory belongs to user %d, but this process runs as user %d: change its owner or configure another directory", s.Uid, os.Geteuid())
	}
	if info.Mode().Perm()&writableByOthers != 0 {
		return fmt.Errorf("directory is writable by other users (%v): chmod go-w", info.Mode().Perm())
	}
	return nil
}

// lockFile locks a lock file. If it is already locked, the error is a LockedError with the owner that the file names.
func lockFile(file *os.File) error {
	err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return nil
	}
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		return fmt.Errorf("locking the lock file: %w", err)
	}
	owner, _ := io.ReadAll(io.LimitReader(file, maxOwnerText)) // if reading fails, the owner's name is empty or cut
	return &LockedError{strings.Join(strings.Fields(string(owner)), " ")}
}

// Release releases the lock.
func (l *Lock) Release() { l.file.Close() }
