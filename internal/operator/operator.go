// Package operator reads the operator file, which enables optional features of an installation beyond what its platform
// requires. A feature is disabled unless the file has its section.
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
	Configuration ConfigurationSource
}

// Retention describes how learned state is kept across restarts.
type Retention struct {
	Folder   string        // directory that no other controller uses; empty: nothing is kept
	Every    time.Duration // interval between snapshot writes
	HalfLife time.Duration // time after which learned state has half its weight
	Keep     int           // number of snapshot generations that are kept
}

// Limits of the values in the section state.
const (
	minEvery    = 100 * time.Millisecond
	maxEvery    = time.Hour
	minHalfLife = time.Second
	maxHalfLife = 24 * time.Hour
	maxKeep     = 100
)

// defaultRetention has the values of keys that the section state leaves out: a write takes a disk some milliseconds, most
// faults of a replica last minutes, and with three generations one is left if two are damaged.
var defaultRetention = Retention{Every: 5 * time.Second, HalfLife: time.Minute, Keep: 3}

// Read reads an operator file. Without a file name it returns a File that enables nothing. The error names the file, the
// line and the key of every fault.
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

// Parse parses the contents of the operator file at the path file.
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
		result.Configuration = readConfigurationSource(file, section)
		if isSameFolder(result.Configuration.Folder, result.State.Folder) {
			section.AddFault("folder", "is also the folder of state: name a different folder")
		}
	}
	top.Done()
	if err := document.Err(); err != nil {
		return File{}, err
	}
	return result, nil
}

// isSameFolder reports whether folder is set and has the same path as other.
func isSameFolder(folder, other string) bool {
	return folder != "" && filepath.Clean(folder) == filepath.Clean(other)
}

// readRetention reads the section state.
func readRetention(file string, section *strictyaml.Section) Retention {
	retention := defaultRetention
	section.Duration("every", &retention.Every, minEvery, maxEvery)
	section.Duration("half_life", &retention.HalfLife, minHalfLife, maxHalfLife)
	section.Integer("keep", &retention.Keep, 1, maxKeep)
	if !section.Has("folder") {
		section.AddFault("", "lacks folder: name a persistent folder that only this controller uses")
	}
	readFolder(file, section, &retention.Folder)
	section.Done()
	return retention
}

// readFolder reads the optional key folder of a section. A relative path is relative to the directory of the operator file.
func readFolder(file string, section *strictyaml.Section, folder *string) {
	section.Text("folder", folder)
	switch {
	case !section.Has("folder"):
	case strings.TrimSpace(*folder) == "":
		section.AddFault("folder", "is empty: name a persistent folder that only this controller uses")
	case !filepath.IsAbs(*folder):
		*folder = filepath.Join(filepath.Dir(file), *folder)
	}
}

// ChangedSections returns the names of the sections whose values differ between f and other.
func (f File) ChangedSections(other File) []string {
	var sections []string
	if f.State != other.State {
		sections = append(sections, "state")
	}
	if !reflect.DeepEqual(f.Configuration, other.Configuration) {
		sections = append(sections, "configuration")
	}
	return sections
}
