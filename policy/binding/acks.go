package binding

import "lilacbend/policy/internal/ordered"

// PendingAcks are the proxies that have not acknowledged a nonce yet. An acknowledgement covers all nonces up to its own, as
// messages reach a proxy in order. Nothing is awaited of a proxy that has disconnected; that a nonce is complete because its
// last proxies have disconnected says nothing of the channel, where what was written to them may still wait.
type PendingAcks struct {
	nonceMask uint64 // the bits of a nonce that messages carry
	last      uint64 // the newest nonce, of all its bits
	pending   map[uint64]map[int]bool
}

// NewPendingAcks returns PendingAcks for nonces of which messages carry the bits of a mask.
func NewPendingAcks(nonceMask uint64) *PendingAcks {
	return &PendingAcks{nonceMask: nonceMask, pending: map[uint64]map[int]bool{}}
}

// Await adds a new nonce with the proxies that are to acknowledge it.
func (p *PendingAcks) Await(nonce uint64, proxies []int) {
	p.last = nonce
	p.pending[nonce] = map[int]bool{}
	for _, proxy := range proxies {
		p.pending[nonce][proxy] = true
	}
}

// Nonce returns the newest nonce of which a message carries these bits.
func (p *PendingAcks) Nonce(carried uint64) uint64 { return p.last - (p.last-carried)&p.nonceMask }

// Acknowledge notes that a proxy has applied everything up to a nonce. It returns the nonces that all proxies have acknowledged
// now, in ascending order.
func (p *PendingAcks) Acknowledge(proxy int, upTo uint64) (complete []uint64) {
	for _, nonce := range ordered.Keys(p.pending) {
		if nonce <= upTo && p.remove(nonce, proxy) {
			complete = append(complete, nonce)
		}
	}
	return complete
}

// Disconnect stops waiting for a proxy. It returns the nonces that are complete without it, in ascending order.
func (p *PendingAcks) Disconnect(proxy int) (complete []uint64) {
	for _, nonce := range ordered.Keys(p.pending) {
		if p.remove(nonce, proxy) {
			complete = append(complete, nonce)
		}
	}
	return complete
}

// remove reports whether the proxy was the last one of the nonce.
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
