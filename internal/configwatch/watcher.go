// Package configwatch follows configuration servers over HTTP/1.1: one goroutine and one kept connection a follower. What
// is asked of whom and which answers count is decided by package configclient.
package configwatch

import (
	"context"
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

// Options say who follows whom and what becomes of the news.
type Options struct {
	Instance string
	Service  string // empty: all services, for a server
	Region   string
	Zone     string
	Servers  []configclient.Server
	Ordered  bool // Servers stand in the order in which they are preferred
	Seed     uint64
	Log      *slog.Logger
	// Offer hands settings of the service over. Applied or Refused has to be called for each, from any goroutine;
	// nothing more is asked until then.
	Offer func(v revision.Version, settings []byte)
	// Take hands over what a server answered to a follower of all services. Its error refuses the answer.
	Take func(a configapi.Answer) error
	// InForce, if set, is told of each version of the service that has come into force, with its settings.
	InForce func(v revision.Version, settings []byte)
	// Heard, if set, is told of each answer, with or without news.
	Heard func(a configapi.Answer)
}

// Counts are what a watcher has done so far.
type Counts struct {
	Dials, Requests, Answers, Failures, SentAway int64
	Offered, Refused                             int64 // versions
	BytesIn, BytesOut                            int64
}

type counters struct {
	dials, requests, answers, failures, sentAway atomic.Int64
	offered, refused                             atomic.Int64
	bytesIn, bytesOut                            atomic.Int64
}

// Watcher follows configuration servers.
type Watcher struct {
	options Options
	start   time.Time
	counts  counters
	verdict chan struct{} // rings when one has come

	mu      sync.Mutex
	client  *configclient.Client
	offered []byte // the settings that await their verdict
	failing bool   // it was said that servers fail
}

// New makes a watcher that has nothing in force.
func New(o Options) (*Watcher, error) {
	client, err := configclient.New(configclient.Options{Instance: o.Instance, Service: o.Service, Region: o.Region, Zone: o.Zone,
		Servers: o.Servers, Ordered: o.Ordered, Seed: o.Seed})
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Watcher{options: o, start: time.Now(), client: client, verdict: make(chan struct{}, 1)}, nil
}

// Begin tells a watcher that has not run yet what is in force already.
func (w *Watcher) Begin(v revision.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.client.Applied(v, nil)
}

// Resume offers settings that were in force before a restart. It comes before Run, which asks nobody until Applied or Refused
// has been called.
func (w *Watcher) Resume(v revision.Version, settings []byte) {
	w.mu.Lock()
	w.client.Resume(v)
	w.offered = settings
	w.mu.Unlock()
	w.options.Offer(v, settings)
}

// Applied tells that a version that was offered is in force.
func (w *Watcher) Applied(v revision.Version) {
	w.mu.Lock()
	before := w.client.InForce()
	w.client.Applied(v, w.offered)
	w.mu.Unlock()
	w.tellInForce(before)
	w.ring()
}

// tellInForce tells of the version in force if it is another one than before.
func (w *Watcher) tellInForce(before revision.Version) {
	w.mu.Lock()
	now, settings := w.client.InForce(), w.client.Settings()
	w.mu.Unlock()
	if w.options.InForce != nil && now != before {
		w.options.InForce(now, settings)
	}
}

// Refused tells that a version that was offered cannot be used, and why. The last good one stays.
func (w *Watcher) Refused(v revision.Version, reason error) {
	w.counts.refused.Add(1)
	w.options.Log.Error("configuration refused, the last good one stays", "version", v.String(), "in_force", w.InForce().String(), "error", reason)
	w.mu.Lock()
	w.client.Refused(v)
	w.mu.Unlock()
	w.ring()
}

func (w *Watcher) ring() {
	select {
	case w.verdict <- struct{}{}:
	default:
	}
}

// InForce is the version in force.
func (w *Watcher) InForce() revision.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.client.InForce()
}

// Counts are the figures so far.
func (w *Watcher) Counts() Counts {
	c := &w.counts
	return Counts{Dials: c.dials.Load(), Requests: c.requests.Load(), Answers: c.answers.Load(), Failures: c.failures.Load(),
		SentAway: c.sentAway.Load(), Offered: c.offered.Load(), Refused: c.refused.Load(),
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load()}
}

func (w *Watcher) now() int64 { return time.Since(w.start).Nanoseconds() }

// Run follows the servers until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	conn := &connection{counts: &w.counts}
	defer conn.close()
	for ctx.Err() == nil {
		if !w.awaitVerdict(ctx) {
			return
		}
		w.mu.Lock()
		ask := w.client.Next(w.now())
		w.mu.Unlock()
		if !sleep(ctx, time.Duration(ask.At-w.now())) {
			return
		}
		w.once(ctx, conn, ask)
	}
}

// awaitVerdict waits until nothing that was offered awaits its verdict.
func (w *Watcher) awaitVerdict(ctx context.Context) bool {
	for {
		w.mu.Lock()
		pending := w.client.Pending()
		w.mu.Unlock()
		if !pending {
			return true
		}
		select {
		case <-w.verdict:
		case <-ctx.Done():
			return false
		}
	}
}

// once asks once and takes the answer in.
func (w *Watcher) once(ctx context.Context, conn *connection, ask configclient.Ask) {
	w.counts.requests.Add(1)
	a, err := conn.call(ctx, ask)
	if ctx.Err() != nil {
		return
	}
	away, sentAway := err.(*SentAway)
	switch {
	case sentAway && away.Unknown:
		w.failed(ask, err, (*configclient.Client).Unknown)
	case sentAway:
		w.counts.sentAway.Add(1)
		w.mu.Lock()
		w.client.Busy(w.now(), away.RetryAfter)
		w.mu.Unlock()
	case err != nil:
		w.failed(ask, err, (*configclient.Client).Failed)
	default:
		w.answered(ask, a)
	}
}

// failed notes a call without use, and says so once until a server answers.
func (w *Watcher) failed(ask configclient.Ask, err error, tell func(*configclient.Client, int64)) {
	w.counts.failures.Add(1)
	w.mu.Lock()
	tell(w.client, w.now())
	first := !w.failing
	w.failing = true
	w.mu.Unlock()
	if first {
		w.options.Log.Warn("configuration server fails, others are tried", "server", ask.Server.Address, "error", err)
	}
}

func (w *Watcher) answered(ask configclient.Ask, a configapi.Answer) {
	w.counts.answers.Add(1)
	w.mu.Lock()
	before := w.client.InForce()
	offer, err := w.client.Answered(w.now(), a)
	if offer && w.options.Service != "" {
		w.offered = a.Services[0].Settings
	}
	back := err == nil && w.failing
	if back {
		w.failing = false
	}
	w.mu.Unlock()
	if err != nil {
		w.failed(ask, err, (*configclient.Client).Failed)
		return
	}
	if back {
		w.options.Log.Info("configuration server answers", "server", ask.Server.Address, "version", a.Version.String())
	}
	if w.options.Heard != nil {
		w.options.Heard(a)
	}
	w.tellInForce(before) // by another name
	if offer {
		w.counts.offered.Add(1)
		w.offer(a)
	}
}

// offer hands an answer over; a fault in taking it refuses it.
func (w *Watcher) offer(a configapi.Answer) {
	defer func() {
		if v := recover(); v != nil {
			w.Refused(a.Version, fmt.Errorf("panic: %v at %s", v, debug.Stack()))
		}
	}()
	if w.options.Service != "" {
		w.options.Offer(a.Version, a.Services[0].Settings)
		return
	}
	if err := w.options.Take(a); err != nil {
		w.Refused(a.Version, err)
		return
	}
	w.Applied(a.Version)
}

// sleep waits for a time, and says whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
