package controlserver

import "time"

// evict closes the connection that has been evictable for longest, and reports whether there was an evictable one. The
// caller holds mu.
func (s *Server) evict() bool {
	first := s.evictable.Front()
	if first == nil {
		return false
	}
	p := first.Value.(*peer)
	s.remove(p)
	p.conn.Close()
	s.queues.Counters.ConnectionsEvicted.Add(1)
	return true
}

// register records that a peer has joined, which protects it from eviction. A collector replaces the previous collector of
// its zone, which may have vanished without closing its connection: the previous one is not closed, but becomes evictable. A
// peer that was evicted while its join was read is not registered, as its connection is closed.
func (s *Server) register(p *peer, joined role, zone string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[p]; !ok {
		return errEvicted
	}
	s.protect(p)
	p.conn.SetReadDeadline(time.Time{})
	p.role = joined
	p.zone = zone
	if joined != collector {
		return nil
	}
	previous := s.collectors[zone]
	if previous != nil {
		previous.evictable = s.evictable.PushBack(previous)
	}
	s.collectors[zone] = p
	return nil
}

// remove deletes a peer from the server's records. It has no effect if the peer is already removed. The caller holds mu.
func (s *Server) remove(p *peer) {
	delete(s.peers, p)
	if s.collectors[p.zone] == p {
		delete(s.collectors, p.zone)
	}
	s.protect(p)
}

// protect removes a peer from the list of evictable peers, if the list has it. The caller holds mu.
func (s *Server) protect(p *peer) {
	if p.evictable != nil {
		s.evictable.Remove(p.evictable)
		p.evictable = nil
	}
}
