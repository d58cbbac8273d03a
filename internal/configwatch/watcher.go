// Package configwatch follows configuration servers over HTTP/1.1, with one goroutine and one persistent connection for each
// follower. Which server is polled and which answers are used is decided by package configclient.
package configwatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/revision"
)

// Options describe a follower and what is done with new versions.
type Options struct {
	Instance string // the follower's name
	Service  string // empty: all services, for a server
	Region   string
	Zone     string
	Servers  []configclient.Server
	Ordered  bool // Servers are in order of preference
	Seed     uint64
	Log      *slog.Logger
	// OnOffer receives new settings of the service. Applied or Rejected must be called for each, from any goroutine; no server
	// is polled until then.
	OnOffer func(version revision.Version, settings []byte)
	// Merge stores an answer to a follower of all services. An error rejects the answer.
	Merge func(answer configapi.Answer) error
	// OnActive, if set, is called with each version of the service that has become active, and its settings.
	OnActive func(version revision.Version, settings []byte)
	// OnAnswer, if set, is called with each answer, whether it has a new version or not.
	OnAnswer func(answer configapi.Answer)
}

// Counts count a watcher's work since its start.
type Counts struct {
	Dials     int64
	Requests  int64
	Answers   int64
	Failures  int64
	Throttled int64 // queries that a busy server did not serve
	Offered   int64 // versions
	Rejected  int64 // versions
	BytesIn   int64
	BytesOut  int64
}

type counters struct {
	dials, requests, answers, failures, throttled atomic.Int64
	offered, rejected                             atomic.Int64
	bytesIn, bytesOut                             atomic.Int64
}

// Watcher follows configuration servers.
type Watcher struct {
	options Options
	start   time.Time
	counts  counters
	decided chan struct{} // signals that an offer was applied or rejected

	mu      sync.Mutex
	client  *configclient.Client
	offered []byte // settings that were neither applied nor rejected yet
	failing bool   // a failure was logged, and no server has answered since
}

// New returns a watcher without an active version.
func New(options Options) (*Watcher, error) {
	client, err := configclient.New(configclient.Options{
		Instance: options.Instance,
		Service:  options.Service,
		Region:   options.Region,
		Zone:     options.Zone,
		Servers:  options.Servers,
		Ordered:  options.Ordered,
		Seed:     options.Seed,
	})
	if err != nil {
		return nil, err
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Watcher{options: options, start: time.Now(), client: client, decided: make(chan struct{}, 1)}, nil
}

// SetActive sets the active version of a watcher that does not run yet.
func (w *Watcher) SetActive(version revision.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.client.Applied(version, nil)
}

// Resume offers settings that were active before a restart. It is called before Run, which polls no server until Applied or
// Rejected was called.
func (w *Watcher) Resume(version revision.Version, settings []byte) {
	w.mu.Lock()
	w.client.Resume(version)
	w.offered = settings
	w.mu.Unlock()
	w.options.OnOffer(version, settings)
}

// Applied records that an offered version is active.
func (w *Watcher) Applied(version revision.Version) {
	w.mu.Lock()
	before := w.client.Active()
	w.client.Applied(version, w.offered)
	w.mu.Unlock()
	w.notifyActive(before)
	w.signalDecided()
}

// notifyActive calls OnActive if the active version is another one than before.
func (w *Watcher) notifyActive(before revision.Version) {
	w.mu.Lock()
	active := w.client.Active()
	settings := w.client.ActiveSettings()
	w.mu.Unlock()
	if w.options.OnActive != nil && active != before {
		w.options.OnActive(active, settings)
	}
}

// Rejected records that an offered version cannot be used, and why. The active one stays.
func (w *Watcher) Rejected(version revision.Version, reason error) {
	w.counts.rejected.Add(1)
	w.options.Log.Error("configuration refused, the last good one stays", "version", version.String(), "in_force", w.Active().String(), "error", reason)
	w.mu.Lock()
	w.client.Rejected(version)
	w.mu.Unlock()
	w.signalDecided()
}

func (w *Watcher) signalDecided() {
	select {
	case w.decided <- struct{}{}:
	default:
	}
}

// Active returns the active version.
func (w *Watcher) Active() revision.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.client.Active()
}

// Counts returns the current counts.
func (w *Watcher) Counts() Counts {
	c := &w.counts
	return Counts{
		Dials:     c.dials.Load(),
		Requests:  c.requests.Load(),
		Answers:   c.answers.Load(),
		Failures:  c.failures.Load(),
		Throttled: c.throttled.Load(),
		Offered:   c.offered.Load(),
		Rejected:  c.rejected.Load(),
		BytesIn:   c.bytesIn.Load(),
		BytesOut:  c.bytesOut.Load(),
	}
}

func (w *Watcher) now() int64 { return time.Since(w.start).Nanoseconds() }

// Run follows the servers until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	conn := &connection{counts: &w.counts}
	defer conn.close()
	for ctx.Err() == nil {
		if !w.awaitDecision(ctx) {
			return
		}
		w.mu.Lock()
		poll := w.client.NextPoll(w.now())
		w.mu.Unlock()
		if !sleep(ctx, time.Duration(poll.At-w.now())) {
			return
		}
		w.poll(ctx, conn, poll)
	}
}

// awaitDecision blocks until no offer is pending, and reports whether ctx continues.
func (w *Watcher) awaitDecision(ctx context.Context) bool {
	for {
		w.mu.Lock()
		pending := w.client.Pending()
		w.mu.Unlock()
		if !pending {
			return true
		}
		select {
		case <-w.decided:
		case <-ctx.Done():
			return false
		}
	}
}

// poll polls once and handles the outcome.
func (w *Watcher) poll(ctx context.Context, conn *connection, poll configclient.Poll) {
	w.counts.requests.Add(1)
	answer, err := conn.call(ctx, poll)
	if ctx.Err() != nil {
		return
	}
	var refusal *RefusalError
	switch {
	case err == nil:
		w.answered(poll, answer)
	case !errors.As(err, &refusal):
		w.failed(poll, err, (*configclient.Client).Failed)
	case refusal.UnknownService:
		w.failed(poll, err, (*configclient.Client).Unknown)
	default:
		w.counts.throttled.Add(1)
		w.mu.Lock()
		w.client.Busy(w.now(), refusal.RetryAfter)
		w.mu.Unlock()
	}
}

// failed records a failed poll, and logs the first one of a series.
func (w *Watcher) failed(poll configclient.Poll, err error, record func(*configclient.Client, int64)) {
	w.counts.failures.Add(1)
	w.mu.Lock()
	record(w.client, w.now())
	first := !w.failing
	w.failing = true
	w.mu.Unlock()
	if first {
		w.options.Log.Warn("configuration server fails, others are tried", "server", poll.Server.Address, "error", err)
	}
}

func (w *Watcher) answered(poll configclient.Poll, answer configapi.Answer) {
	w.counts.answers.Add(1)
	w.mu.Lock()
	before := w.client.Active()
	offered, err := w.client.Answered(w.now(), answer)
	if offered && w.options.Service != "" {
		w.offered = answer.Services[0].Settings
	}
	recovered := err == nil && w.failing
	if recovered {
		w.failing = false
	}
	w.mu.Unlock()
	if err != nil {
		w.failed(poll, err, (*configclient.Client).Failed)
		return
	}
	if recovered {
		w.options.Log.Info("configuration server answers", "server", poll.Server.Address, "version", answer.Version.String())
	}
	if w.options.OnAnswer != nil {
		w.options.OnAnswer(answer)
	}
	w.notifyActive(before) // the active settings may have got a new version
	if offered {
		w.counts.offered.Add(1)
		w.offer(answer)
	}
}

// offer hands a new version over. A panic of the receiver rejects it.
func (w *Watcher) offer(answer configapi.Answer) {
	defer func() {
		if v := recover(); v != nil {
			w.Rejected(answer.Version, fmt.Errorf("panic: %v at %s", v, debug.Stack()))
		}
	}()
	if w.options.Service != "" {
		w.options.OnOffer(answer.Version, answer.Services[0].Settings)
		return
	}
	if err := w.options.Merge(answer); err != nil {
		w.Rejected(answer.Version, err)
		return
	}
	w.Applied(answer.Version)
}

// sleep blocks for a duration, and reports whether ctx continues.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
