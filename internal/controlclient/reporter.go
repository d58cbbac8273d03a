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

// Reporter reports the outcomes of a sidecar's attempts to a collector of its zone. It uses the first collector that works,
// so that controllers receive the reports of a zone from as few collectors as possible.
type Reporter struct {
	Collectors []string // in order of preference
	Interval   time.Duration
	// TakeOutcomes returns the outcomes by replica since the last call.
	TakeOutcomes    func() map[string]*dispatch.OutcomeSum
	Seed            uint64
	LostSums        atomic.Int64 // sums, each of one replica and interval, that could not be sent to a collector
	UnconfirmedSums atomic.Int64 // sums sent on a connection that ended before a collector had confirmed them; they may be lost
	Failovers       atomic.Int64 // times that the reporter gave up on its current collector

	pool     *resp.Pool
	selector *failover.Selector
	current  *collectorConn // nil: not connected
	// candidate is a connection to a collector that is preferred to the current one. It replaces the current connection once
	// the collector has answered a probe on it.
	candidate *collectorConn
}

// Run reports until ctx ends. When ctx ends, a write to a collector that reads nothing is interrupted.
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

// report sends the outcomes of one interval. Without a connection it dials each collector at most once, since the next
// report is due soon.
func (r *Reporter) report(ctx context.Context) {
	outcomes := r.TakeOutcomes()
	r.closeIfUnusable()
	r.updateCandidate(ctx)
	if r.current == nil {
		r.connect(ctx)
	}
	if r.current == nil {
		r.LostSums.Add(int64(len(outcomes)))
		return
	}
	for sent, replica := range slices.Sorted(maps.Keys(outcomes)) {
		if r.current.sendOutcomes(replica, outcomes[replica]) != nil {
			r.LostSums.Add(int64(len(outcomes) - sent))
			r.failOver(time.Now())
			return
		}
	}
	if r.current.probe(len(outcomes)) != nil {
		r.failOver(time.Now())
	}
}

// closeIfUnusable closes the current connection if its collector has closed it or has not answered a probe in time. A
// collector that had answered probes and closed the connection has probably been restarted, so it is dialed again first. An
// unresponsive collector is kept if it is the only collector and has answered no probe on this connection.
func (r *Reporter) closeIfUnusable() {
	if r.current == nil {
		return
	}
	if r.current.hasAnswered() {
		r.selector.RecordSuccess(r.current.address)
	}
	now := time.Now()
	switch {
	case r.current.closedByCollector() && r.current.hasAnswered():
		r.disconnect()
	case r.current.closedByCollector(), r.current.unresponsive(now) && (r.current.hasAnswered() || len(r.Collectors) > 1):
		r.failOver(now)
	}
}

// failOver closes the current connection, and begins a cool-down of its collector.
func (r *Reporter) failOver(now time.Time) {
	r.Failovers.Add(1)
	r.selector.RecordFailure(r.current.address, now.UnixNano())
	r.disconnect()
}

// connect dials the collectors, each at most once, until one accepts the connection. If none does, current stays nil.
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

// updateCandidate connects to a collector that is preferred to the current one, and switches to it once it has answered a
// probe. Until then, reports are sent to the current collector.
func (r *Reporter) updateCandidate(ctx context.Context) {
	now := time.Now()
	switch {
	case r.current == nil:
		r.closeCandidate()
	case r.candidate == nil:
		r.dialCandidate(ctx, now)
	case r.candidate.hasAnswered():
		r.selector.RecordSuccess(r.candidate.address)
		r.UnconfirmedSums.Add(int64(r.current.close()))
		r.current = r.candidate
		r.candidate = nil
	case r.candidate.unresponsive(now) || r.candidate.closedByCollector():
		r.selector.RecordFailure(r.candidate.address, now.UnixNano())
		r.closeCandidate()
	}
}

// dialCandidate connects to the preferred collector if that is not the current one, and sends it a probe.
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
		r.closeCandidate()
	}
}

// closeCandidate closes the connection to the candidate, if there is one.
func (r *Reporter) closeCandidate() {
	if r.candidate != nil {
		r.candidate.close()
		r.candidate = nil
	}
}

// disconnect closes all connections.
func (r *Reporter) disconnect() {
	r.closeCandidate()
	if r.current != nil {
		r.UnconfirmedSums.Add(int64(r.current.close()))
		r.current = nil
	}
}

// sendOutcomes sends the outcomes of the attempts at one replica.
func (c *collectorConn) sendOutcomes(replica string, outcomes *dispatch.OutcomeSum) error {
	return c.writer.send(sidecarOutcomesMessage(replica, outcomes)...)
}
