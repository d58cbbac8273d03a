package sidecar

import (
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/ingress"
	"lilacbend/internal/strictyaml"
)

// Rule sends flows to a traffic group. What it does not name it does not ask for; the first that fits holds.
type Rule struct {
	Group, Method, Host, Path string
	Fields                    map[string]string
}

// rules reads which flows belong to which traffic group.
func (m *Config) rules(top *strictyaml.Section) {
	var names []string
	for _, g := range m.Dispatch.Classes {
		names = append(names, g.Name)
	}
	for _, s := range top.Sections("rules") {
		var r Rule
		s.Text("group", &r.Group)
		s.Text("method", &r.Method)
		s.Text("host", &r.Host)
		s.Text("path", &r.Path)
		s.Pairs("fields", &r.Fields)
		if !slices.Contains(names, r.Group) {
			if near := strictyaml.Nearest(r.Group, names); near != "" {
				s.Fault("group", "is %q, which is no traffic group: did you mean %s?", r.Group, near)
			} else {
				s.Fault("group", "is %q, want one of %s", r.Group, strings.Join(names, ", "))
			}
		}
		if r.Path != "" && (r.Path[0] != '/' || strings.Contains(strings.TrimSuffix(r.Path, "*"), "*")) {
			s.Fault("path", "is %.60q, want a path, or the beginning of one and * at its end", r.Path)
		}
		for before, o := range m.Rules {
			if o.hides(r) {
				s.Fault("", "is never reached: rules[%d] takes all of its flows", before)
				break
			}
		}
		m.Rules = append(m.Rules, r)
		s.Done()
	}
	if len(m.Rules) == 0 {
		top.Fault("rules", "are none: no flow would belong to a traffic group")
	}
}

// hides says whether each flow that fits the later rule fits this one.
func (r Rule) hides(later Rule) bool {
	if r.Method != "" && r.Method != later.Method || r.Host != "" && !strings.EqualFold(r.Host, later.Host) {
		return false
	}
	for name, value := range r.Fields {
		if later.Fields[name] != value {
			return false
		}
	}
	prefix, open := strings.CutSuffix(r.Path, "*")
	laterPrefix, laterOpen := strings.CutSuffix(later.Path, "*")
	switch {
	case r.Path == "":
		return true
	case later.Path == "" || laterOpen && !open:
		return false
	case open:
		return strings.HasPrefix(laterPrefix, prefix)
	}
	return r.Path == later.Path
}

// Classify says which group the first rule that fits names.
func (m Config) Classify() ingress.Classifier {
	type rule struct {
		Rule
		group  int
		prefix string
		open   bool
	}
	var rules []rule
	for _, r := range m.Rules {
		prefix, open := strings.CutSuffix(r.Path, "*")
		fields := map[string]string{}
		for name, value := range r.Fields {
			fields[textproto.CanonicalMIMEHeaderKey(name)] = value
		}
		r.Fields = fields
		rules = append(rules, rule{r, slices.IndexFunc(m.Dispatch.Classes, func(g dispatch.Class) bool { return g.Name == r.Group }), prefix, open})
	}
	return func(method, host, path string, h http.Header) int {
		for _, r := range rules {
			if r.Method != "" && r.Method != method || r.Host != "" && !sameHost(r.Host, host) ||
				r.Path != "" && r.Path != path && !(r.open && strings.HasPrefix(path, r.prefix)) {
				continue
			}
			fits := true
			for name, value := range r.Fields {
				fits = fits && slices.Contains(h[name], value)
			}
			if fits {
				return r.group
			}
		}
		return -1
	}
}

// sameHost compares without the port, which a client may leave out.
func sameHost(want, got string) bool {
	if name, _, err := net.SplitHostPort(got); err == nil {
		got = name
	}
	return strings.EqualFold(want, got)
}
