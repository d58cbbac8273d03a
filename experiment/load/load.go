// Package load sends requests at times that are drawn from a seed and do not depend on earlier requests, and measures each
// from the time it was due. Loads stay on loopback, are limited, and end by themselves.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of a job.
const (
	maxRate       = 50_000.0 // requests a second
	maxSpan       = 5 * time.Minute
	maxConcurrent = 4096 // requests at once; further ones wait, which counts as their time
)

const (
	// minSleep is the shortest wait for which Run sleeps; timers are no more accurate.
	minSleep = 100 * time.Microsecond
	// maxRecordedMicros is the longest recorded time, in microseconds.
	maxRecordedMicros = 60_000_000
	// histogramDigits is the precision of recorded times, in significant digits.
	histogramDigits = 3
)

// Job is one load.
type Job struct {
	URLs        []string // used in turn
	HTTP2       bool
	Method      string
	Rate        float64       // requests a second; 0: as fast as Concurrency allows
	Concurrency int           // requests at once if there is no rate
	Duration    time.Duration // of the load
	Timeout     time.Duration // of a request, after it was due
	Seed        int64
	EditRequest func(k int, r *http.Request) // may change a request before it is sent
}

// Result counts the outcomes of a load's requests.
type Result struct {
	Sent, Good, Rejected, Failed int
	Latencies                    *hdrhistogram.Histogram // of good answers since they were due, in microseconds
	Reasons                      map[string]int
	Elapsed                      time.Duration
}

// Run sends the requests. It refuses addresses that are not of this machine.
func Run(ctx context.Context, job Job) (Result, error) {
	if err := job.check(); err != nil {
		return Result{}, err
	}
	transport := newTransport(job.HTTP2)
	defer transport.CloseIdleConnections()
	r := newRun(job, transport)
	start := time.Now()
	due := start
	interval := rand.New(rand.NewSource(job.Seed))
	var requests sync.WaitGroup
	for due.Sub(start) < job.Duration && ctx.Err() == nil {
		if job.Rate > 0 {
			due = due.Add(time.Duration(interval.ExpFloat64() / job.Rate * float64(time.Second)))
			sleepUntil(due)
		}
		r.slots <- struct{}{}
		if job.Rate == 0 {
			due = time.Now()
		}
		number := r.result.Sent
		dueAt := due
		requests.Go(func() {
			defer func() { <-r.slots }()
			r.request(ctx, number, dueAt)
		})
		r.result.Sent++
	}
	requests.Wait()
	r.result.Elapsed = time.Since(start)
	return r.result, nil
}

// check returns what is wrong with a job.
func (j Job) check() error {
	for _, address := range j.URLs {
		parsed, err := url.Parse(address)
		if err != nil || !net.ParseIP(parsed.Hostname()).IsLoopback() {
			return fmt.Errorf("%q is no address of loopback: loads stay on this machine", address)
		}
	}
	if j.Rate > maxRate || j.Duration > maxSpan || len(j.URLs) == 0 {
		return fmt.Errorf("at most %v a second for %v, to one address or more", maxRate, maxSpan)
	}
	return nil
}

func newTransport(h2 bool) *http.Transport {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConcurrent, DisableCompression: true}
	if h2 {
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return transport
}

// sleepUntil sleeps until a time, unless that is nearer than a sleep's accuracy.
func sleepUntil(due time.Time) {
	wait := time.Until(due)
	if wait > minSleep {
		time.Sleep(wait)
	}
}

// run is a job that is being run. Its result has a field that only Run writes (Sent); mu guards the others.
type run struct {
	job       Job
	transport *http.Transport
	slots     chan struct{} // limits requests at once

	mu     sync.Mutex
	result Result
}

func newRun(job Job, transport *http.Transport) *run {
	slots := maxConcurrent
	if job.Rate == 0 {
		slots = job.Concurrency
	}
	return &run{
		job:       job,
		transport: transport,
		slots:     make(chan struct{}, slots),
		result:    Result{Latencies: hdrhistogram.New(1, maxRecordedMicros, histogramDigits), Reasons: map[string]int{}},
	}
}

// request sends a request and records its result.
func (r *run) request(ctx context.Context, number int, due time.Time) {
	status, reason := send(ctx, r.transport, r.job, number, due)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status >= 200 && status < 500:
		r.result.Good++
		r.result.Latencies.RecordValue(max(1, took.Microseconds()))
	case status == http.StatusServiceUnavailable:
		r.result.Rejected++
	default:
		r.result.Failed++
	}
	if reason != "" {
		r.result.Reasons[reason]++
	}
}

// send sends a request and reads its answer. The reason is why there is none, or the proxy's.
func send(ctx context.Context, transport *http.Transport, j Job, k int, due time.Time) (status int, reason string) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(j.Timeout))
	defer cancel()
	var body io.Reader
	if j.Method == http.MethodPost {
		body = strings.NewReader("amount=5")
	}
	req, err := http.NewRequestWithContext(ctx, j.Method, j.URLs[k%len(j.URLs)], body)
	if err != nil {
		return 0, err.Error()
	}
	if j.EditRequest != nil {
		j.EditRequest(k, req)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "half an answer"
	}
	return resp.StatusCode, resp.Header.Get("Lilacbend-Reason")
}

// FractionWithin returns the fraction of all requests that were answered well within a time.
func (r Result) FractionWithin(budget time.Duration) float64 {
	n := int64(0)
	for _, b := range r.Latencies.Distribution() {
		if b.To <= budget.Microseconds() {
			n += b.Count
		}
	}
	return float64(n) / float64(max(1, r.Sent))
}

// String returns the result in one line.
func (r Result) String() string {
	q := func(p float64) float64 { return float64(r.Latencies.ValueAtQuantile(p)) / 1000 }
	return fmt.Sprintf("%d sent, %.2f%% good, %d blocked, %d dropped; %.0f/s; ms p50 %.3f p99 %.3f p99.9 %.3f max %.1f", r.Sent,
		100*float64(r.Good)/float64(max(1, r.Sent)), r.Rejected, r.Failed, float64(r.Good)/r.Elapsed.Seconds(), q(50), q(99), q(99.9), float64(r.Latencies.Max())/1000)
}

// WriteHistogram writes the histogram to a file that other tools read.
func (r Result) WriteHistogram(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := r.Latencies.PercentilesPrint(f, 5, 1000); err != nil {
		return fmt.Errorf("writing %s: %w", file, err)
	}
	return nil
}
