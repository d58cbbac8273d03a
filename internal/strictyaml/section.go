package strictyaml

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Section is a mapping of a document. The known keys are those for which a method was called; Done reports all other keys of
// the mapping as faults.
type Section struct {
	document *Document
	node     *yaml.Node
	path     string
	known    []string
}

// newSection returns the section of a node. If the node is not a mapping, it reports that and returns nil. It also reports
// keys that are not scalars or are given twice.
func (d *Document) newSection(node *yaml.Node, path string) *Section {
	if node.Kind != yaml.MappingNode {
		d.addFault(node, path, "is %s, want keys with values", describe(node))
		return nil
	}
	section := &Section{document: d, node: node, path: path}
	lines := map[string]int{}
	for k := 0; k < len(node.Content); k += 2 {
		key := node.Content[k]
		if key.Kind != yaml.ScalarNode {
			d.addFault(key, path, "a key is %s, want a plain string", describe(key))
			continue
		}
		if first, duplicate := lines[key.Value]; duplicate {
			d.addFault(key, keyPath(path, key.Value), "given twice, first in line %d", first)
			continue
		}
		lines[key.Value] = key.Line
	}
	return section
}

// describe describes a value for the text of a fault.
func describe(node *yaml.Node) string {
	switch {
	case node.Kind == yaml.MappingNode:
		return "a set of keys"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	case node.Tag == nullTag:
		return "empty"
	}
	return fmt.Sprintf("%.40q", node.Value)
}

// find adds a key to the known keys, and returns its value, or nil if the mapping does not have the key.
func (s *Section) find(key string) *yaml.Node {
	s.known = append(s.known, key)
	for k := 0; k+1 < len(s.node.Content); k += 2 {
		if s.node.Content[k].Value == key {
			return s.node.Content[k+1]
		}
	}
	return nil
}

// Has adds a key to the known keys, and reports whether the mapping has it.
func (s *Section) Has(key string) bool { return s.find(key) != nil }

// Section returns the section of a key, or nil if the mapping does not have the key. A value that is not a mapping is
// reported, and the result is nil.
func (s *Section) Section(key string) *Section {
	node := s.find(key)
	if node == nil {
		return nil
	}
	return s.document.newSection(node, keyPath(s.path, key))
}

// Sections returns the sections in the list of a key. Values that are not mappings are reported and left out.
func (s *Section) Sections(key string) []*Section {
	var sections []*Section
	for k, entry := range s.entries(key) {
		section := s.document.newSection(entry, entryPath(keyPath(s.path, key), k))
		if section != nil {
			sections = append(sections, section)
		}
	}
	return sections
}

// entries returns the entries of the list of a key. A value that is not a list is reported.
func (s *Section) entries(key string) []*yaml.Node {
	node := s.find(key)
	if node == nil {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		s.document.addFault(node, keyPath(s.path, key), "is %s, want a list", describe(node))
		return nil
	}
	return node.Content
}

// AddFault reports that the value of a key is invalid. If key is empty, the fault is one of the whole section. reason and
// args are formatted as by fmt.Sprintf.
func (s *Section) AddFault(key, reason string, args ...any) {
	if key == "" {
		s.document.addFault(s.node, s.path, reason, args...)
		return
	}
	node := s.find(key)
	if node == nil {
		node = s.node
	}
	s.document.addFault(node, keyPath(s.path, key), reason, args...)
}

// Done reports every key that is not known. The fault names the known key that is probably meant, or else all known keys.
func (s *Section) Done() {
	slices.Sort(s.known)
	known := slices.Compact(s.known)
	for k := 0; k+1 < len(s.node.Content); k += 2 {
		key := s.node.Content[k]
		if key.Kind != yaml.ScalarNode || slices.Contains(known, key.Value) {
			continue
		}
		path := keyPath(s.path, key.Value)
		nearest := Nearest(key.Value, known)
		if nearest != "" {
			s.document.addFault(key, path, "is not known: did you mean %s?", nearest)
			continue
		}
		s.document.addFault(key, path, "is not known: known keys are %s", strings.Join(known, ", "))
	}
}
