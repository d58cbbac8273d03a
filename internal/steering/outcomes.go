package steering

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// maxReplicas bounds the replicas of which outcomes are held for one governor; more are made up.
	maxReplicas = 1 << 14
	// maxReportAge is for how long outcomes are held for a governor that is not there, or two reports if that is longer: older
	// ones tell nothing of now.
	maxReportAge = 10 * time.Second
	// The most that a report can name in truth: the length of a replica's id, attempts, and a response time in milliseconds.
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
	if len(words) != 9 || words[0] != "met" || words[1] != "target" || words[3] != "count" || words[5] != "fail" || words[7] != "mean" {
		return outcomeReport{}, fmt.Errorf("%d words, want met target T count N fail N mean MS", len(words))
	}
	attempts, err1 := strconv.Atoi(words[4])
	failures, err2 := strconv.Atoi(words[6])
	mean, err3 := strconv.ParseFloat(words[8], 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		return outcomeReport{}, err
	}
	report := outcomeReport{replica: words[2], attempts: attempts, failures: failures, meanMillis: mean}
	if !report.possible() {
		return outcomeReport{}, fmt.Errorf("figures that cannot be: %q", words)
	}
	return report, nil
}

// possible says whether the figures of a report can be true.
func (r outcomeReport) possible() bool {
	return r.replica != "" && len(r.replica) <= maxIDLength &&
		r.attempts >= 0 && r.attempts <= maxAttempts &&
		r.failures >= 0 && r.failures <= r.attempts &&
		r.meanMillis >= 0 && r.meanMillis <= maxResponseMillis
}

// outcomeSum sums the outcomes of attempts at one replica.
type outcomeSum struct {
	attempts       int
	failures       int
	responseMillis float64 // of all that succeeded, together
}

// meanMillis is the mean response time of the attempts that succeeded; 0 if none did.
func (s *outcomeSum) meanMillis() float64 {
	succeeded := s.attempts - s.failures
	if succeeded <= 0 {
		return 0
	}
	return s.responseMillis / float64(succeeded)
}

// pendingOutcomes holds the outcomes that one governor has not been told of yet. It is safe for concurrent use.
type pendingOutcomes struct {
	mu     sync.Mutex
	sums   map[string]*outcomeSum // by replica
	since  time.Time
	maxAge time.Duration
}

func newPendingOutcomes(maxAge time.Duration) *pendingOutcomes {
	return &pendingOutcomes{sums: map[string]*outcomeSum{}, since: time.Now(), maxAge: maxAge}
}

// expire drops what is too old to tell, so that a governor that comes back hears of now alone. The lock is held.
func (p *pendingOutcomes) expire(now time.Time) {
	if now.Sub(p.since) > p.maxAge {
		clear(p.sums)
		p.since = now
	}
}

// add adds a report to the sums.
func (p *pendingOutcomes) add(report outcomeReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	sum := p.sums[report.replica]
	if sum == nil {
		if len(p.sums) >= maxReplicas {
			return
		}
		sum = &outcomeSum{}
		p.sums[report.replica] = sum
	}
	sum.attempts += report.attempts
	sum.failures += report.failures
	sum.responseMillis += report.meanMillis * float64(report.attempts-report.failures)
}

// take empties the sums, and returns them with the time in which they came.
func (p *pendingOutcomes) take() (sums map[string]*outcomeSum, period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	sums = p.sums
	period = now.Sub(p.since)
	p.sums = map[string]*outcomeSum{}
	p.since = now
	return sums, period
}
