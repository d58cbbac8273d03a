// Package strictyaml reads the program's own settings, strictly: YAML in which every key is known, given once and of
// the right type. Each fault names its file, line, column and the path of its key and says what would do; all
// faults of a file are found in one reading. It knows no meaning of any key.
package strictyaml

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	// An operator's file is some hundred lines; a site of many applications is many files.
	fileMost = 1 << 20
	// Deeper than any form here, and shallow enough for every reader.
	depthMost = 32
	// So many faults are kept of one file: more would not be read.
	faultsMost = 50
	// A name that differs in no more letters than one in so many is taken for a slip.
	slipPart = 3
)

// Fault is one thing wrong with a file.
type Fault struct {
	File         string
	Line, Column int    // from 1; 0: the file as a whole
	Path         string // of the key, as state.every; empty: the file
	Reason       string
}

func (f Fault) Error() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Path != "" {
		return fmt.Sprintf("%s: %s: %s", where, f.Path, f.Reason)
	}
	return fmt.Sprintf("%s: %s", where, f.Reason)
}

// Faults are all that is wrong with a file, in the order of its lines.
type Faults []Fault

func (fs Faults) Error() string {
	text := fs[0].Error()
	if more := len(fs) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Form is one file that is being read.
type Form struct {
	file   string
	faults Faults
}

// Open reads a file of at most 1 MiB.
func Open(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, fileMost+1))
	if err != nil {
		return nil, Fault{File: file, Reason: fmt.Sprintf("breaks off after %d bytes: %v", len(raw), err)}
	}
	if len(raw) > fileMost {
		return nil, Fault{File: file, Reason: fmt.Sprintf("over %d bytes: split it", fileMost)}
	}
	return raw, nil
}

// Parse reads a file's bytes into its top section; an empty file is an empty section. What cannot be read as
// YAML at all is an error at once; all else is noted and told by Err, once the sections were read.
func Parse(file string, raw []byte) (*Form, *Section, error) {
	f := &Form{file: file}
	if !utf8Plain(raw) {
		return nil, nil, Fault{File: file, Reason: "is not UTF-8 text: save it as UTF-8"}
	}
	d := yaml.NewDecoder(bytes.NewReader(raw))
	var doc yaml.Node
	if err := d.Decode(&doc); errors.Is(err, io.EOF) {
		return f, &Section{form: f, node: &yaml.Node{Kind: yaml.MappingNode}}, nil
	} else if err != nil {
		return nil, nil, unreadable(file, err)
	}
	var next yaml.Node
	if err := d.Decode(&next); err == nil {
		return nil, nil, Fault{file, next.Line, next.Column, "", "a second document begins here: one file is one document"}
	} else if !errors.Is(err, io.EOF) {
		return nil, nil, unreadable(file, err)
	}
	top := doc.Content[0]
	if f.plain(top, "", 0); len(f.faults) > 0 {
		return nil, nil, f.Err()
	}
	if top.Kind == yaml.ScalarNode && top.Tag == "!!null" {
		top = &yaml.Node{Kind: yaml.MappingNode}
	}
	s := f.section(top, "")
	if s == nil {
		return nil, nil, f.Err()
	}
	return f, s, nil
}

func utf8Plain(raw []byte) bool {
	return !bytes.ContainsRune(raw, 0) && strings.ToValidUTF8(string(raw), "") == string(raw)
}

// unreadable puts the library's word, which tells the line, into our form.
func unreadable(file string, err error) Fault {
	text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "yaml: "), "\n", " ")
	f := Fault{File: file, Reason: "not readable as YAML: " + text}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if number, says, ok := strings.Cut(rest, ": "); ok {
			if line, err := strconv.Atoi(number); err == nil {
				f.Line, f.Column, f.Reason = line, 1, "not readable as YAML: "+says
			}
		}
	}
	return f
}

// plain refuses what makes a file say more than it shows: aliases, merges, own tags, nesting without end.
func (f *Form) plain(n *yaml.Node, path string, depth int) {
	switch {
	case depth > depthMost:
		f.note(n, path, "nested more than %d deep", depthMost)
		return
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		f.note(n, path, "anchors and aliases are not read: write the value out")
		return
	case n.Style&yaml.TaggedStyle != 0:
		f.note(n, path, "tags such as %s are not read: write the value plainly", n.Tag)
		return
	}
	for k, inner := range n.Content {
		at := path
		if n.Kind == yaml.MappingNode {
			at = under(path, n.Content[k&^1].Value)
		} else if n.Kind == yaml.SequenceNode {
			at = fmt.Sprintf("%s[%d]", path, k)
		}
		f.plain(inner, at, depth+1)
	}
}

func (f *Form) note(n *yaml.Node, path, reason string, args ...any) {
	if len(f.faults) < faultsMost {
		f.faults = append(f.faults, Fault{f.file, n.Line, n.Column, path, fmt.Sprintf(reason, args...)})
	}
}

// Err tells all that was noted so far.
func (f *Form) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), -cmp.Compare(len(a.Path), len(b.Path)))
	})
	return f.faults
}

func under(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Section is a set of keys. Each key that is read is known; Done notes the rest.
type Section struct {
	form  *Form
	node  *yaml.Node
	path  string
	known []string
}

func (f *Form) section(n *yaml.Node, path string) *Section {
	if n.Kind != yaml.MappingNode {
		f.note(n, path, "is %s, want keys with values", shape(n))
		return nil
	}
	s := &Section{form: f, node: n, path: path}
	seen := map[string]int{}
	for k := 0; k < len(n.Content); k += 2 {
		key := n.Content[k]
		if key.Kind != yaml.ScalarNode {
			f.note(key, path, "a key is %s, want a plain word", shape(key))
			continue
		}
		if first, again := seen[key.Value]; again {
			f.note(key, under(path, key.Value), "given twice, first in line %d", first)
			continue
		}
		seen[key.Value] = key.Line
	}
	return s
}

func shape(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a set of keys"
	case yaml.SequenceNode:
		return "a list"
	}
	if n.Tag == "!!null" {
		return "empty"
	}
	return fmt.Sprintf("%.40q", n.Value)
}

// find is the value of a key, nil where it is not given.
func (s *Section) find(key string) *yaml.Node {
	s.known = append(s.known, key)
	for k := 0; k+1 < len(s.node.Content); k += 2 {
		if s.node.Content[k].Value == key {
			return s.node.Content[k+1]
		}
	}
	return nil
}

// Has says whether a key is given.
func (s *Section) Has(key string) bool { return s.find(key) != nil }

// Section is the section under a key, nil where it is not given or no section.
func (s *Section) Section(key string) *Section {
	n := s.find(key)
	if n == nil {
		return nil
	}
	return s.form.section(n, under(s.path, key))
}

// Sections are the sections of the list under a key.
func (s *Section) Sections(key string) (all []*Section) {
	n := s.find(key)
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		s.form.note(n, under(s.path, key), "is %s, want a list", shape(n))
		return nil
	}
	for k, inner := range n.Content {
		if in := s.form.section(inner, fmt.Sprintf("%s[%d]", under(s.path, key), k)); in != nil {
			all = append(all, in)
		}
	}
	return all
}

// Fault notes that the value of a key does not hold; with no key it is the section.
func (s *Section) Fault(key, reason string, args ...any) {
	n, path := s.node, s.path
	if key != "" {
		path = under(path, key)
		if v := s.find(key); v != nil {
			n = v
		}
	}
	s.form.note(n, path, reason, args...)
}

// Text reads a word into v, which keeps its value where the key is not given.
func (s *Section) Text(key string, v *string) {
	if n := s.scalar(key, "a word"); n != nil {
		*v = n.Value
	}
}

// scalar is the plain value of a key.
func (s *Section) scalar(key, want string) *yaml.Node {
	n := s.find(key)
	if n == nil {
		return nil
	}
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		s.form.note(n, under(s.path, key), "is %s, want %s", shape(n), want)
		return nil
	}
	return n
}

// bounded reads a value from least to most; want and hint say what would do.
func bounded[T cmp.Ordered](s *Section, key string, v *T, least, most T, want, hint string, parse func(string) (T, error)) {
	n := s.scalar(key, want)
	if n == nil {
		return
	}
	t, err := parse(n.Value)
	switch {
	case err != nil || t != t: // or no number
		s.form.note(n, under(s.path, key), "is %.40q, want %s", n.Value, hint)
	case t < least || t > most:
		s.form.note(n, under(s.path, key), "is %v, want %v to %v", t, least, most)
	default:
		*v = t
	}
}

// Duration reads a time with its unit, as 250ms or 1m30s, from least to most.
func (s *Section) Duration(key string, v *time.Duration, least, most time.Duration) {
	bounded(s, key, v, least, most, "a time such as 5s", "a time with its unit, such as 250ms, 5s or 1m30s", time.ParseDuration)
}

// Whole reads a whole number from least to most.
func (s *Section) Whole(key string, v *int, least, most int) {
	bounded(s, key, v, least, most, "a whole number", "a whole number", strconv.Atoi)
}

// Number reads a number from least to most.
func (s *Section) Number(key string, v *float64, least, most float64) {
	bounded(s, key, v, least, most, "a number", "a number", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// Words reads a list of plain words.
func (s *Section) Words(key string, v *[]string) {
	n := s.find(key)
	if n == nil {
		return
	}
	if n.Kind != yaml.SequenceNode {
		s.form.note(n, under(s.path, key), "is %s, want a list", shape(n))
		return
	}
	words := make([]string, 0, len(n.Content))
	for k, inner := range n.Content {
		if inner.Kind != yaml.ScalarNode || inner.Tag == "!!null" {
			s.form.note(inner, fmt.Sprintf("%s[%d]", under(s.path, key), k), "is %s, want a word", shape(inner))
			continue
		}
		words = append(words, inner.Value)
	}
	*v = words
}

// Pairs reads a section of plain words, whatever their keys are.
func (s *Section) Pairs(key string, v *map[string]string) {
	in := s.Section(key)
	if in == nil {
		return
	}
	*v = map[string]string{}
	for k := 0; k+1 < len(in.node.Content); k += 2 {
		name, word := in.node.Content[k].Value, ""
		in.Text(name, &word)
		(*v)[name] = word
	}
}

// Choice reads a word that must be one of those given.
func Choice[T any](s *Section, key string, v *T, words map[string]T) {
	n := s.scalar(key, "a word")
	if n == nil {
		return
	}
	if t, ok := words[n.Value]; ok {
		*v = t
		return
	}
	known := slices.Sorted(maps.Keys(words))
	if near := Nearest(n.Value, known); near != "" {
		s.form.note(n, under(s.path, key), "is %.40q: did you mean %s?", n.Value, near)
		return
	}
	s.form.note(n, under(s.path, key), "is %.40q, want one of %s", n.Value, strings.Join(known, ", "))
}

// Switch reads true or false.
func (s *Section) Switch(key string, v *bool) {
	n := s.scalar(key, "true or false")
	switch {
	case n == nil:
	case n.Value == "true" || n.Value == "false":
		*v = n.Value == "true"
	default:
		s.form.note(n, under(s.path, key), "is %.40q, want true or false", n.Value)
	}
}

// Done notes every key that nobody has asked for, with the known one that it may be a slip of.
func (s *Section) Done() {
	slices.Sort(s.known)
	known := slices.Compact(s.known)
	for k := 0; k+1 < len(s.node.Content); k += 2 {
		key := s.node.Content[k]
		if key.Kind != yaml.ScalarNode || slices.Contains(known, key.Value) {
			continue
		}
		if near := Nearest(key.Value, known); near != "" {
			s.form.note(key, under(s.path, key.Value), "is not known: did you mean %s?", near)
		} else {
			s.form.note(key, under(s.path, key.Value), "is not known: known here are %s", strings.Join(known, ", "))
		}
	}
}
