package configclient

import (
	"net"

	"lilacbend/internal/strictyaml"
)

// ReadServers reads the list of servers under a key of a file.
func ReadServers(s *strictyaml.Section, key string) (all []Server) {
	known := map[string]bool{}
	for _, one := range s.Sections(key) {
		var server Server
		one.Text("address", &server.Address)
		one.Text("region", &server.Region)
		if _, _, err := net.SplitHostPort(server.Address); err != nil {
			one.Fault("address", "is %.40q, want an address of host and port", server.Address)
		}
		if known[server.Address] {
			one.Fault("address", "%s is there twice", server.Address)
		}
		known[server.Address] = true
		one.Done()
		all = append(all, server)
	}
	if s.Has(key) && len(all) == 0 {
		s.Fault(key, "names no server: want a list of sections with address and region")
	}
	return all
}
