package sidecar

import (
	"net"
	"slices"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/strictyaml"
)

// maxProxyID is the largest id of a proxy.
const maxProxyID = 1 << 20

// isAddress reports whether a text is host:port.
func isAddress(text string) bool {
	_, port, err := net.SplitHostPort(text)
	return err == nil && port != ""
}

// parseAddress reads one address, which may be left out.
func parseAddress(s *strictyaml.Section, key string, v *string) {
	s.Text(key, v)
	if *v != "" && !isAddress(*v) {
		s.Fault(key, "is %.60q, want host:port", *v)
	}
}

// parseAddresses reads a list of addresses.
func parseAddresses(s *strictyaml.Section, key string, v *[]string) {
	s.Words(key, v)
	for k, text := range *v {
		if !isAddress(text) {
			s.Fault(key, "entry %d is %.60q, want host:port", k, text)
		}
	}
}

// parseIdentity reads who the sidecar is, whom it serves, and whom it connects to.
func (c *Config) parseIdentity(top *strictyaml.Section) {
	top.Text("name", &c.Name)
	top.Text("zone", &c.Zone)
	top.Whole("proxy", &c.ProxyID, 0, maxProxyID)
	requireKeys(top, "name", "zone", "proxy")
	c.parseListeners(top)
	parseAddresses(top, "governors", &c.Controllers)
	c.parseCollectors(top)
	parseAddress(top, "discovery", &c.Discovery)
	c.parseEndpoints(top)
}

// parseListeners reads the addresses on which the sidecar listens.
func (c *Config) parseListeners(top *strictyaml.Section) {
	if s := top.Section("listen"); s != nil {
		parseAddress(s, "http1", &c.HTTP1)
		parseAddress(s, "http2", &c.HTTP2)
		parseAddress(s, "local", &c.Local)
		s.Done()
		c.checkListeners(s)
	}
	if c.HTTP1 == "" && c.HTTP2 == "" {
		top.Fault("listen", "serves nobody: give http1 or http2 an address")
	}
}

// checkListeners checks that each listener has an address of its own.
func (c *Config) checkListeners(s *strictyaml.Section) {
	keys := map[string]string{} // by address
	for key, address := range map[string]string{"http1": c.HTTP1, "http2": c.HTTP2, "local": c.Local} {
		other, duplicate := keys[address]
		if address != "" && duplicate {
			s.Fault(max(key, other), "is the address of %s as well", min(key, other))
		}
		keys[address] = key
	}
}

// parseCollectors reads one collector, or several in the order of preference.
func (c *Config) parseCollectors(top *strictyaml.Section) {
	var single string
	parseAddress(top, "collector", &single)
	parseAddresses(top, "collectors", &c.Collectors)
	if single != "" && top.Has("collectors") {
		top.Fault("collectors", "are given beside collector: give one of the two")
	}
	if single != "" {
		c.Collectors = []string{single}
		return
	}
	for k, address := range c.Collectors {
		if slices.Contains(c.Collectors[:k], address) {
			top.Fault("collectors", "entry %d is %.60q, which stands before it already", k, address)
		}
	}
}

// parseEndpoints reads the replicas of a sidecar without discovery.
func (c *Config) parseEndpoints(top *strictyaml.Section) {
	listed := top.Sections("replicas")
	c.Endpoints = map[string]dispatch.Endpoint{}
	if len(listed) > 0 && c.Discovery != "" {
		top.Fault("replicas", "are listed by discovery as well: give one of the two")
	}
	for _, s := range listed {
		c.parseEndpoint(s)
	}
	if len(listed) == 0 && c.Discovery == "" {
		top.Fault("", "lacks discovery, or replicas: where are they?")
	}
}

// parseEndpoint reads one replica.
func (c *Config) parseEndpoint(s *strictyaml.Section) {
	var id string
	var endpoint dispatch.Endpoint
	s.Text("id", &id)
	s.Text("zone", &endpoint.Zone)
	s.Text("cell", &endpoint.Cell)
	parseAddress(s, "address", &endpoint.Address)
	_, duplicate := c.Endpoints[id]
	if duplicate || id == "" || endpoint.Address == "" {
		s.Fault("", "wants an id of its own and an address")
	}
	c.Endpoints[id] = endpoint
	s.Done()
}
