package strictyaml

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// scalar returns the scalar value of a key, or nil if the section does not have the key. A value that is empty or not a
// scalar is reported, with want as the expected value.
func (s *Section) scalar(key, want string) *yaml.Node {
	node := s.find(key)
	if node == nil {
		return nil
	}
	if node.Kind != yaml.ScalarNode || node.Tag == nullTag {
		s.document.addFault(node, keyPath(s.path, key), "is %s, want %s", describe(node), want)
		return nil
	}
	return node
}

// Text reads a string. Like all methods that read values, it reports an invalid value, and leaves the destination unchanged
// if the section does not have the key or the value is invalid.
func (s *Section) Text(key string, destination *string) {
	node := s.scalar(key, "a string")
	if node != nil {
		*destination = node.Value
	}
}

// numberFormat describes how values of a type are written.
type numberFormat[T cmp.Ordered] struct {
	want    string // expected value, in the fault of a value that is not a scalar
	example string // expected value, in the fault of a scalar that cannot be parsed
	parse   func(string) (T, error)
}

var (
	durationFormat = numberFormat[time.Duration]{
		want:    "a duration such as 5s",
		example: "a duration with its unit, such as 250ms, 5s or 1m30s",
		parse:   time.ParseDuration,
	}
	integerFormat = numberFormat[int]{want: "a whole number", example: "a whole number", parse: strconv.Atoi}
	floatFormat   = numberFormat[float64]{want: "a number", example: "a number", parse: parseFloat}
)

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// readNumber reads a value in the range from minimum to maximum, both included.
func readNumber[T cmp.Ordered](s *Section, key string, destination *T, format numberFormat[T], minimum, maximum T) {
	node := s.scalar(key, format.want)
	if node == nil {
		return
	}
	value, err := format.parse(node.Value)
	isNaN := value != value
	switch {
	case err != nil || isNaN:
		s.document.addFault(node, keyPath(s.path, key), "is %.40q, want %s", node.Value, format.example)
	case value < minimum || value > maximum:
		s.document.addFault(node, keyPath(s.path, key), "is %v, want %v to %v", value, minimum, maximum)
	default:
		*destination = value
	}
}

// Duration reads a duration with its unit, such as 250ms or 1m30s, in the range from minimum to maximum.
func (s *Section) Duration(key string, destination *time.Duration, minimum, maximum time.Duration) {
	readNumber(s, key, destination, durationFormat, minimum, maximum)
}

// Integer reads an integer in the range from minimum to maximum.
func (s *Section) Integer(key string, destination *int, minimum, maximum int) {
	readNumber(s, key, destination, integerFormat, minimum, maximum)
}

// Number reads a floating-point number in the range from minimum to maximum.
func (s *Section) Number(key string, destination *float64, minimum, maximum float64) {
	readNumber(s, key, destination, floatFormat, minimum, maximum)
}

// Words reads a list of strings. Invalid entries are reported and left out.
func (s *Section) Words(key string, destination *[]string) {
	node := s.find(key)
	if node == nil || node.Kind != yaml.SequenceNode {
		s.entries(key) // reports a value that is not a list
		return
	}
	words := make([]string, 0, len(node.Content))
	for k, entry := range node.Content {
		if entry.Kind != yaml.ScalarNode || entry.Tag == nullTag {
			s.document.addFault(entry, entryPath(keyPath(s.path, key), k), "is %s, want a string", describe(entry))
			continue
		}
		words = append(words, entry.Value)
	}
	*destination = words
}

// Pairs reads a section with arbitrary keys whose values are strings. An invalid value is reported and read as empty.
func (s *Section) Pairs(key string, destination *map[string]string) {
	section := s.Section(key)
	if section == nil {
		return
	}
	pairs := map[string]string{}
	for k := 0; k+1 < len(section.node.Content); k += 2 {
		name := section.node.Content[k].Value
		text := ""
		section.Text(name, &text)
		pairs[name] = text
	}
	*destination = pairs
}

// Choice reads a string that must be one of the keys of choices, and sets the destination to that key's value.
func Choice[T any](s *Section, key string, destination *T, choices map[string]T) {
	node := s.scalar(key, "a string")
	if node == nil {
		return
	}
	if value, ok := choices[node.Value]; ok {
		*destination = value
		return
	}
	path := keyPath(s.path, key)
	known := slices.Sorted(maps.Keys(choices))
	nearest := Nearest(node.Value, known)
	if nearest != "" {
		s.document.addFault(node, path, "is %.40q: did you mean %s?", node.Value, nearest)
		return
	}
	s.document.addFault(node, path, "is %.40q, want one of %s", node.Value, strings.Join(known, ", "))
}

// Bool reads true or false.
func (s *Section) Bool(key string, destination *bool) {
	node := s.scalar(key, "true or false")
	if node == nil {
		return
	}
	switch node.Value {
	case "true":
		*destination = true
	case "false":
		*destination = false
	default:
		s.document.addFault(node, keyPath(s.path, key), "is %.40q, want true or false", node.Value)
	}
}
