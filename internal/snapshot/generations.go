// Package snapshot keeps the generations of a controller's learned state in a directory: each a file with a format number and
// checksums, complete or not there. How far a state is trusted is decided elsewhere.
package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"lilacbend/internal/learnedstate"
)

// A generation's file is named state-, its number in 16 digits or more, and .lbs.
const (
	filePrefix = "state-"
	fileSuffix = ".lbs"
	// temporaryPrefix is how the files of writes begin that are not in place yet.
	temporaryPrefix = "." + filePrefix
)

// maxGeneration is the largest number: one a second for longer than there are machines. What is named with a larger one is no
// generation.
const maxGeneration = 1 << 60

// Storage is a directory of generations. Replace writes a file completely or not at all, and returns once it is durable.
type Storage interface {
	List() ([]string, error)
	Read(name string, maxBytes int64) ([]byte, error)
	Replace(name string, data []byte) error
	Remove(name string) error
}

// FileError is a file that was not used, and why.
type FileError struct {
	Name string
	Err  error
}

func (e FileError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns why the file was not used.
func (e FileError) Unwrap() error { return e.Err }

// Generation is a complete file.
type Generation struct {
	Name   string
	Number uint64
	Format int
	Bytes  int
	State  learnedstate.State
}

// Selection is the newest complete generation of a directory.
type Selection struct {
	Generation
	Found   bool
	Refused []FileError // newer files that are not complete
}

func fileName(generation uint64) string {
	return fmt.Sprintf("%s%016d%s", filePrefix, generation, fileSuffix)
}

// generationNumber returns the number in a file's name; false: it is no generation's.
func generationNumber(name string) (uint64, bool) {
	digits, hasPrefix := strings.CutPrefix(name, filePrefix)
	digits, hasSuffix := strings.CutSuffix(digits, fileSuffix)
	if !hasPrefix || !hasSuffix {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil && number <= maxGeneration
}

// generationNames lists the files of generations, the newest first.
func generationNames(storage Storage) ([]string, error) {
	names, err := list(storage)
	if err != nil {
		return nil, err
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		_, isGeneration := generationNumber(name)
		return !isGeneration
	})
	slices.SortFunc(names, func(a, b string) int {
		numberA, _ := generationNumber(a)
		numberB, _ := generationNumber(b)
		return cmp.Or(cmp.Compare(numberB, numberA), cmp.Compare(a, b))
	})
	return names, nil
}

func list(storage Storage) ([]string, error) {
	names, err := storage.List()
	if err != nil {
		return nil, fmt.Errorf("listing the folder: %w", err)
	}
	return names, nil
}

// Read reads one file. The error is a FileError.
func Read(storage Storage, name string) (Generation, error) {
	raw, err := readSealed(storage, name)
	if err != nil {
		return Generation{}, err
	}
	generation, err := Decode(raw)
	if err != nil {
		return Generation{}, FileError{name, err}
	}
	generation.Name = name
	return generation, nil
}

// readSealed reads the bytes of a file that is as it was written, under the name that it was written under.
func readSealed(storage Storage, name string) ([]byte, error) {
	raw, err := storage.Read(name, maxFileSize)
	if err != nil {
		return nil, FileError{name, err}
	}
	c, err := open(raw)
	if err != nil {
		return nil, FileError{name, err}
	}
	if named, ok := generationNumber(name); ok && named != c.generation {
		return nil, FileError{name, fmt.Errorf("%w: it holds generation %d", ErrNotSnapshot, c.generation)}
	}
	return raw, nil
}

// Latest reads the newest complete generation. That there is none is no error.
func Latest(storage Storage) (Selection, error) {
	names, err := generationNames(storage)
	if err != nil {
		return Selection{}, err
	}
	var selection Selection
	for _, name := range names {
		generation, err := Read(storage, name)
		if err == nil {
			selection.Generation = generation
			selection.Found = true
			break
		}
		selection.Refused = append(selection.Refused, asFileError(err))
	}
	return selection, nil
}

// ReadAll reads all generations, the newest first, and returns them without their states, as those of many would not fit into
// memory, and the files that are not complete.
func ReadAll(storage Storage) (complete []Generation, refused []FileError, err error) {
	names, err := generationNames(storage)
	if err != nil {
		return nil, nil, err
	}
	for _, name := range names {
		generation, err := Read(storage, name)
		if err != nil {
			refused = append(refused, asFileError(err))
			continue
		}
		generation.State = learnedstate.State{}
		complete = append(complete, generation)
	}
	return complete, refused, nil
}

// asFileError returns the FileError that an error of Read is.
func asFileError(err error) FileError {
	var fileError FileError
	errors.As(err, &fileError)
	return fileError
}

// Write writes the next generation and then prunes the directory.
func Write(storage Storage, state learnedstate.State, keep int) (Generation, error) {
	number, err := nextNumber(storage)
	if err != nil {
		return Generation{Number: number}, err
	}
	raw, err := Encode(state, number)
	if err != nil {
		return Generation{Number: number}, err
	}
	generation := Generation{Name: fileName(number), Number: number, Format: Format, Bytes: len(raw), State: state}
	if err := storage.Replace(generation.Name, raw); err != nil {
		return generation, fmt.Errorf("writing %s: %w", generation.Name, err)
	}
	_, err = Prune(storage, keep)
	return generation, err
}

// nextNumber returns the number of the next generation.
func nextNumber(storage Storage) (uint64, error) {
	names, err := generationNames(storage)
	if err != nil {
		return 0, err
	}
	if len(names) == 0 {
		return 1, nil
	}
	last, _ := generationNumber(names[0])
	if last+1 > maxGeneration {
		return last + 1, fmt.Errorf("no generation can follow %s: remove it", names[0])
	}
	return last + 1, nil
}

// Prune removes what unfinished writes have left and all generations but the newest complete ones, keep of them and one at
// least, and returns the names of what it has removed. A damaged file stays for as long as the complete ones of its age, as
// whoever looks for the cause may want it; what a newer program wrote stays in any case.
func Prune(storage Storage, keep int) (removed []string, err error) {
	unfinished, err := list(storage)
	if err != nil {
		return nil, err
	}
	unfinished = slices.DeleteFunc(unfinished, func(name string) bool { return !strings.HasPrefix(name, temporaryPrefix) })
	removed, err = removeAll(storage, unfinished)
	if err != nil {
		return removed, err
	}
	outdated, err := outdatedNames(storage, max(1, keep))
	if err != nil {
		return removed, err
	}
	removedGenerations, err := removeAll(storage, outdated)
	return append(removed, removedGenerations...), err
}

// outdatedNames returns the generations to be removed so that so many complete ones stay, the newest first.
func outdatedNames(storage Storage, keep int) ([]string, error) {
	names, err := generationNames(storage)
	if err != nil {
		return nil, err
	}
	var outdated []string
	complete := 0
	for _, name := range names {
		_, err := readSealed(storage, name)
		if errors.Is(err, ErrNewer) {
			continue
		}
		if err == nil {
			complete++
		}
		if complete > keep {
			outdated = append(outdated, name)
		}
	}
	return outdated, nil
}

// removeAll removes files in order up to the first that cannot be removed, and returns the names of those it has removed. One
// that is gone already counts.
func removeAll(storage Storage, names []string) (removed []string, err error) {
	for _, name := range names {
		if err := storage.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return removed, fmt.Errorf("removing %s: %w", name, err)
		}
		removed = append(removed, name)
	}
	return removed, nil
}
