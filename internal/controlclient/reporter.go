package controlclient

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/failover"
	"lilacbend/internal/resp"
)

// reporterPoolSize bounds the buffers for long messages of a reporter, in bytes.
const reporterPoolSize = 1 << 20

// Reporter reports the outcomes of a sidecar's attempts to a collector of its zone: to the first that works, so that controllers
// get the reports of a zone from as few collectors as possible.
type Reporter struct {
	Collectors []string // in the order in which they are preferred
	Interval   time.Duration
	// TakeOutcomes returns the outcomes by replica since the last call.
	TakeOutcomes func() map[string]*dispatch.Outcomes
	Seed         uint64
	Lost         atomic.Int64 // outcomes of a replica in one interval that no collector took
	Unconfirmed  atomic.Int64 // the same that were sent on a connection that has ended since, and may have been lost with it
	Failovers    atomic.Int64 // collectors given up

	pool     *resp.Pool
	selector *failover.Selector
	current  *collectorConn // nil: there is no connection
	// candidate is a connection to a collector that is preferred to the current one. It takes over once it has answered.
	candidate *collectorConn
}

// Run reports until ctx ends. The end does not wait for a collector that reads nothing.
func (r *Reporter) Run(ctx context.Context) {
	r.pool = resp.NewPool(reporterPoolSize)
	r.selector = failover.New(r.Collectors, r.Seed)
	defer r.disconnect()
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.report(ctx)
	}
}

// report sends the outcomes of one interval. Collectors are dialed in one round for each: the next outcomes are due soon.
func (r *Reporter) report(ctx context.Context) {
	outcomes := r.TakeOutcomes()
	r.dropUnusable()
	r.considerCandidate(ctx)
	if r.current == nil {
		r.connect(ctx)
	}
	if r.current == nil {
		r.Lost.Add(int64(len(outcomes)))
		return
	}
	for sent, replica := range slices.Sorted(maps.Keys(outcomes)) {
		if r.current.sendOutcomes(replica, outcomes[replica]) != nil {
			r.Lost.Add(int64(len(outcomes) - sent))
			r.giveUp(time.Now())
			return
		}
	}
	if r.current.probe(len(outcomes)) != nil {
		r.giveUp(time.Now())
	}
}

// dropUnusable closes the current connection if its collector has ended it, or has not answered in time. A collector that had
// answered and ended the connection has been restarted in all likelihood, and is the first to be dialed again.
func (r *Reporter) dropUnusable() {
	if r.current == nil {
		return
	}
	if r.current.confirmed() {
		r.selector.RecordSuccess(r.current.address)
	}
	now := time.Now()
	switch {
	case r.current.ended() && r.current.confirmed():
		r.disconnect()
	case r.current.ended(), r.current.silent(now) && (r.current.confirmed() || len(r.Collectors) > 1):
		r.giveUp(now)
	}
}

// giveUp closes the current connection and leaves its collector alone for a while.
func (r *Reporter) giveUp(now time.Time) {
	r.Failovers.Add(1)
	r.selector.RecordFailure(r.current.address, now.UnixNano())
	r.disconnect()
}

// connect dials collectors, each once at the most, until one takes the connection; without success there is none.
func (r *Reporter) connect(ctx context.Context) {
	for range r.Collectors {
		address := r.selector.Next(time.Now().UnixNano())
		conn, err := dialCollector(ctx, address, min(r.Interval, dialTimeout), r.pool)
		if err == nil {
			r.current = conn
			return
		}
		r.selector.RecordFailure(address, time.Now().UnixNano())
		if ctx.Err() != nil {
			return
		}
	}
}

// considerCandidate connects to a preferred collector, and uses it once it has answered: until then the reports go on to the
// current one.
func (r *Reporter) considerCandidate(ctx context.Context) {
	now := time.Now()
	switch {
	case r.current == nil:
		r.dropCandidate()
	case r.candidate == nil:
		r.dialCandidate(ctx, now)
	case r.candidate.confirmed():
		r.selector.RecordSuccess(r.candidate.address)
		r.Unconfirmed.Add(int64(r.current.close()))
		r.current = r.candidate
		r.candidate = nil
	case r.candidate.silent(now) || r.candidate.ended():
		r.selector.RecordFailure(r.candidate.address, now.UnixNano())
		r.dropCandidate()
	}
}

// dialCandidate connects to the preferred collector if that is not the current one, and asks it for an answer.
func (r *Reporter) dialCandidate(ctx context.Context, now time.Time) {
	address := r.selector.Next(now.UnixNano())
	if address == r.current.address {
		return
	}
	conn, err := dialCollector(ctx, address, min(r.Interval, dialTimeout), r.pool)
	if err != nil {
		r.selector.RecordFailure(address, now.UnixNano())
		return
	}
	r.candidate = conn
	if conn.probe(0) != nil {
		r.selector.RecordFailure(address, now.UnixNano())
		r.dropCandidate()
	}
}

func (r *Reporter) dropCandidate() {
	if r.candidate != nil {
		r.candidate.close()
		r.candidate = nil
	}
}

// disconnect closes all connections.
func (r *Reporter) disconnect() {
	r.dropCandidate()
	if r.current != nil {
		r.Unconfirmed.Add(int64(r.current.close()))
		r.current = nil
	}
}

// sendOutcomes sends the outcomes at one replica.
func (c *collectorConn) sendOutcomes(replica string, outcomes *dispatch.Outcomes) error {
	return c.writer.send(sidecarOutcomesMessage(replica, outcomes)...)
}
