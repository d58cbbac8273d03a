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

// Rule assigns requests to a traffic class. Empty fields match all requests; of the rules the first that matches holds.
type Rule struct {
	Class  string // its name
	Method string
	Host   string
	Path   string            // a path, or a prefix of paths followed by *
	Fields map[string]string // header fields that have to have a value
}

// noClass is the index of requests that no rule matches.
const noClass = -1

// parseRules reads which requests belong to which traffic class.
func (c *Config) parseRules(top *strictyaml.Section) {
	for _, s := range top.Sections("rules") {
		c.Rules = append(c.Rules, c.parseRule(s))
		s.Done()
	}
	if len(c.Rules) == 0 {
		top.Fault("rules", "are none: no flow would belong to a traffic group")
	}
}

// parseRule reads one rule, which is not yet among the others.
func (c *Config) parseRule(s *strictyaml.Section) Rule {
	var rule Rule
	s.Text("group", &rule.Class)
	s.Text("method", &rule.Method)
	s.Text("host", &rule.Host)
	s.Text("path", &rule.Path)
	s.Pairs("fields", &rule.Fields)
	if !c.hasClass(rule.Class) {
		c.faultUnknownClass(s, rule.Class)
	}
	if !validPath(rule.Path) {
		s.Fault("path", "is %.60q, want a path, or the beginning of one and * at its end", rule.Path)
	}
	hidden := slices.IndexFunc(c.Rules, func(earlier Rule) bool { return earlier.hides(rule) })
	if hidden >= 0 {
		s.Fault("", "is never reached: rules[%d] takes all of its flows", hidden)
	}
	return rule
}

// faultUnknownClass faults a rule for its class.
func (c *Config) faultUnknownClass(s *strictyaml.Section, name string) {
	var names []string
	for _, class := range c.Dispatch.Classes {
		names = append(names, class.Name)
	}
	if near := strictyaml.Nearest(name, names); near != "" {
		s.Fault("group", "is %q, which is no traffic group: did you mean %s?", name, near)
		return
	}
	s.Fault("group", "is %q, want one of %s", name, strings.Join(names, ", "))
}

// validPath reports whether a path is empty, a path, or the prefix of paths.
func validPath(path string) bool {
	if path == "" {
		return true
	}
	return path[0] == '/' && !strings.Contains(strings.TrimSuffix(path, "*"), "*")
}

// hides reports whether each request that a later rule matches is matched by this one.
func (r Rule) hides(later Rule) bool {
	if r.Method != "" && r.Method != later.Method {
		return false
	}
	if r.Host != "" && !strings.EqualFold(r.Host, later.Host) {
		return false
	}
	for name, value := range r.Fields {
		if later.Fields[name] != value {
			return false
		}
	}
	return r.hidesPath(later)
}

// hidesPath reports whether each path that a later rule matches is matched by this one.
func (r Rule) hidesPath(later Rule) bool {
	prefix, isPrefix := strings.CutSuffix(r.Path, "*")
	laterPrefix, laterIsPrefix := strings.CutSuffix(later.Path, "*")
	switch {
	case r.Path == "":
		return true
	case later.Path == "" || laterIsPrefix && !isPrefix:
		return false
	case isPrefix:
		return strings.HasPrefix(laterPrefix, prefix)
	}
	return r.Path == later.Path
}

// matcher is a Rule made ready for matching.
type matcher struct {
	class    int
	method   string
	host     string
	path     string // without the * of a prefix
	isPrefix bool
	fields   map[string]string // by canonical name
}

// Classifier returns a function that returns the class of the first rule that matches a request.
func (c Config) Classifier() ingress.Classifier {
	var matchers []matcher
	for _, rule := range c.Rules {
		matchers = append(matchers, c.newMatcher(rule))
	}
	return func(method, host, path string, header http.Header) int {
		for k := range matchers {
			if matchers[k].matches(method, host, path, header) {
				return matchers[k].class
			}
		}
		return noClass
	}
}

func (c Config) newMatcher(rule Rule) matcher {
	path, isPrefix := strings.CutSuffix(rule.Path, "*")
	fields := map[string]string{}
	for name, value := range rule.Fields {
		fields[textproto.CanonicalMIMEHeaderKey(name)] = value
	}
	class := slices.IndexFunc(c.Dispatch.Classes, func(class dispatch.Class) bool { return class.Name == rule.Class })
	return matcher{class: class, method: rule.Method, host: rule.Host, path: path, isPrefix: isPrefix, fields: fields}
}

// matches reports whether a request is of the rule's kind.
func (m *matcher) matches(method, host, path string, header http.Header) bool {
	if m.method != "" && m.method != method {
		return false
	}
	if m.host != "" && !isSameHost(m.host, host) {
		return false
	}
	if !m.matchesPath(path) {
		return false
	}
	for name, value := range m.fields {
		if !slices.Contains(header[name], value) {
			return false
		}
	}
	return true
}

// matchesPath reports whether a path is that of the rule, or begins with its prefix. A rule without a path matches all.
func (m *matcher) matchesPath(path string) bool {
	if m.isPrefix {
		return strings.HasPrefix(path, m.path)
	}
	return m.path == "" || path == m.path
}

// isSameHost compares hosts without the port, which a client may leave out.
func isSameHost(want, got string) bool {
	if name, _, err := net.SplitHostPort(got); err == nil {
		got = name
	}
	return strings.EqualFold(want, got)
}
