// Package configclient decides for a follower of configuration servers which server it polls next and when, and which
// answers it uses. Followers are controllers, which follow one service, and servers, which follow all. The package has no
// I/O, no clock and no goroutine: its callers pass it times, in nanoseconds of a clock whose zero is arbitrary, and the
// outcomes of polls. It returns the next poll, and draws random numbers from a seed.
package configclient

import (
	"errors"
	"time"

	"lilacbend/control"
	"lilacbend/internal/backoff"
	"lilacbend/internal/revision"
)

const (
	// ControllerPollWait is how long a server may wait for a change before it answers a controller without one. It bounds the
	// time until a silently dead connection is detected, and the rate at which a follower polls when nothing changes.
	ControllerPollWait = 5 * time.Second
	// ServerPollWait is how long a server may wait for a change before it answers another server without one.
	ServerPollWait = 2 * time.Second
	// AnswerTimeout is how much longer than the requested wait a server may send nothing before the poll fails.
	AnswerTimeout = 2 * time.Second
)

const (
	// retryInitial and retryLimit bound the backoff after which a failed server may be polled again while no other
	// server answers, so that the recovery of a network is detected within retryLimit.
	retryInitial = 100 * time.Millisecond
	retryLimit   = 3 * time.Second
	// failbackInitial and failbackLimit bound the backoff after which a failed or stale server may be polled again while
	// another server answers.
	failbackInitial = 5 * time.Second
	failbackLimit   = time.Minute
	// staleAfter is the largest age in an answer of a server that is not stale. The age is how long before the answer the
	// writer was last known to be running. Other servers are polled before a stale one, which is used only if no better
	// server answers. Servers poll each other with ServerPollWait, so the
	// second in a chain of two may be behind the writer by twice that.
	staleAfter = 3 * ServerPollWait
	// failurePauseInitial and failurePauseLimit bound the backoff between any two polls after a failure. It spreads the
	// followers of a failed server over time as they move to the others, and limits the poll rate while all servers fail.
	failurePauseInitial = 250 * time.Millisecond
	failurePauseLimit   = time.Second
	// minPollInterval is the shortest time between any two polls, whatever the answers are. A writer scans its folder once a
	// second, so this delays none of its changes.
	minPollInterval = 100 * time.Millisecond
	// earlyInitial and earlyLimit bound the backoff after answers without a change that arrive before the requested wait has
	// passed. A server that shuts down sends one such answer; a server that cannot wait sends only such ones.
	earlyInitial = minPollInterval
	earlyLimit   = retryLimit
	// maxBusyAnswers is how many consecutive busy answers a server may give before it counts as failed.
	maxBusyAnswers = 3
	// busyJitter is the largest fraction by which the wait that a busy server requests is extended at random.
	busyJitter = 0.25
)

// ErrNoServers is returned by New if there is no server to follow.
var ErrNoServers = errors.New("no configuration server to follow is configured")

// Options configure a Client.
type Options struct {
	Instance string // the follower's name
	Service  string // empty: all services, for a server
	Region   string
	Zone     string
	Servers  []Server
	Ordered  bool // Servers are in order of preference; otherwise Order sorts them
	Seed     uint64
	Wait     time.Duration // requested wait for a change; 0: ControllerPollWait or, for all services, ServerPollWait
}

// Client is the state of one follower. It is not safe for concurrent use.
type Client struct {
	options        Options
	servers        []*server     // in order of preference
	polled         *server       // the server of the latest poll
	polledAt       int64         // time of the latest poll, in nanoseconds
	polledWait     time.Duration // wait that the latest poll requested
	draws          uint64        // random numbers drawn so far
	nextPoll       int64         // no server is polled before this time
	failureBackoff *backoff.Backoff
	earlyBackoff   *backoff.Backoff

	active   revision.Version
	settings []byte // settings of the active version; nil: unknown
	rejected revision.Version
	offered  revision.Version // version that Answered or Resume has offered and that was neither applied nor rejected yet
}

// server is the state of one server.
type server struct {
	Server
	consecutiveFailures int
	consecutiveBusy     int
	stale               bool  // its latest answer has an age over staleAfter, or an older version than the follower's
	retryAt             int64 // the server is not polled before this time
	failbackAt          int64 // the server is not polled before this time while another server answers
	retryBackoff        *backoff.Backoff
	failbackBackoff     *backoff.Backoff
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
		options:        options,
		failureBackoff: backoff.NewJittered(failurePauseInitial, failurePauseLimit, options.Seed),
		earlyBackoff:   backoff.NewJittered(earlyInitial, earlyLimit, options.Seed),
	}
	for k, s := range order {
		seed := options.Seed + uint64(k) + 1
		client.servers = append(client.servers, &server{
			Server:          s,
			retryBackoff:    backoff.NewJittered(retryInitial, retryLimit, seed),
			failbackBackoff: backoff.NewJittered(failbackInitial, failbackLimit, seed),
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

// Active returns the active version.
func (c *Client) Active() revision.Version { return c.active }

// ActiveSettings returns the settings of the active version, or nil if they are unknown.
func (c *Client) ActiveSettings() []byte { return c.settings }

// newestKnown returns the newest version that need not be offered again.
func (c *Client) newestKnown() revision.Version {
	return revision.Latest(c.active, revision.Latest(c.rejected, c.offered))
}

// Resume offers a version that was active before a restart as if a server had answered with it: Applied or Rejected must be
// called for it. Resume must be called before the first poll.
func (c *Client) Resume(version revision.Version) { c.offered = version }

// Pending reports whether an offered version was neither applied nor rejected yet. While it is true no server may be polled.
func (c *Client) Pending() bool { return !c.offered.IsZero() }

// Applied records that an offered version is active.
func (c *Client) Applied(version revision.Version, settings []byte) {
	if version.Newer(c.active) {
		c.active = version
		c.settings = settings
	}
	c.endOffer(version)
}

// Rejected records that an offered version cannot be used. The active version stays.
func (c *Client) Rejected(version revision.Version) {
	c.rejected = revision.Latest(c.rejected, version)
	c.endOffer(version)
}

// endOffer ends the offer of a version. It forgets the rejected version once a newer one is active.
func (c *Client) endOffer(version revision.Version) {
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
