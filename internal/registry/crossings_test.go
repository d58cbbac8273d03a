package registry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lilacbend/internal/exchange"
	"lilacbend/internal/governor"
	"lilacbend/lab/peers"
)

// What the protocol page says of silence: discovery's word counts as told so much after the wait of a watch, and a drain
// has its grace and the slack from then on.
const (
	toldAfter   = watchWait + 2*time.Second
	graceUsual  = 2*time.Second + 300*time.Millisecond
	watching    = "GET " + path + "?since=%d&timeout_ms=2000 HTTP/1.1"
	wholeAsked  = "GET " + path + " HTTP/1.1"
	channelWays = 100 * time.Millisecond // what a message takes to a proxy
)

// list is an answer of discovery with one member, on a connection that is kept.
func list(revision int64, whole bool, phase string) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[{"id":"s-1","phase":%q}]}`, revision, whole, phase)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// nothing is an answer to a watch that waited in vain.
func nothing(revision int64) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// closing has an answer say that its connection ends.
func closing(answer string) string {
	return strings.Replace(answer, "\r\n", "\r\nConnection: close\r\n", 1)
}

// journal is a log to be read while it is written.
type journal struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (j *journal) Write(b []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(b)
}

func (j *journal) count(text string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.text.String(), text)
}

// following runs a client that holds the list of a revision, until the end of the test.
func following(t *testing.T, address string, known int64) (*Client, *exchange.Exchange, *journal) {
	x, log := exchange.New(), &journal{}
	c := New(address, known, x, slog.New(slog.NewTextHandler(log, nil)), func() int64 { return 7 }, 1)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return c, x, log
}

// told waits for the next listing.
func told(t *testing.T, x *exchange.Exchange) governor.Listing {
	t.Helper()
	select {
	case <-x.Bell():
	case <-time.After(peers.Patience):
		t.Fatal("nothing is told")
	}
	notes := x.Take()
	return notes[len(notes)-1].(governor.Listing)
}

func asks(t *testing.T, conn *peers.Conn, want string) {
	t.Helper()
	if got := conn.Request(); got != want {
		t.Errorf("asked %q, want %q", got, want)
	}
}

// Agents that close each connection with its answer, in every way, are followed without a gap: the watch goes on at once
// on the next connection, and nothing is said of a failure. One that is gone is a failure as before.
func TestAnAnswerAndTheCloseOfItsConnection(t *testing.T) {
	for name, way := range map[string]struct {
		text  func(string) string
		close func(*peers.Conn, *exchange.Exchange)
	}{
		"said":            {closing, func(c *peers.Conn, _ *exchange.Exchange) { c.Ends() }},
		"said and done":   {closing, func(c *peers.Conn, _ *exchange.Exchange) { c.Close() }},
		"not said":        {strings.Clone, func(c *peers.Conn, _ *exchange.Exchange) { c.Close() }},
		"more than asked": {func(a string) string { return a + "HTTP/1.1" }, func(c *peers.Conn, _ *exchange.Exchange) { c.Close() }},
		"reset under the next call": {strings.Clone, func(c *peers.Conn, _ *exchange.Exchange) {
			c.Request()
			c.Reset()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			agent := peers.Listen(t)
			_, x, log := following(t, agent.At(), 40)
			conn := agent.Take()
			asks(t, conn, wholeAsked)
			for revision := int64(41); revision < 45; revision++ {
				conn.Raw(way.text(list(revision, revision == 41, "Ready")))
				way.close(conn, x)
				if l := told(t, x); l.Revision != revision {
					t.Errorf("%d is told, want %d", l.Revision, revision)
				}
				conn = agent.Take()
				asks(t, conn, fmt.Sprintf(watching, revision))
			}
			if errs := x.Tally.CallErrors.Load(); errs != 0 || log.count("discovery") != 0 {
				t.Errorf("%d errors: %s", errs, log.text.String())
			}
			agent.Close()
			conn.Reset() // it is gone
			peers.Until(t, "a discovery that is gone is not noticed", func() bool { return log.count("discovery fails") == 1 })
		})
	}
}

// An answer to a watch that is of no use is followed by the whole list, as what was asked may be what cannot be answered;
// so is a watch that breaks.
func TestAWatchWithoutUseIsFollowedByTheWholeList(t *testing.T) {
	for name, answer := range map[string]string{
		"not found": "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"gone":      "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
		"busy":      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy",
		"not JSON":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbusy",
		"not ours":  "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + `{"revision":44,"code":1}`,
		"not HTTP":  "+OK\r\n",
		"cut off":   list(42, false, "Ready")[:60],
		"older":     list(40, false, "Ready"),
	} {
		t.Run(name, func(t *testing.T) {
			agent := peers.Listen(t)
			_, x, log := following(t, agent.At(), 40)
			conn := agent.Take()
			asks(t, conn, wholeAsked)
			conn.Raw(list(41, true, "Ready"))
			asks(t, conn, fmt.Sprintf(watching, 41))
			conn.Raw(answer)
			conn.Close()
			conn = agent.Take()
			asks(t, conn, wholeAsked)
			conn.Raw(list(45, true, "Terminating"))
			asks(t, conn, fmt.Sprintf(watching, 45))
			if l := told(t, x); l.Revision != 45 || !l.Whole {
				t.Errorf("told %+v", l)
			}
			if log.count("discovery fails") != 1 || log.count("discovery answers") != 0 {
				t.Errorf("log: %s", log.text.String())
			}
			conn.Raw(nothing(45))
			peers.Until(t, "a watch that is answered again is not noticed", func() bool { return log.count("discovery answers") == 1 })
		})
	}
}

// What the old discovery is still delivering when it is moved from changes nothing, and what it has just delivered does not
// outrank the new one, which counts from a lower revision.
func TestTheOldDiscoveryDeliversWhileItIsMovedFrom(t *testing.T) {
	before, after := peers.Listen(t), peers.Listen(t)
	c, x, _ := following(t, before.At(), 40)
	old := before.Take()
	asks(t, old, wholeAsked)
	old.Raw(list(41, true, "Ready"))
	if l := told(t, x); l.Revision != 41 {
		t.Errorf("told %+v", l)
	}
	asks(t, old, fmt.Sprintf(watching, 41))
	late := list(math.MaxInt64, true, "Ready")
	old.Raw(late[:len(late)-1])
	c.Move(after.At())
	next := after.Take() // only after the old conversation has ended
	io.WriteString(old.Conn, late[len(late)-1:])
	for k := range olderMoved {
		asks(t, next, wholeAsked)
		next.Raw(list(3, true, "Terminating"))
		if k+1 < olderMoved {
			next = after.Take()
		}
	}
	if l := told(t, x); l.Revision != 3 || len(x.Take()) > 0 {
		t.Errorf("told %+v", l)
	}
	asks(t, next, fmt.Sprintf(watching, 3))
	next.Raw(late) // and what has come in full may be taken, or not
	c.Move(before.At())
	for k := range olderMoved {
		old = before.Take()
		asks(t, old, wholeAsked)
		old.Raw(list(4, true, "Gone"))
		if k == 0 && told(t, x).Revision == 4 { // it was not
			break
		}
	}
	asks(t, old, fmt.Sprintf(watching, 4))
}

// There and back before anybody has answered: the last address alone counts, and it is asked for the whole list.
func TestMovingThereAndBack(t *testing.T) {
	home, away := peers.Listen(t), peers.Listen(t)
	c, x, _ := following(t, home.At(), 40)
	first := home.Take()
	asks(t, first, wholeAsked)
	c.Move(away.At())
	there := away.Take()
	first.Ends()
	asks(t, there, wholeAsked)
	c.Move(away.At()) // no move at all
	c.Move(home.At())
	second := home.Take()
	there.Ends()
	asks(t, second, wholeAsked)
	second.Raw(list(41, true, "Ready"))
	asks(t, second, fmt.Sprintf(watching, 41))
	if l := told(t, x); l.Revision != 41 || x.Tally.Dials.Load() != 3 {
		t.Errorf("told %+v after %d dials", l, x.Tally.Dials.Load())
	}
}

// A change that is made between an answer and the next call comes with that call.
func TestAChangeBetweenTwoCalls(t *testing.T) {
	agent := peers.Listen(t)
	_, x, _ := following(t, agent.At(), 40)
	conn := agent.Take()
	asks(t, conn, wholeAsked)
	conn.Raw(list(41, true, "Ready"))
	told(t, x)
	asks(t, conn, fmt.Sprintf(watching, 41))
	conn.Raw(nothing(41)) // and now 42 is made
	asks(t, conn, fmt.Sprintf(watching, 41))
	conn.Raw(list(42, false, "Terminating"))
	if l := told(t, x); l.Revision != 42 || l.Whole || len(l.Members) != 1 {
		t.Errorf("told %+v", l)
	}
	asks(t, conn, fmt.Sprintf(watching, 42))
}

// Revisions of all sizes, and the same again.
func TestRevisionsThatAreOdd(t *testing.T) {
	body := func(answer string) []byte { return []byte(answer[strings.Index(answer, "{"):]) }
	for name, c := range map[string]struct {
		known, revision int64 // the second is of a whole list, in answer to a call for all of it
		told, fails     bool
	}{
		"the largest":             {41, math.MaxInt64, true, false},
		"the first of all":        {-1, 0, true, false},
		"the same as at start":    {41, 41, true, false},
		"below nought":            {41, -2, false, true},
		"after one made of noise": {math.MaxInt64, 42, false, true},
	} {
		cl, x := client(c.known)
		_, err := cl.take(body(list(c.revision, true, "Ready")))
		if got := len(x.Take()) == 1; got != c.told || (err != nil) != c.fails {
			t.Errorf("%s: told %v: %v", name, got, err)
		}
		if _, err := cl.take(body(list(cl.known, false, "Gone"))); (err != nil) != c.fails { // changes, where all is asked for
			t.Errorf("%s: changes then: %v", name, err)
		}
	}
	for _, revision := range []string{"9223372036854775808", "-9223372036854775809", "1e3", "41.5", `"41"`, "null"} {
		if l, err := Parse(fmt.Appendf(nil, `{"revision":%s,"complete":true,"members":[]}`, revision)); err == nil {
			t.Errorf("revision %s is read as %d", revision, l.Revision)
		}
	}
	l, err := Parse([]byte(`{"revision":5,"complete":false,"members":[{"id":"a","phase":"Gone","up_since_ms":1},` +
		`{"id":"a","phase":"Ready","up_since_ms":2},{"id":"b","phase":"Gone"}]}`))
	if err != nil || len(l.Members) != 3 || l.Members[1].UpSince != 2e6 { // in their order: the last one holds
		t.Errorf("%+v %v", l, err)
	}
}

// way is what becomes of one connection to a scripted agent.
type way func(agent net.Conn, r *bufio.Reader)

// ways makes a dialer whose connections are the next of ways, and the last from then on; nil: the dial hangs.
func ways(t *testing.T, all ...way) func(context.Context, string, string) (net.Conn, error) {
	var open sync.WaitGroup
	t.Cleanup(open.Wait)
	k := 0
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		w := all[min(k, len(all)-1)]
		if k++; w == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		here, there := net.Pipe()
		open.Go(func() { defer there.Close(); w(there, bufio.NewReader(there)) })
		return here, nil
	}
}

// virtually runs a client in a bubble of virtual time until its test ends.
func virtually(t *testing.T, seed uint64, dial func(context.Context, string, string) (net.Conn, error)) (
	*Client, *exchange.Exchange, *journal) {
	x, log := exchange.New(), &journal{}
	c := New("agent:1", 40, x, slog.New(slog.NewTextHandler(log, nil)), func() int64 { return 7 }, seed)
	c.dial = dial
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(t.Context()) }()
	t.Cleanup(func() { <-ended })
	return c, x, log
}

// answers has an agent answer one call with each text.
func answers(r *bufio.Reader, agent net.Conn, texts ...string) bool {
	for _, text := range texts {
		if _, err := http.ReadRequest(r); err != nil {
			return false
		}
		if _, err := io.WriteString(agent, text); err != nil {
			return false
		}
	}
	return true
}

// pieces says a text in pieces of a length, one each pause, until it or the connection ends.
func pieces(agent net.Conn, text string, length int, pause time.Duration) {
	for ; len(text) > 0; text = text[min(length, len(text)):] {
		if _, err := io.WriteString(agent, text[:min(length, len(text))]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// In virtual time: from the watch on, discovery has something to tell. Whatever then becomes of the connection and of two
// dials, it is acted on in time, as the protocol counts: worst cases by the constants, and as measured.
func TestHowLongSilenceTakes(t *testing.T) {
	first := func(then func(agent net.Conn, r *bufio.Reader)) way {
		return func(agent net.Conn, r *bufio.Reader) {
			if answers(r, agent, list(41, true, "Ready")) {
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
		answers(r, agent, list(42, true, "Terminating"))
		io.Copy(io.Discard, r)
	}
	mute := func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }
	drips := func(agent net.Conn, _ *bufio.Reader) { pieces(agent, news, 1, lateAfter*9/10) }
	const silence, hung = watchWait + lateAfter + backoffFirst, dialMost + backoffFirst
	for name, c := range map[string]struct {
		most time.Duration
		ways []way
	}{
		"in a watch":                 {silence, []way{first(silent), serving}},
		"in the first line":          {silence, []way{first(after(news[:9])), serving}},
		"after the head":             {silence, []way{first(after(news[:strings.Index(news, "{")])), serving}},
		"in the body":                {silence, []way{first(after(news[:len(news)-1])), serving}},
		"then a dial that hangs":     {silence + hung, []way{first(silent), nil, serving}},
		"then two dials that hang":   {silence + 2*hung, []way{first(silent), nil, nil, serving}},
		"then three dials that hang": {silence + 3*hung, []way{first(silent), nil, nil, nil, serving}},
		"then a connection as mute":  {silence + lateAfter + backoffFirst, []way{first(silent), mute, serving}},
		"then two, and a dial that hangs": {silence + 2*lateAfter + 2*backoffFirst + hung,
			[]way{first(silent), mute, mute, nil, serving}},
		"bytes that drip":                  {watchWait + piecesFirst + backoffFirst, []way{first(drips), serving}},
		"bytes that drip, and a hung dial": {watchWait + piecesFirst + backoffFirst + hung, []way{first(drips), nil, serving}},
		"head at once, body after the wait": {watchWait, []way{first(func(agent net.Conn, r *bufio.Reader) {
			head := strings.Index(news, "{")
			io.WriteString(agent, news[:head])
			time.Sleep(watchWait)
			io.WriteString(agent, news[head:])
			silent(agent, r)
		})}},
		"an answer in slow pieces": {2 * time.Second, []way{first(func(agent net.Conn, r *bufio.Reader) {
			pieces(agent, news, len(news)/4, lateAfter/2)
			silent(agent, r)
		})}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, x, _ := virtually(t, 1, ways(t, c.ways...))
				told(t, x)
				since := time.Now()
				for l := told(t, x); l.Revision < 42 && time.Since(since) <= c.most; {
					l = told(t, x)
				}
				if took := time.Since(since); took > c.most {
					t.Errorf("it took %v, at most %v by the constants", took, c.most)
				}
				if c.most+channelWays > toldAfter+graceUsual {
					t.Errorf("%v by the constants is more than a drain's grace allows", c.most)
				}
			})
		})
	}
}

// An agent whose answers are all slow is read in the end: what is given up as it drips gets twice as long the next time.
func TestAnswersThatAreAllSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, x, _ := virtually(t, 1, ways(t, func(agent net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			text := list(41, true, "Ready")
			pieces(agent, text, len(text)/16+1, lateAfter/2) // eight seconds in all
		}))
		start := time.Now()
		told(t, x)
		if took := time.Since(start); took > 2*piecesMost {
			t.Errorf("it took %v", took)
		}
	})
}

// Agents that answer every watch at once, that have no watches, or that refuse everything: a bounded number of calls, a
// list that stays fresh where there is one, and a line for each change of mode.
func TestTheNumberOfCallsIsBounded(t *testing.T) {
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
		lists  time.Duration // told at least
		fails  bool
	}{
		"the same list at once":         {either(same, same), span/idlePause + 2, span/idlePause - 2, false},
		"the same list, and it closes":  {either(closing(same), closing(same)), span/idlePause + 2, span/idlePause - 2, false},
		"nothing new at once":           {either(same, nothing(41)), span/idlePause + 2, 1, false},
		"changes, whatever is asked":    {either(nothing(40), nothing(40)), 2*span/backoffMost + 8, 0, true},
		"no watches":                    {either(same, refused), 4*span/backoffMost + 16, span/backoffMost - 2, true},
		"resets watches without a word": {either(same, ""), 6*span/backoffMost + 24, span/backoffMost - 2, true},
		"refuses everything":            {either(refused, refused), 2*span/backoffMost + 8, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				_, x, log := virtually(t, 1, ways(t, func(agent net.Conn, r *bufio.Reader) {
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
				if calls := time.Duration(x.Tally.Calls.Load()); calls > c.most {
					t.Errorf("%d calls in %v, want %d at most", calls, span, c.most)
				}
				if fails := log.count("discovery fails"); fails > 1 || (fails == 1) != c.fails || log.count("discovery answers") > 0 {
					t.Errorf("log: %.400s", log.text.String())
				}
				if (x.Tally.CallErrors.Load() > 0) != c.fails {
					t.Errorf("%d errors", x.Tally.CallErrors.Load())
				}
				if lists := time.Duration(len(x.Take())); lists < c.lists {
					t.Errorf("%d lists told, want %d", lists, c.lists)
				}
			})
		})
	}
}

// How long a discovery that counts from a lower revision takes to be believed after a move, from its first answer on,
// which is when its list counts as told.
func TestANewDiscoveryIsBelievedWithinADrainsGrace(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			answered := make(chan time.Time, 2*olderMoved)
			c, x, _ := virtually(t, seed, ways(t, func(agent net.Conn, r *bufio.Reader) {
				answers(r, agent, list(41, true, "Ready"))
				io.Copy(io.Discard, r)
			}, func(agent net.Conn, r *bufio.Reader) {
				answers(r, agent, list(3, true, "Terminating"))
				answered <- time.Now()
				io.Copy(io.Discard, r)
			}))
			told(t, x)
			c.Move("agent:2")
			if l := told(t, x); l.Revision != 3 {
				t.Errorf("told %+v", l)
			}
			const most = (1 + 2 + 4 + 8) * backoffFirst // with the largest draws
			if took := time.Since(<-answered); took > most || took < most/2 || most+channelWays > graceUsual {
				t.Errorf("believed after %v, %v to %v by the constants", took, most/2, most)
			}
		})
	}
}

// A dial that fails in any way is tried again soon, and what had waited already is not made to wait longer.
func TestDialsThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialed := make(chan time.Duration, 200)
		start := time.Now()
		_, x, _ := virtually(t, 1, func(ctx context.Context, _, _ string) (net.Conn, error) {
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
			most := min(backoffFirst<<min(k-1, 10), backoffMost)
			if k >= 20 { // they hang
				most = dialMost + backoffFirst
			}
			if gap := dials[k] - dials[k-1]; gap > most {
				t.Errorf("dial %d came %v after the one before it, want %v", k, gap, most)
			}
		}
		if len(dials) < 30 || x.Tally.Timeouts.Load() < 10 {
			t.Errorf("%d dials, %d timed out", len(dials), x.Tally.Timeouts.Load())
		}
	})
}
