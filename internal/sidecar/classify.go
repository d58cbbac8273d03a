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

// Rule assigns requests to a traffic class. An empty field matches all requests. The first rule that matches applies.
type Rule struct {
	Class  string // name of the traffic class
	Method string
	Host   string
	Path   string            // a path, or a prefix of paths followed by *
	Fields map[string]string // required values of header fields, by name
}

// noClass is the class index of requests that no rule matches.
const noClass = -1

// parseRules parses the rules that assign requests to traffic classes.
func (c *Config) parseRules(top *strictyaml.Section) {
	for _, s := range top.Sections("rules") {
		c.Rules = append(c.Rules, c.parseRule(s))
		s.Done()
	}
	if len(c.Rules) == 0 {
		top.AddFault("rules", "is missing or empty: no request would match a traffic class")
	}
}

// parseRule parses one rule. c.Rules contains only the rules before it.
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
		s.AddFault("path", "is %.60q, want a path that begins with / and has * at most at its end", rule.Path)
	}
	shadowing := slices.IndexFunc(c.Rules, func(earlier Rule) bool { return earlier.shadows(rule) })
	if shadowing >= 0 {
		s.AddFault("", "is never reached: rules[%d] matches all of its requests", shadowing)
	}
	return rule
}

// faultUnknownClass adds a fault to a rule whose traffic class is not defined, with the nearest name if there is one.
func (c *Config) faultUnknownClass(s *strictyaml.Section, name string) {
	var names []string
	for _, class := range c.Dispatch.Classes {
		names = append(names, class.Name)
	}
	if nearest := strictyaml.Nearest(name, names); nearest != "" {
		s.AddFault("group", "is %q, which is not a traffic class: did you mean %s?", name, nearest)
		return
	}
	s.AddFault("group", "is %q, want one of %s", name, strings.Join(names, ", "))
}

// validPath reports whether a rule's path is empty, a path, or a prefix of paths followed by *.
func validPath(path string) bool {
	if path == "" {
		return true
	}
	return path[0] == '/' && !strings.Contains(strings.TrimSuffix(path, "*"), "*")
}

// shadows reports whether this rule matches every request that a later rule matches.
func (r Rule) shadows(later Rule) bool {
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
	return r.shadowsPath(later)
}

// shadowsPath reports whether this rule matches every path that a later rule matches.
func (r Rule) shadowsPath(later Rule) bool {
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

// matcher is a Rule prepared for matching requests.
type matcher struct {
	class    int // index of the traffic class
	method   string
	host     string
	path     string // without the * of a prefix
	isPrefix bool
	fields   map[string]string // required values by canonical name
}

// Classifier returns a function that returns the class index of the first rule that matches a request, or noClass.
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

// matches reports whether the rule matches a request.
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

// matchesPath reports whether a path equals the rule's path or begins with its prefix. A rule without a path matches all.
func (m *matcher) matchesPath(path string) bool {
	if m.isPrefix {
		return strings.HasPrefix(path, m.path)
	}
	return m.path == "" || path == m.path
}

// isSameHost compares hosts without regard to case. A port in got is ignored, since clients may omit it.
func isSameHost(want, got string) bool {
	if name, _, err := net.SplitHostPort(got); err == nil {
		got = name
	}
	return strings.EqualFold(want, got)
}
