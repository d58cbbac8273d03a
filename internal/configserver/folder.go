package configserver

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lilacbend/internal/configstore"
)

const (
	// suffix is that of a file that holds the settings of a service; the rest of its name is the service's.
	suffix = ".json"
	// settleSpan is how old the last change of a file must be for its time and size to tell whether it has changed since:
	// file systems keep times no finer than this.
	settleSpan = 2 * time.Second
	// fullEvery is how often all files are read whatever their times say.
	fullEvery = time.Minute
)

// errChanging says that a file was written to while it was read.
var errChanging = errors.New("it changes while it is read")

// errGone says that a folder that had settings has none any more.
var errGone = errors.New("no settings are left in it, all services stay as they are")

// folder reads the settings of all services from the files of a folder.
type folder struct {
	path  string
	files map[string]stamp // by name, those whose stamp tells whether they have changed
	full  time.Time        // when all were read last
}

// stamp is what a file shows without being read.
type stamp struct {
	size     int64
	modified time.Time
}

// file is one that was read, or that cannot be.
type file struct {
	name     string
	service  string
	settings []byte
	err      error
}

// scan reads the files that may have changed. Present are the services that have a file, of use or not. An error means that
// the folder tells nothing.
func (f *folder) scan(now time.Time, all bool) (read []file, present map[string]bool, err error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, nil, err
	}
	if all || f.files == nil || now.Sub(f.full) >= fullEvery {
		f.files, f.full = map[string]stamp{}, now
	}
	present = map[string]bool{}
	for _, entry := range entries {
		service, isSettings := strings.CutSuffix(entry.Name(), suffix)
		if !isSettings || strings.HasPrefix(service, ".") {
			continue
		}
		present[service] = true
		if one, changed := f.read(entry.Name(), now); changed {
			one.service = service
			read = append(read, one)
		}
	}
	return read, present, nil
}

// read reads a file unless its stamp tells that it is the one that was read last.
func (f *folder) read(name string, now time.Time) (one file, changed bool) {
	path := filepath.Join(f.path, name)
	before, err := os.Stat(path)
	if err != nil {
		return file{name: name, err: err}, true
	}
	known, has := f.files[name]
	if mark := (stamp{before.Size(), before.ModTime()}); has && known == mark {
		return file{}, false
	}
	delete(f.files, name)
	settings, err := readWhole(path, before)
	if err == nil && now.Sub(before.ModTime()) > settleSpan {
		f.files[name] = stamp{before.Size(), before.ModTime()}
	}
	return file{name: name, settings: settings, err: err}, true
}

// readWhole reads a file that stays as it was.
func readWhole(path string, before os.FileInfo) ([]byte, error) {
	if !before.Mode().IsRegular() {
		return nil, errors.New("it is no regular file")
	}
	if before.Size() > configstore.SettingsMax {
		return nil, fmt.Errorf("it has %d bytes, at most %d may be", before.Size(), configstore.SettingsMax)
	}
	opened, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer opened.Close()
	settings, err := io.ReadAll(io.LimitReader(opened, configstore.SettingsMax+1))
	if err != nil {
		return nil, err
	}
	after, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if after.Size() != before.Size() || !after.ModTime().Equal(before.ModTime()) || int64(len(settings)) != before.Size() {
		return nil, errChanging
	}
	return settings, nil
}

// CheckFolder says how many services a folder holds, or what is wrong with its files.
func CheckFolder(path string) (services int, err error) {
	f := folder{path: path}
	read, present, err := f.scan(time.Now(), true)
	if err != nil {
		return 0, err
	}
	store := configstore.New(Check)
	var faults []error
	for _, one := range read {
		if one.err == nil {
			_, one.err = store.Put(one.service, one.settings, 0)
		}
		if one.err != nil {
			faults = append(faults, fmt.Errorf("file %s: %w", one.name, one.err))
		}
	}
	if len(faults) > 1 {
		return len(present), fmt.Errorf("%w (and %d more)", faults[0], len(faults)-1)
	}
	return len(present), errors.Join(faults...)
}
