package configclient

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Server is a configuration server and its region.
type Server struct {
	Address string
	Region  string
}

// Order returns the servers in the order in which a follower prefers them: those of its own region first and, within each
// group, by rendezvous hashing of the follower's name, so that the followers of a lost server spread over all others.
func Order(instance, region string, servers []Server) []Server {
	local, remote := []string{}, []string{}
	regions := map[string]string{}
	for _, s := range servers {
		if _, duplicate := regions[s.Address]; duplicate {
			continue
		}
		regions[s.Address] = s.Region
		if s.Region == region {
			local = append(local, s.Address)
		} else {
			remote = append(remote, s.Address)
		}
	}
	order := make([]Server, 0, len(regions))
	for _, address := range append(ranked(instance, local), ranked(instance, remote)...) {
		order = append(order, Server{Address: address, Region: regions[address]})
	}
	return order
}

// ranked sorts addresses by their hash with a key: the first is the library's choice, the next its choice among the rest.
func ranked(key string, addresses []string) []string {
	var order []string
	rest := slices.Sorted(slices.Values(addresses))
	for len(rest) > 0 {
		next := rendezvous.New(rest, xxhash.Sum64String).Lookup(key)
		order = append(order, next)
		rest = slices.DeleteFunc(rest, func(address string) bool { return address == next })
	}
	return order
}
