package sidecar

import (
	"net"
	"slices"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/strictyaml"
)

// isAddress says whether a text is host:port.
func isAddress(text string) bool {
	_, port, err := net.SplitHostPort(text)
	return err == nil && port != ""
}

// address reads one address, which may be left out.
func address(s *strictyaml.Section, key string, v *string) {
	s.Text(key, v)
	if *v != "" && !isAddress(*v) {
		s.Fault(key, "is %.60q, want host:port", *v)
	}
}

// addresses reads a list of addresses.
func addresses(s *strictyaml.Section, key string, v *[]string) {
	s.Words(key, v)
	for k, text := range *v {
		if !isAddress(text) {
			s.Fault(key, "entry %d is %.60q, want host:port", k, text)
		}
	}
}

// identity reads who the sidecar is, whom it serves, and whom it talks to.
func (m *Config) identity(top *strictyaml.Section) {
	top.Text("name", &m.Name)
	top.Text("zone", &m.Zone)
	top.Whole("proxy", &m.ProxyID, 0, 1<<20)
	for _, key := range []string{"name", "zone", "proxy"} {
		if !top.Has(key) {
			top.Fault("", "lacks %s", key)
		}
	}
	m.listeners(top)
	addresses(top, "governors", &m.Controllers)
	m.collectors(top)
	address(top, "discovery", &m.Discovery)
	m.replicas(top)
}

// listeners reads where clients are served.
func (m *Config) listeners(top *strictyaml.Section) {
	if l := top.Section("listen"); l != nil {
		address(l, "http1", &m.HTTP1)
		address(l, "http2", &m.HTTP2)
		address(l, "local", &m.Local)
		l.Done()
		at := map[string]string{}
		for key, a := range map[string]string{"http1": m.HTTP1, "http2": m.HTTP2, "local": m.Local} {
			if other, twice := at[a]; a != "" && twice {
				l.Fault(max(key, other), "is the address of %s as well", min(key, other))
			}
			at[a] = key
		}
	}
	if m.HTTP1 == "" && m.HTTP2 == "" {
		top.Fault("listen", "serves nobody: give http1 or http2 an address")
	}
}

// collectors reads one collector, or several in the order in which they are preferred.
func (m *Config) collectors(top *strictyaml.Section) {
	var one string
	address(top, "collector", &one)
	addresses(top, "collectors", &m.Collectors)
	if one != "" && top.Has("collectors") {
		top.Fault("collectors", "are given beside collector: give one of the two")
	}
	if one != "" {
		m.Collectors = []string{one}
		return
	}
	for k, c := range m.Collectors {
		if slices.Contains(m.Collectors[:k], c) {
			top.Fault("collectors", "entry %d is %.60q, which stands before it already", k, c)
		}
	}
}

// replicas reads the replicas of a sidecar without discovery.
func (m *Config) replicas(top *strictyaml.Section) {
	listed := top.Sections("replicas")
	m.Endpoints = map[string]dispatch.Endpoint{}
	if len(listed) > 0 && m.Discovery != "" {
		top.Fault("replicas", "are listed by discovery as well: give one of the two")
	}
	for _, s := range listed {
		m.replica(s)
	}
	if len(listed) == 0 && m.Discovery == "" {
		top.Fault("", "lacks discovery, or replicas: where are they?")
	}
}

// replica reads one of them.
func (m *Config) replica(s *strictyaml.Section) {
	var id string
	var r dispatch.Endpoint
	s.Text("id", &id)
	s.Text("zone", &r.Zone)
	s.Text("cell", &r.Cell)
	address(s, "address", &r.Address)
	if _, twice := m.Endpoints[id]; twice || id == "" || r.Address == "" {
		s.Fault("", "wants an id of its own and an address")
	}
	m.Endpoints[id] = r
	s.Done()
}
