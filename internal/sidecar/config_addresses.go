package sidecar

import (
	"net"
	"slices"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/strictyaml"
)

const maxProxyID = 1 << 20

// isAddress reports whether a string has the form host:port.
func isAddress(text string) bool {
	_, port, err := net.SplitHostPort(text)
	return err == nil && port != ""
}

// parseAddress parses an optional address.
func parseAddress(s *strictyaml.Section, key string, v *string) {
	s.Text(key, v)
	if *v != "" && !isAddress(*v) {
		s.AddFault(key, "is %.60q, want host:port", *v)
	}
}

// parseAddresses parses a list of addresses.
func parseAddresses(s *strictyaml.Section, key string, v *[]string) {
	s.Words(key, v)
	for k, text := range *v {
		if !isAddress(text) {
			s.AddFault(key, "entry %d is %.60q, want host:port", k, text)
		}
	}
}

// parseIdentity parses the name, zone and proxy id of the sidecar, its listeners, and the addresses it connects to.
func (c *Config) parseIdentity(top *strictyaml.Section) {
	top.Text("name", &c.Name)
	top.Text("zone", &c.Zone)
	top.Integer("proxy", &c.ProxyID, 0, maxProxyID)
	requireKeys(top, "name", "zone", "proxy")
	c.parseListeners(top)
	parseAddresses(top, "governors", &c.Controllers)
	c.parseCollectors(top)
	parseAddress(top, "discovery", &c.Discovery)
	c.parseEndpoints(top)
}

// parseListeners parses the addresses on which the sidecar listens.
func (c *Config) parseListeners(top *strictyaml.Section) {
	if s := top.Section("listen"); s != nil {
		parseAddress(s, "http1", &c.HTTP1)
		parseAddress(s, "http2", &c.HTTP2)
		parseAddress(s, "local", &c.Local)
		s.Done()
		c.checkListeners(s)
	}
	if c.HTTP1 == "" && c.HTTP2 == "" {
		top.AddFault("listen", "has no listener for clients: set http1 or http2")
	}
}

// checkListeners checks that each listener has an address of its own.
func (c *Config) checkListeners(s *strictyaml.Section) {
	keys := map[string]string{} // by address
	for key, address := range map[string]string{"http1": c.HTTP1, "http2": c.HTTP2, "local": c.Local} {
		other, duplicate := keys[address]
		if address != "" && duplicate {
			s.AddFault(max(key, other), "is also the address of %s", min(key, other))
		}
		keys[address] = key
	}
}

// parseCollectors parses either one collector, or several in order of preference.
func (c *Config) parseCollectors(top *strictyaml.Section) {
	var single string
	parseAddress(top, "collector", &single)
	parseAddresses(top, "collectors", &c.Collectors)
	if single != "" && top.Has("collectors") {
		top.AddFault("collectors", "is set together with collector: set one of the two")
	}
	if single != "" {
		c.Collectors = []string{single}
		return
	}
	for k, address := range c.Collectors {
		if slices.Contains(c.Collectors[:k], address) {
			top.AddFault("collectors", "entry %d is %.60q, which repeats an earlier entry", k, address)
		}
	}
}

// parseEndpoints parses the replicas that are listed in the file instead of by discovery.
func (c *Config) parseEndpoints(top *strictyaml.Section) {
	sections := top.Sections("replicas")
	c.Endpoints = map[string]dispatch.Endpoint{}
	if len(sections) > 0 && c.Discovery != "" {
		top.AddFault("replicas", "is set together with discovery: set one of the two")
	}
	for _, s := range sections {
		c.parseEndpoint(s)
	}
	if len(sections) == 0 && c.Discovery == "" {
		top.AddFault("", "lacks discovery or replicas: set one of the two")
	}
}

// parseEndpoint parses one replica.
func (c *Config) parseEndpoint(s *strictyaml.Section) {
	var id string
	var endpoint dispatch.Endpoint
	s.Text("id", &id)
	s.Text("zone", &endpoint.Zone)
	s.Text("cell", &endpoint.Cell)
	parseAddress(s, "address", &endpoint.Address)
	_, duplicate := c.Endpoints[id]
	if duplicate || id == "" || endpoint.Address == "" {
		s.AddFault("", "requires a unique id and an address")
	}
	c.Endpoints[id] = endpoint
	s.Done()
}
