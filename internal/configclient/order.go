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

// Order returns the servers, without duplicates, in the order in which a follower prefers them: those of its own region
// first. Within its own and within the other regions the order is that of rendezvous hashing with the follower's name, so
// that the followers of a lost server spread over all others.
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

// ranked returns addresses in the order of rendezvous hashing with a key. The library only returns the first choice, so each
// further address is its choice among the remaining ones.
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
