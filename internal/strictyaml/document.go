// Package strictyaml reads the program's own settings, strictly: YAML in which every key is known, given once and of the
// right type. Each fault names its file, line, column and the path of its key, and says what is wanted. All faults of a file
// are found in one pass. The package does not know the meaning of any key.
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
	// maxFileSize is the largest file, in bytes. Operators' files have some hundred lines.
	maxFileSize = 1 << 20
	// maxDepth is how deep values may be nested: deeper than in any of the program's files.
	maxDepth = 32
	// maxFaults is how many faults of one file are recorded; nobody reads more.
	maxFaults = 50
)

// Fault is one thing wrong with a file.
type Fault struct {
	File   string
	Line   int // from 1; 0: the whole file
	Column int
	Path   string // of the key, such as state.every; empty: the file
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

// Faults are all faults of a file in the order of its lines, at least one.
type Faults []Fault

// Error returns the text of the first fault, and how many more there are.
func (fs Faults) Error() string {
	text := fs[0].Error()
	if more := len(fs) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Document is one file that is being read, and the faults found so far.
type Document struct {
	file   string
	faults Faults
}

// Open returns the bytes of a file of at most maxFileSize.
func Open(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err != nil {
		return nil, Fault{File: file, Reason: fmt.Sprintf("breaks off after %d bytes: %v", len(raw), err)}
	}
	if len(raw) > maxFileSize {
		return nil, Fault{File: file, Reason: fmt.Sprintf("over %d bytes: split it", maxFileSize)}
	}
	return raw, nil
}

// Parse returns the document and its top section, which is empty for an empty file. It fails if the file is no plain YAML
// document with keys at the top; Document.Err returns all other faults once the sections have been read.
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

// decode returns the root node of the only YAML document in a file.
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
		const reason = "a second document begins here: one file is one document"
		return nil, Fault{File: file, Line: next.Line, Column: next.Column, Reason: reason}
	case !errors.Is(err, io.EOF):
		return nil, syntaxFault(file, err)
	}
	return document.Content[0], nil
}

// isText reports whether raw is UTF-8 without zero bytes.
func isText(raw []byte) bool {
	return !bytes.ContainsRune(raw, 0) && strings.ToValidUTF8(string(raw), "") == string(raw)
}

func emptyMapping() *yaml.Node { return &yaml.Node{Kind: yaml.MappingNode} }

func isNull(node *yaml.Node) bool { return node.Kind == yaml.ScalarNode && node.Tag == nullTag }

// nullTag is the tag of an empty value.
const nullTag = "!!null"

// syntaxFault converts an error of the YAML library, whose text may begin with the line.
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

// checkPlain finds what makes a value differ from its text: aliases, merges, tags, and unlimited nesting.
func (d *Document) checkPlain(node *yaml.Node, path string, depth int) {
	switch {
	case depth > maxDepth:
		d.addFault(node, path, "nested more than %d deep", maxDepth)
		return
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		d.addFault(node, path, "anchors and aliases are not read: write the value out")
		return
	case node.Style&yaml.TaggedStyle != 0:
		d.addFault(node, path, "tags such as %s are not read: write the value plainly", node.Tag)
		return
	}
	for k, child := range node.Content {
		d.checkPlain(child, childPath(node, path, k), depth+1)
	}
}

// childPath returns the path of a node's child. The children of a mapping are keys and values in turn.
func childPath(node *yaml.Node, path string, k int) string {
	switch node.Kind {
	case yaml.MappingNode:
		return keyPath(path, node.Content[k&^1].Value)
	case yaml.SequenceNode:
		return entryPath(path, k)
	}
	return path
}

func keyPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func entryPath(path string, k int) string { return fmt.Sprintf("%s[%d]", path, k) }

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

// Err returns all faults found so far as Faults, or nil.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), -cmp.Compare(len(a.Path), len(b.Path)))
	})
	return d.faults
}
