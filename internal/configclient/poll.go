package configclient

import (
	"time"

	"lilacbend/internal/configapi"
)

// Poll is a query to be sent to a server, not before At.
type Poll struct {
	At     int64
	Server Server
	Query  configapi.Query
}

// NextPoll returns the next poll. One of Failed, Busy, Unknown and Answered must be called before NextPoll is called again.
func (c *Client) NextPoll(now int64) Poll {
	chosen, due := c.chooseServer(now)
	at := max(due, c.nextPoll, now)
	c.polled = chosen
	c.polledAt = at
	c.polledWait = c.requestedWait(chosen, at)
	c.nextPoll = at + int64(minPollInterval)
	return Poll{
		At:     at,
		Server: chosen.Server,
		Query: configapi.Query{
			Service:  c.options.Service,
			Since:    c.active,
			Rejected: c.rejected,
			Timeout:  c.polledWait,
			Instance: c.options.Instance,
			Zone:     c.options.Zone,
			Region:   c.options.Region,
		},
	}
}

// chooseServer returns the server to poll and when. Among the servers whose retryAt has passed, it chooses in this order:
// the most preferred one that is healthy or whose failbackAt has passed; the failed one that has been due for longest; the
// stale one that has been due for longest, which at least answers. If no retryAt has passed, it chooses the server that is
// due first.
func (c *Client) chooseServer(now int64) (*server, int64) {
	for _, s := range c.servers {
		if s.retryAt <= now && (s.healthy() || s.failbackAt <= now) {
			return s, now
		}
	}
	failed := earliestDue(c.servers, func(s *server) bool { return !s.stale && s.retryAt <= now })
	if failed != nil {
		return failed, now
	}
	stale := earliestDue(c.servers, func(s *server) bool { return s.stale && s.retryAt <= now })
	if stale != nil {
		return stale, now
	}
	next := earliestDue(c.servers, func(*server) bool { return true })
	return next, next.retryAt
}

// healthy reports whether no poll of the server has failed since its last answer, and the server is not stale.
func (s *server) healthy() bool { return s.consecutiveFailures == 0 && !s.stale }

// earliestDue returns the server with the earliest retryAt among those that match, so that each of them is polled in turn,
// or nil if none matches.
func earliestDue(servers []*server, match func(*server) bool) *server {
	var earliest *server
	for _, s := range servers {
		if match(s) && (earliest == nil || s.retryAt < earliest.retryAt) {
			earliest = s
		}
	}
	return earliest
}

// requestedWait returns how long the polled server may wait for a change. A stale server may wait only until another server
// that is not stale is due, but at least retryInitial.
func (c *Client) requestedWait(polled *server, at int64) time.Duration {
	if c.active.IsZero() && c.rejected.IsZero() {
		return 0 // without a version every answer is a change
	}
	wait := c.options.Wait
	if !polled.stale {
		return wait
	}
	for _, other := range c.servers {
		if other == polled || other.stale {
			continue
		}
		due := time.Duration(other.retryAt - at)
		wait = min(wait, max(due, retryInitial))
	}
	return wait
}

// delayPolls postpones the next poll, of whichever server, to at least wait after now.
func (c *Client) delayPolls(now int64, wait time.Duration) {
	c.nextPoll = max(c.nextPoll, now+int64(wait))
}
