package configclient

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Server is a configuration server and the region that it stands in.
type Server struct {
	Address string
	Region  string
}

// Order is the order in which a follower tries servers: those of its own region first; among each, by rendezvous hashing
// of its name, so that the followers of a lost server spread over all others.
func Order(instance, region string, servers []Server) []Server {
	near, far := []string{}, []string{}
	regions := map[string]string{}
	for _, s := range servers {
		if _, twice := regions[s.Address]; twice {
			continue
		}
		regions[s.Address] = s.Region
		if s.Region == region {
			near = append(near, s.Address)
		} else {
			far = append(far, s.Address)
		}
	}
	order := make([]Server, 0, len(regions))
	for _, address := range append(ranked(instance, near), ranked(instance, far)...) {
		order = append(order, Server{address, regions[address]})
	}
	return order
}

// ranked puts addresses in the order of their hash with a key: the first is the library's choice, the next its choice
// among the rest.
func ranked(key string, addresses []string) (order []string) {
	left := slices.Sorted(slices.Values(addresses))
	for len(left) > 0 {
		next := rendezvous.New(left, xxhash.Sum64String).Lookup(key)
		order = append(order, next)
		left = slices.DeleteFunc(left, func(address string) bool { return address == next })
	}
	return order
}
