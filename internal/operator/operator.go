// Package operator reads the operator file: what an installation switches on beyond what its platform asks for.
// Without a file, or for what a file leaves out, everything is off.
package operator

import (
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"lilacbend/internal/strictyaml"
)

// Rulebook is what an operator file sets.
type Rulebook struct {
	File          string
	State         Retention
	Configuration Following
}

// Retention says how what was learned is kept.
type Retention struct {
	Folder   string        // one governor's own; empty: nothing is kept
	Every    time.Duration // between two writes
	HalfLife time.Duration // in which what was learned counts half
	Keep     int           // generations
}

// What holds where a file does not say otherwise: a write costs some ms of a disk, most troubles of a replica
// pass in minutes, and three generations outlast two damaged ones.
var usual = Retention{Every: 5 * time.Second, HalfLife: time.Minute, Keep: 3}

// Read reads an operator file; no name is no file. The error names file, line and key of all that is wrong.
func Read(file string) (Rulebook, error) {
	if file == "" {
		return Rulebook{}, nil
	}
	raw, err := strictyaml.Open(file)
	if err != nil {
		return Rulebook{}, err
	}
	return Parse(file, raw)
}

// Parse reads the bytes of an operator file.
func Parse(file string, raw []byte) (Rulebook, error) {
	f, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return Rulebook{}, err
	}
	book := Rulebook{File: file}
	if s := top.Section("state"); s != nil {
		book.State = retention(file, s)
	}
	if s := top.Section("configuration"); s != nil {
		book.Configuration = following(file, s)
		if folder := book.Configuration.Folder; folder != "" && filepath.Clean(folder) == filepath.Clean(book.State.Folder) {
			s.Fault("folder", "is that of state: name another one")
		}
	}
	top.Done()
	if err := f.Err(); err != nil {
		return Rulebook{}, err
	}
	return book, nil
}

func retention(file string, s *strictyaml.Section) Retention {
	r := usual
	s.Duration("every", &r.Every, 100*time.Millisecond, time.Hour)
	s.Duration("half_life", &r.HalfLife, time.Second, 24*time.Hour)
	s.Whole("keep", &r.Keep, 1, 100)
	if !s.Has("folder") {
		s.Fault("", "lacks folder: name one that lasts, for this governor alone")
	}
	readFolder(file, s, &r.Folder)
	s.Done()
	return r
}

// readFolder reads a folder of this governor's own, which may be left out. One that is relative is beside the file.
func readFolder(file string, s *strictyaml.Section, folder *string) {
	s.Text("folder", folder)
	switch {
	case !s.Has("folder"):
	case strings.TrimSpace(*folder) == "":
		s.Fault("folder", "is empty: name a folder that lasts, for this governor alone")
	case !filepath.IsAbs(*folder):
		*folder = filepath.Join(filepath.Dir(file), *folder)
	}
}

// Differs names the sections that another rulebook sets otherwise.
func (b Rulebook) Differs(other Rulebook) (sections []string) {
	if b.State != other.State {
		sections = append(sections, "state")
	}
	if !reflect.DeepEqual(b.Configuration, other.Configuration) {
		sections = append(sections, "configuration")
	}
	return sections
}
