package discovery

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// According to the protocol, a change counts as delivered 2 s after a watch's wait has ended. The drain grace and its
// tolerance start at that time.
const (
	deliveredAfter    = watchTimeout + 2*time.Second
	typicalDrainGrace = 2*time.Second + 300*time.Millisecond
	channelTransit    = 100 * time.Millisecond // time that a message to a proxy takes
)

// A change exists from the start of the watch, and then the connection becomes silent or slow and later dials may hang. The
// change must be published within the time that the protocol allows. The largest delay of each case follows from the
// constants. The test runs in virtual time.
func TestSilenceIsDetectedWithinDrainGrace(t *testing.T) {
	afterFirstList := func(onWatch func(agent net.Conn, r *bufio.Reader)) script {
		return func(agent net.Conn, r *bufio.Reader) {
			if answerCalls(r, agent, listAnswer(41, true, "Ready")) {
				http.ReadRequest(r)
				onWatch(agent, r)
			}
		}
	}
	silent := func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }
	sendThenSilence := func(text string) func(net.Conn, *bufio.Reader) {
		return func(agent net.Conn, r *bufio.Reader) { io.WriteString(agent, text); silent(agent, r) }
	}
	change := listAnswer(42, false, "Terminating")
	recovered := func(agent net.Conn, r *bufio.Reader) {
		answerCalls(r, agent, listAnswer(42, true, "Terminating"))
		io.Copy(io.Discard, r)
	}
	unresponsive := func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }
	trickle := func(agent net.Conn, _ *bufio.Reader) { writePieces(agent, change, 1, answerTimeout*9/10) }
	const silenceTime, hungDialTime = watchTimeout + answerTimeout + backoffInitial, dialTimeout + backoffInitial
	for name, c := range map[string]struct {
		maxDelay time.Duration
		scripts  []script
	}{
		"silent in a watch":             {silenceTime, []script{afterFirstList(silent), recovered}},
		"silent in the status line":     {silenceTime, []script{afterFirstList(sendThenSilence(change[:9])), recovered}},
		"silent after the header":       {silenceTime, []script{afterFirstList(sendThenSilence(change[:strings.Index(change, "{")])), recovered}},
		"silent in the body":            {silenceTime, []script{afterFirstList(sendThenSilence(change[:len(change)-1])), recovered}},
		"silent, then one dial hangs":   {silenceTime + hungDialTime, []script{afterFirstList(silent), nil, recovered}},
		"silent, then two dials hang":   {silenceTime + 2*hungDialTime, []script{afterFirstList(silent), nil, nil, recovered}},
		"silent, then three dials hang": {silenceTime + 3*hungDialTime, []script{afterFirstList(silent), nil, nil, nil, recovered}},
		"two silent connections":        {silenceTime + answerTimeout + backoffInitial, []script{afterFirstList(silent), unresponsive, recovered}},
		"three silent connections, then one dial hangs": {silenceTime + 2*answerTimeout + 2*backoffInitial + hungDialTime,
			[]script{afterFirstList(silent), unresponsive, unresponsive, nil, recovered}},
		"slow single bytes":                      {watchTimeout + initialReadTime + backoffInitial, []script{afterFirstList(trickle), recovered}},
		"slow single bytes, then one dial hangs": {watchTimeout + initialReadTime + backoffInitial + hungDialTime, []script{afterFirstList(trickle), nil, recovered}},
		"header at once, body after the wait": {watchTimeout, []script{afterFirstList(func(agent net.Conn, r *bufio.Reader) {
			head := strings.Index(change, "{")
			io.WriteString(agent, change[:head])
			time.Sleep(watchTimeout)
			io.WriteString(agent, change[head:])
			silent(agent, r)
		})}},
		"answer in slow pieces": {2 * time.Second, []script{afterFirstList(func(agent net.Conn, r *bufio.Reader) {
			writePieces(agent, change, len(change)/4, answerTimeout/2)
			silent(agent, r)
		})}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, queues, _ := startClientWithDialer(t, 1, dialScripts(t, c.scripts...))
				nextList(t, queues)
				start := time.Now()
				for published := nextList(t, queues); published.Revision < 42 && time.Since(start) <= c.maxDelay; {
					published = nextList(t, queues)
				}
				if took := time.Since(start); took > c.maxDelay {
					t.Errorf("the change was published after %v, want at most %v", took, c.maxDelay)
				}
				if c.maxDelay+channelTransit > deliveredAfter+typicalDrainGrace {
					t.Errorf("the largest delay by the constants, %v, exceeds the time that the drain grace allows", c.maxDelay)
				}
			})
		})
	}
}

// The client eventually reads the list of an agent whose answers are all slow: after an answer that has exceeded the read
// time, the next answer may take twice as long.
func TestSlowAnswersGetMoreReadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, queues, _ := startClientWithDialer(t, 1, dialScripts(t, func(agent net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			text := listAnswer(41, true, "Ready")
			writePieces(agent, text, len(text)/16+1, answerTimeout/2) // a complete answer takes 8 s, which is less than readTimeLimit
		}))
		start := time.Now()
		nextList(t, queues)
		if took := time.Since(start); took > 2*readTimeLimit {
			t.Errorf("the list was published after %v, want at most twice the read time limit", took)
		}
	})
}

// For agents that answer every watch at once, do not support watches, or refuse all calls, the number of calls is bounded,
// the list stays current if the agent answers requests for it, and the log has one line for each series of failures.
func TestCallRateIsBounded(t *testing.T) {
	notFound := "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	sameList := listAnswer(41, true, "Ready")
	byRequest := func(completeList, watch string) func(bool) string {
		return func(watches bool) string {
			if watches {
				return watch
			}
			return completeList
		}
	}
	const span, callLimit = 20 * time.Second, 2000
	for name, c := range map[string]struct {
		answer      func(watch bool) string
		maxCalls    time.Duration // largest number of calls
		minLists    time.Duration // smallest number of published lists
		wantFailure bool
	}{
		"same list at once":              {byRequest(sameList, sameList), span/idlePause + 2, span/idlePause - 2, false},
		"same list, then close":          {byRequest(withClose(sameList), withClose(sameList)), span/idlePause + 2, span/idlePause - 2, false},
		"no changes at once":             {byRequest(sameList, unchangedAnswer(41)), span/idlePause + 2, 1, false},
		"changes only, for each request": {byRequest(unchangedAnswer(40), unchangedAnswer(40)), 2*span/backoffLimit + 8, 0, true},
		"watches not found":              {byRequest(sameList, notFound), 4*span/backoffLimit + 16, span/backoffLimit - 2, true},
		"watches closed without answer":  {byRequest(sameList, ""), 6*span/backoffLimit + 24, span/backoffLimit - 2, true},
		"all requests not found":         {byRequest(notFound, notFound), 2*span/backoffLimit + 8, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				_, queues, log := startClientWithDialer(t, 1, dialScripts(t, func(agent net.Conn, r *bufio.Reader) {
					for calls.Add(1) < callLimit { // so that a failing test ends
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						text := c.answer(req.URL.RawQuery != "")
						if _, err := io.WriteString(agent, text); err != nil || text == "" || strings.Contains(text, "close") {
							return
						}
					}
				}))
				time.Sleep(span)
				if calls := time.Duration(queues.Counters.DiscoveryCalls.Load()); calls > c.maxCalls {
					t.Errorf("%d calls in %v, want at most %d", calls, span, c.maxCalls)
				}
				if failures := log.Count("discovery call failed"); failures > 1 || (failures == 1) != c.wantFailure || log.Count("discovery recovered") > 0 {
					t.Errorf("log: %.400s", log.String())
				}
				if (queues.Counters.DiscoveryErrors.Load() > 0) != c.wantFailure {
					t.Errorf("%d discovery errors counted", queues.Counters.DiscoveryErrors.Load())
				}
				if lists := time.Duration(len(queues.Drain())); lists < c.minLists {
					t.Errorf("%d lists published, want at least %d", lists, c.minLists)
				}
			})
		})
	}
}

// The lists of a service at a new address that counts from a lower revision are accepted within the drain grace. The grace
// runs from the first answer, which is when the list counts as delivered.
func TestNewAddressIsAcceptedWithinDrainGrace(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			answered := make(chan time.Time, 2*staleAnswersLimitAfterMove)
			client, queues, _ := startClientWithDialer(t, seed, dialScripts(t, func(agent net.Conn, r *bufio.Reader) {
				answerCalls(r, agent, listAnswer(41, true, "Ready"))
				io.Copy(io.Discard, r)
			}, func(agent net.Conn, r *bufio.Reader) {
				answerCalls(r, agent, listAnswer(3, true, "Terminating"))
				answered <- time.Now()
				io.Copy(io.Discard, r)
			}))
			nextList(t, queues)
			client.SetAddress("agent:2")
			if published := nextList(t, queues); published.Revision != 3 {
				t.Errorf("published %+v", published)
			}
			const maxDelay = (1 + 2 + 4 + 8) * backoffInitial // sum of the first four backoffs, with the largest jitter
			if took := time.Since(<-answered); took > maxDelay || took < maxDelay/2 || maxDelay+channelTransit > typicalDrainGrace {
				t.Errorf("the list was accepted after %v, want %v to %v", took, maxDelay/2, maxDelay)
			}
		})
	}
}

// A failed dial is retried with backoff; after a dial that timed out, only the initial backoff applies.
func TestFailedDialsAreRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialed := make(chan time.Duration, 200)
		start := time.Now()
		_, queues, _ := startClientWithDialer(t, 1, func(ctx context.Context, _, _ string) (net.Conn, error) {
			if dialed <- time.Since(start); len(dialed) < 20 {
				return nil, errors.New("connection refused")
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		time.Sleep(30 * time.Second)
		synctest.Wait()
		dials := make([]time.Duration, len(dialed))
		for k := range dials {
			if dials[k] = <-dialed; k == 0 {
				continue
			}
			maxGap := min(backoffInitial<<min(k-1, 10), backoffLimit)
			if k >= 20 { // these dials hang
				maxGap = dialTimeout + backoffInitial
			}
			if gap := dials[k] - dials[k-1]; gap > maxGap {
				t.Errorf("dial %d was made %v after the previous one, want at most %v", k, gap, maxGap)
			}
		}
		if len(dials) < 30 || queues.Counters.DiscoveryTimeouts.Load() < 10 {
			t.Errorf("%d dials, want at least 30; %d timed out, want at least 10", len(dials), queues.Counters.DiscoveryTimeouts.Load())
		}
	})
}
