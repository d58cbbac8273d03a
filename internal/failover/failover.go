// Package failover selects which of several equivalent peers a client uses. Peers are listed in order of preference. A peer
// that has failed is not used during its cool-down, and is preferred again after that. The package does no I/O, reads no
// clock and starts no goroutine; callers pass times in nanoseconds of one clock of their choice. Cool-downs have jitter from
// a seed, so that clients that failed over together do not return together.
package failover

import (
	"time"

	"lilacbend/internal/backoff"
)

// The cool-down of a peer that has failed lasts for CooldownInitial, and for twice as long after each further failure, up to
// CooldownLimit; jitter shortens it by up to half. During its cool-down a peer is used only if all other peers are in their
// cool-downs too.
const (
	CooldownInitial = 5 * time.Second
	CooldownLimit   = time.Minute
)

// Selector selects the peer that one client uses. It is not safe for concurrent use.
type Selector struct {
	peers    []*peer // in order of preference
	failures uint64  // number of recorded failures of all peers
}

// peer is one peer and its failures.
type peer struct {
	address     string
	failed      bool
	lastFailure uint64 // value of Selector.failures at the last failure of the peer
	cooldownEnd int64  // when the cool-down of the peer ends
	cooldown    *backoff.Backoff
}

// New returns a Selector for the peers with the given addresses, in order of preference. None of them has failed.
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

// Next returns the address of the peer to use: the first one that has not failed or whose cool-down has ended. If there is
// no such peer, it returns the peer whose last failure is the oldest, so that all peers are tried in turn. Without peers it
// returns an empty address.
func (s *Selector) Next(now int64) string {
	var oldest *peer
	for _, p := range s.peers {
		if !p.failed || p.cooldownEnd <= now {
			return p.address
		}
		if oldest == nil || p.lastFailure < oldest.lastFailure {
			oldest = p
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.address
}

// RecordFailure records that a peer could not be used, and begins its cool-down.
func (s *Selector) RecordFailure(address string, now int64) {
	s.failures++
	for _, p := range s.peers {
		if p.address == address {
			p.failed = true
			p.lastFailure = s.failures
			p.cooldownEnd = now + int64(p.cooldown.Next())
		}
	}
}

// RecordSuccess records that a peer has responded, which ends its cool-down and resets the length of the next one.
func (s *Selector) RecordSuccess(address string) {
	for _, p := range s.peers {
		if p.address == address {
			p.failed = false
			p.cooldown.Reset()
		}
	}
}
