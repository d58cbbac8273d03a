package controlclient

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"lilacbend/internal/loadreport"
)

const (
	// maxReplicas bounds the number of replicas whose outcomes are held for one controller. No installation reaches this
	// number of replicas.
	maxReplicas = 1 << 14
	// maxReportAge is how long outcomes are held for a controller that is not connected, unless two report intervals are
	// longer: in that case they are held for two intervals. Older outcomes do not describe the current state.
	maxReportAge = 10 * time.Second
	// maxIDLength, maxAttempts and maxResponseMillis bound the values of a report: the length of a replica's id in bytes,
	// the number of attempts, and the mean response time in milliseconds.
	maxIDLength       = 128
	maxAttempts       = 1 << 24
	maxResponseMillis = 1e7
)

// outcomeReport is a sidecar's report of its attempts at one replica.
type outcomeReport struct {
	replica    string
	attempts   int
	failures   int
	meanMillis float64 // mean response time of the successful attempts
}

// parseOutcomeReport parses a report of a sidecar.
func parseOutcomeReport(words []string) (outcomeReport, error) {
	if len(words) != 9 || words[0] != wordSidecarOutcomes || words[1] != keyReplica || words[3] != keyCount || words[5] != keyFailures || words[7] != keyMeanMillis {
		return outcomeReport{}, fmt.Errorf("%d words, want met target T count N fail N mean MS", len(words))
	}
	attempts, attemptsErr := strconv.Atoi(words[4])
	failures, failuresErr := strconv.Atoi(words[6])
	mean, meanErr := strconv.ParseFloat(words[8], 64)
	if err := errors.Join(attemptsErr, failuresErr, meanErr); err != nil {
		return outcomeReport{}, err
	}
	report := outcomeReport{replica: words[2], attempts: attempts, failures: failures, meanMillis: mean}
	if !report.valid() {
		return outcomeReport{}, fmt.Errorf("impossible values: %q", words)
	}
	return report, nil
}

// valid reports whether the values of a report are within their bounds.
func (r outcomeReport) valid() bool {
	return r.replica != "" && len(r.replica) <= maxIDLength &&
		r.attempts >= 0 && r.attempts <= maxAttempts &&
		r.failures >= 0 && r.failures <= r.attempts &&
		r.meanMillis >= 0 && r.meanMillis <= maxResponseMillis
}

// sum converts the report to a sum.
func (r outcomeReport) sum() loadreport.Sum {
	return loadreport.Sum{
		Attempts:       r.attempts,
		Failures:       r.failures,
		ResponseMillis: r.meanMillis * float64(r.attempts-r.failures),
	}
}

// pendingOutcomes holds the outcomes that have not been reported to one controller yet. It is safe for concurrent use.
type pendingOutcomes struct {
	mu       sync.Mutex
	interval time.Duration
	outcomes *loadreport.Aggregator
}

// newPendingOutcomes returns empty pendingOutcomes that are reported in each interval, with at most bytesPerSecond bytes of
// reports per second; 0: no limit.
func newPendingOutcomes(interval time.Duration, bytesPerSecond int) *pendingOutcomes {
	limits := loadreport.Limits{
		BytesPerSecond: bytesPerSecond,
		Interval:       interval,
		MaxAge:         max(maxReportAge, 2*interval),
		MaxKeys:        maxReplicas,
	}
	return &pendingOutcomes{interval: interval, outcomes: loadreport.New(limits, monotonicNow())}
}

// add adds a report of a source. Its outcomes are taken to have occurred since the last round began, but no earlier than two
// intervals ago.
func (p *pendingOutcomes) add(source loadreport.SourceID, report outcomeReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := monotonicNow()
	since := max(p.outcomes.RoundStartedAt(), now-2*int64(p.interval))
	p.outcomes.Add(source, report.replica, report.sum(), since, now)
}

// recordConnection records a new connection to the controller, which may have been restarted in the meantime.
func (p *pendingOutcomes) recordConnection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.ReceiverRestarted()
}

// beginRound begins a round of reports.
func (p *pendingOutcomes) beginRound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.BeginRound(monotonicNow())
}

// next returns the next report of the round, or false if no report is left or the budget is spent.
func (p *pendingOutcomes) next() (loadreport.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outcomes.Next(monotonicNow())
}

// recordSent subtracts the bytes of a sent report from the budget.
func (p *pendingOutcomes) recordSent(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.RecordSent(bytes)
}

// processStart is the origin of monotonicNow.
var processStart = time.Now()

// monotonicNow returns the time since processStart in nanoseconds. Changes of the wall clock do not affect it.
func monotonicNow() int64 { return int64(time.Since(processStart)) }
