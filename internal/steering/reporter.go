package steering

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"lilacbend/internal/forward"
	"lilacbend/internal/resp"
)

// reporterPoolSize bounds the buffers for long messages of a reporter, in bytes.
const reporterPoolSize = 1 << 20

// Reporter reports the outcomes of a sidecar's attempts to its zone's collector.
type Reporter struct {
	Collector string
	Interval  time.Duration
	Sums      func() map[string]*forward.Sum // since it was last called, by replica
	Lost      atomic.Int64                   // sums that no collector took

	pool   *resp.Pool
	writer *messageWriter           // nil: there is no connection
	conn   atomic.Pointer[net.Conn] // the present connection, or the last one
}

// Run reports until ctx ends. The end does not wait for a collector that reads nothing.
func (r *Reporter) Run(ctx context.Context) {
	r.pool = resp.NewPool(reporterPoolSize)
	defer r.disconnect()
	stop := context.AfterFunc(ctx, func() {
		if conn := r.conn.Load(); conn != nil {
			(*conn).Close()
		}
	})
	defer stop()
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

// report sends the sums of one interval. There is one try to connect for each: the next sums are due soon.
func (r *Reporter) report(ctx context.Context) {
	sums := r.Sums()
	if r.writer != nil && r.writer.peerClosed() { // it would take the first words without an error, and nobody would read them
		r.disconnect()
	}
	if r.writer == nil {
		r.connect(ctx)
	}
	if r.writer == nil {
		r.Lost.Add(int64(len(sums)))
		return
	}
	for sent, replica := range slices.Sorted(maps.Keys(sums)) {
		if r.send(replica, sums[replica]) != nil {
			r.Lost.Add(int64(len(sums) - sent))
			r.disconnect()
			return
		}
	}
}

// connect dials the collector; without success the writer stays nil.
func (r *Reporter) connect(ctx context.Context) {
	dialer := net.Dialer{Timeout: r.Interval}
	conn, err := dialer.DialContext(ctx, "tcp", r.Collector)
	if err != nil {
		return
	}
	r.writer = &messageWriter{conn: conn, pool: r.pool}
	r.conn.Store(&conn)
	if ctx.Err() != nil { // it ended as the connection came up
		conn.Close()
	}
}

// disconnect closes the present connection, if there is one.
func (r *Reporter) disconnect() {
	if r.writer != nil {
		r.writer.conn.Close()
		r.writer = nil
	}
}

// send sends the sum of one replica.
func (r *Reporter) send(replica string, sum *forward.Sum) error {
	mean := 0.0
	if succeeded := sum.Tries - sum.Missed; succeeded > 0 {
		mean = float64(sum.Answers) / float64(succeeded) / float64(time.Millisecond)
	}
	return r.writer.send("met", "target", replica, "count", strconv.Itoa(sum.Tries), "fail", strconv.Itoa(sum.Missed),
		"mean", formatNumber(mean))
}
