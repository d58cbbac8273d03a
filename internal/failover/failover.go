// Package failover chooses which of several equal peers a client uses. The peers stand in the order in which they are
// preferred; one that has failed is left alone for a while, and gets its place back after that. The package has no I/O, no
// clock and no goroutine: times (nanoseconds of any one clock) and events go in, a choice comes out, chance is drawn from a
// seed, so that clients that failed over together do not come back together.
package failover

import (
	"time"

	"lilacbend/internal/backoff"
)

// A peer that has failed is left alone for AbsenceInitial, and for twice as long each time, up to AbsenceLimit, for as long as
// there is another one.
const (
	AbsenceInitial = 5 * time.Second
	AbsenceLimit   = time.Minute
)

// Selector is the state of one client. It is not safe for concurrent use.
type Selector struct {
	peers    []*peer // in the order in which they are preferred
	failures uint64  // that were noted
}

type peer struct {
	address  string
	failed   bool
	failure  uint64 // the number of its last failure
	returnAt int64  // not chosen before while there is another one
	absence  *backoff.Backoff
}

// New makes a selector of peers, none of which has failed.
func New(addresses []string, seed uint64) *Selector {
	s := &Selector{}
	for k, address := range addresses {
		s.peers = append(s.peers, &peer{
			address: address,
			absence: backoff.NewJittered(AbsenceInitial, AbsenceLimit, seed+uint64(k)),
		})
	}
	return s
}

// Next returns the peer to use: the first that has not failed, or whose absence is over; if there is none, the one that failed
// first, so that each has its turn. It is empty if there are no peers.
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

// Failed notes that a peer was of no use. Its absence begins now.
func (s *Selector) Failed(address string, now int64) {
	s.failures++
	for _, p := range s.peers {
		if p.address == address {
			p.failed = true
			p.failure = s.failures
			p.returnAt = now + int64(p.absence.Next())
		}
	}
}

// Confirmed notes that a peer has answered.
func (s *Selector) Confirmed(address string) {
	for _, p := range s.peers {
		if p.address == address {
			p.failed = false
			p.absence.Reset()
		}
	}
}
