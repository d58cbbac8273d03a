// Package proxy is where the client side of a sidecar, its replica side and its core meet: a front hands over a
// flow as it has read it, and somewhere to put the answer. What is to be done the core says.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"lilacbend/internal/dispatch"
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
	Halt                 func()       // has a read of Body that waits for the client end at once; where there is a Body
	Expects              bool         // the client waits to be asked for its body
	Continue             func() error // asks for it, unless an answer has begun: ErrHalted
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
	Reason  dispatch.Reason
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
	desk     *dispatch.Dispatcher
	places   chan struct{} // closed when a place is free, if any flow waits
	waits    int
	pool     *upstream.Pool
	clock    func() int64
	refusals map[int]bool // answers that say by the operator's word that nothing ran
	onlyOnce []bool       // by group: must not run twice
	Panics   func(text string)
}

// New makes a relay round a core. Refusals are statuses by which replicas say that a flow did not run.
func New(desk *dispatch.Dispatcher, pool *upstream.Pool, clock func() int64, refusals []int, onlyOnce []bool) *Relay {
	r := &Relay{desk: desk, places: make(chan struct{}), pool: pool, clock: clock, refusals: map[int]bool{}, onlyOnce: onlyOnce,
		Panics: func(string) {}}
	for _, s := range refusals {
		r.refusals[s] = true
	}
	return r
}

// With runs something on the core, between the steps of flows.
func (r *Relay) With(do func(now int64, d *dispatch.Dispatcher)) {
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

// hop is one flow under way.
type hop struct {
	*Request
	relay  *Relay
	leash  *upstream.Leash
	out    Answerer
	flow   *dispatch.Request
	up     upstream.Request
	buffer *[]byte       // holds a small body, to be sent any number of times
	again  rereader      // of it
	passes passing       // else
	begun  bool          // the answer's head has gone to the client
	places chan struct{} // told when a place is free, from the core's word to wait for one on
	res    Result
}

var flying = sync.Pool{New: func() any { return &hop{} }}

// Serve passes one flow on and gives its one answer. It returns when the answer has ended, or nobody waits for
// it any more, which the leash tells.
func (r *Relay) Serve(l *upstream.Leash, q *Request, out Answerer) (res Result) {
	began := time.Now()
	h := flying.Get().(*hop)
	*h = hop{Request: q, relay: r, leash: l, out: out}
	defer func() {
		if v := recover(); v != nil { // ends this flow alone
			r.Panics(fmt.Sprintf("%v at %s", v, debug.Stack()))
			h.res.Broken = true
			out.Break()
		}
		if h.flow != nil {
			r.mu.Lock()
			r.desk.Cancel(h.flow) // nothing after its final step
			r.free()
			r.mu.Unlock()
		}
		if h.buffer != nil {
			buffers.Put(h.buffer)
		}
		res = h.res
		res.Took = time.Since(began)
		*h = hop{}
		flying.Put(h)
	}()
	h.run()
	return res
}

func (h *hop) run() {
	if err := h.gather(); err != nil {
		h.gone()
		return
	}
	small := h.Body == nil || h.buffer != nil
	step := h.ask(func(now int64, d *dispatch.Dispatcher) (s dispatch.Step) {
		h.flow, s = d.Begin(now, h.Group, small)
		return s
	})
	for !h.begun {
		switch {
		case step.Final:
			if h.res.Reason = step.Reason; step.Reason == dispatch.ErrClientGone {
				h.gone()
				return
			}
			h.res.Status = http.StatusServiceUnavailable
			h.res.Broken = refuse(h.out, step.Reason) != nil
			return
		case step.Wait:
			if !h.wait(step.Deadline) {
				h.gone()
				return
			}
			step = h.ask(func(now int64, d *dispatch.Dispatcher) dispatch.Step { return d.Resume(now, h.flow) })
		default:
			h.res.Replica, h.res.Tries = step.Replica, h.res.Tries+1
			step = h.try(step)
		}
	}
}

// gone: nobody is there to be answered.
func (h *hop) gone() {
	h.res.Reason, h.res.Broken = dispatch.ErrClientGone, true
	h.out.Break()
}

// gather reads a small body whole. What is longer, or has to be asked for, is read as it is sent.
func (h *hop) gather() error {
	switch {
	case h.Body == nil || h.Length == 0:
		h.Body, h.Length = nil, 0
		return nil
	case h.Length < 0 || h.Length > replayMost || h.Expects:
		h.passes = passing{Reader: h.Body, hop: h}
		return nil
	}
	h.buffer = buffers.Get().(*[]byte)
	_, err := io.ReadFull(h.Body, (*h.buffer)[:h.Length])
	return err
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

// passing reads a body that goes by. It is read beside the wait for the answer: what comes of the flow may be decided
// at the moment of a read. So the body is halted before anything is decided, and is from then on either untouched, and
// can be sent again, or spent.
type passing struct {
	io.Reader
	hop    *hop
	mu     sync.Mutex
	spent  bool // the first read of it has begun
	halted bool // until the next try
}

func (p *passing) Read(b []byte) (int, error) {
	p.mu.Lock()
	first, halted := !p.spent, p.halted
	p.spent = p.spent || !halted
	p.mu.Unlock()
	if halted {
		return 0, upstream.ErrHalted
	}
	if first && p.hop.Expects {
		if err := p.hop.Continue(); err != nil {
			return 0, fmt.Errorf("asking for the body: %w", err)
		}
	}
	n, err := p.Reader.Read(b)
	if p.mu.Lock(); err != nil && !errors.Is(err, io.EOF) && p.halted {
		err = upstream.ErrHalted
	}
	p.mu.Unlock()
	return n, err
}

// Halt has the body read no further. Safe while it is being read.
func (p *passing) Halt() {
	p.mu.Lock()
	waits := p.spent && !p.halted
	p.halted = true
	p.mu.Unlock()
	if waits {
		p.hop.Request.Halt()
	}
}

// resume lets the next try read a body that is not spent; nobody reads it now.
func (p *passing) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.halted = false
}

// gone says whether some of the body is gone. After Halt that stays so.
func (p *passing) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spent
}

// ask asks the core. Who is to wait for a place is among those that are told of one before any other step of the core:
// a place that is freed right then is not missed.
func (h *hop) ask(do func(now int64, d *dispatch.Dispatcher) dispatch.Step) dispatch.Step {
	r := h.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	s := do(r.clock(), r.desk)
	if s.Wait {
		r.waits++
		h.places = r.places
	}
	return s
}

// wait waits for a place until a time; false: nobody waits for the flow any more.
func (h *hop) wait(until int64) bool {
	r := h.relay
	defer func() {
		r.mu.Lock()
		r.waits--
		r.mu.Unlock()
	}()
	timer := time.NewTimer(time.Duration(until - r.clock()))
	defer timer.Stop()
	select {
	case <-h.places:
	case <-timer.C:
	case <-h.leash.Done():
		return false
	}
	return true
}

// ended tells the core how a try ended.
func (h *hop) ended(how dispatch.Outcome) dispatch.Step {
	r := h.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.passes.gone() {
		r.desk.BodyConsumed(h.flow)
	}
	s := r.desk.AttemptEnded(r.clock(), h.flow, how)
	r.free() // its place is free, even if it goes on elsewhere
	return s
}

// try makes one try. Once the head of an answer has gone to the client it is the last.
func (h *hop) try(s dispatch.Step) dispatch.Step {
	r := h.relay
	left := time.Duration(s.Deadline - r.clock())
	h.up = upstream.Request{Method: h.Method, Target: h.Target, Host: h.Host, Header: h.Header, Length: h.Length, Trailer: h.Trailer,
		Fresh: r.onlyOnce[h.Group], Inform: h.out}
	switch {
	case h.buffer != nil:
		h.again.data = (*h.buffer)[:h.Length]
		h.up.Body = &h.again
	case h.Body != nil:
		h.passes.resume()
		h.up.Body, h.up.Halt = &h.passes, h.passes.Halt
	}
	a, err := r.pool.Do(h.leash, time.Now().Add(left), s.Address, &h.up)
	if err != nil {
		var body *upstream.BodyError
		if h.leash.IsCut() || errors.As(err, &body) { // neither says anything of the replica
			return dispatch.Step{Final: true, Reason: dispatch.ErrClientGone}
		}
		return h.ended(outcome(err))
	}
	defer a.Close()
	var next dispatch.Step
	if a.StatusCode >= 500 {
		how := dispatch.Broken
		if r.refusals[a.StatusCode] {
			how = dispatch.NotExecuted
		}
		if h.up.Halt != nil { // it may be read at this moment, and whether it was decides what is next
			h.up.Halt()
		}
		if next = h.ended(how); !next.Final {
			return next
		}
		h.res.Reason = next.Reason // and the replica's own answer is the final one
	}
	r.mu.Lock()
	r.desk.ResponseStarted(r.clock(), h.flow)
	r.mu.Unlock()
	a.Detach()
	h.begun, h.res.Status = true, a.StatusCode
	err = pass(a, h.Method, h.out)
	if err != nil {
		h.res.Broken = true
		h.out.Break()
	}
	if next.Final {
		return next
	}
	var up *upstream.Failure
	switch {
	case err == nil:
		next = h.ended(dispatch.Succeeded)
	case errors.As(err, &up) && !h.leash.IsCut():
		next = h.ended(dispatch.Broken)
	default: // the client went, not the replica: abandoned at the end
		next = dispatch.Step{Final: true, Reason: dispatch.ErrClientGone}
	}
	h.res.Reason = next.Reason
	return next
}

func outcome(err error) dispatch.Outcome {
	var f *upstream.Failure
	switch {
	case errors.As(err, &f) && f.Reach == upstream.Unsent:
		return dispatch.NotExecuted
	case errors.Is(err, context.DeadlineExceeded):
		return dispatch.TimedOut
	}
	return dispatch.Broken
}

// pass copies an answer to the client. A Failure is the replica's, any other error the client's.
func pass(a *upstream.Answer, method string, out Answerer) error {
	if err := out.Head(a.StatusCode, Clean(a.Header), a.ContentLength); err != nil {
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
func refuse(out Answerer, why dispatch.Reason) error {
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
