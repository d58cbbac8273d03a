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

// transaction is one request on its way to its answer. It has three forms of it: Request, as the ingress has read it; state, as
// the dispatcher knows it, which decides what comes next; upstream, as it is sent to a replica, set anew for each attempt.
type transaction struct {
	*Request
	proxy    *Proxy
	cancel   *upstream.Cancellation
	out      ResponseWriter
	state    *dispatch.Request // nil: the dispatcher does not know it yet
	upstream upstream.Request

	buffer   *[]byte      // holds a body that can be sent any number of times
	replay   replayReader // of the buffer
	streamed streamedBody // of a body that is not held

	answering bool          // the head of an answer has gone to the client
	capacity  chan struct{} // closed when there may be capacity, while the request waits
	result    Result
}

var transactions = sync.Pool{New: func() any { return &transaction{} }}

// Serve carries a request to its one answer. It returns when the answer has ended, or the request was canceled.
func (p *Proxy) Serve(cancel *upstream.Cancellation, r *Request, out ResponseWriter) (result Result) {
	began := time.Now()
	t := transactions.Get().(*transaction)
	*t = transaction{Request: r, proxy: p, cancel: cancel, out: out}
	defer func() {
		if v := recover(); v != nil { // ends this request alone
			p.config.OnPanic(fmt.Sprintf("%v at %s", v, debug.Stack()))
			t.result.Incomplete = true
			out.Abort()
		}
		t.release()
		result = t.result
		result.Duration = time.Since(began)
		*t = transaction{}
		transactions.Put(t)
	}()
	t.run()
	return result
}

// release gives back what the request has occupied. Canceling a request that has its final step changes nothing.
func (t *transaction) release() {
	if t.state != nil {
		t.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { d.Cancel(t.state) })
	}
	if t.buffer != nil {
		buffers.Put(t.buffer)
	}
}

// run takes the request through the dispatcher's steps until an answer has begun or there is none.
func (t *transaction) run() {
	if err := t.readBody(); err != nil {
		t.clientGone()
		return
	}
	replayable := t.Body == nil || t.buffer != nil
	step := t.askDispatcher(func(now int64, d *dispatch.Dispatcher) dispatch.Step {
		var first dispatch.Step
		t.state, first = d.Begin(now, t.Class, replayable)
		return first
	})
	for !t.answering && !step.Final {
		if !step.Wait {
			step = t.attempt(step)
			continue
		}
		if !t.awaitCapacity(step.Deadline) {
			t.clientGone()
			return
		}
		step = t.askDispatcher(func(now int64, d *dispatch.Dispatcher) dispatch.Step { return d.Resume(now, t.state) })
	}
	if !t.answering {
		t.answerFinal(step)
	}
}

// answerFinal ends a request that has got no answer from a replica.
func (t *transaction) answerFinal(step dispatch.Step) {
	if step.Reason == dispatch.ErrClientGone {
		t.clientGone()
		return
	}
	t.result.Reason = step.Reason
	t.result.Status = http.StatusServiceUnavailable
	t.result.Incomplete = writeRejection(t.out, step.Reason) != nil
}

// clientGone ends a request that nobody waits for.
func (t *transaction) clientGone() {
	t.result.Reason = dispatch.ErrClientGone
	t.result.Incomplete = true
	t.out.Abort()
}

// askDispatcher asks the dispatcher for a step. If the request is to wait, it is among those that are woken before the
// dispatcher is asked anything else, so it does not miss capacity that is freed right then.
func (t *transaction) askDispatcher(ask func(now int64, d *dispatch.Dispatcher) dispatch.Step) dispatch.Step {
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	step := ask(p.config.Now(), p.dispatcher)
	if step.Wait {
		p.waiting++
		t.capacity = p.capacity
	}
	return step
}

// awaitCapacity waits until there may be capacity, or a deadline; false: the request was canceled.
func (t *transaction) awaitCapacity(deadline int64) bool {
	p := t.proxy
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}()
	timer := time.NewTimer(time.Duration(deadline - p.config.Now()))
	defer timer.Stop()
	select {
	case <-t.capacity:
	case <-timer.C:
	case <-t.cancel.Done():
		return false
	}
	return true
}
