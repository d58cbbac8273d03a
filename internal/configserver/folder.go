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
	// settingsSuffix is the suffix of settings files. The rest of a file's name is the name of the service.
	settingsSuffix = ".json"
	// timestampResolution is the coarsest resolution of a file system's timestamps. A file that was modified less than this
	// before it is read may change again without a change of its modification time and size.
	timestampResolution = 2 * time.Second
	// fullScanInterval is how often all files are read, even those whose modification time and size are unchanged.
	fullScanInterval = time.Minute
)

// errFileChanging reports that a file was modified while it was read.
var errFileChanging = errors.New("modified while it was read")

// errFolderEmpty reports that a folder that had settings files has none any more.
var errFolderEmpty = errors.New("no settings are left in it, all services stay as they are")

// folder reads the settings of all services from the files of a folder.
type folder struct {
	path     string
	stamps   map[string]fileStamp // stamps by file name, only of files whose next change is certain to change the stamp
	lastFull time.Time            // when all files were last read
}

// fileStamp is the metadata that shows whether a file has changed, without reading it.
type fileStamp struct {
	size     int64
	modified time.Time
}

// settingsFile is a file that was read, or the error of reading it.
type settingsFile struct {
	name     string
	service  string
	settings []byte
	err      error
}

// scan reads the files that may have changed since the last scan; if all is true or fullScanInterval has passed, it reads
// all files. present has each service that has a file, whether the file is valid or not.
func (f *folder) scan(now time.Time, all bool) (read []settingsFile, present map[string]bool, err error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, nil, err
	}
	if all || f.stamps == nil || now.Sub(f.lastFull) >= fullScanInterval {
		f.stamps = map[string]fileStamp{}
		f.lastFull = now
	}
	present = map[string]bool{}
	for _, entry := range entries {
		service, isSettings := strings.CutSuffix(entry.Name(), settingsSuffix)
		if !isSettings || strings.HasPrefix(service, ".") {
			continue
		}
		present[service] = true
		file, changed := f.read(entry.Name(), now)
		if changed {
			file.service = service
			read = append(read, file)
		}
	}
	return read, present, nil
}

// read reads a file, unless its stamp shows that it has not changed since it was last read.
func (f *folder) read(name string, now time.Time) (file settingsFile, changed bool) {
	path := filepath.Join(f.path, name)
	before, err := os.Stat(path)
	if err != nil {
		return settingsFile{name: name, err: err}, true
	}
	stamp := fileStamp{size: before.Size(), modified: before.ModTime()}
	if known, ok := f.stamps[name]; ok && known == stamp {
		return settingsFile{}, false
	}
	delete(f.stamps, name)
	settings, err := readUnchanged(path, before)
	if err == nil && now.Sub(before.ModTime()) > timestampResolution {
		f.stamps[name] = stamp
	}
	return settingsFile{name: name, settings: settings, err: err}, true
}

// readUnchanged reads a file, whose metadata before the read are given. It returns errFileChanging if they differ after the
// read.
func readUnchanged(path string, before os.FileInfo) ([]byte, error) {
	if !before.Mode().IsRegular() {
		return nil, errors.New("it is no regular file")
	}
	if before.Size() > configstore.MaxSettingsSize {
		return nil, fmt.Errorf("it has %d bytes, at most %d may be", before.Size(), configstore.MaxSettingsSize)
	}
	opened, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer opened.Close()
	settings, err := io.ReadAll(io.LimitReader(opened, configstore.MaxSettingsSize+1))
	if err != nil {
		return nil, err
	}
	after, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if after.Size() != before.Size() || !after.ModTime().Equal(before.ModTime()) || int64(len(settings)) != before.Size() {
		return nil, errFileChanging
	}
	return settings, nil
}

// CheckFolder returns the number of services that have a file in a folder, and an error if one of the files is invalid.
func CheckFolder(path string) (services int, err error) {
	f := folder{path: path}
	read, present, err := f.scan(time.Now(), true)
	if err != nil {
		return 0, err
	}
	store := configstore.New(Check)
	var faults []error
	for _, file := range read {
		if file.err == nil {
			_, file.err = store.Put(file.service, file.settings, 0)
		}
		if file.err != nil {
			faults = append(faults, fmt.Errorf("file %s: %w", file.name, file.err))
		}
	}
	if len(faults) > 1 {
		return len(present), fmt.Errorf("%w (and %d more invalid files)", faults[0], len(faults)-1)
	}
	return len(present), errors.Join(faults...)
}
