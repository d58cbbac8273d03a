package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

// canceledStep ends a request whose client is gone. The dispatcher learns of it when the request is released: that does
// not count against the replica.
var canceledStep = dispatch.Step{Final: true, Reason: dispatch.ErrClientGone}

// attempt makes one attempt, and returns what to do next. After an answer has begun there is no next step.
func (t *transaction) attempt(step dispatch.Step) dispatch.Step {
	t.result.Replica = step.Replica
	t.result.Attempts++
	response, err := t.send(step)
	if err != nil {
		var body *upstream.BodyError
		if t.cancel.Canceled() || errors.As(err, &body) {
			return canceledStep
		}
		return t.attemptEnded(outcomeOf(err))
	}
	defer response.Close()
	if response.StatusCode < http.StatusInternalServerError {
		err := t.forwardResponse(response)
		next := t.responseEnded(err)
		t.result.Reason = next.Reason
		return next
	}
	next := t.failedResponse(response.StatusCode)
	if next.Final { // the replica's own answer is the best there is
		t.result.Reason = next.Reason
		t.forwardResponse(response)
	}
	return next
}

// send sends the request to a replica and waits for the head of its response.
func (t *transaction) send(step dispatch.Step) (*upstream.Response, error) {
	p := t.proxy
	remaining := time.Duration(step.Deadline - p.config.Now())
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

// attemptEnded tells the dispatcher how an attempt ended.
func (t *transaction) attemptEnded(outcome dispatch.Outcome) dispatch.Step {
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.streamed.isConsumed() {
		p.dispatcher.BodyConsumed(t.state)
	}
	step := p.dispatcher.AttemptEnded(p.config.Now(), t.state, outcome)
	p.wakeWaiting() // the replica has capacity again, even if the request goes on elsewhere
	return step
}

// failedResponse tells the dispatcher of a response with a status of a server's failure. The body of the request may be
// read at this moment, and whether it was decides what is next, so it is stopped before.
func (t *transaction) failedResponse(status int) dispatch.Step {
	if t.upstream.StopBody != nil {
		t.upstream.StopBody()
	}
	if t.proxy.notExecutedStatuses[status] {
		return t.attemptEnded(dispatch.NotExecuted)
	}
	return t.attemptEnded(dispatch.Broken)
}

// responseEnded tells the dispatcher how the forwarding of a response ended.
func (t *transaction) responseEnded(err error) dispatch.Step {
	if err == nil {
		return t.attemptEnded(dispatch.Succeeded)
	}
	var failed *upstream.AttemptError
	if errors.As(err, &failed) && !t.cancel.Canceled() {
		return t.attemptEnded(dispatch.Broken)
	}
	return canceledStep
}

// outcomeOf is the outcome of an attempt that failed without a response.
func outcomeOf(err error) dispatch.Outcome {
	var failed *upstream.AttemptError
	if errors.As(err, &failed) && failed.Progress == upstream.NotSent {
		return dispatch.NotExecuted
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return dispatch.TimedOut
	}
	return dispatch.Broken
}
