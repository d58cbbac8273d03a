// Package load sends flows whose times are drawn beforehand, whatever became of those before them, and measures each
// from the moment it was due. Loads are on loopback, bounded, and end by themselves.
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

const (
	rateMost  = 50_000.0
	spanMost  = 5 * time.Minute
	flyingMax = 4096 // flows at once; more are counted as lost
)

// Job is one load.
type Job struct {
	URLs   []string // taken in turn
	H2     bool
	Method string
	Rate   float64 // a second; 0: as fast as Flying allows
	Flying int     // with no rate: flows at once
	Span   time.Duration
	Expiry time.Duration
	Seed   int64
	Each   func(k int, r *http.Request) // may change a flow before it is sent
}

// Result is what became of it. Times are microseconds.
type Result struct {
	Sent, Good, Blocked, Dropped int
	Times                        *hdrhistogram.Histogram // of good answers, from the moment they were due
	Reasons                      map[string]int
	Took                         time.Duration
}

// Run sends the flows. It refuses addresses that are not of this machine.
func Run(ctx context.Context, j Job) (Result, error) {
	for _, at := range j.URLs {
		u, err := url.Parse(at)
		if err != nil || !net.ParseIP(u.Hostname()).IsLoopback() {
			return Result{}, fmt.Errorf("%q is no address of loopback: loads stay on this machine", at)
		}
	}
	if j.Rate > rateMost || j.Span > spanMost || len(j.URLs) == 0 {
		return Result{}, fmt.Errorf("at most %v a second for %v, to one address or more", rateMost, spanMost)
	}
	tr := &http.Transport{MaxIdleConnsPerHost: flyingMax, MaxConnsPerHost: 0, DisableCompression: true}
	if j.H2 {
		tr.Protocols = new(http.Protocols)
		tr.Protocols.SetUnencryptedHTTP2(true)
	}
	defer tr.CloseIdleConnections()
	r := Result{Times: hdrhistogram.New(1, 60_000_000, 3), Reasons: map[string]int{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, flyingMax)
	if j.Rate == 0 {
		places = make(chan struct{}, j.Flying)
	}
	one := func(k int, due time.Time) {
		defer all.Done()
		defer func() { <-places }()
		status, reason := send(ctx, tr, j, k, due)
		took := time.Since(due)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case status >= 200 && status < 500:
			r.Good++
			r.Times.RecordValue(max(1, took.Microseconds()))
		case status == http.StatusServiceUnavailable:
			r.Blocked++
		default:
			r.Dropped++
		}
		if reason != "" {
			r.Reasons[reason]++
		}
	}
	chance, began := rand.New(rand.NewSource(j.Seed)), time.Now()
	due := began
	for ; due.Sub(began) < j.Span && ctx.Err() == nil; r.Sent++ {
		if j.Rate > 0 {
			due = due.Add(time.Duration(chance.ExpFloat64() / j.Rate * float64(time.Second)))
			if wait := time.Until(due); wait > 100*time.Microsecond {
				time.Sleep(wait)
			}
		}
		places <- struct{}{}
		if j.Rate == 0 {
			due = time.Now()
		}
		all.Add(1)
		go one(r.Sent, due)
	}
	all.Wait()
	r.Took = time.Since(began)
	return r, nil
}

func send(ctx context.Context, tr *http.Transport, j Job, k int, due time.Time) (status int, reason string) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(j.Expiry))
	defer cancel()
	var body io.Reader
	if j.Method == http.MethodPost {
		body = strings.NewReader("amount=5")
	}
	req, err := http.NewRequestWithContext(ctx, j.Method, j.URLs[k%len(j.URLs)], body)
	if err != nil {
		return 0, err.Error()
	}
	if j.Each != nil {
		j.Each(k, req)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "half an answer"
	}
	return resp.StatusCode, resp.Header.Get("Lilacbend-Reason")
}

// Within is the share of all flows sent that were answered well within a time.
func (r Result) Within(budget time.Duration) float64 {
	n := int64(0)
	for _, b := range r.Times.Distribution() {
		if b.To <= budget.Microseconds() {
			n += b.Count
		}
	}
	return float64(n) / float64(max(1, r.Sent))
}

// String is one line of figures.
func (r Result) String() string {
	q := func(p float64) float64 { return float64(r.Times.ValueAtQuantile(p)) / 1000 }
	return fmt.Sprintf("%d sent, %.2f%% good, %d blocked, %d dropped; %.0f/s; ms p50 %.3f p99 %.3f p99.9 %.3f max %.1f", r.Sent,
		100*float64(r.Good)/float64(max(1, r.Sent)), r.Blocked, r.Dropped, float64(r.Good)/r.Took.Seconds(), q(50), q(99), q(99.9), float64(r.Times.Max())/1000)
}

// Write keeps the histogram as a file that other tools read.
func (r Result) Write(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := r.Times.PercentilesPrint(f, 5, 1000); err != nil {
		return fmt.Errorf("writing %s: %w", file, err)
	}
	return nil
}
