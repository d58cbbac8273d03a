// Package load is an open-loop load generator for HTTP: arrival times come from a seed and do not depend on earlier
// responses, and the latency of a request is measured from its arrival time. It sends to loopback only, and limits rate,
// duration and concurrency.
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
	maxDuration   = 5 * time.Minute
	maxConcurrent = 4096 // requests in flight; further requests wait, which counts towards their latency
)

const (
	// minSleep is the shortest wait for which Run sleeps, since timers are no more accurate than that.
	minSleep = 100 * time.Microsecond
	// maxRecordedMicros is the longest latency that the histogram records, in microseconds.
	maxRecordedMicros = 60_000_000
	// histogramDigits is the precision of the recorded latencies, in significant digits.
	histogramDigits = 3
)

// Job describes the requests to send.
type Job struct {
	URLs        []string // each request uses the next URL, in turn
	HTTP2       bool
	Method      string
	Rate        float64       // requests a second; 0: as fast as Concurrency permits
	Concurrency int           // requests in flight if Rate is 0
	Duration    time.Duration // time for which requests are sent
	Timeout     time.Duration // longest time from a request's arrival to its response
	Seed        int64
	EditRequest func(k int, r *http.Request) // modifies the k-th request before it is sent; nil: requests stay unmodified
}

// Result has the outcomes of a job's requests.
type Result struct {
	Sent, Good, Rejected, Failed int
	Latencies                    *hdrhistogram.Histogram // latencies of good responses since arrival, in microseconds
	Reasons                      map[string]int
	Elapsed                      time.Duration
}

// Run sends the requests of a job and waits for their responses. It rejects addresses other than loopback.
func Run(ctx context.Context, job Job) (Result, error) {
	if err := job.check(); err != nil {
		return Result{}, err
	}
	transport := newTransport(job.HTTP2)
	defer transport.CloseIdleConnections()
	r := newRun(job, transport)
	start := time.Now()
	arrival := start
	interval := rand.New(rand.NewSource(job.Seed))
	var requests sync.WaitGroup
	for arrival.Sub(start) < job.Duration && ctx.Err() == nil {
		if job.Rate > 0 {
			arrival = arrival.Add(time.Duration(interval.ExpFloat64() / job.Rate * float64(time.Second)))
			sleepUntil(arrival)
		}
		r.slots <- struct{}{}
		if job.Rate == 0 {
			arrival = time.Now()
		}
		number := r.result.Sent
		arrivalTime := arrival
		requests.Go(func() {
			defer func() { <-r.slots }()
			r.sendAndRecord(ctx, number, arrivalTime)
		})
		r.result.Sent++
	}
	requests.Wait()
	r.result.Elapsed = time.Since(start)
	return r.result, nil
}

// check returns an error if a job exceeds a limit or has an address other than loopback.
func (j Job) check() error {
	for _, address := range j.URLs {
		parsed, err := url.Parse(address)
		if err != nil || !net.ParseIP(parsed.Hostname()).IsLoopback() {
			return fmt.Errorf("URL %q: host is not a loopback IP address", address)
		}
	}
	if j.Rate > maxRate || j.Duration > maxDuration || len(j.URLs) == 0 {
		return fmt.Errorf("job must have a rate of at most %v requests a second, a duration of at most %v and at least one URL", maxRate, maxDuration)
	}
	return nil
}

func newTransport(http2 bool) *http.Transport {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConcurrent, DisableCompression: true}
	if http2 {
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return transport
}

// sleepUntil sleeps until a time, unless that is less than minSleep away.
func sleepUntil(wakeTime time.Time) {
	wait := time.Until(wakeTime)
	if wait > minSleep {
		time.Sleep(wait)
	}
}

// run is a job in progress. mu guards all fields of its result except Sent, which only Run writes.
type run struct {
	job       Job
	transport *http.Transport
	slots     chan struct{} // limits requests in flight

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

// sendAndRecord sends a request and records its outcome.
func (r *run) sendAndRecord(ctx context.Context, number int, arrival time.Time) {
	status, reason := send(ctx, r.transport, r.job, number, arrival)
	latency := time.Since(arrival)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case status >= 200 && status < 500:
		r.result.Good++
		r.result.Latencies.RecordValue(max(1, latency.Microseconds()))
	case status == http.StatusServiceUnavailable:
		r.result.Rejected++
	default:
		r.result.Failed++
	}
	if reason != "" {
		r.result.Reasons[reason]++
	}
}

// send sends a request and reads its response. The returned reason is the one that the proxy gave, or the cause of a
// missing or incomplete response.
func send(ctx context.Context, transport *http.Transport, job Job, number int, arrival time.Time) (status int, reason string) {
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(job.Timeout))
	defer cancel()
	var body io.Reader
	if job.Method == http.MethodPost {
		body = strings.NewReader("amount=5")
	}
	req, err := http.NewRequestWithContext(ctx, job.Method, job.URLs[number%len(job.URLs)], body)
	if err != nil {
		return 0, err.Error()
	}
	if job.EditRequest != nil {
		job.EditRequest(number, req)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "no response"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "incomplete response body"
	}
	return resp.StatusCode, resp.Header.Get("Lilacbend-Reason")
}

// FractionWithin returns the fraction of all requests that had a good response within a latency budget.
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
	quantileMillis := func(p float64) float64 { return float64(r.Latencies.ValueAtQuantile(p)) / 1000 }
	return fmt.Sprintf("%d sent, %.2f%% good, %d rejected, %d failed; %.0f/s; ms p50 %.3f p99 %.3f p99.9 %.3f max %.1f", r.Sent,
		100*float64(r.Good)/float64(max(1, r.Sent)), r.Rejected, r.Failed, float64(r.Good)/r.Elapsed.Seconds(), quantileMillis(50), quantileMillis(99), quantileMillis(99.9), float64(r.Latencies.Max())/1000)
}

// WriteHistogram writes the latencies to a file, in the percentile format of HdrHistogram tools.
func (r Result) WriteHistogram(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := r.Latencies.PercentilesPrint(f, 5, 1000); err != nil {
		return fmt.Errorf("writing latencies to %s: %w", file, err)
	}
	return nil
}
