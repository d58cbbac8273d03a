// Package strictyaml reads the program's own YAML files strictly: every key must be known, be given once and have a value of
// the right type. Each fault names its file, line, column, the path of its key and what is expected. One pass finds
// all faults of a file, up to maxFaults. The meaning of the keys is left to the callers.
package strictyaml

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

const (
	// maxFileSize is the maximum size of a file, in bytes. Operators' files have some hundred lines.
	maxFileSize = 1 << 20
	// maxDepth is the maximum nesting depth of values. None of the program's files is nested as deeply.
	maxDepth = 32
	// maxFaults is the maximum number of faults that are recorded for one file; an operator does not read more.
	maxFaults = 50
)

// Fault is one error in a file.
type Fault struct {
	File   string
	Line   int // from 1; 0: the fault has no position in the file
	Column int
	Path   string // of the key, such as state.every; empty: the fault has no key
	Reason string
}

// Error returns the position, the path and the reason.
func (f Fault) Error() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Path != "" {
		return fmt.Sprintf("%s: %s: %s", position, f.Path, f.Reason)
	}
	return fmt.Sprintf("%s: %s", position, f.Reason)
}

// Faults are the recorded faults of a file, at least one, in the order of their positions.
type Faults []Fault

// Error returns the text of the first fault and the number of further ones.
func (fs Faults) Error() string {
	text := fs[0].Error()
	if more := len(fs) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Document is a file that is being read, with the faults found so far.
type Document struct {
	file   string
	faults Faults
}

// Open returns the contents of a file; a file larger than maxFileSize is a Fault.
func Open(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err != nil {
		return nil, Fault{File: file, Reason: fmt.Sprintf("read failed after %d bytes: %v", len(raw), err)}
	}
	if len(raw) > maxFileSize {
		return nil, Fault{File: file, Reason: fmt.Sprintf("is larger than %d bytes: split it", maxFileSize)}
	}
	return raw, nil
}

// Parse returns the document and its top section, which is empty for an empty file. It fails if the file is not a single
// plain YAML document whose top level is a mapping. While the caller reads the sections, further faults are recorded, which
// Document.Err returns.
func Parse(file string, raw []byte) (*Document, *Section, error) {
	document := &Document{file: file}
	root, err := decode(file, raw)
	if err != nil {
		return nil, nil, err
	}
	document.checkPlain(root, "", 0)
	if len(document.faults) > 0 {
		return nil, nil, document.Err()
	}
	if isNull(root) {
		root = emptyMapping()
	}
	top := document.newSection(root, "")
	if top == nil {
		return nil, nil, document.Err()
	}
	return document, top, nil
}

// decode returns the root node of the YAML document in a file, which must contain only one.
func decode(file string, raw []byte) (*yaml.Node, error) {
	if !isText(raw) {
		return nil, Fault{File: file, Reason: "is not UTF-8 text: save it as UTF-8"}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return emptyMapping(), nil
	}
	if err != nil {
		return nil, syntaxFault(file, err)
	}
	var next yaml.Node
	err = decoder.Decode(&next)
	switch {
	case err == nil:
		const reason = "a second YAML document begins here: a file must contain only one"
		return nil, Fault{File: file, Line: next.Line, Column: next.Column, Reason: reason}
	case !errors.Is(err, io.EOF):
		return nil, syntaxFault(file, err)
	}
	return document.Content[0], nil
}

// isText reports whether raw is valid UTF-8 without zero bytes.
func isText(raw []byte) bool {
	return !bytes.ContainsRune(raw, 0) && strings.ToValidUTF8(string(raw), "") == string(raw)
}

func emptyMapping() *yaml.Node { return &yaml.Node{Kind: yaml.MappingNode} }

func isNull(node *yaml.Node) bool { return node.Kind == yaml.ScalarNode && node.Tag == nullTag }

// nullTag is the YAML tag of an empty value.
const nullTag = "!!null"

// syntaxFault converts an error of the YAML library. If the error's text begins with a line number, the fault has that line.
func syntaxFault(file string, err error) Fault {
	const reason = "not readable as YAML: "
	text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "yaml: "), "\n", " ")
	fault := Fault{File: file, Reason: reason + text}
	afterLine, hasLine := strings.CutPrefix(text, "line ")
	number, description, hasDescription := strings.Cut(afterLine, ": ")
	if !hasLine || !hasDescription {
		return fault
	}
	line, err := strconv.Atoi(number)
	if err != nil {
		return fault
	}
	return Fault{File: file, Line: line, Column: 1, Reason: reason + description}
}

// checkPlain reports YAML features by which a value can differ from its text (anchors, aliases and with them merges, and
// tags), and nesting deeper than maxDepth.
func (d *Document) checkPlain(node *yaml.Node, path string, depth int) {
	switch {
	case depth > maxDepth:
		d.addFault(node, path, "nested deeper than %d levels", maxDepth)
		return
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		d.addFault(node, path, "anchors and aliases are not supported: write the value out")
		return
	case node.Style&yaml.TaggedStyle != 0:
		d.addFault(node, path, "tags such as %s are not supported: write the value without a tag", node.Tag)
		return
	}
	for k, child := range node.Content {
		d.checkPlain(child, childPath(node, path, k), depth+1)
	}
}

// childPath returns the path of a node's child k. The children of a mapping alternate between keys and values.
func childPath(node *yaml.Node, path string, k int) string {
	switch node.Kind {
	case yaml.MappingNode:
		return keyPath(path, node.Content[k&^1].Value)
	case yaml.SequenceNode:
		return entryPath(path, k)
	}
	return path
}

// keyPath returns the path of a key in the mapping at path.
func keyPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// entryPath returns the path of entry k of the list at path.
func entryPath(path string, k int) string { return fmt.Sprintf("%s[%d]", path, k) }

// addFault records a fault at the position of node, unless maxFaults are recorded already.
func (d *Document) addFault(node *yaml.Node, path, reason string, args ...any) {
	if len(d.faults) >= maxFaults {
		return
	}
	d.faults = append(d.faults, Fault{
		File:   d.file,
		Line:   node.Line,
		Column: node.Column,
		Path:   path,
		Reason: fmt.Sprintf(reason, args...),
	})
}

// Err returns the faults recorded so far as Faults, in the order of their positions, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), -cmp.Compare(len(a.Path), len(b.Path)))
	})
	return d.faults
}
