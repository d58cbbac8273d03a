// Package snapshot stores snapshots of a controller's learned state as numbered generations in a directory. Each generation
// is a file with a format number and checksums that is written completely or not at all. How much confidence a restored
// state deserves is not decided here.
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

// A generation's file name consists of filePrefix, its number in 16 digits or more, and fileSuffix.
const (
	filePrefix = "state-"
	fileSuffix = ".lbs"
	// temporaryPrefix is the prefix of the temporary files of unfinished writes.
	temporaryPrefix = "." + filePrefix
)

// maxGeneration is the largest generation number; with one generation per second it lasts for more than 10^10 years. A file
// with a larger number in its name is not a generation.
const maxGeneration = 1 << 60

// Storage is a directory of generations. Replace writes a file completely or not at all, and returns once the file is
// durable.
type Storage interface {
	List() ([]string, error)
	Read(name string, maxBytes int64) ([]byte, error)
	Replace(name string, data []byte) error
	Remove(name string) error
}

// FileError is the reason why a file was not used, with the file's name.
type FileError struct {
	Name string
	Err  error
}

func (e FileError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the reason without the file's name.
func (e FileError) Unwrap() error { return e.Err }

// Generation is a snapshot read from a complete file, or written to one.
type Generation struct {
	Name   string
	Number uint64
	Format int
	Size   int // size of the file
	State  learnedstate.State
}

// Selection is the newest complete generation of a directory, if there is one.
type Selection struct {
	Generation
	Found   bool
	Refused []FileError // newer files that cannot be used, with the reasons
}

func fileName(generation uint64) string {
	return fmt.Sprintf("%s%016d%s", filePrefix, generation, fileSuffix)
}

// generationNumber returns the number in the name of a generation's file, or false if the name is not that of a generation.
func generationNumber(name string) (uint64, bool) {
	digits, hasPrefix := strings.CutPrefix(name, filePrefix)
	digits, hasSuffix := strings.CutSuffix(digits, fileSuffix)
	if !hasPrefix || !hasSuffix {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil && number <= maxGeneration
}

// generationNames lists the names of the generations' files, the newest first.
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
		return nil, fmt.Errorf("listing the snapshot folder: %w", err)
	}
	return names, nil
}

// Read reads and decodes one generation's file. The error is a FileError.
func Read(storage Storage, name string) (Generation, error) {
	file, err := readVerified(storage, name)
	if err != nil {
		return Generation{}, err
	}
	generation, err := Decode(file)
	if err != nil {
		return Generation{}, FileError{name, err}
	}
	generation.Name = name
	return generation, nil
}

// readVerified reads a file and verifies its checksums, its format and that the generation in its header is the one in its
// name. It does not decode the body.
func readVerified(storage Storage, name string) ([]byte, error) {
	file, err := storage.Read(name, maxFileSize)
	if err != nil {
		return nil, FileError{name, err}
	}
	parsed, err := parseFile(file)
	if err != nil {
		return nil, FileError{name, err}
	}
	if numberInName, ok := generationNumber(name); ok && numberInName != parsed.generation {
		return nil, FileError{name, fmt.Errorf("%w: file name does not match generation %d in the header", ErrNotSnapshot, parsed.generation)}
	}
	return file, nil
}

// Latest reads the newest complete generation. It returns no error if there is none.
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

// ReadAll reads all generations, the newest first. It returns the complete ones without their states, since the states of
// many generations may not fit into memory, and the files that cannot be used.
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

// asFileError returns the FileError in an error of Read.
func asFileError(err error) FileError {
	var fileError FileError
	errors.As(err, &fileError)
	return fileError
}

// Write writes the state as the next generation and then prunes the directory.
func Write(storage Storage, state learnedstate.State, keep int) (Generation, error) {
	number, err := nextNumber(storage)
	if err != nil {
		return Generation{Number: number}, err
	}
	file, err := Encode(state, number)
	if err != nil {
		return Generation{Number: number}, err
	}
	generation := Generation{Name: fileName(number), Number: number, Format: CurrentFormat, Size: len(file), State: state}
	if err := storage.Replace(generation.Name, file); err != nil {
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
		return last + 1, fmt.Errorf("next generation number after %s exceeds %d: remove that file", names[0], uint64(maxGeneration))
	}
	return last + 1, nil
}

// Prune removes the temporary files of unfinished writes and all complete generations but the newest ones, of which it
// leaves as many as keep states, and at least one. It returns the names of the removed files. A file that is damaged or
// cannot be read is removed once more than keep newer complete generations exist, so that the cause of the damage can be
// examined until then. A file of a newer program is never removed.
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

// outdatedNames returns the names of the files to be removed so that of the complete generations only the newest ones
// remain, as many as keep states. The names are sorted by generation, newest first.
func outdatedNames(storage Storage, keep int) ([]string, error) {
	names, err := generationNames(storage)
	if err != nil {
		return nil, err
	}
	var outdated []string
	complete := 0
	for _, name := range names {
		_, err := readVerified(storage, name)
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

// removeAll removes files in order and stops at the first that cannot be removed. It returns the names of the removed files,
// including those that did not exist any more.
func removeAll(storage Storage, names []string) (removed []string, err error) {
	for _, name := range names {
		if err := storage.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return removed, fmt.Errorf("removing %s: %w", name, err)
		}
		removed = append(removed, name)
	}
	return removed, nil
}
