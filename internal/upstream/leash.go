package upstream

import (
	"net"
	"sync"
	"time"
)

// Leash ends whatever a flow waits for, once nobody waits for the flow. It is a context of one purpose: a flow makes
// no allocation for it.
type Leash struct {
	mu   sync.Mutex
	cut  bool
	conn net.Conn // that the flow uses now
	done chan struct{}
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// Cut ends what the flow waits for, now and from now on.
func (l *Leash) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return
	}
	l.cut = true
	if l.conn != nil {
		l.conn.SetDeadline(past)
	}
	if l.done != nil {
		close(l.done)
	}
}

// IsCut says whether nobody waits any more.
func (l *Leash) IsCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Done is closed once the leash is cut.
func (l *Leash) Done() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done == nil {
		if l.done = make(chan struct{}); l.cut {
			close(l.done)
		}
	}
	return l.done
}

// hold gives the flow's connection a deadline; nil lets go of it.
func (l *Leash) hold(conn net.Conn, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn = conn; conn == nil {
		return
	}
	if l.cut {
		until = past
	}
	conn.SetDeadline(until)
}

// patience gives the next read so long.
func (l *Leash) patience(stall time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !l.cut {
		l.conn.SetReadDeadline(time.Now().Add(stall))
	}
}

// Reset makes the leash fit for another flow.
func (l *Leash) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.conn, l.done = false, nil, nil
}
