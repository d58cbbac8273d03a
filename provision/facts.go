// Package provision reads what a governor is told at its start: the same facts come as path=value lines on
// the simulator's wire and as nested JSON in a configuration. It decides nothing.
package provision

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Facts holds the values found at each path; a list has several.
type Facts map[string][]string

// FromLines reads path=value lines; commas join a list.
func FromLines(text string) Facts {
	f := Facts{}
	for _, line := range strings.Split(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r"), "="); ok {
			if f[path] = strings.Split(value, ","); value == "" {
				f[path] = nil
			}
		}
	}
	return f
}

// FromJSON reads nested JSON into the same paths.
func FromJSON(raw []byte) (Facts, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON object")
	}
	f := Facts{}
	for name, v := range tree {
		f.put(name, v)
	}
	return f, nil
}

func (f Facts) put(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			f.put(path+"."+name, inner)
		}
	case []any:
		f[path] = nil
		for k, inner := range v {
			if word, plain := plain(inner); plain {
				f[path] = append(f[path], word)
			} else {
				f.put(fmt.Sprintf("%s.%d", path, k), inner)
			}
		}
		f[path+".count"] = []string{strconv.Itoa(len(v))}
	default:
		if word, ok := plain(v); ok {
			f[path] = []string{word}
		}
	}
}

func plain(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	case bool:
		return strconv.FormatBool(v), true
	}
	return "", false
}
