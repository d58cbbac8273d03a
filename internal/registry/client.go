// Package registry is the client side: it asks discovery for the whole list, then watches it on a kept
// connection, and puts each answer into the exchange.
package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"lilacbend/control"
	"lilacbend/internal/exchange"
)

const (
	path = "/registry/instances"
	// A watch waits so long for news. What discovery has to tell counts as told 2 s after a wait, whether it
	// has arrived or not, so short waits keep a connection that died silently from costing much.
	watchWait = 2 * time.Second
	// An answer is late when nothing comes for so much longer than was asked for: discovery's agent is on this
	// machine and answers at once.
	lateAfter, dialMost = time.Second, time.Second
	// One that comes in pieces may take longer. A connection that only drips is given up soon after what it has to
	// tell counts as told; as all may be slow here, the next answer then gets twice as long, up to the most.
	piecesFirst, piecesMost = 2500 * time.Millisecond, 10 * time.Second
	// After a failed call the next one waits from backoffFirst, twice as long each time, to backoffMost: soon
	// enough for a list that counts as told after 6 s, and no load for an agent that refuses. What timed out has
	// waited already: the next one comes after backoffFirst.
	backoffFirst, backoffMost = 50 * time.Millisecond, time.Second
	// An answer without news that came much too soon is no reason to call in a tight loop; a watch goes on if
	// the next call comes within 200 ms.
	idlePause = 100 * time.Millisecond
	// A list of some ten thousand members; more would be held several times while it is read.
	bodyMost = 4 << 20
	// A list older than ours is a stale copy, and changes nothing; after so many in a row, which take some
	// fifteen seconds, discovery has lost its count and begun anew.
	olderMost = 20
	// At a new address it may count anew from the start: so few, which take 0.4 to 0.8 s, tell that it does: well
	// within a drain's grace, which runs from the first of them. Less would let an agent that is only behind bring back who drains.
	olderMoved = 5
)

// Failure says how far a call came.
type Failure struct {
	Stage string
	Err   error
}

func (f *Failure) Error() string { return f.Stage + ": " + f.Err.Error() }
func (f *Failure) Unwrap() error { return f.Err }

// Client follows one discovery.
type Client struct {
	address  string
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	moves    chan string // to another address, the newest alone
	exchange *exchange.Exchange
	log      *slog.Logger
	clock    func() int64
	seed     uint64
	draws    uint64

	known   int64 // the revision we hold
	whole   bool  // it is from an answer, so it can be watched
	older   int   // answers in a row that were older
	failing bool
	backoff time.Duration
	pieces  time.Duration // what an answer may take that comes in pieces
}

// New makes a client that holds the list of a revision already.
func New(address string, known int64, x *exchange.Exchange, log *slog.Logger, clock func() int64, seed uint64) *Client {
	return &Client{address: address, dial: new(net.Dialer).DialContext, moves: make(chan string, 1), known: known, exchange: x,
		log: log, clock: clock, seed: seed, backoff: backoffFirst, pieces: piecesFirst}
}

// Move goes over to the discovery at another address at once. One goroutine may move.
func (c *Client) Move(address string) {
	select {
	case <-c.moves:
	default:
	}
	c.moves <- address
}

// Run follows discovery until ctx ends. At a new address the conversation begins anew, with the whole list.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		talk, hangUp := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); c.converse(talk) }()
		address := c.address
		for address == c.address && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case address = <-c.moves:
			}
		}
		hangUp()
		<-ended
		c.address, c.whole, c.older = address, false, olderMost-olderMoved
	}
}

// converse talks to one address until ctx ends.
func (c *Client) converse(ctx context.Context) {
	for c.backoff = backoffFirst; ctx.Err() == nil; {
		answers, err := c.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil { // closed after an answer, which is no failure unless the next connection fails
			continue
		}
		c.exchange.Tally.CallErrors.Add(1)
		if late(err) {
			c.exchange.Tally.Timeouts.Add(1)
			c.backoff = backoffFirst
		}
		if !c.failing {
			c.log.Warn("discovery fails", "error", err, "answers", answers, "revision", c.known)
		}
		c.failing = true
		sleep(ctx, c.backoff/2+time.Duration(c.chance()*float64(c.backoff/2)))
		c.backoff = min(2*c.backoff, backoffMost)
	}
}

// patient reads for as long as something comes.
type patient struct {
	net.Conn
	due, until time.Time // something comes by then, and the last by then
	came       bool      // something of what is expected
}

func (p *patient) expect(wait, pieces time.Duration) {
	now := time.Now()
	p.due, p.until, p.came = now.Add(wait+lateAfter), now.Add(wait+pieces), false
	p.SetDeadline(p.due)
}

// Read never brings the deadline nearer: who sends the head of an answer at once may wait with the rest for as long as
// with all of it.
func (p *patient) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n > 0 {
		p.came = true
		if later := time.Now().Add(lateAfter); later.After(p.due) && p.due.Before(p.until) {
			p.due = later
			if later.After(p.until) {
				p.due = p.until
			}
			p.SetReadDeadline(p.due)
		}
	}
	return n, err
}

// follow calls on one connection until it fails or, without an error, until the other side has closed it after an answer;
// it says how many answers it got.
func (c *Client) follow(ctx context.Context) (answers int, err error) {
	defer func() {
		if v := recover(); v != nil {
			c.exchange.Tally.Panics.Add(1)
			c.whole = false
			err = &Failure{"panic", fmt.Errorf("%v at %s", v, debug.Stack())}
		}
	}()
	c.exchange.Tally.Dials.Add(1)
	soon, done := context.WithTimeout(ctx, dialMost)
	defer done()
	dialed, err := c.dial(soon, "tcp", c.address)
	if err != nil {
		c.whole = false
		return 0, &Failure{"dial", err}
	}
	conn := &patient{Conn: dialed}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	for r := bufio.NewReader(conn); ; answers++ {
		watch, asked := c.whole, time.Now()
		news, kept, err := c.call(conn, r)
		switch {
		case err == nil:
		case answers > 0 && !conn.came && !late(err):
			return answers, nil
		case late(err) && !time.Now().Before(conn.until): // it came all the time: what is asked next should not be longer
			c.pieces = min(2*c.pieces, piecesMost)
			return answers, err
		default: // what we asked may be what it cannot answer
			c.whole = false
			return answers, err
		}
		if time.Until(conn.until) > c.pieces-piecesFirst {
			c.pieces = piecesFirst
		}
		if watch { // one that has the list alone, and no watch, is on one level with one that has neither
			c.backoff = backoffFirst
			if c.failing {
				c.failing = false
				c.log.Info("discovery answers", "revision", c.known)
			}
		}
		if !news && time.Since(asked) < watchWait/2 {
			sleep(ctx, idlePause)
		}
		if !kept {
			return answers + 1, nil
		}
	}
}

// late says whether a call has failed as nothing came in time.
func late(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// call asks once and takes the answer in.
func (c *Client) call(conn *patient, r *bufio.Reader) (news, kept bool, err error) {
	query, wait := "", time.Duration(0)
	if c.whole {
		wait = watchWait
		query = fmt.Sprintf("?since=%d&timeout_ms=%d", c.known, wait.Milliseconds())
	}
	c.exchange.Tally.Calls.Add(1)
	conn.expect(wait, c.pieces)
	if _, err = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", path, query, c.address); err != nil {
		return false, false, &Failure{"send", err}
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return false, false, &Failure{"status", err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, false, &Failure{"status", fmt.Errorf("answered %s", resp.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost+1))
	if err != nil {
		return false, false, &Failure{fmt.Sprintf("body after %d bytes", len(body)), err}
	}
	if len(body) > bodyMost {
		return false, false, &Failure{"body", fmt.Errorf("over %d bytes", bodyMost)}
	}
	if news, err = c.take(body); err != nil {
		c.exchange.Tally.Odd.Add(1)
		return false, false, &Failure{"list", err}
	}
	c.exchange.Tally.Answers.Add(1)
	return news, !resp.Close && r.Buffered() == 0, nil
}

// take passes on what is newer than what we hold. A whole list of the same revision is what we hold: told again, and no news
// where it was not asked for.
func (c *Client) take(body []byte) (news bool, err error) {
	l, err := Parse(body)
	if err != nil {
		return false, err
	}
	switch {
	case l.Revision < c.known && (!l.Whole || c.older+1 < olderMost):
		c.older++
		c.whole = false // ask for all of it
		return false, fmt.Errorf("revision %d is older than ours, %d", l.Revision, c.known)
	case !l.Whole && !c.whole:
		return false, errors.New("changes where the whole list was asked for")
	case l.Revision == c.known && !l.Whole:
		return false, nil
	}
	news = l.Revision != c.known || !c.whole
	c.older, c.known, c.whole = 0, l.Revision, true
	l.At, l.Wall = c.clock(), time.Now().UnixNano()
	c.exchange.Tell(l)
	return news, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (c *Client) chance() float64 {
	c.draws++
	return control.Chance(c.seed, c.draws)
}
