package dispatch

import (
	"time"

	"lilacbend/control"
)

// admits reports whether the admission setting of a class admits one more request. All requests are admitted as long as no
// controller has sent settings.
func (d *Dispatcher) admits(now int64, class int) bool {
	t := &d.tables[class]
	if !t.hasSettings {
		return true
	}
	switch d.config.Admission {
	case control.AdmitAll:
		return true
	case control.AdmitRate:
		return t.bucket.take(now, t.settings.Admission)
	default:
		return d.admitsFraction(t.settings.Admission)
	}
}

// admitsFraction admits a fraction of the requests at random. It draws a random number only for a fraction between 0 and 1.
func (d *Dispatcher) admitsFraction(fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	return fraction > 0 && d.random(&d.admissions) <= fraction
}

// enqueue lets a request wait for capacity. If the queue is full, the request is rejected for the given reason. Once the
// request has waited for the maximum queue time, or its deadline has passed, it is rejected for ErrQueueTimeout.
func (d *Dispatcher) enqueue(now int64, r *Request, reason Reason) Step {
	if !r.queued {
		if d.queued >= d.config.MaxQueuedRequests {
			return d.reject(r, reason)
		}
		d.queued++
		r.queued = true
		r.queuedSince = now
	}
	deadline := min(r.queuedSince+int64(d.config.MaxQueueTime), d.deadline(r))
	if now >= deadline {
		return d.reject(r, ErrQueueTimeout)
	}
	return Step{Wait: true, Deadline: deadline}
}

// dequeue removes a request from the queue, if it is queued.
func (d *Dispatcher) dequeue(r *Request) {
	if r.queued {
		r.queued = false
		d.queued--
	}
}

// tokenBucket limits the rate of requests. It holds at most the tokens of one second, or one
// token if the rate is below one per second.
type tokenBucket struct {
	tokens     float64
	refilledAt int64 // 0: never
}

// take takes a token, and reports whether one was available.
func (b *tokenBucket) take(now int64, perSecond float64) bool {
	if b.refilledAt == 0 {
		b.tokens = perSecond
	} else {
		elapsed := max(0, now-b.refilledAt)
		b.tokens += perSecond * float64(elapsed) / float64(time.Second)
	}
	b.tokens = min(b.tokens, max(1, perSecond))
	b.refilledAt = now
	if perSecond <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
