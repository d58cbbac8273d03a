// Package configclient is what a follower of configuration servers decides: which server it asks next and when, and which
// answers count. Followers are governors, which follow one service, and servers, which follow all. It has no I/O, no clock
// and no goroutine: times (nanoseconds of any one clock) and events go in, commands come out, chance is drawn from a seed.
package configclient

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"lilacbend/control"
	"lilacbend/internal/backoff"
	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

const (
	// A failed server is tried again after retryFirst, then after twice as long each time, up to retryMost: a
	// network that heals is noticed within retryMost.
	retryFirst, retryMost = 100 * time.Millisecond, 3 * time.Second
	// While another server answers, one that has failed is left alone for longer, up to returnMost.
	returnFirst, returnMost = 5 * time.Second, time.Minute
	// A server that has not heard of the writer for so long is stale: others are tried, though it is followed on as long as
	// there is none better. Servers watch each other for ServerWait at a time, so two of them in a row may take twice that.
	staleAfter = 3 * ServerWait
	// Between two tries after failures there is a pause, from pauseFirst up to pauseMost: the followers of a server that
	// fails come to the others spread out, and where all fail nobody tries them without rest.
	pauseFirst, pauseMost = 250 * time.Millisecond, time.Second
	// No two queries of a follower begin sooner one after the other than paceLeast, whatever is answered. A writer looks at
	// its folder once a second, so none of its changes waits for that.
	paceLeast = 100 * time.Millisecond
	// After an answer without news that did not wait for any, the next query waits for earlyFirst, then for twice as long each
	// time, up to earlyMost: a server that ends answers so once, one that cannot wait always.
	earlyFirst, earlyMost = paceLeast, retryMost
	// So many times in a row a busy server is waited for before others are tried.
	busyMost = 3
)

// How long a server may wait for news before it answers that there are none: as long as it may take until a connection
// is noticed that has died without a word, and as often as a follower speaks when there is nothing new.
const (
	GovernorWait = 5 * time.Second
	ServerWait   = 2 * time.Second
)

// AnswerLate is how much longer than it was told to wait a server may stay silent: it is given up then.
const AnswerLate = 2 * time.Second

// Options say who a follower is.
type Options struct {
	Instance string
	Service  string // empty: all services, for a server
	Region   string
	Zone     string
	Servers  []Server
	Ordered  bool // Servers stand in the order in which they are preferred, as a writer goes before its other followers
	Seed     uint64
	Wait     time.Duration // 0: GovernorWait or, for all services, ServerWait
}

// Ask is the command to send a query to a server, no sooner than At.
type Ask struct {
	At     int64
	Server Server
	Query  configapi.Query
}

// Client is the state of one follower.
type Client struct {
	options  Options
	servers  []*server     // in the order in which they are preferred
	asked    *server       // the one whose answer is awaited, or that answered last
	askedAt  int64         // when
	waits    time.Duration // for how long it may wait for news
	draws    uint64
	earliest int64 // nobody is asked before
	pause    *backoff.Backoff
	early    *backoff.Backoff

	inForce  revision.Version
	settings []byte // those in force
	refused  revision.Version
	offered  revision.Version // handed on, no verdict yet
}

// server is what is known of one server.
type server struct {
	Server
	failures int   // in a row
	busy     int   // in a row
	stale    bool  // it answered, but has not heard of the writer for long, or is behind the follower
	retryAt  int64 // not asked before, whatever else
	returnAt int64 // not asked before where another one answers
	retry    *backoff.Backoff
	absence  *backoff.Backoff
}

// New makes a follower that has nothing in force.
func New(o Options) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, errors.New("there is no server to follow")
	}
	if o.Wait == 0 {
		if o.Wait = GovernorWait; o.Service == "" {
			o.Wait = ServerWait
		}
	}
	c := &Client{options: o, pause: backoff.NewJittered(pauseFirst, pauseMost, o.Seed), early: backoff.NewJittered(earlyFirst, earlyMost, o.Seed)}
	order := o.Servers
	if !o.Ordered {
		order = Order(o.Instance, o.Region, o.Servers)
	}
	for k, s := range order {
		seed := o.Seed + uint64(k) + 1
		c.servers = append(c.servers, &server{Server: s, retry: backoff.NewJittered(retryFirst, retryMost, seed),
			absence: backoff.NewJittered(returnFirst, returnMost, seed)})
	}
	return c, nil
}

// Servers are the servers in the order in which they are preferred.
func (c *Client) Servers() (all []Server) {
	for _, s := range c.servers {
		all = append(all, s.Server)
	}
	return all
}

// InForce is the version in force.
func (c *Client) InForce() revision.Version { return c.inForce }

// held is the newest version that the follower need not be told of again.
func (c *Client) held() revision.Version {
	return revision.Latest(c.inForce, revision.Latest(c.refused, c.offered))
}

// Next says whom to ask next, when and what.
func (c *Client) Next(now int64) Ask {
	s, at := c.choose(now)
	at = max(at, c.earliest, now)
	c.asked, c.askedAt, c.waits = s, at, c.wait(s, at)
	c.earliest = at + int64(paceLeast)
	return Ask{At: at, Server: s.Server, Query: configapi.Query{Service: c.options.Service, Since: c.inForce, Refused: c.refused,
		Timeout: c.waits, Instance: c.options.Instance, Zone: c.options.Zone, Region: c.options.Region}}
}

// choose picks the first server that is well; else the failed one that has been due for longest; else one that is stale,
// as it answers at least; else the one that is due soonest.
func (c *Client) choose(now int64) (*server, int64) {
	for _, s := range c.servers {
		well := s.failures == 0 && !s.stale
		if s.retryAt <= now && (well || s.returnAt <= now) {
			return s, now
		}
	}
	failed := soonest(c.servers, func(s *server) bool { return !s.stale && s.retryAt <= now })
	stale := soonest(c.servers, func(s *server) bool { return s.stale && s.retryAt <= now })
	switch {
	case failed != nil:
		return failed, now
	case stale != nil:
		return stale, now
	}
	next := soonest(c.servers, func(*server) bool { return true })
	return next, next.retryAt
}

// soonest is the one among some servers that was due first, so that each has its turn; nil: there is none.
func soonest(servers []*server, among func(*server) bool) (first *server) {
	for _, s := range servers {
		if among(s) && (first == nil || s.retryAt < first.retryAt) {
			first = s
		}
	}
	return first
}

// wait is for how long a server may wait for news: while it is stale no longer than until another one is due.
func (c *Client) wait(s *server, at int64) time.Duration {
	if c.inForce.IsZero() && c.refused.IsZero() {
		return 0 // whatever it has is news
	}
	wait := c.options.Wait
	if !s.stale {
		return wait
	}
	for _, other := range c.servers {
		if due := time.Duration(other.retryAt - at); other != s && !other.stale {
			wait = min(wait, max(due, retryFirst))
		}
	}
	return wait
}

// Failed tells that the server that was asked gave no answer of use.
func (c *Client) Failed(now int64) {
	s := c.asked
	s.failures, s.stale, s.busy = s.failures+1, false, 0
	s.retryAt = now + int64(s.retry.Next())
	s.returnAt = now + int64(s.absence.Next())
	c.delay(now, c.pause.Next())
}

// delay has nobody asked before a wait is over.
func (c *Client) delay(now int64, wait time.Duration) {
	c.earliest = max(c.earliest, now+int64(wait))
}

// Busy tells that the server that was asked has no room now and says when to come back; 0: it does not say.
func (c *Client) Busy(now int64, retryAfter time.Duration) {
	s := c.asked
	if s.busy++; s.busy > busyMost {
		c.Failed(now)
		return
	}
	retryAfter = min(max(retryAfter, retryFirst), returnMost)
	c.delay(now, retryAfter+time.Duration(c.chance()*float64(retryAfter)/4))
}

// Unknown tells that the server that was asked has no such service: another one may.
func (c *Client) Unknown(now int64) {
	c.Failed(now)
}

// Answered takes an answer of the server that was asked. Offer says that it brings something to be put in force, about
// which Applied or Refused has to be told. An error means that it is of no use, which Failed has to be told of.
func (c *Client) Answered(now int64, a configapi.Answer) (offer bool, err error) {
	news := a.Version.Newer(c.held())
	if news {
		if err := c.usable(a); err != nil {
			return false, err
		}
	}
	s := c.asked
	s.failures, s.busy = 0, 0
	c.judge(s, a, now)
	if !news && c.tooSoon(now) {
		c.delay(now, c.early.Next())
		return false, nil
	}
	s.retry.Reset()
	c.pause.Reset()
	c.early.Reset()
	if !news {
		return false, nil
	}
	if c.options.Service != "" && bytes.Equal(a.Services[0].Settings, c.settings) && !c.inForce.IsZero() {
		c.inForce = a.Version // another name for what is in force
		c.settle(a.Version)
		return false, nil
	}
	c.offered = a.Version
	return true, nil
}

// tooSoon says whether an answer without news comes well before the server should have ended its wait for them.
func (c *Client) tooSoon(now int64) bool {
	return c.waits == 0 || now-c.askedAt < int64(c.waits)/2
}

// judge notes whether a server that answers is worth staying with.
func (c *Client) judge(s *server, a configapi.Answer, now int64) {
	behind := c.held().Newer(a.Version)
	if !behind && time.Duration(a.AgeMS)*time.Millisecond <= staleAfter {
		s.stale, s.returnAt = false, 0
		s.absence.Reset()
		return
	}
	s.stale = true
	s.returnAt = now + int64(s.absence.Next())
}

// usable says whether an answer that is newer brings what it has to.
func (c *Client) usable(a configapi.Answer) error {
	switch {
	case !a.Complete && a.Epoch != c.inForce.Epoch:
		return fmt.Errorf("changes of epoch %d where %s is in force", a.Epoch, c.inForce)
	case c.options.Service == "":
		return nil
	case len(a.Services) != 1 || a.Services[0].Removed:
		return fmt.Errorf("version %s without settings of %s", a.Version, c.options.Service)
	case a.Services[0].Version != a.Version:
		return fmt.Errorf("settings of version %s in an answer of version %s", a.Services[0].Version, a.Version)
	}
	return nil
}

// Resume has the follower begin with a version that was in force before it, as if a server had offered it: Applied or Refused
// has to be told of it. It comes before the first query.
func (c *Client) Resume(v revision.Version) { c.offered = v }

// Settings are those in force; nil: they are not known here.
func (c *Client) Settings() []byte { return c.settings }

// Applied tells that what was offered is in force.
func (c *Client) Applied(v revision.Version, settings []byte) {
	if v.Newer(c.inForce) {
		c.inForce, c.settings = v, settings
	}
	c.settle(v)
}

// Refused tells that what was offered cannot be used: what is in force stays.
func (c *Client) Refused(v revision.Version) {
	c.refused = revision.Latest(c.refused, v)
	c.settle(v)
}

func (c *Client) settle(v revision.Version) {
	if !c.offered.Newer(v) {
		c.offered = revision.Version{}
	}
	if !c.refused.Newer(c.inForce) {
		c.refused = revision.Version{}
	}
}

// Pending says that an offer awaits its verdict: until then nothing is asked.
func (c *Client) Pending() bool { return !c.offered.IsZero() }

func (c *Client) chance() float64 {
	c.draws++
	return control.Random(c.options.Seed, c.draws)
}
