package configclient

import (
	"net"

	"lilacbend/internal/strictyaml"
)

// ReadServers reads the list of servers under a key of a configuration file's section. It reports faults to the section.
func ReadServers(section *strictyaml.Section, key string) []Server {
	var servers []Server
	seen := map[string]bool{}
	for _, entry := range section.Sections(key) {
		var server Server
		entry.Text("address", &server.Address)
		entry.Text("region", &server.Region)
		if _, _, err := net.SplitHostPort(server.Address); err != nil {
			entry.AddFault("address", "is %.40q, want an address of host and port", server.Address)
		}
		if seen[server.Address] {
			entry.AddFault("address", "%s is listed twice", server.Address)
		}
		seen[server.Address] = true
		entry.Done()
		servers = append(servers, server)
	}
	if section.Has(key) && len(servers) == 0 {
		section.AddFault(key, "names no server: want a list of sections with address and region")
	}
	return servers
}
