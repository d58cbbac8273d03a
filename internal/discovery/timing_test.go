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

// By the protocol, a change counts as delivered 2 s after the wait of a watch; the drain grace and its slack run from then.
const (
	deliveredAfter = watchTimeout + 2*time.Second
	usualGrace     = 2*time.Second + 300*time.Millisecond
	channelTransit = 100 * time.Millisecond // of a message to a proxy
)

// In virtual time: a change exists from the start of the watch. Whatever happens to the connection and to the next dials,
// the change is published within the protocol's time; the worst cases follow from the constants.
func TestSilenceIsDetectedWithinDrainGrace(t *testing.T) {
	first := func(then func(agent net.Conn, r *bufio.Reader)) script {
		return func(agent net.Conn, r *bufio.Reader) {
			if answerCalls(r, agent, list(41, true, "Ready")) {
				http.ReadRequest(r)
				then(agent, r)
			}
		}
	}
	silent := func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }
	after := func(text string) func(net.Conn, *bufio.Reader) {
		return func(agent net.Conn, r *bufio.Reader) { io.WriteString(agent, text); silent(agent, r) }
	}
	news := list(42, false, "Terminating")
	serving := func(agent net.Conn, r *bufio.Reader) {
		answerCalls(r, agent, list(42, true, "Terminating"))
		io.Copy(io.Discard, r)
	}
	mute := func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }
	drips := func(agent net.Conn, _ *bufio.Reader) { writePieces(agent, news, 1, answerTimeout*9/10) }
	const silence, hung = watchTimeout + answerTimeout + backoffInitial, dialTimeout + backoffInitial
	for name, c := range map[string]struct {
		most    time.Duration
		scripts []script
	}{
		"in a watch":                 {silence, []script{first(silent), serving}},
		"in the first line":          {silence, []script{first(after(news[:9])), serving}},
		"after the head":             {silence, []script{first(after(news[:strings.Index(news, "{")])), serving}},
		"in the body":                {silence, []script{first(after(news[:len(news)-1])), serving}},
		"then a dial that hangs":     {silence + hung, []script{first(silent), nil, serving}},
		"then two dials that hang":   {silence + 2*hung, []script{first(silent), nil, nil, serving}},
		"then three dials that hang": {silence + 3*hung, []script{first(silent), nil, nil, nil, serving}},
		"then a connection as mute":  {silence + answerTimeout + backoffInitial, []script{first(silent), mute, serving}},
		"then two, and a dial that hangs": {silence + 2*answerTimeout + 2*backoffInitial + hung,
			[]script{first(silent), mute, mute, nil, serving}},
		"bytes that drip":                  {watchTimeout + initialReadTime + backoffInitial, []script{first(drips), serving}},
		"bytes that drip, and a hung dial": {watchTimeout + initialReadTime + backoffInitial + hung, []script{first(drips), nil, serving}},
		"head at once, body after the wait": {watchTimeout, []script{first(func(agent net.Conn, r *bufio.Reader) {
			head := strings.Index(news, "{")
			io.WriteString(agent, news[:head])
			time.Sleep(watchTimeout)
			io.WriteString(agent, news[head:])
			silent(agent, r)
		})}},
		"an answer in slow pieces": {2 * time.Second, []script{first(func(agent net.Conn, r *bufio.Reader) {
			writePieces(agent, news, len(news)/4, answerTimeout/2)
			silent(agent, r)
		})}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, x, _ := startClientWithDialer(t, 1, dialScripts(t, c.scripts...))
				nextList(t, x)
				since := time.Now()
				for l := nextList(t, x); l.Revision < 42 && time.Since(since) <= c.most; {
					l = nextList(t, x)
				}
				if took := time.Since(since); took > c.most {
					t.Errorf("it took %v, at most %v by the constants", took, c.most)
				}
				if c.most+channelTransit > deliveredAfter+usualGrace {
					t.Errorf("%v by the constants is more than a drain's grace allows", c.most)
				}
			})
		})
	}
}

// An agent whose answers are all slow is read in the end: after an answer that ran out of time the next one gets twice as long.
func TestSlowAnswersGetMoreReadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, x, _ := startClientWithDialer(t, 1, dialScripts(t, func(agent net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			text := list(41, true, "Ready")
			writePieces(agent, text, len(text)/16+1, answerTimeout/2) // eight seconds in all
		}))
		start := time.Now()
		nextList(t, x)
		if took := time.Since(start); took > 2*readTimeLimit {
			t.Errorf("it took %v", took)
		}
	})
}

// Agents that answer every watch at once, that have no watches, or that refuse everything: the number of calls is bounded,
// the list stays fresh where there is one, and the log has one line for each series of failures.
func TestCallRateIsBounded(t *testing.T) {
	refused := "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	same := list(41, true, "Ready")
	either := func(whole, watch string) func(bool) string {
		return func(watches bool) string {
			if watches {
				return watch
			}
			return whole
		}
	}
	const span, many = 20 * time.Second, 2000
	for name, c := range map[string]struct {
		answer func(watch bool) string
		most   time.Duration // calls
		lists  time.Duration // published at least
		fails  bool
	}{
		"the same list at once":         {either(same, same), span/idlePause + 2, span/idlePause - 2, false},
		"the same list, and it closes":  {either(withClose(same), withClose(same)), span/idlePause + 2, span/idlePause - 2, false},
		"nothing new at once":           {either(same, unchanged(41)), span/idlePause + 2, 1, false},
		"changes, whatever is asked":    {either(unchanged(40), unchanged(40)), 2*span/backoffLimit + 8, 0, true},
		"no watches":                    {either(same, refused), 4*span/backoffLimit + 16, span/backoffLimit - 2, true},
		"resets watches without a word": {either(same, ""), 6*span/backoffLimit + 24, span/backoffLimit - 2, true},
		"refuses everything":            {either(refused, refused), 2*span/backoffLimit + 8, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				_, x, log := startClientWithDialer(t, 1, dialScripts(t, func(agent net.Conn, r *bufio.Reader) {
					for calls.Add(1) < many { // a test that fails ends
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
				if calls := time.Duration(x.Counters.DiscoveryCalls.Load()); calls > c.most {
					t.Errorf("%d calls in %v, want %d at most", calls, span, c.most)
				}
				if fails := log.count("discovery fails"); fails > 1 || (fails == 1) != c.fails || log.count("discovery answers") > 0 {
					t.Errorf("log: %.400s", log.text.String())
				}
				if (x.Counters.DiscoveryErrors.Load() > 0) != c.fails {
					t.Errorf("%d errors", x.Counters.DiscoveryErrors.Load())
				}
				if lists := time.Duration(len(x.Drain())); lists < c.lists {
					t.Errorf("%d lists published, want %d", lists, c.lists)
				}
			})
		})
	}
}

// A service at a new address that counts from a lower revision is accepted within the drain grace of its first answer, which is
// when its list counts as delivered.
func TestNewAddressIsAcceptedWithinDrainGrace(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			answered := make(chan time.Time, 2*staleAnswersLimitAfterMove)
			c, x, _ := startClientWithDialer(t, seed, dialScripts(t, func(agent net.Conn, r *bufio.Reader) {
				answerCalls(r, agent, list(41, true, "Ready"))
				io.Copy(io.Discard, r)
			}, func(agent net.Conn, r *bufio.Reader) {
				answerCalls(r, agent, list(3, true, "Terminating"))
				answered <- time.Now()
				io.Copy(io.Discard, r)
			}))
			nextList(t, x)
			c.SetAddress("agent:2")
			if l := nextList(t, x); l.Revision != 3 {
				t.Errorf("published %+v", l)
			}
			const most = (1 + 2 + 4 + 8) * backoffInitial // with the largest draws
			if took := time.Since(<-answered); took > most || took < most/2 || most+channelTransit > usualGrace {
				t.Errorf("accepted after %v, %v to %v by the constants", took, most/2, most)
			}
		})
	}
}

// A failed dial is retried with backoff; after a dial that timed out, only the initial backoff applies.
func TestFailedDialsAreRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialed := make(chan time.Duration, 200)
		start := time.Now()
		_, x, _ := startClientWithDialer(t, 1, func(ctx context.Context, _, _ string) (net.Conn, error) {
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
			most := min(backoffInitial<<min(k-1, 10), backoffLimit)
			if k >= 20 { // they hang
				most = dialTimeout + backoffInitial
			}
			if gap := dials[k] - dials[k-1]; gap > most {
				t.Errorf("dial %d came %v after the one before it, want %v", k, gap, most)
			}
		}
		if len(dials) < 30 || x.Counters.Timeouts.Load() < 10 {
			t.Errorf("%d dials, %d timed out", len(dials), x.Counters.Timeouts.Load())
		}
	})
}
