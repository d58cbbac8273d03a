package steering

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/forward"
	"lilacbend/internal/resp"
)

const (
	// A sidecar that says nothing for so long has vanished.
	sidecarSilence = 30 * time.Second
	// Replicas of which sums are held for one governor; more are made up.
	targetsMost = 1 << 14
	// Sums for a governor that is not there are held for so long, or for two reports if that is more: older ones tell
	// nothing of now.
	heldMost = 10 * time.Second
)

// total sums what was met at one replica.
type total struct {
	tries, missed int
	answers       float64 // ms, together
}

// ledger holds what one governor has not been told yet.
type ledger struct {
	mu     sync.Mutex
	totals map[string]*total
	since  time.Time
	held   time.Duration
}

// fade drops what is too old to tell, so that a governor that comes back hears of now alone; the ledger is locked.
func (l *ledger) fade(now time.Time) {
	if now.Sub(l.since) > l.held {
		clear(l.totals)
		l.since = now
	}
}

func (l *ledger) add(target string, tries, missed int, mean float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(time.Now())
	t := l.totals[target]
	if t == nil {
		if len(l.totals) >= targetsMost {
			return
		}
		t = &total{}
		l.totals[target] = t
	}
	t.tries, t.missed, t.answers = t.tries+tries, t.missed+missed, t.answers+mean*float64(tries-missed)
}

func (l *ledger) take() (all map[string]*total, span time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.fade(now)
	all, span = l.totals, now.Sub(l.since)
	l.totals, l.since = map[string]*total{}, now
	return all, span
}

// Collector takes the sums of a zone's sidecars and forwards them to governors.
type Collector struct {
	Zone      string
	Governors []string
	Every     time.Duration
	Log       *slog.Logger
	Most      int // sidecars
	Heard     atomic.Int64
	Skipped   atomic.Int64
	Told      atomic.Int64

	pool    *resp.Pool
	ledgers []*ledger
	open    atomic.Int64
}

// Serve takes sidecars in until ctx ends, and forwards what they tell.
func (c *Collector) Serve(ctx context.Context, l net.Listener) {
	c.pool = resp.NewPool(4 << 20)
	var all sync.WaitGroup
	defer all.Wait()
	for k, to := range c.Governors {
		l := &ledger{totals: map[string]*total{}, since: time.Now(), held: max(heldMost, 2*c.Every)}
		c.ledgers = append(c.ledgers, l)
		all.Go(func() { c.forward(ctx, to, l, uint64(k)) })
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if c.open.Add(1) > int64(c.Most) {
			c.open.Add(-1)
			conn.Close()
			continue
		}
		all.Go(func() {
			defer c.open.Add(-1)
			defer conn.Close()
			end := context.AfterFunc(ctx, func() { conn.Close() })
			defer end()
			err := c.attend(conn)
			c.Log.Debug("sidecar left", "from", conn.RemoteAddr(), "error", err)
		})
	}
}

// attend reads the sums of one sidecar until its connection ends, and returns why; a message that cannot be used is skipped.
func (c *Collector) attend(conn net.Conn) error {
	for r := resp.NewReader(conn, c.pool); ; {
		conn.SetReadDeadline(time.Now().Add(sidecarSilence))
		words, err := r.Next()
		if errors.Is(err, resp.ErrNotWords) {
			c.Skipped.Add(1)
			continue
		}
		if err != nil {
			return err
		}
		if err := c.hear(words); err != nil {
			c.Skipped.Add(1)
			c.Log.Debug("message skipped", "from", conn.RemoteAddr(), "error", err)
		}
	}
}

func (c *Collector) hear(words []string) error {
	if len(words) != 9 || words[0] != "met" || words[1] != "target" || words[3] != "count" || words[5] != "fail" || words[7] != "mean" {
		return fmt.Errorf("%d words, want met target T count N fail N mean MS", len(words))
	}
	tries, err1 := strconv.Atoi(words[4])
	missed, err2 := strconv.Atoi(words[6])
	mean, err3 := strconv.ParseFloat(words[8], 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	if words[2] == "" || len(words[2]) > 128 || tries < 0 || tries > 1<<24 || missed < 0 || missed > tries || !(mean >= 0) || mean > 1e7 {
		return fmt.Errorf("figures that cannot be: %q", words)
	}
	c.Heard.Add(1)
	for _, l := range c.ledgers {
		l.add(words[2], tries, missed, mean)
	}
	return nil
}

// forward tells one governor, dialing again with growing waits.
func (c *Collector) forward(ctx context.Context, to string, l *ledger, seed uint64) {
	retry := backoff.NewJittered(backoffInitial, backoffLimit, seed)
	for ctx.Err() == nil {
		began := time.Now()
		err := c.tell(ctx, to, l)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > goodStreamAge {
			c.Log.Warn("governor lost", "governor", to, "error", err)
			retry.Reset()
		}
		backoff.Sleep(ctx, retry.Next())
	}
}

func (c *Collector) tell(ctx context.Context, to string, l *ledger) error {
	dialer := net.Dialer{Timeout: dialMost}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })() // the end does not wait for a governor that reads nothing
	w := &writer{conn: conn, pool: c.pool}
	if err := w.say("agent", "site", c.Zone); err != nil {
		return fmt.Errorf("joining: %w", err)
	}
	gone := make(chan struct{})
	go func() { // nothing is ever written to a collector but answers to probes and the word that it is sent away
		defer close(gone)
		for r := resp.NewReader(conn, c.pool); ; {
			if words, err := r.Next(); err != nil || len(words) > 0 && words[0] == "error" {
				return
			}
		}
	}()
	defer func() { conn.Close(); <-gone }()
	tick := time.NewTicker(c.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-gone:
			return errors.New("the governor ended the connection")
		case <-tick.C:
		}
		all, span := l.take()
		for _, target := range slices.Sorted(maps.Keys(all)) {
			t := all[target]
			mean := 0.0
			if good := t.tries - t.missed; good > 0 {
				mean = t.answers / float64(good)
			}
			if err := w.say("outcomes", "site", c.Zone, "target", target, "count", strconv.Itoa(t.tries), "fail", strconv.Itoa(t.missed),
				"mean", number(mean), "over", number(ms(span))); err != nil {
				return fmt.Errorf("telling: %w", err)
			}
			c.Told.Add(1)
		}
	}
}

// Teller sends a sidecar's sums to its zone's collector.
type Teller struct {
	To    string
	Every time.Duration
	Sums  func() map[string]*forward.Sum
	Seed  uint64
	Lost  atomic.Int64 // sums that no collector took

	conn atomic.Pointer[net.Conn] // that is told on now, or was last
}

// Run tells until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	pool := resp.NewPool(1 << 20)
	var w *writer
	defer func() {
		if w != nil {
			w.conn.Close()
		}
	}()
	defer context.AfterFunc(ctx, func() {
		if at := t.conn.Load(); at != nil {
			(*at).Close() // the end does not wait for a collector that reads nothing
		}
	})()
	tick := time.NewTicker(t.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		sums := t.Sums()
		if w != nil && w.over() { // it would take the first words without an error, and nobody would read them
			w.conn.Close()
			w = nil
		}
		if w == nil { // one try for each telling: sums of now are due again soon
			dialer := net.Dialer{Timeout: t.Every}
			if conn, err := dialer.DialContext(ctx, "tcp", t.To); err == nil {
				w = &writer{conn: conn, pool: pool}
				if t.conn.Store(&conn); ctx.Err() != nil { // it ended as the connection came up
					conn.Close()
				}
			}
		}
		if w == nil {
			t.Lost.Add(int64(len(sums)))
			continue
		}
		for k, id := range slices.Sorted(maps.Keys(sums)) {
			s, mean := sums[id], 0.0
			if good := s.Tries - s.Missed; good > 0 {
				mean = float64(s.Answers) / float64(good) / 1e6
			}
			if w.say("met", "target", id, "count", strconv.Itoa(s.Tries), "fail", strconv.Itoa(s.Missed), "mean", number(mean)) != nil {
				t.Lost.Add(int64(len(sums) - k))
				w.conn.Close()
				w = nil
				break
			}
		}
	}
}
