package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

// canceledStep ends a request whose client has gone or has not sent the body. It is not reported as the outcome of an
// attempt, so that it does not count against the replica; the dispatcher is notified when the request is released.
var canceledStep = dispatch.Step{Ended: true, Reason: dispatch.ErrClientGone}

// attempt makes one attempt and returns the next step. The step is not used once a response to the client has started. There
// is no attempt for a client that has left: it may send the request again, and the effect would occur twice.
func (t *transaction) attempt(step dispatch.Step) dispatch.Step {
	if t.ClientLeft() {
		t.cancel.Cancel()
		return canceledStep
	}
	t.result.Replica = step.Replica
	t.result.Attempts++
	response, err := t.send(step)
	if err != nil {
		var body *upstream.BodyError
		if t.cancel.Canceled() || errors.As(err, &body) {
			return canceledStep
		}
		return t.reportAttemptEnd(outcomeOf(err))
	}
	defer response.Close()
	if response.StatusCode < http.StatusInternalServerError {
		err := t.forwardResponse(response)
		next := t.reportResponseEnd(err)
		t.result.Reason = next.Reason
		return next
	}
	next := t.reportFailedResponse(response.StatusCode)
	if next.Ended { // no attempt follows, so the client gets the replica's own error response
		t.result.Reason = next.Reason
		t.forwardResponse(response)
	}
	return next
}

// send sends the request to a replica and waits for the head of its response.
func (t *transaction) send(step dispatch.Step) (*upstream.Response, error) {
	p := t.proxy
	remaining := time.Duration(step.Deadline - p.config.DispatcherTime())
	t.upstream = upstream.Request{
		Method:          t.Method,
		Target:          t.Target,
		Host:            t.Host,
		Header:          t.Header,
		Length:          t.Length,
		Trailer:         t.Trailer,
		FreshConnection: p.config.NonIdempotent[t.Class],
		Informational:   t.out,
	}
	switch {
	case t.buffer != nil:
		t.replay.remaining = (*t.buffer)[:t.Length]
		t.upstream.Body = &t.replay
	case t.Body != nil:
		t.streamed.resume()
		t.upstream.Body = &t.streamed
		t.upstream.StopBody = t.streamed.Stop
	}
	return p.pool.Do(t.cancel, time.Now().Add(remaining), step.Address, &t.upstream)
}

// reportAttemptEnd reports the outcome of an attempt to the dispatcher and returns the next step.
func (t *transaction) reportAttemptEnd(outcome dispatch.Outcome) dispatch.Step {
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.streamed.isConsumed() {
		p.dispatcher.BodyConsumed(t.state)
	}
	step := p.dispatcher.AttemptEnded(p.config.DispatcherTime(), t.state, outcome)
	p.wakeWaiting() // the replica has free capacity again, even if another attempt follows
	return step
}

// reportFailedResponse reports a response with a 5xx status to the dispatcher and returns the next step. The next step
// depends on whether the request body was read. The body may still be being read at this point, so it is stopped first.
func (t *transaction) reportFailedResponse(status int) dispatch.Step {
	if t.upstream.StopBody != nil {
		t.upstream.StopBody()
	}
	if t.proxy.notExecutedStatuses[status] {
		return t.reportAttemptEnd(dispatch.NotExecuted)
	}
	return t.reportAttemptEnd(dispatch.Incomplete)
}

// reportResponseEnd reports to the dispatcher how the forwarding of a response ended, unless the client was the cause.
func (t *transaction) reportResponseEnd(err error) dispatch.Step {
	if err == nil {
		return t.reportAttemptEnd(dispatch.Succeeded)
	}
	var failed *upstream.AttemptError
	if errors.As(err, &failed) && !t.cancel.Canceled() {
		return t.reportAttemptEnd(dispatch.Incomplete)
	}
	return canceledStep
}

// outcomeOf returns the outcome of an attempt that failed before a response.
func outcomeOf(err error) dispatch.Outcome {
	var failed *upstream.AttemptError
	if errors.As(err, &failed) && failed.Progress == upstream.NotSent {
		return dispatch.NotExecuted
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return dispatch.TimedOut
	}
	return dispatch.Incomplete
}
