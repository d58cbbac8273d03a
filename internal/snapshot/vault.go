// Package snapshot keeps the generations of a governor's memory in a folder: each versioned, checksummed and whole,
// or not there. It decides nothing; what is believed of a memory is not its matter.
package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"

	"lilacbend/internal/learnedstate"
)

const (
	prefix, suffix = "state-", ".lbs"
	lockName       = "lock"
	// A generation a second for longer than there are machines.
	numberMost = 1 << 60
	// Files in one folder that are looked at; more are nobody's generations.
	filesMost = 1 << 10
)

// Storage is a folder as the vault uses it. Replace writes a file whole or not at all, and returns once it lasts.
type Storage interface {
	List() ([]string, error)
	Read(name string, most int64) ([]byte, error)
	Replace(name string, data []byte) error
	Remove(name string) error
}

// Directory is a folder of the file system.
type Directory string

// List names the plain files.
func (f Directory) List() (names []string, err error) {
	d, err := os.Open(string(f))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	entries, err := d.ReadDir(filesMost)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read reads a file of at most so many bytes; of a longer one it reads one byte more.
func (f Directory) Read(name string, most int64) ([]byte, error) {
	file, err := os.Open(filepath.Join(string(f), name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if info, err := file.Stat(); err != nil {
		return nil, err
	} else if info.Size() > most {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, info.Size(), most)
	}
	return io.ReadAll(io.LimitReader(file, most+1))
}

// Replace writes beside, syncs, renames, and syncs the folder, so that the rename lasts as well.
func (f Directory) Replace(name string, data []byte) error {
	t, err := renameio.NewPendingFile(filepath.Join(string(f), name), renameio.WithTempDir(string(f)), renameio.WithPermissions(0o600))
	if err != nil {
		return err
	}
	defer t.Cleanup()
	if n, err := t.Write(data); err != nil {
		return fmt.Errorf("after %d of %d bytes: %w", n, len(data), err)
	}
	if err := t.CloseAtomicallyReplace(); err != nil {
		return fmt.Errorf("after all %d bytes: %w", len(data), err)
	}
	d, err := os.Open(string(f))
	if err != nil {
		return fmt.Errorf("in place, but its folder is not synced: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil && !errors.Is(err, syscall.EINVAL) { // some file systems sync no folders
		return fmt.Errorf("in place, but its folder is not synced: %w", err)
	}
	return nil
}

// Remove removes a file.
func (f Directory) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

// LockedError says who holds a folder.
type LockedError struct{ Owner string }

func (h *LockedError) Error() string { return "held by " + h.Owner }

// Lock is a held folder.
type Lock struct{ file *os.File }

// Acquire makes the folder if need be and holds it for this process, or says in a Held who does. The hold ends with
// the process, however it ends. A folder that belongs to somebody else, or that others may write to, is refused:
// whoever can write there can say which replicas are sick.
func (f Directory) Acquire(who string) (*Lock, error) {
	if err := os.MkdirAll(string(f), 0o700); err != nil {
		return nil, fmt.Errorf("making it: %w", err)
	}
	info, err := os.Stat(string(f))
	if err != nil {
		return nil, err
	}
	if s, ok := info.Sys().(*syscall.Stat_t); ok && int(s.Uid) != os.Geteuid() {
		return nil, fmt.Errorf("it belongs to user %d, this is user %d: chown it or name another folder", s.Uid, os.Geteuid())
	}
	if info.Mode().Perm()&0o022 != 0 {
		return nil, fmt.Errorf("others may write to it (%v): chmod go-w", info.Mode().Perm())
	}
	file, err := os.OpenFile(filepath.Join(string(f), lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("its lock: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer file.Close()
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("its lock: %w", err)
		}
		by, _ := io.ReadAll(io.LimitReader(file, 200))
		return nil, &LockedError{strings.Join(strings.Fields(string(by)), " ")}
	}
	file.Truncate(0) // who cannot be written is still held
	fmt.Fprintf(file, "%s, process %d\n", who, os.Getpid())
	return &Lock{file}, nil
}

// Release ends the hold.
func (l *Lock) Release() { l.file.Close() }

// FileError is a file that was not used, and why.
type FileError struct {
	Name string
	Err  error
}

func (r FileError) Error() string { return r.Name + ": " + r.Err.Error() }
func (r FileError) Unwrap() error { return r.Err }

// Generation is a whole file.
type Generation struct {
	Name   string
	Number uint64
	Format int
	Bytes  int
	State  learnedstate.State
}

func fileName(generation uint64) string { return fmt.Sprintf("%s%016d%s", prefix, generation, suffix) }

// numbered reads the generation from a file's name.
func numbered(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if digits, ok2 := strings.CutSuffix(digits, suffix); ok && ok2 {
		n, err := strconv.ParseUint(digits, 10, 64)
		return n, err == nil && n <= numberMost
	}
	return 0, false
}

// names lists the files of generations, the newest first.
func names(d Storage) ([]string, error) {
	all, err := d.List()
	if err != nil {
		return nil, fmt.Errorf("listing the folder: %w", err)
	}
	all = slices.DeleteFunc(all, func(name string) bool { _, ok := numbered(name); return !ok })
	slices.SortFunc(all, func(a, b string) int {
		x, _ := numbered(a)
		y, _ := numbered(b)
		return cmp.Or(cmp.Compare(y, x), cmp.Compare(a, b))
	})
	return all, nil
}

// Read reads one file.
func Read(d Storage, name string) (g Generation, err error) {
	raw, err := sealed(d, name)
	if err != nil {
		return g, err
	}
	m, number, format, err := Decode(raw)
	if err != nil {
		return g, FileError{name, err}
	}
	return Generation{name, number, format, len(raw), m}, nil
}

// sealed reads the bytes of a file that is as it was written, under the name that it was written under.
func sealed(d Storage, name string) ([]byte, error) {
	raw, err := d.Read(name, fileMost)
	if err != nil {
		return nil, FileError{name, err}
	}
	_, number, _, err := open(raw)
	if err != nil {
		return nil, FileError{name, err}
	}
	if told, ok := numbered(name); ok && told != number {
		return nil, FileError{name, fmt.Errorf("%w: it holds generation %d", ErrNotSnapshot, number)}
	}
	return raw, nil
}

// Latest reads the newest whole generation, and says which newer ones were refused. No generation is no error.
func Latest(d Storage) (g Generation, found bool, refused []FileError, err error) {
	all, err := names(d)
	if err != nil {
		return g, false, nil, err
	}
	for _, name := range all {
		g, err := Read(d, name)
		if err == nil {
			return g, true, refused, nil
		}
		var r FileError
		errors.As(err, &r)
		refused = append(refused, r)
	}
	return Generation{}, false, refused, nil
}

// Write writes the next generation and removes all whole ones but the newest keep. Damaged ones go with those of
// their age; what a newer program wrote stays untouched. Left over halves of writes go as well.
func Write(d Storage, m learnedstate.State, keep int) (g Generation, err error) {
	all, err := names(d)
	if err != nil {
		return g, err
	}
	g.Number = 1
	if len(all) > 0 {
		last, _ := numbered(all[0])
		if g.Number = last + 1; g.Number > numberMost {
			return g, fmt.Errorf("no generation can follow %s: remove it", all[0])
		}
	}
	raw, err := Encode(m, g.Number)
	if err != nil {
		return g, err
	}
	g.Name, g.Format, g.Bytes, g.State = fileName(g.Number), Format, len(raw), m
	if err := d.Replace(g.Name, raw); err != nil {
		return g, fmt.Errorf("writing %s: %w", g.Name, err)
	}
	_, err = Prune(d, keep)
	return g, err
}

// Prune removes all generations but the newest keep, and halves of writes, and names what it has removed.
func Prune(d Storage, keep int) (removed []string, err error) {
	all, err := d.List()
	if err != nil {
		return nil, fmt.Errorf("listing the folder: %w", err)
	}
	for _, name := range all {
		if strings.HasPrefix(name, "."+prefix) { // as renameio names what is not in place yet
			if err := d.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return removed, fmt.Errorf("removing %s: %w", name, err)
			}
			removed = append(removed, name)
		}
	}
	if all, err = names(d); err != nil {
		return removed, err
	}
	whole := 0
	for _, name := range all {
		if _, err := sealed(d, name); err == nil {
			whole++
		} else if errors.Is(err, ErrNewer) {
			continue
		}
		if whole <= max(1, keep) { // a damaged one among them may be wanted by whoever looks for the cause
			continue
		}
		if err := d.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return removed, fmt.Errorf("removing %s: %w", name, err)
		}
		removed = append(removed, name)
	}
	return removed, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// ReadAll reads all generations of a folder, the newest first.
func ReadAll(d Storage) (whole []Generation, refused []FileError, err error) {
	all, err := names(d)
	if err != nil {
		return nil, nil, err
	}
	for _, name := range all {
		g, err := Read(d, name)
		var r FileError
		if errors.As(err, &r) {
			refused = append(refused, r)
			continue
		}
		g.State = learnedstate.State{} // a folder of many would be held at once
		whole = append(whole, g)
	}
	return whole, refused, nil
}
