// Package operator reads the operator file: the features that an installation enables beyond what its platform requires.
// Without a file, and for all that a file leaves out, they are disabled.
package operator

import (
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"lilacbend/internal/strictyaml"
)

// File is the content of an operator file.
type File struct {
	Path          string // empty: no file
	State         Retention
	Configuration Following
}

// Retention describes how learned state is kept over restarts.
type Retention struct {
	Folder   string        // of this controller alone; empty: nothing is kept
	Every    time.Duration // between two writes
	HalfLife time.Duration // after which learned state has half its weight
	Keep     int           // generations
}

// Limits of the values of the section state.
const (
	minEvery    = 100 * time.Millisecond
	maxEvery    = time.Hour
	minHalfLife = time.Second
	maxHalfLife = 24 * time.Hour
	maxKeep     = 100
)

// defaultRetention applies to all that a file leaves out. A write costs a disk some milliseconds, most faults of a replica last
// minutes, and three generations leave one if two are damaged.
var defaultRetention = Retention{Every: 5 * time.Second, HalfLife: time.Minute, Keep: 3}

// Read reads an operator file; an empty name is an empty file. The error names file, line and key of all that is wrong.
func Read(file string) (File, error) {
	if file == "" {
		return File{}, nil
	}
	raw, err := strictyaml.Open(file)
	if err != nil {
		return File{}, err
	}
	return Parse(file, raw)
}

// Parse parses the bytes of an operator file.
func Parse(file string, raw []byte) (File, error) {
	document, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return File{}, err
	}
	result := File{Path: file}
	if section := top.Section("state"); section != nil {
		result.State = readRetention(file, section)
	}
	if section := top.Section("configuration"); section != nil {
		result.Configuration = readFollowing(file, section)
		if sameFolder(result.Configuration.Folder, result.State.Folder) {
			section.Fault("folder", "is that of state: name another one")
		}
	}
	top.Done()
	if err := document.Err(); err != nil {
		return File{}, err
	}
	return result, nil
}

// sameFolder reports whether a folder is given and the same as another one.
func sameFolder(folder, other string) bool {
	return folder != "" && filepath.Clean(folder) == filepath.Clean(other)
}

// readRetention reads the section state.
func readRetention(file string, section *strictyaml.Section) Retention {
	retention := defaultRetention
	section.Duration("every", &retention.Every, minEvery, maxEvery)
	section.Duration("half_life", &retention.HalfLife, minHalfLife, maxHalfLife)
	section.Whole("keep", &retention.Keep, 1, maxKeep)
	if !section.Has("folder") {
		section.Fault("", "lacks folder: name one that lasts, for this governor alone")
	}
	readFolder(file, section, &retention.Folder)
	section.Done()
	return retention
}

// readFolder reads the optional folder of a section. A relative one is relative to the folder of the file.
func readFolder(file string, section *strictyaml.Section, folder *string) {
	section.Text("folder", folder)
	switch {
	case !section.Has("folder"):
	case strings.TrimSpace(*folder) == "":
		section.Fault("folder", "is empty: name a folder that lasts, for this governor alone")
	case !filepath.IsAbs(*folder):
		*folder = filepath.Join(filepath.Dir(file), *folder)
	}
}

// Differs returns the names of the sections in which another file differs.
func (f File) Differs(other File) []string {
	var sections []string
	if f.State != other.State {
		sections = append(sections, "state")
	}
	if !reflect.DeepEqual(f.Configuration, other.Configuration) {
		sections = append(sections, "configuration")
	}
	return sections
}
