package strictyaml

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type town struct {
	name  string
	every time.Duration
	many  int
	part  float64
	on    bool
	rows  []string
}

func readTown(raw string) (town, error) {
	var t town
	f, top, err := Parse("t.yaml", []byte(raw))
	if err != nil {
		return t, err
	}
	if s := top.Section("town"); s != nil {
		s.Text("name", &t.name)
		s.Duration("every", &t.every, time.Second, time.Minute)
		s.Whole("many", &t.many, 1, 9)
		s.Number("part", &t.part, 0, 1)
		s.Switch("on", &t.on)
		for _, row := range s.Sections("rows") {
			var id string
			row.Text("id", &id)
			row.Done()
			t.rows = append(t.rows, id)
		}
		s.Done()
	}
	top.Done()
	return t, f.Err()
}

func TestReadersReturnWrittenValues(t *testing.T) {
	got, err := readTown("town:\n  name: a b\n  every: 1m\n  many: 3\n  part: 0.5\n  on: true\n  rows: [{id: x}, {id: y}]\n")
	if err != nil || got.name != "a b" || got.every != time.Minute || got.many != 3 || got.part != 0.5 || !got.on ||
		strings.Join(got.rows, "") != "xy" {
		t.Errorf("%+v %v", got, err)
	}
	for _, raw := range []string{"", "# nothing\n", "---\n", "{}", "null"} {
		if _, err := readTown(raw); err != nil {
			t.Errorf("%q: %v", raw, err)
		}
	}
}

func TestFaultsNameFileLineAndKey(t *testing.T) {
	deep := strings.Repeat("{a: ", 40) + "1" + strings.Repeat("}", 40)
	for _, c := range [][2]string{
		{"town:\n  evry: 5s", "t.yaml:2:3: town.evry: is not known: did you mean every?"},
		{"towns: {}", "t.yaml:1:1: towns: is not known: did you mean town?"},
		{"zzzzzzzz: 1", "t.yaml:1:1: zzzzzzzz: is not known: known here are town"},
		{"town:\n  every: 5", `t.yaml:2:10: town.every: is "5", want a time with its unit`},
		{"town:\n  every: 5 s", `town.every: is "5 s", want a time with its unit`},
		{"town:\n  every: 5h", "town.every: is 5h0m0s, want 1s to 1m0s"},
		{"town:\n  every:", "town.every: is empty, want a time"},
		{"town:\n  every: [5s]", "town.every: is a list, want a time"},
		{"town:\n  many: 3.5", `town.many: is "3.5", want a whole number`},
		{"town:\n  many: 10", "town.many: is 10, want 1 to 9"},
		{"town:\n  many: 1_0", `town.many: is "1_0", want a whole number`},
		{"town:\n  part: much", `town.part: is "much", want a number`},
		{"town:\n  part: .nan", `town.part: is ".nan", want a number`},
		{"town:\n  part: 1.5", "town.part: is 1.5, want 0 to 1"},
		{"town:\n  on: yes", `town.on: is "yes", want true or false`},
		{"town: 5", `t.yaml:1:7: town: is "5", want keys with values`},
		{"town: [a]", "town: is a list, want keys with values"},
		{"town:\n  rows: {id: x}", "town.rows: is a set of keys, want a list"},
		{"town:\n  rows:\n  - id: x\n  - {ids: y}", "t.yaml:4:6: town.rows[1].ids: is not known: did you mean id?"},
		{"town:\n  name: a\n  name: b", "town.name: given twice, first in line 2"},
		{"town: {? [a] : b}", "a key is a list, want a plain word"},
		{"- town", "t.yaml:1:1: is a list, want keys with values"},
		{"a: &x 1\nb: *x", "anchors and aliases are not read"},
		{"town:\n  name: !!binary aGk=", "tags such as !!binary are not read"},
		{"town: {name: a}\n---\ntown: {name: b}", "a second document begins here"},
		{"town:\n\tname: a", "t.yaml:2:1: not readable as YAML"},
		{"town: {", "not readable as YAML"},
		{deep, "nested more than 32 deep"},
		{"town:\n  name: \xff", "is not UTF-8 text"},
		{"town:\n  name: a\x00b", "is not UTF-8 text"},
		{"town:\n  many: x\n  part: y\n  on: z", `is "x", want a whole number (and 2 more)`},
	} {
		_, err := readTown(c[0])
		if err == nil || !strings.Contains(err.Error(), c[1]) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "t.yaml:") {
			t.Errorf("%q: %v\nwant %s", c[0], err, c[1])
		}
	}
}

func TestOpenNamesUnreadableFile(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large.yaml")
	if err := os.WriteFile(large, make([]byte, maxFileSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	var f Fault
	if _, err := Open(large); !errors.As(err, &f) || f.File != large {
		t.Errorf("%v", err)
	}
	if _, err := Open(large + "x"); !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), large+"x") {
		t.Errorf("%v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("town:\n  name: a\n  rows: [{id: x}]\n"))
	f.Add([]byte("a: &b [*b]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := readTown(string(raw)); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: an error of several lines: %v", raw, err)
		}
	})
}
