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
	// maxReplicas bounds the replicas whose outcomes are held for one controller. No installation has as many.
	maxReplicas = 1 << 14
	// maxReportAge is for how long outcomes are held for a controller that is not connected, or two reports if that is
	// longer: older ones say nothing about now.
	maxReportAge = 10 * time.Second
	// Bounds of what a report can say: the length of a replica's id, attempts, and a response time in milliseconds.
	maxIDLength       = 128
	maxAttempts       = 1 << 24
	maxResponseMillis = 1e7
)

// outcomeReport is what a sidecar reports of its attempts at one replica.
type outcomeReport struct {
	replica    string
	attempts   int
	failures   int
	meanMillis float64 // response time of the attempts that succeeded
}

// parseOutcomeReport reads a report of a sidecar.
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

// valid reports whether the values of a report are possible.
func (r outcomeReport) valid() bool {
	return r.replica != "" && len(r.replica) <= maxIDLength &&
		r.attempts >= 0 && r.attempts <= maxAttempts &&
		r.failures >= 0 && r.failures <= r.attempts &&
		r.meanMillis >= 0 && r.meanMillis <= maxResponseMillis
}

// sum is the report as a sum.
func (r outcomeReport) sum() loadreport.Sum {
	return loadreport.Sum{
		Attempts:       r.attempts,
		Failures:       r.failures,
		ResponseMillis: r.meanMillis * float64(r.attempts-r.failures),
	}
}

// pendingOutcomes holds the outcomes that were not reported to one controller yet. It is safe for concurrent use.
type pendingOutcomes struct {
	mu       sync.Mutex
	interval time.Duration
	outcomes *loadreport.Aggregator
}

// newPendingOutcomes returns one that is reported each interval, within a number of bytes a second; 0: no limit.
func newPendingOutcomes(interval time.Duration, bytesPerSecond int) *pendingOutcomes {
	limits := loadreport.Limits{
		BytesPerSecond: bytesPerSecond,
		Interval:       interval,
		MaxAge:         max(maxReportAge, 2*interval),
		MaxKeys:        maxReplicas,
	}
	return &pendingOutcomes{interval: interval, outcomes: loadreport.New(limits, monotonicNow())}
}

// add adds a report. It came since the last round, or if there was none for a while, since no longer than a round takes.
func (p *pendingOutcomes) add(report outcomeReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := monotonicNow()
	from := max(p.outcomes.RoundStartedAt(), now-2*int64(p.interval))
	p.outcomes.Add(report.replica, report.sum(), from, now)
}

// connected records a new connection to the controller, which may have been restarted.
func (p *pendingOutcomes) connected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.ReceiverRestarted()
}

// begin begins a round of reports.
func (p *pendingOutcomes) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.BeginRound(monotonicNow())
}

// next gives the next report of the round; false: there is none, or no more is allowed.
func (p *pendingOutcomes) next() (loadreport.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outcomes.Next(monotonicNow())
}

// spent records the bytes of a report that was sent.
func (p *pendingOutcomes) spent(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes.RecordSent(bytes)
}

var processStart = time.Now()

// monotonicNow is a time in nanoseconds that no change of the clock moves.
func monotonicNow() int64 { return int64(time.Since(processStart)) }
