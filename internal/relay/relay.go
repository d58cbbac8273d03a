// Package relay is where the client side of a sidecar, its replica side and its core meet: a front hands over a
// flow as it has read it, and somewhere to put the answer. What is to be done the core says.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"lilacbend/internal/forward"
	"lilacbend/internal/upstream"
)

// Request is one flow as a front has read it, without hop-by-hop fields.
type Request struct {
	Group                int
	Method, Target, Host string
	Header               http.Header
	Body                 io.Reader // nil: none
	Length               int64     // -1: not known
	Trailer              func() http.Header
	Expects              bool         // the client waits to be asked for its body
	Continue             func() error // asks for it
}

// Answerer takes one answer: Head once, then any number of writes, then End or Break once.
type Answerer interface {
	// Inform passes on an informational answer.
	Inform(status int, h http.Header)
	// Head begins the answer; length is -1 where it is not known.
	Head(status int, h http.Header, length int64) error
	Write(p []byte) (int, error)
	// End ends a whole answer.
	End(trailer http.Header) error
	// Break ends an answer that is not whole, so that the client sees that it is not.
	Break()
}

// Result is what became of a flow, for the log.
type Result struct {
	Status  int
	Reason  forward.Reason
	Replica string // the last that was tried
	Tries   int
	Broken  bool // the answer ended before its end
	Took    time.Duration
}

const (
	// A body of up to so many bytes is read before it is sent, so that a slow client holds no replica, and so that
	// it can be sent once more. Longer ones pass through as they come.
	replayMost = 16 << 10
	copySize   = 16 << 10
	// Clients that were refused are asked to wait so long.
	retryAfter = "1"
	// ReasonField tells a client, or its log, why there was no answer.
	ReasonField = "Lilacbend-Reason"
)

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// Relay passes flows on.
type Relay struct {
	mu       sync.Mutex
	desk     *forward.Desk
	places   chan struct{} // closed when a place is free, if any flow waits
	waits    int
	pool     *upstream.Pool
	clock    func() int64
	refusals map[int]bool // answers that say by the operator's word that nothing ran
	effects  []bool       // by group: must not run twice
	Panics   func(text string)
}

// New makes a relay round a core. Refusals are statuses by which replicas say that a flow did not run.
func New(desk *forward.Desk, pool *upstream.Pool, clock func() int64, refusals []int, onlyOnce []bool) *Relay {
	r := &Relay{desk: desk, places: make(chan struct{}), pool: pool, clock: clock, refusals: map[int]bool{}, effects: onlyOnce,
		Panics: func(string) {}}
	for _, s := range refusals {
		r.refusals[s] = true
	}
	return r
}

// With runs something on the core, between the steps of flows.
func (r *Relay) With(do func(now int64, d *forward.Desk)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(r.clock(), r.desk)
	r.free()
}

// free wakes who waits for a place; the relay is locked.
func (r *Relay) free() {
	if r.waits > 0 {
		close(r.places)
		r.places = make(chan struct{})
	}
}

func (r *Relay) step(next func(now int64) forward.Step) forward.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := next(r.clock())
	if s.Final {
		r.free()
	}
	return s
}

// Serve passes one flow on and gives its one answer. It returns when the answer has ended, or nobody waits for
// it any more, which the end of ctx tells.
func (r *Relay) Serve(ctx context.Context, q *Request, out Answerer) (res Result) {
	began := time.Now()
	var f *forward.Flow
	headed := false
	defer func() {
		if v := recover(); v != nil { // ends this flow alone
			r.Panics(fmt.Sprintf("%v at %s", v, debug.Stack()))
			res.Broken = true
			out.Break()
		}
		if f != nil {
			r.mu.Lock()
			r.desk.Abandon(f) // no-op after its final step
			r.free()
			r.mu.Unlock()
		}
		res.Took = time.Since(began)
	}()
	body, small, done, err := gather(q)
	defer done()
	if err != nil {
		res.Reason, res.Broken = forward.Gone, true
		out.Break()
		return res
	}
	step := r.step(func(now int64) (s forward.Step) {
		f, s = r.desk.Begin(now, q.Group, small)
		return s
	})
	for {
		switch {
		case step.Final:
			res.Reason = step.Reason
			if !headed {
				res.Status = http.StatusServiceUnavailable
				res.Broken = refuse(out, step.Reason) != nil
			}
			return res
		case step.Wait:
			if !r.wait(ctx, step.Until) {
				res.Reason, res.Broken = forward.Gone, true
				out.Break()
				return res
			}
			step = r.step(func(now int64) forward.Step { return r.desk.Again(now, f) })
		default:
			res.Replica, res.Tries = step.Try, res.Tries+1
			step, headed = r.try(ctx, q, body, f, step, out, &res)
			if headed || ctx.Err() != nil {
				return res
			}
		}
	}
}

// gather reads a small body whole. What is longer, or has to be asked for, is read as it is sent.
func gather(q *Request) (body func() io.Reader, small bool, done func(), err error) {
	switch {
	case q.Body == nil || q.Length == 0:
		return func() io.Reader { return nil }, true, func() {}, nil
	case q.Length < 0 || q.Length > replayMost || q.Expects:
		return func() io.Reader { return q.Body }, false, func() {}, nil
	}
	b := buffers.Get().(*[]byte)
	n, err := io.ReadFull(q.Body, (*b)[:q.Length])
	return func() io.Reader { return &rereader{data: (*b)[:n]} }, true, func() { buffers.Put(b) }, err
}

type rereader struct{ data []byte }

func (r *rereader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// wait waits for a place until a time; false: nobody waits for the flow any more.
func (r *Relay) wait(ctx context.Context, until int64) bool {
	r.mu.Lock()
	r.waits++
	places := r.places
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waits--
		r.mu.Unlock()
	}()
	timer := time.NewTimer(time.Duration(until - r.clock()))
	defer timer.Stop()
	select {
	case <-places:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// passing reads a body that goes by, and tells the core once the first of it is gone.
type passing struct {
	io.Reader
	relay *Relay
	flow  *forward.Flow
	begin func() error
	spent bool
}

func (p *passing) Read(b []byte) (int, error) {
	if !p.spent {
		p.spent = true
		p.relay.With(func(_ int64, d *forward.Desk) { d.Spent(p.flow) })
		if p.begin != nil {
			if err := p.begin(); err != nil {
				return 0, fmt.Errorf("asking for the body: %w", err)
			}
		}
	}
	return p.Reader.Read(b)
}

// try makes one try; headed: its answer, or part of it, has gone to the client.
func (r *Relay) try(ctx context.Context, q *Request, body func() io.Reader, f *forward.Flow, s forward.Step, out Answerer,
	res *Result) (next forward.Step, headed bool) {
	var to string
	r.With(func(_ int64, d *forward.Desk) { to = d.Address(s.Try) })
	limit, cancel := context.WithTimeout(ctx, time.Duration(s.Until-r.clock()))
	defer cancel()
	u := &upstream.Request{Method: q.Method, Target: q.Target, Host: q.Host, Header: q.Header, Length: q.Length, Trailer: q.Trailer,
		Fresh: r.effects[q.Group], Inform: out.Inform}
	if u.Body = body(); u.Body == nil {
		u.Length = 0
	} else if _, again := u.Body.(*rereader); !again {
		p := &passing{Reader: u.Body, relay: r, flow: f}
		if q.Expects {
			p.begin = q.Continue
		}
		u.Body = p
	}
	a, err := r.pool.Do(limit, to, u)
	if err != nil {
		ended := outcome(err)
		return r.step(func(now int64) forward.Step {
			if ctx.Err() != nil {
				r.desk.Abandon(f)
				return forward.Step{Final: true, Reason: forward.Gone}
			}
			return r.desk.Ended(now, f, ended)
		}), false
	}
	defer a.Close()
	if a.StatusCode >= 500 {
		ended := forward.Broke
		if r.refusals[a.StatusCode] {
			ended = forward.NeverRan
		}
		next = r.step(func(now int64) forward.Step { return r.desk.Ended(now, f, ended) })
		if !next.Final {
			return next, false
		}
		res.Reason = next.Reason // and the replica's own answer is the final one
	}
	r.With(func(now int64, d *forward.Desk) { d.Headed(now, f) })
	a.Detach(ctx)
	res.Status = a.StatusCode
	err = pass(a, q.Method, out)
	ended := forward.Good
	var up *upstream.Failure
	if errors.As(err, &up) {
		ended = forward.Broke
	}
	if err != nil {
		res.Broken = true
		out.Break()
	}
	if next.Final {
		return next, true
	}
	next = r.step(func(now int64) forward.Step {
		if err != nil && ended == forward.Good { // the client went, not the replica
			r.desk.Abandon(f)
			return forward.Step{Final: true, Reason: forward.Gone}
		}
		return r.desk.Ended(now, f, ended)
	})
	res.Reason = next.Reason
	return next, true
}

func outcome(err error) forward.Outcome {
	var f *upstream.Failure
	switch {
	case errors.As(err, &f) && f.Reach == upstream.Unsent:
		return forward.NeverRan
	case errors.Is(err, context.DeadlineExceeded):
		return forward.Late
	}
	return forward.Broke
}

// pass copies an answer to the client. A Failure is the replica's, any other error the client's.
func pass(a *upstream.Answer, method string, out Answerer) error {
	length := a.ContentLength
	if err := out.Head(a.StatusCode, Clean(a.Header), length); err != nil {
		return err
	}
	bodiless := method == http.MethodHead || a.StatusCode == http.StatusNoContent || a.StatusCode == http.StatusNotModified
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	for {
		n, err := a.Read(*b)
		if n > 0 && !bodiless {
			if _, err := out.Write((*b)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return out.End(Clean(a.Trailer))
		}
		if err != nil {
			return err
		}
	}
}

// refuse is the final answer of a flow that has got none from a replica.
func refuse(out Answerer, why forward.Reason) error {
	text := string(why) + "\n"
	h := http.Header{"Retry-After": {retryAfter}, ReasonField: {string(why)}, "Content-Type": {"text/plain; charset=utf-8"}}
	if err := out.Head(http.StatusServiceUnavailable, h, int64(len(text))); err != nil {
		return err
	}
	if _, err := io.WriteString(out, text); err != nil {
		return err
	}
	return out.End(nil)
}
