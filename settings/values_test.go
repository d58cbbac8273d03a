package settings

import (
	"reflect"
	"testing"
)

func TestJSONAndLinesGiveTheSamePaths(t *testing.T) {
	values, err := ParseJSON([]byte(`{"zones":["a, b","c"],"kinds":[],"domain":{"cycle_ms":500.0,"by_class":[true,false]},
		"lanes":[{"name":"x"},{"name":"y"}],"absent":null}`))
	want := Values{"zones": {"a, b", "c"}, "zones.count": {"2"}, "kinds": nil, "kinds.count": {"0"}, "domain.cycle_ms": {"500.0"},
		"domain.by_class": {"true", "false"}, "domain.by_class.count": {"2"}, "lanes": nil, "lanes.count": {"2"},
		"lanes.0.name": {"x"}, "lanes.1.name": {"y"}}
	if err != nil || !reflect.DeepEqual(values, want) {
		t.Errorf("ParseJSON: values %v, error %v, want %v", values, err, want)
	}
	names, err := values.Names()
	if want := (Names{Classes: []string{"x", "y"}, Zones: []string{"a, b", "c"}}); err != nil || !reflect.DeepEqual(names, want) {
		t.Errorf("Names: %+v, error %v, want %+v", names, err, want)
	}
	if lines := ParseLines("zones=a,c\r\nkinds=\nnothing\n"); !reflect.DeepEqual(lines, Values{"zones": {"a", "c"}, "kinds": nil}) {
		t.Errorf("ParseLines: %v", lines)
	}
	for _, bad := range []string{"", "[]", "null 4", `{"a":1} {}`, `{"a":`} {
		if values, err := ParseJSON([]byte(bad)); err == nil {
			t.Errorf("ParseJSON accepted %q as %v, want an error", bad, values)
		}
	}
}
