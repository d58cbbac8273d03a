package ingress

import (
	"time"

	"golang.org/x/net/http2"
)

// unwindTimeout bounds how long a new stream waits for the end of requests whose streams have ended.
const unwindTimeout = time.Second

// admission is the outcome of admitting a new stream.
type admission int

const (
	admitted admission = iota
	// tooManyStreams means that the client exceeds its limit of streams, or that the connection serves no further ones.
	tooManyStreams
	// tooManyRequests means that too many requests are in flight though their streams have ended.
	tooManyRequests
	// outOfMemory means that there is no memory for the request.
	outOfMemory
)

// admitStream admits a new stream, and reports whether it is served. For its client, a stream that it resets has ended, but
// the request takes a slot and memory until it has stopped. If the client is read late, resets and new streams arrive
// together, and the new streams wait until the old requests have stopped.
func (c *http2Conn) admitStream(id uint32, memory int64) bool {
	for {
		outcome, unwinding := c.tryAdmitStream(id, memory)
		if outcome == admitted {
			return true
		}
		if unwinding && c.awaitRequestEnd() {
			continue
		}
		if outcome == outOfMemory {
			c.server.Counters.MemoryRefused.Add(1)
		}
		return false
	}
}

// tryAdmitStream counts a new stream and takes its memory if it is admitted. The stream becomes the last one served and in
// flight at the same time, so that a drain waits for each stream that its GOAWAY covers. If the stream is not admitted,
// unwinding reports whether this can change once requests end whose streams have ended.
func (c *http2Conn) tryAdmitStream(id uint32, memory int64) (outcome admission, unwinding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastStream = id
	maxStreams := c.server.limits.MaxStreams
	unwinding = c.inFlight > len(c.streams)
	switch {
	case c.refusing || len(c.streams) >= maxStreams:
		return tooManyStreams, false
	case c.inFlight >= 2*maxStreams:
		return tooManyRequests, unwinding
	case !c.memory.take(memory):
		return outOfMemory, unwinding
	}
	c.lastServed = id
	c.inFlight++
	return admitted, false
}

// awaitRequestEnd waits until a request of the connection ends, and reports whether one has ended. After a timeout it does not
// wait again before one has ended, so that requests that do not stop delay the frames of others only once.
func (c *http2Conn) awaitRequestEnd() bool {
	if c.unwindTimedOut {
		select {
		case <-c.requestEnded:
			c.unwindTimedOut = false
			return true
		default:
			return false
		}
	}
	timer := time.NewTimer(unwindTimeout)
	defer timer.Stop()
	select {
	case <-c.requestEnded:
		return true
	case <-timer.C:
		c.unwindTimedOut = true
		return false
	}
}

// refuseStream refuses a new stream, whose request the client may repeat. If the budget does not cover this, nothing is sent:
// the GOAWAY has told the client that the stream is not served.
func (c *http2Conn) refuseStream(id uint32) error {
	if !c.charge(refusedStream) {
		return nil
	}
	return c.write(func() error { return c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
}
