package strictyaml

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// pool is the section pool of the test files.
type pool struct {
	name    string
	every   time.Duration
	size    int
	share   float64
	enabled bool
	hosts   []string
}

// readPool reads a test file with the section pool.
func readPool(raw string) (pool, error) {
	var p pool
	document, top, err := Parse("t.yaml", []byte(raw))
	if err != nil {
		return p, err
	}
	if s := top.Section("pool"); s != nil {
		s.Text("name", &p.name)
		s.Duration("every", &p.every, time.Second, time.Minute)
		s.Integer("size", &p.size, 1, 9)
		s.Number("share", &p.share, 0, 1)
		s.Bool("enabled", &p.enabled)
		for _, host := range s.Sections("hosts") {
			var id string
			host.Text("id", &id)
			host.Done()
			p.hosts = append(p.hosts, id)
		}
		s.Done()
	}
	top.Done()
	return p, document.Err()
}

func TestMethodsReadWrittenValues(t *testing.T) {
	got, err := readPool("pool:\n  name: a b\n  every: 1m\n  size: 3\n  share: 0.5\n  enabled: true\n  hosts: [{id: x}, {id: y}]\n")
	if err != nil || got.name != "a b" || got.every != time.Minute || got.size != 3 || got.share != 0.5 || !got.enabled ||
		strings.Join(got.hosts, "") != "xy" {
		t.Errorf("read %+v, error %v", got, err)
	}
	for _, raw := range []string{"", "# nothing\n", "---\n", "{}", "null"} {
		if _, err := readPool(raw); err != nil {
			t.Errorf("file without keys %q: error %v, want none", raw, err)
		}
	}
}

func TestFaultsNameFileLineAndKey(t *testing.T) {
	deep := strings.Repeat("{a: ", 40) + "1" + strings.Repeat("}", 40)
	for _, c := range [][2]string{
		{"pool:\n  evry: 5s", "t.yaml:2:3: pool.evry: is not known: did you mean every?"},
		{"pools: {}", "t.yaml:1:1: pools: is not known: did you mean pool?"},
		{"zzzzzzzz: 1", "t.yaml:1:1: zzzzzzzz: is not known: known keys are pool"},
		{"pool:\n  every: 5", `t.yaml:2:10: pool.every: is "5", want a duration with its unit`},
		{"pool:\n  every: 5 s", `pool.every: is "5 s", want a duration with its unit`},
		{"pool:\n  every: 5h", "pool.every: is 5h0m0s, want 1s to 1m0s"},
		{"pool:\n  every:", "pool.every: is empty, want a duration"},
		{"pool:\n  every: [5s]", "pool.every: is a list, want a duration"},
		{"pool:\n  size: 3.5", `pool.size: is "3.5", want a whole number`},
		{"pool:\n  size: 10", "pool.size: is 10, want 1 to 9"},
		{"pool:\n  size: 1_0", `pool.size: is "1_0", want a whole number`},
		{"pool:\n  share: much", `pool.share: is "much", want a number`},
		{"pool:\n  share: .nan", `pool.share: is ".nan", want a number`},
		{"pool:\n  share: 1.5", "pool.share: is 1.5, want 0 to 1"},
		{"pool:\n  enabled: yes", `pool.enabled: is "yes", want true or false`},
		{"pool: 5", `t.yaml:1:7: pool: is "5", want keys with values`},
		{"pool: [a]", "pool: is a list, want keys with values"},
		{"pool:\n  hosts: {id: x}", "pool.hosts: is a set of keys, want a list"},
		{"pool:\n  hosts:\n  - id: x\n  - {ids: y}", "t.yaml:4:6: pool.hosts[1].ids: is not known: did you mean id?"},
		{"pool:\n  name: a\n  name: b", "pool.name: given twice, first in line 2"},
		{"pool: {? [a] : b}", "a key is a list, want a plain string"},
		{"- pool", "t.yaml:1:1: is a list, want keys with values"},
		{"a: &x 1\nb: *x", "anchors and aliases are not supported"},
		{"pool:\n  name: !!binary aGk=", "tags such as !!binary are not supported"},
		{"pool: {name: a}\n---\npool: {name: b}", "a second YAML document begins here"},
		{"pool:\n\tname: a", "t.yaml:2:1: not readable as YAML"},
		{"pool: {", "not readable as YAML"},
		{deep, "nested deeper than 32 levels"},
		{"pool:\n  name: \xff", "is not UTF-8 text"},
		{"pool:\n  name: a\x00b", "is not UTF-8 text"},
		{"pool:\n  size: x\n  share: y\n  enabled: z", `is "x", want a whole number (and 2 more)`},
	} {
		_, err := readPool(c[0])
		if err == nil || !strings.Contains(err.Error(), c[1]) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "t.yaml:") {
			t.Errorf("%q: error %v\nwant one line that begins with t.yaml: and contains %s", c[0], err, c[1])
		}
	}
}

func TestErrorsOfOpenNameTheFile(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large.yaml")
	if err := os.WriteFile(large, make([]byte, maxFileSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	var f Fault
	if _, err := Open(large); !errors.As(err, &f) || f.File != large {
		t.Errorf("file above the size limit: error %v, want a Fault of %s", err, large)
	}
	if _, err := Open(large + "x"); !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), large+"x") {
		t.Errorf("missing file: error %v, want ErrNotExist with the name %s", err, large+"x")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("pool:\n  name: a\n  hosts: [{id: x}]\n"))
	f.Add([]byte("a: &b [*b]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := readPool(string(raw)); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: the error has several lines: %v", raw, err)
		}
	})
}
