package ingress

import (
	"io"
	"time"

	"lilacbend/internal/upstream"
)

// This file is the body of a request as it comes in pieces.

// h2Body reads what has come of a stream's body.
type h2Body stream

func (b *h2Body) Read(p []byte) (int, error) {
	s, c := (*stream)(b), b.conn
	timer := time.NewTimer(c.server.Stall)
	defer timer.Stop()
	for {
		c.mu.Lock()
		switch {
		case s.fault != nil:
			err := s.fault
			c.mu.Unlock()
			return 0, err
		case s.halted:
			c.mu.Unlock()
			return 0, upstream.ErrBodyStopped
		case s.inbox.Len() > 0:
			n, _ := s.inbox.Read(p)
			c.give(int64(n))
			c.mu.Unlock()
			c.tell(s, int64(n))
			return n, nil
		case s.ended:
			c.mu.Unlock()
			return 0, io.EOF
		}
		arrived := s.arrived
		c.mu.Unlock()
		select {
		case <-arrived:
		case <-timer.C:
			c.server.Count.Stalls.Add(1)
			return 0, errStall
		case <-s.leash.Done():
			return 0, errEnded
		}
	}
}
