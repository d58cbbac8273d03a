package binding

import "lilacbend/policy/internal/ordered"

// PendingAcks tracks, for each nonce, the proxies that have not acknowledged it yet. An acknowledgement covers all nonces up
// to its own, as messages reach a proxy in order. PendingAcks does not wait for proxies that have disconnected. If a nonce
// is complete only because its last proxies have disconnected, this does not show that the channel is empty: messages to
// these proxies may still wait in it.
type PendingAcks struct {
	nonceMask uint64                  // the bits of a nonce that messages carry
	last      uint64                  // the newest nonce, with all its bits
	pending   map[uint64]map[int]bool // by nonce: the proxies that have not acknowledged it
}

// NewPendingAcks returns PendingAcks without nonces. Messages carry only those bits of a nonce that are in the mask.
func NewPendingAcks(nonceMask uint64) *PendingAcks {
	return &PendingAcks{nonceMask: nonceMask, pending: map[uint64]map[int]bool{}}
}

// Await adds a new nonce and the proxies that have to acknowledge it.
func (p *PendingAcks) Await(nonce uint64, proxies []int) {
	p.last = nonce
	p.pending[nonce] = map[int]bool{}
	for _, proxy := range proxies {
		p.pending[nonce][proxy] = true
	}
}

// Nonce returns the newest nonce that has the given bits under the mask.
func (p *PendingAcks) Nonce(carried uint64) uint64 { return p.last - (p.last-carried)&p.nonceMask }

// Acknowledge records that a proxy has applied all messages up to a nonce. It returns the nonces for which this was the last
// missing acknowledgement, in ascending order.
func (p *PendingAcks) Acknowledge(proxy int, upTo uint64) (complete []uint64) {
	for _, nonce := range ordered.Keys(p.pending) {
		if nonce <= upTo && p.remove(nonce, proxy) {
			complete = append(complete, nonce)
		}
	}
	return complete
}

// Disconnect stops waiting for the acknowledgements of a proxy. It returns the nonces for which only its acknowledgement was
// missing, in ascending order.
func (p *PendingAcks) Disconnect(proxy int) (complete []uint64) {
	for _, nonce := range ordered.Keys(p.pending) {
		if p.remove(nonce, proxy) {
			complete = append(complete, nonce)
		}
	}
	return complete
}

// remove stops waiting for the proxy to acknowledge the nonce, and reports whether it was the last proxy whose
// acknowledgement of the nonce was missing.
func (p *PendingAcks) remove(nonce uint64, proxy int) bool {
	proxies := p.pending[nonce]
	if !proxies[proxy] {
		return false
	}
	delete(proxies, proxy)
	if len(proxies) > 0 {
		return false
	}
	delete(p.pending, nonce)
	return true
}
