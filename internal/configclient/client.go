// Package configclient is the decision logic of a follower of configuration servers: which server it polls next and when,
// and which answers it uses. Followers are controllers, which follow one service, and servers, which follow all. The package
// has no I/O, no clock and no goroutine: it is given times (nanoseconds of any one clock) and outcomes of polls, returns the
// next poll, and draws random numbers from a seed.
package configclient

import (
	"errors"
	"time"

	"lilacbend/control"
	"lilacbend/internal/backoff"
	"lilacbend/internal/revision"
)

const (
	// ControllerPollWait is how long a server may wait for a change before it answers a controller without one. It bounds how
	// long a silently dead connection goes unnoticed, and how often a follower polls when nothing changes.
	ControllerPollWait = 5 * time.Second
	// ServerPollWait is the same for a server that follows another one.
	ServerPollWait = 2 * time.Second
	// AnswerTimeout is how much longer than the requested wait a server may be silent before the poll has failed.
	AnswerTimeout = 2 * time.Second
)

const (
	// retryInitial and retryLimit bound the backoff after which a failed server may be polled again while no other one
	// answers: a network that recovers is noticed within retryLimit.
	retryInitial = 100 * time.Millisecond
	retryLimit   = 3 * time.Second
	// failbackInitial and failbackLimit bound the backoff after which a failed or stale server may be polled again while
	// another one answers.
	failbackInitial = 5 * time.Second
	failbackLimit   = time.Minute
	// staleAfter is how long ago a server may last have heard from the writer before it is stale: others are tried first,
	// and it is used only if there is none better. Servers poll each other with ServerPollWait, so two in a row may be
	// behind by twice that.
	staleAfter = 3 * ServerPollWait
	// failurePauseInitial and failurePauseLimit bound the backoff between any two polls after a failure: the followers of a
	// failed server reach the others spread out over time, and servers that all fail are not polled without pause.
	failurePauseInitial = 250 * time.Millisecond
	failurePauseLimit   = time.Second
	// minPollInterval separates any two polls, whatever is answered. A writer scans its folder once a second, so this delays
	// none of its changes.
	minPollInterval = 100 * time.Millisecond
	// earlyInitial and earlyLimit bound the backoff after answers without a change that arrive before the requested wait is
	// over: a server that shuts down sends one of these, a server that cannot wait sends only these.
	earlyInitial = minPollInterval
	earlyLimit   = retryLimit
	// maxBusyAnswers is how many times in a row a busy server is polled again before others are tried.
	maxBusyAnswers = 3
	// busyJitter is the largest fraction by which the wait that a busy server asks for is extended.
	busyJitter = 0.25
)

// ErrNoServers is returned by New if there is no server to follow.
var ErrNoServers = errors.New("there is no server to follow")

// Options describe a follower.
type Options struct {
	Instance string // its name
	Service  string // empty: all services, for a server
	Region   string
	Zone     string
	Servers  []Server
	Ordered  bool // Servers are in order of preference; otherwise Order sorts them
	Seed     uint64
	Wait     time.Duration // requested of servers; 0: ControllerPollWait or, for all services, ServerPollWait
}

// Client is the state of one follower. It is not safe for concurrent use.
type Client struct {
	options  Options
	servers  []*server     // in order of preference
	polled   *server       // by the latest poll
	polledAt int64         // when
	wait     time.Duration // requested by that poll
	draws    uint64        // random numbers drawn so far
	nextPoll int64         // no server is polled before
	pause    *backoff.Backoff
	early    *backoff.Backoff

	active   revision.Version
	settings []byte // of the active version; nil: unknown
	rejected revision.Version
	offered  revision.Version // returned by Answered and neither applied nor rejected yet
}

// server is the state of one server.
type server struct {
	Server
	failures   int   // in a row
	busy       int   // in a row
	stale      bool  // it answers, but has not heard from the writer for long or is behind the follower
	retryAt    int64 // not polled before
	failbackAt int64 // not polled before while another server answers
	retry      *backoff.Backoff
	failback   *backoff.Backoff
}

// New returns a follower without an active version.
func New(options Options) (*Client, error) {
	if len(options.Servers) == 0 {
		return nil, ErrNoServers
	}
	if options.Wait == 0 {
		options.Wait = defaultWait(options.Service)
	}
	order := options.Servers
	if !options.Ordered {
		order = Order(options.Instance, options.Region, options.Servers)
	}
	client := &Client{
		options: options,
		pause:   backoff.NewJittered(failurePauseInitial, failurePauseLimit, options.Seed),
		early:   backoff.NewJittered(earlyInitial, earlyLimit, options.Seed),
	}
	for k, s := range order {
		seed := options.Seed + uint64(k) + 1
		client.servers = append(client.servers, &server{
			Server:   s,
			retry:    backoff.NewJittered(retryInitial, retryLimit, seed),
			failback: backoff.NewJittered(failbackInitial, failbackLimit, seed),
		})
	}
	return client, nil
}

func defaultWait(service string) time.Duration {
	if service == "" {
		return ServerPollWait
	}
	return ControllerPollWait
}

// Servers returns the servers in order of preference.
func (c *Client) Servers() []Server {
	servers := make([]Server, 0, len(c.servers))
	for _, s := range c.servers {
		servers = append(servers, s.Server)
	}
	return servers
}

// Active returns the version in use.
func (c *Client) Active() revision.Version { return c.active }

// ActiveSettings returns the settings of the active version, or nil if they are unknown.
func (c *Client) ActiveSettings() []byte { return c.settings }

// newestKnown returns the newest version that need not be offered again.
func (c *Client) newestKnown() revision.Version {
	return revision.Latest(c.active, revision.Latest(c.rejected, c.offered))
}

// Resume offers a version that was active before a restart, as if a server had answered with it: Applied or Rejected must
// follow. It is called before the first poll.
func (c *Client) Resume(version revision.Version) { c.offered = version }

// Pending reports whether an offered version has been neither applied nor rejected. No server is polled until then.
func (c *Client) Pending() bool { return !c.offered.IsZero() }

// Applied records that an offered version is active.
func (c *Client) Applied(version revision.Version, settings []byte) {
	if version.Newer(c.active) {
		c.active = version
		c.settings = settings
	}
	c.decided(version)
}

// Rejected records that an offered version cannot be used. The active version stays.
func (c *Client) Rejected(version revision.Version) {
	c.rejected = revision.Latest(c.rejected, version)
	c.decided(version)
}

// decided ends an offer. A rejected version is forgotten once a newer one is active.
func (c *Client) decided(version revision.Version) {
	if !c.offered.Newer(version) {
		c.offered = revision.Version{}
	}
	if !c.rejected.Newer(c.active) {
		c.rejected = revision.Version{}
	}
}

// random returns the next random number in [0, 1).
func (c *Client) random() float64 {
	c.draws++
	return control.Random(c.options.Seed, c.draws)
}
