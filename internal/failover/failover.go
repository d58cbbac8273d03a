// Package failover selects which of several equal peers a client uses. The peers are in the order of preference; one that has
// failed is not used for a cool-down, and preferred again after that. The package does no I/O, reads no clock and starts no
// goroutine; times are nanoseconds of any one clock. Cool-downs have jitter from a seed, so that clients that failed over
// together do not return together.
package failover

import (
	"time"

	"lilacbend/internal/backoff"
)

// A peer that has failed is not used for CooldownInitial, and for twice as long each time, up to CooldownLimit, while there is
// another one.
const (
	CooldownInitial = 5 * time.Second
	CooldownLimit   = time.Minute
)

// Selector is the state of one client. It is not safe for concurrent use.
type Selector struct {
	peers    []*peer // in the order of preference
	failures uint64  // that were recorded
}

type peer struct {
	address  string
	failed   bool
	failure  uint64 // the number of its last failure
	returnAt int64  // it is not selected before, while there is another one
	cooldown *backoff.Backoff
}

// New returns a Selector of peers, none of which has failed.
func New(addresses []string, seed uint64) *Selector {
	s := &Selector{}
	for k, address := range addresses {
		s.peers = append(s.peers, &peer{
			address:  address,
			cooldown: backoff.NewJittered(CooldownInitial, CooldownLimit, seed+uint64(k)),
		})
	}
	return s
}

// Next returns the peer to use: the first that has not failed, or whose cool-down is over; if there is none, the one that failed
// first, so that each has its turn. It returns an empty address if there are no peers.
func (s *Selector) Next(now int64) string {
	var oldest *peer
	for _, p := range s.peers {
		if !p.failed || p.returnAt <= now {
			return p.address
		}
		if oldest == nil || p.failure < oldest.failure {
			oldest = p
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.address
}

// Failed records that a peer could not be used. Its cool-down begins now.
func (s *Selector) Failed(address string, now int64) {
	s.failures++
	for _, p := range s.peers {
		if p.address == address {
			p.failed = true
			p.failure = s.failures
			p.returnAt = now + int64(p.cooldown.Next())
		}
	}
}

// Confirmed records that a peer has answered.
func (s *Selector) Confirmed(address string) {
	for _, p := range s.peers {
		if p.address == address {
			p.failed = false
			p.cooldown.Reset()
		}
	}
}
