// Package settings decodes the settings of a deployment, which a controller reads before its first turn. The same settings
// arrive as path=value lines on the simulator's wire and as nested JSON in a configuration file. The package checks that
// they are complete and in range. Only this package uses the keys of the settings; package control defines the terms into
// which they are decoded.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Values is the flattened tree of settings: it maps each dotted path to the values found there, several for a list. The
// elements of a list of objects have paths of their own, such as lanes.0.name. The path of a list with .count appended has
// its length.
type Values map[string][]string

// ParseLines reads path=value lines; commas separate the values of a list. A line without = is skipped.
func ParseLines(text string) Values {
	values := Values{}
	for _, line := range strings.Split(text, "\n") {
		path, value, found := strings.Cut(strings.TrimRight(line, "\r"), "=")
		switch {
		case !found:
		case value == "":
			values[path] = nil
		default:
			values[path] = strings.Split(value, ",")
		}
	}
	return values
}

// ParseJSON reads one JSON object into the paths that ParseLines would read. Values that are null are skipped. It fails if
// raw is not exactly one object.
func ParseJSON(raw []byte) (Values, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON object")
	}
	values := Values{}
	for name, value := range tree {
		values.add(name, value)
	}
	return values, nil
}

// add flattens a JSON value and stores its parts at and below a path.
func (v Values) add(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			v.add(path+"."+name, inner)
		}
	case []any:
		v.addList(path, value)
	default:
		if text, ok := scalarText(value); ok {
			v[path] = []string{text}
		}
	}
}

// addList stores the scalars of a list at the path of the list, and all other elements at the path of their index.
func (v Values) addList(path string, list []any) {
	v[path] = nil
	for index, inner := range list {
		if text, ok := scalarText(inner); ok {
			v[path] = append(v[path], text)
		} else {
			v.add(fmt.Sprintf("%s.%d", path, index), inner)
		}
	}
	v[path+".count"] = []string{strconv.Itoa(len(list))}
}

// scalarText returns a JSON scalar as written in the configuration, and false for null, lists and objects.
func scalarText(value any) (string, bool) {
	switch value := value.(type) {
	case string:
		return value, true
	case json.Number:
		return value.String(), true
	case bool:
		return strconv.FormatBool(value), true
	}
	return "", false
}
