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

// NextPoll returns the next poll. One of Failed, Busy, Unknown and Answered must follow before the next call.
func (c *Client) NextPoll(now int64) Poll {
	chosen, due := c.choose(now)
	at := max(due, c.nextPoll, now)
	c.polled = chosen
	c.polledAt = at
	c.wait = c.requestedWait(chosen, at)
	c.nextPoll = at + int64(minPollInterval)
	return Poll{
		At:     at,
		Server: chosen.Server,
		Query: configapi.Query{
			Service:  c.options.Service,
			Since:    c.active,
			Rejected: c.rejected,
			Timeout:  c.wait,
			Instance: c.options.Instance,
			Zone:     c.options.Zone,
			Region:   c.options.Region,
		},
	}
}

// choose returns the server to poll and when. In order of preference it is: the first healthy server, or failed or stale one
// whose failback is due; the failed one that has been due for longest; the stale one that has been due for longest, as it at
// least answers; the one that is due first.
func (c *Client) choose(now int64) (*server, int64) {
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

// healthy reports whether the server answers and is not stale.
func (s *server) healthy() bool { return s.failures == 0 && !s.stale }

// earliestDue returns the server with the earliest retryAt among those that match, so that each has its turn, or nil.
func earliestDue(servers []*server, match func(*server) bool) *server {
	var earliest *server
	for _, s := range servers {
		if match(s) && (earliest == nil || s.retryAt < earliest.retryAt) {
			earliest = s
		}
	}
	return earliest
}

// requestedWait returns how long a server may wait for a change. A stale server may wait no longer than until another one is
// due.
func (c *Client) requestedWait(polled *server, at int64) time.Duration {
	if c.active.IsZero() && c.rejected.IsZero() {
		return 0 // any version is a change
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

// delay prevents polls before a wait is over.
func (c *Client) delay(now int64, wait time.Duration) {
	c.nextPoll = max(c.nextPoll, now+int64(wait))
}
