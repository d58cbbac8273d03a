package steering

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/backoff"
	"lilacbend/internal/forward"
	"lilacbend/internal/resp"
)

const (
	dialMost = time.Second
	// The waits after failed streams, with jitter: all sidecars of a governor that dies come to the others, and not at once.
	backoffInitial = 50 * time.Millisecond
	backoffLimit   = 2 * time.Second
	// A stream that has lasted so long was a good one: the next wait is the initial one again.
	goodStreamAge = 5 * time.Second
	// A governor that vanished says nothing: it is asked this often, and given up after that.
	probeEvery, silenceMost = time.Second, 4 * time.Second
	writeMost               = 2 * time.Second
	demandEvery             = time.Second
)

// Core is what a push is applied to, and what tells what came.
type Core interface {
	Apply(parts []forward.Push) error
	Blank() bool
	Usage() []forward.Usage
}

// Count is what a client has counted.
type Count struct{ Dials, Streams, Broken, Pushes, Marks, Unusable, Demands atomic.Int64 }

// Client holds a stream to one of several governors. While none answers, the core goes on with what it has.
type Client struct {
	Count     Count
	Governors []string
	ID        int
	Zone      string
	Groups    []string
	Rate      float64 // a rough figure of flows a second
	Core      Core
	Seed      uint64
	Log       *slog.Logger

	pool    *resp.Pool
	counted time.Time // when what came was last taken from the core
	steered atomic.Bool
	now     atomic.Pointer[string]
}

// Governor is the one that the stream is to; empty: none.
func (c *Client) Governor() string {
	if at := c.now.Load(); at != nil {
		return *at
	}
	return ""
}

// Run holds a stream until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.pool, c.counted = resp.NewPool(2<<20), time.Now()
	retry := backoff.NewJittered(backoffInitial, backoffLimit, c.Seed)
	at := c.ID % max(1, len(c.Governors)) // sidecars begin at different ones
	for ctx.Err() == nil && len(c.Governors) > 0 {
		began := time.Now()
		err := c.stream(ctx, c.Governors[at])
		if ctx.Err() != nil {
			return
		}
		if c.steered.Swap(false) {
			c.Log.Warn("no governor, the tables stay", "lost", c.Governors[at], "error", err)
		}
		none := ""
		c.now.Store(&none)
		c.Count.Broken.Add(1)
		at = (at + 1) % len(c.Governors)
		if time.Since(began) > goodStreamAge {
			retry.Reset()
		}
		backoff.Sleep(ctx, retry.Next())
	}
}

// stream talks to one governor until it ends.
func (c *Client) stream(ctx context.Context, to string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic: %v at %s", v, debug.Stack())
		}
	}()
	c.Count.Dials.Add(1)
	dialer := net.Dialer{Timeout: dialMost}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer conn.Close()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	w := &writer{conn: conn, pool: c.pool}
	blank := "0"
	if c.Core.Blank() {
		blank = "1"
	}
	if err := w.say("hello", "id", strconv.Itoa(c.ID), "site", c.Zone, "rps", number(c.Rate), "new", blank); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	c.Count.Streams.Add(1)
	all.Go(func() { c.report(ctx, w, conn) })
	r := resp.NewReader(conn, c.pool)
	for p := (push{}); ; {
		conn.SetReadDeadline(time.Now().Add(silenceMost))
		words, err := r.Next()
		if err != nil {
			return fmt.Errorf("hearing: %w", err)
		}
		if len(words) > 0 && words[0] == "alive" {
			continue
		}
		if len(words) > 0 && words[0] == "error" {
			return fmt.Errorf("sent away: %q", words[1:])
		}
		if err := p.add(words); err != nil {
			c.Count.Unusable.Add(1)
			return err
		}
		if p.open {
			continue
		}
		if err := c.take(w, p); err != nil {
			return err
		}
		if !c.steered.Swap(true) {
			c.Log.Info("steered", "governor", to)
		}
		c.now.Store(&to)
		p = push{}
	}
}

// take applies a message and answers its mark.
func (c *Client) take(w *writer, p push) error {
	began := time.Now()
	if err := c.Core.Apply(p.parts); err != nil {
		if errors.Is(err, forward.ErrUnusable) {
			c.Count.Unusable.Add(1)
		}
		return err
	}
	c.Count.Pushes.Add(1)
	if !p.marked {
		return nil
	}
	c.Count.Marks.Add(1)
	return w.say("ack", "id", strconv.Itoa(c.ID), "seq", strconv.FormatUint(p.mark, 10), "ms", number(ms(time.Since(began))))
}

// report tells what came, and asks whether the governor is there.
func (c *Client) report(ctx context.Context, w *writer, conn net.Conn) {
	tick := time.NewTicker(demandEvery)
	defer tick.Stop()
	if time.Since(c.counted) > heldMost { // what came while there was no governor tells nothing of now
		c.Core.Usage()
		c.counted = time.Now()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// Not since this stream began: flows also came between the last one's end and this one, and told as those of a
		// second they would be many times what comes.
		span := time.Since(c.counted)
		c.counted = c.counted.Add(span)
		for g, u := range c.Core.Usage() {
			if u.Flows == 0 && u.Missed == 0 {
				continue
			}
			c.Count.Demands.Add(1)
			if w.say("demand", "id", strconv.Itoa(c.ID), "lane", c.Groups[g], "count", strconv.Itoa(u.Flows), "fail", strconv.Itoa(u.Missed),
				"over", number(ms(span))) != nil {
				conn.Close()
				return
			}
		}
		if w.say("probe") != nil {
			conn.Close()
			return
		}
	}
}

// writer writes whole messages of several goroutines.
type writer struct {
	mu   sync.Mutex
	conn net.Conn
	pool *resp.Pool
}

func (w *writer) say(words ...string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn.SetWriteDeadline(time.Now().Add(writeMost))
	_, err := resp.Write(w.conn, w.pool, words...)
	return err
}

// over says whether the other side, which says nothing, has ended the connection.
func (w *writer) over() bool {
	w.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // over the time a look takes; an end that is there is seen at once
	_, err := w.conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func number(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
