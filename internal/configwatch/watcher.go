// Package configwatch follows configuration servers over HTTP/1.1, with one goroutine and one persistent connection for each
// follower. Package configclient decides which server is polled and which answers are used.
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

// Options configure a Watcher and its callbacks for new versions and answers.
type Options struct {
	Instance string // the follower's name
	Service  string // empty: all services, for a server
	Region   string
	Zone     string
	Servers  []configclient.Server
	Ordered  bool // Servers are in order of preference
	Seed     uint64
	Log      *slog.Logger
	// OnOffer is called with each new version of the service and its settings. Applied or Rejected must be called for it, from
	// any goroutine; no server is polled until then. A watcher of all services uses Merge instead.
	OnOffer func(version revision.Version, settings []byte)
	// Merge stores an answer for a follower of all services. An error rejects the answer's version.
	Merge func(answer configapi.Answer) error
	// OnActive, if set, is called with each version of the service that has become active, and its settings.
	OnActive func(version revision.Version, settings []byte)
	// OnAnswer, if set, is called with each answer, whether it has a new version or not.
	OnAnswer func(answer configapi.Answer)
}

// Counts count a watcher's connections, polls, versions and bytes since its start.
type Counts struct {
	Dials     int64
	Requests  int64
	Answers   int64
	Failures  int64
	Throttled int64 // queries that busy servers refused to serve
	Offered   int64 // versions offered by servers
	Rejected  int64 // versions rejected after an offer
	BytesIn   int64
	BytesOut  int64
}

// counters are the atomic counters behind Counts.
type counters struct {
	dials, requests, answers, failures, throttled atomic.Int64
	offered, rejected                             atomic.Int64
	bytesIn, bytesOut                             atomic.Int64
}

// Watcher follows configuration servers.
type Watcher struct {
	options   Options
	start     time.Time
	counts    counters
	decisions chan struct{} // receives a signal when an offer was applied or rejected

	mu      sync.Mutex
	client  *configclient.Client
	offered []byte // settings of the latest offer
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
	return &Watcher{options: options, start: time.Now(), client: client, decisions: make(chan struct{}, 1)}, nil
}

// SetActive sets the active version. It must be called before Run.
func (w *Watcher) SetActive(version revision.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.client.Applied(version, nil)
}

// Resume offers settings that were active before a restart. It must be called before Run, which polls no server until
// Applied or Rejected has been called.
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
	w.signalDecision()
}

// notifyActive calls OnActive, if set, when the active version differs from the one before.
func (w *Watcher) notifyActive(before revision.Version) {
	w.mu.Lock()
	active := w.client.Active()
	settings := w.client.ActiveSettings()
	w.mu.Unlock()
	if w.options.OnActive != nil && active != before {
		w.options.OnActive(active, settings)
	}
}

// Rejected records that an offered version cannot be used, and logs the reason. The active version stays.
func (w *Watcher) Rejected(version revision.Version, reason error) {
	w.counts.rejected.Add(1)
	w.options.Log.Error("configuration rejected, active version stays", "version", version.String(), "in_force", w.Active().String(), "error", reason)
	w.mu.Lock()
	w.client.Rejected(version)
	w.mu.Unlock()
	w.signalDecision()
}

// signalDecision wakes awaitDecision.
func (w *Watcher) signalDecision() {
	select {
	case w.decisions <- struct{}{}:
	default:
	}
}

// Active returns the active version.
func (w *Watcher) Active() revision.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.client.Active()
}

// Counts returns the counts so far.
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

// awaitDecision blocks until no offer is pending or ctx ends, and returns false if ctx has ended.
func (w *Watcher) awaitDecision(ctx context.Context) bool {
	for {
		w.mu.Lock()
		pending := w.client.Pending()
		w.mu.Unlock()
		if !pending {
			return true
		}
		select {
		case <-w.decisions:
		case <-ctx.Done():
			return false
		}
	}
}

// poll executes one poll and handles its outcome.
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

// failed records a failed poll, and logs it if it is the first one since an answer.
func (w *Watcher) failed(poll configclient.Poll, err error, record func(*configclient.Client, int64)) {
	w.counts.failures.Add(1)
	w.mu.Lock()
	record(w.client, w.now())
	first := !w.failing
	w.failing = true
	w.mu.Unlock()
	if first {
		w.options.Log.Warn("configuration server poll failed, trying other servers", "server", poll.Server.Address, "error", err)
	}
}

// answered handles an answer, and offers its version if it is new.
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
		w.options.Log.Info("configuration server poll succeeded after failures", "server", poll.Server.Address, "version", answer.Version.String())
	}
	if w.options.OnAnswer != nil {
		w.options.OnAnswer(answer)
	}
	w.notifyActive(before) // the answer may have changed only the version of the active settings
	if offered {
		w.counts.offered.Add(1)
		w.offer(answer)
	}
}

// offer passes a new version to OnOffer or Merge. A panic of either rejects the version.
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

// sleep blocks for a duration or until ctx ends, and returns false if ctx has ended.
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
