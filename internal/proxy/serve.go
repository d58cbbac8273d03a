package proxy

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

// transaction is a request that is being served. It holds three representations of the request: Request, as the ingress has
// parsed it; state, as the dispatcher tracks it to choose the next step; upstream, as it is sent to a replica, which is set
// anew for each attempt.
type transaction struct {
	*Request
	proxy    *Proxy
	cancel   *upstream.Cancellation
	out      ResponseWriter
	state    *dispatch.Request // nil: the request was not passed to the dispatcher yet
	upstream upstream.Request

	buffer   *[]byte      // body that can be sent any number of times; nil: not buffered
	replay   replayReader // reads buffer
	streamed streamedBody // reads a body that is not buffered

	responseStarted bool          // the response to the client has started
	capacityFreed   chan struct{} // closed when there may be capacity; valid while the request waits
	result          Result
}

var transactions = sync.Pool{New: func() any { return &transaction{} }}

// Serve serves a request and writes its response. It returns when the response has ended or the request was canceled.
func (p *Proxy) Serve(cancel *upstream.Cancellation, r *Request, out ResponseWriter) (result Result) {
	start := time.Now()
	t := transactions.Get().(*transaction)
	*t = transaction{Request: r, proxy: p, cancel: cancel, out: out}
	defer func() {
		if v := recover(); v != nil { // a panic ends only this request
			p.config.OnPanic(fmt.Sprintf("%v at %s", v, debug.Stack()))
			t.result.Incomplete = true
			out.Abort()
		}
		t.release()
		result = t.result
		result.Duration = time.Since(start)
		*t = transaction{}
		transactions.Put(t)
	}()
	t.run()
	return result
}

// release frees the resources of the request. Canceling a request that has received its final step has no effect.
func (t *transaction) release() {
	if t.state != nil {
		t.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { d.Cancel(t.state) })
	}
	if t.buffer != nil {
		buffers.Put(t.buffer)
	}
}

// run executes the dispatcher's steps until a response has started or the dispatcher gives no further attempt.
func (t *transaction) run() {
	if err := t.readBody(); err != nil {
		t.abort()
		return
	}
	replayable := t.Body == nil || t.buffer != nil
	step := t.askDispatcher(func(now int64, d *dispatch.Dispatcher) dispatch.Step {
		var first dispatch.Step
		t.state, first = d.Begin(now, t.Class, replayable)
		return first
	})
	for !t.responseStarted && !step.Ended {
		if !step.Wait {
			step = t.attempt(step)
			continue
		}
		if !t.awaitCapacity(step.Deadline) {
			t.abort()
			return
		}
		step = t.askDispatcher(func(now int64, d *dispatch.Dispatcher) dispatch.Step { return d.Resume(now, t.state) })
	}
	if !t.responseStarted {
		t.finishWithoutResponse(step)
	}
}

// finishWithoutResponse ends a request for which no replica's response is forwarded.
func (t *transaction) finishWithoutResponse(step dispatch.Step) {
	if step.Reason == dispatch.ErrClientGone {
		t.abort()
		return
	}
	t.result.Reason = step.Reason
	t.result.Status = http.StatusServiceUnavailable
	t.result.Incomplete = writeRejection(t.out, step.Reason) != nil
}

// abort ends a request whose client has gone, or whose body could not be read.
func (t *transaction) abort() {
	t.result.Reason = dispatch.ErrClientGone
	t.result.Incomplete = true
	t.out.Abort()
}

// askDispatcher asks the dispatcher for the next step. If the request has to wait, it is registered as waiting before the
// lock is released, so that it cannot miss capacity that is freed immediately afterwards.
func (t *transaction) askDispatcher(ask func(now int64, d *dispatch.Dispatcher) dispatch.Step) dispatch.Step {
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	step := ask(p.config.DispatcherTime(), p.dispatcher)
	if step.Wait {
		p.waiting++
		t.capacityFreed = p.capacityFreed
	}
	return step
}

// awaitCapacity waits until there may be capacity or the deadline has passed. It returns false if the request was canceled.
func (t *transaction) awaitCapacity(deadline int64) bool {
	p := t.proxy
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}()
	timer := time.NewTimer(time.Duration(deadline - p.config.DispatcherTime()))
	defer timer.Stop()
	select {
	case <-t.capacityFreed:
	case <-timer.C:
	case <-t.cancel.Done():
		return false
	}
	return true
}
