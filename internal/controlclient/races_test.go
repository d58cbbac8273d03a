package controlclient

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
)

// startClient runs a client of listeners until the test ends.
func startClient(t *testing.T, c Dispatcher, to ...*scriptedpeer.Listener) *Client {
	cl := &Client{Zone: "a", Classes: []string{"x"}, Dispatcher: c, Log: slog.New(slog.DiscardHandler)}
	for _, l := range to {
		cl.Controllers = append(cl.Controllers, l.Address())
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { cl.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
	return cl
}

// A controller is lost between two parts of an update, in the middle of a part, or as an ack is being sent. The next one,
// another or the same again, begins an update of its own: no half is taken for a complete one, none is put together from
// two streams, and no nonce of the earlier stream is acknowledged on the new one.
func TestControllerIsLostDuringAnUpdate(t *testing.T) {
	whole := scriptedpeer.EncodeMessage("push full 1 endpoints a:1,b:1 nonce_out 5")
	for name, c := range map[string]struct {
		first   string
		applied int // of the first stream
	}{
		"between two parts":         {scriptedpeer.EncodeMessage("push full 1 endpoints a:1 continued 1"), 0},
		"in the middle of a part":   {whole[:len(whole)-4], 0},
		"with a part and a half":    {scriptedpeer.EncodeMessage("push full 1 endpoints a:1 continued 1") + whole[:20], 0},
		"as its ack is sent":        {whole, 1},
		"behind a message, in half": {whole + whole[:30], 1},
	} {
		for _, same := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", same ", same), func(t *testing.T) {
				t.Parallel()
				dispatcher := &dispatcher{}
				one := scriptedpeer.Listen(t)
				next := one
				if !same {
					next = scriptedpeer.Listen(t)
				}
				startClient(t, dispatcher, one, next)
				stream := one.AcceptConn()
				stream.WaitForMessage("hello id 0 site a rps 0.000 new 1")
				stream.SendRaw(c.first)
				scriptedpeer.WaitFor(t, "not applied", func() bool { return dispatcher.updates() == c.applied })
				stream.Reset() // with an answer under way, or unread
				stream = next.AcceptConn()
				stream.WaitForMessage(fmt.Sprint("hello id 0 site a rps 0.000 new ", 1-c.applied))
				stream.Send("push eject b nonce_out 6") // were it a last part, it would be one with the first
				for {
					text, ok := stream.ReadMessage()
					if !ok {
						t.Fatal("the new stream has ended")
					}
					if strings.HasPrefix(text, "ack ") {
						if !strings.HasPrefix(text, "ack id 0 seq 6 ") {
							t.Errorf("%q on a stream with the nonce 6", text)
						}
						break
					}
				}
				dispatcher.mu.Lock()
				defer dispatcher.mu.Unlock()
				if last := dispatcher.applied[len(dispatcher.applied)-1]; len(dispatcher.applied) != c.applied+1 || len(last) != 1 || len(last[0].Weights) != 0 || len(last[0].Eject) != 1 {
					t.Errorf("%+v", dispatcher.applied)
				}
			})
		}
	}
}

// Requests come while controllers end one stream after the other. The demand that the next one gets is that of all of the
// time since the last report, not of the second since that stream began.
func TestDemandBetweenStreamsIsReportedOverItsPeriod(t *testing.T) {
	g := scriptedpeer.Listen(t)
	dispatcher := &dispatcher{usage: []dispatch.Demand{{Requests: 7}}}
	began := time.Now()
	startClient(t, dispatcher, g)
	for range 4 {
		stream := g.AcceptConn()
		stream.WaitForMessage("hello")
		stream.Reset()
	}
	stream := g.AcceptConn()
	stream.WaitForMessage("hello")
	gap := time.Since(began)
	text := stream.WaitForMessage("demand id 0 lane x count 7 fail 0 over ")
	over, err := strconv.ParseFloat(text[strings.LastIndex(text, " ")+1:], 64)
	if least := millis(gap + reportInterval - 100*time.Millisecond); err != nil || over < least {
		t.Errorf("%q, though the first request came %v before the hello", text, gap)
	}
}

// collects runs a collector until the test ends or stops it, which must not take long.
func collects(t *testing.T, every time.Duration, to ...*scriptedpeer.Listener) (c *Collector, at string, stop func()) {
	return collectsWithin(t, every, 0, to...)
}

// collectsWithin runs a collector that keeps to a budget of bytes a second for each controller; 0: no limit.
func collectsWithin(t *testing.T, every time.Duration, budget int, to ...*scriptedpeer.Listener) (c *Collector, at string, stop func()) {
	l := scriptedpeer.Listen(t)
	c = &Collector{Zone: "a", Interval: every, Budget: budget, MaxSidecars: 10, Log: slog.New(slog.DiscardHandler)}
	for _, g := range to {
		c.Controllers = append(c.Controllers, g.Address())
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Serve(ctx, l.Listener); close(ended) }()
	stop = sync.OnceFunc(func() {
		began := time.Now()
		cancel()
		<-ended
		if took := time.Since(began); took > 700*time.Millisecond {
			t.Errorf("it took %v to end", took)
		}
	})
	t.Cleanup(stop)
	return c, l.Address(), stop
}

// A controller ends a collector's connection between two reports: the next outcomes go over the next connection, and once.
func TestControllerEndsAConnectionBetweenReports(t *testing.T) {
	there := scriptedpeer.Listen(t)
	_, at, _ := collects(t, 50*time.Millisecond, there)
	controller := there.AcceptConn()
	controller.WaitForMessage("agent site a")
	sidecar := scriptedpeer.Dial(t, at)
	sidecar.Send("met target b count 3 fail 1 mean 10")
	controller.WaitForMessage("outcomes site a target b count 3 fail 1 mean 10.000 over ")
	controller.Reset() // between two reports
	next := there.AcceptConn()
	next.WaitForMessage("agent site a") // it has been noticed
	sidecar.Send("met target b count 5 fail 0 mean 20")
	next.WaitForMessage("outcomes site a target b count 5 fail 0 mean 20.000 over ")
}

// Two controllers, one of which is not there when sidecars report: it gets the outcomes once it is, over their period.
func TestOutcomesWaitForAnAbsentController(t *testing.T) {
	there, away := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	l := scriptedpeer.Listen(t)
	c := &Collector{Zone: "a", Controllers: []string{there.Address(), away}, Interval: 50 * time.Millisecond, MaxSidecars: 10, Log: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Serve(ctx, l.Listener); close(ended) }()
	defer func() { stop(); <-ended }()
	sidecar := scriptedpeer.Dial(t, l.Address())
	controller := there.AcceptConn()
	for _, count := range []int{3, 4} {
		sidecar.Send(fmt.Sprint("met target b count ", count, " fail 1 mean 10"))
		controller.WaitForMessage(fmt.Sprint("outcomes site a target b count ", count, " fail 1 mean 10.000 over "))
	}
	back := scriptedpeer.ListenOn(t, away).AcceptConn()
	back.WaitForMessage("outcomes site a target b count 7 fail 2 mean 10.000 over ")
}

// Outcomes are held for an absent controller up to their longest age, and never reported as if they were of now.
func TestOldOutcomesExpire(t *testing.T) {
	second := int64(time.Second)
	l, now := newPendingOutcomes(time.Second, 0), monotonicNow()
	l.outcomes.Add("b", outcomeReport{"b", 3, 0, 1}.sum(), now-12*second, now-11*second)
	l.begin()
	if report, ok := l.next(); ok {
		t.Errorf("%+v is reported", report)
	}
	l.outcomes.Add("b", outcomeReport{"b", 3, 0, 1}.sum(), now-2*second, now-second)
	l.add(outcomeReport{"b", 4, 0, 1})
	l.begin()
	report, ok := l.next()
	if !ok || report.Sum.Attempts != 7 || report.Period < 2*time.Second || report.Period > 3*time.Second {
		t.Errorf("%+v, %v, want 7 attempts of 2 s", report, ok)
	}
}

// A controller reads nothing, so a report is written in half when the collector is to end: it ends at once.
func TestCollectorEndsDuringAWrite(t *testing.T) {
	g := scriptedpeer.Listen(t)
	c, _, stop := collects(t, 50*time.Millisecond, g)
	controller := g.AcceptConn()
	controller.ShrinkBuffers()
	controller.WaitForMessage("agent site a")
	long := strings.Repeat("x", 100)
	feed, fed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(fed)
		for k := 0; ; k++ {
			select {
			case <-feed:
				return
			default:
				c.receive([]string{"met", "target", long + strconv.Itoa(k%maxReplicas), "count", "1", "fail", "0", "mean", "1"})
			}
		}
	}()
	told, since := int64(0), time.Now()
	scriptedpeer.WaitFor(t, "writes never wait", func() bool {
		if now := c.Reported.Load(); now != told || now == 0 {
			told, since = now, time.Now()
		}
		return time.Since(since) > 300*time.Millisecond // six reports are due, and none goes on
	})
	close(feed)
	<-fed
	stop()
}

// A collector is restarted between two reports of a sidecar: each sum that is reported arrives or is counted as lost.
func TestCollectorRestartsBetweenReports(t *testing.T) {
	l := scriptedpeer.Listen(t)
	due, taken := make(chan int), atomic.Int64{}
	reporter := &Reporter{Collectors: []string{l.Address()}, Interval: 10 * time.Millisecond, TakeOutcomes: func() map[string]*dispatch.Outcomes {
		n, ok := <-due
		if !ok {
			return nil
		}
		taken.Add(1)
		return map[string]*dispatch.Outcomes{"b": {Attempts: n}, "c": {Attempts: n}}
	}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { reporter.Run(ctx); close(ended) }()
	for n := 1; n <= 5; n++ {
		due <- n
		collector := l.AcceptConn()
		for _, target := range []string{"b", "c"} {
			collector.WaitForMessage(fmt.Sprintf("met target %s count %d ", target, n))
		}
		collector.Close() // before the next sums are due
	}
	close(due)
	stop()
	<-ended
	if reporter.Lost.Load() != 0 {
		t.Errorf("%d lost", reporter.Lost.Load())
	}
}

// A collector that reads nothing does not delay the end of a sidecar.
func TestReporterEndsThoughItsCollectorReadsNothing(t *testing.T) {
	l := scriptedpeer.Listen(t)
	sums := map[string]*dispatch.Outcomes{}
	for k := range maxReplicas {
		sums[strings.Repeat("x", 100)+strconv.Itoa(k)] = &dispatch.Outcomes{Attempts: 1}
	}
	calls := atomic.Int64{}
	reporter := &Reporter{Collectors: []string{l.Address()}, Interval: 10 * time.Millisecond, TakeOutcomes: func() map[string]*dispatch.Outcomes { calls.Add(1); return sums }}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { reporter.Run(ctx); close(ended) }()
	l.AcceptConn().ShrinkBuffers()
	told, since := int64(0), time.Now()
	scriptedpeer.WaitFor(t, "writes never wait", func() bool {
		if now := calls.Load(); now != told {
			told, since = now, time.Now()
		}
		return time.Since(since) > 300*time.Millisecond
	})
	stop()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("it does not end")
	}
}
