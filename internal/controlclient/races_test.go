package controlclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/ratelimit"
	"lilacbend/internal/resp"
)

// startClient runs a Client of the controllers at the listeners until the test ends.
func startClient(t *testing.T, dispatcher Dispatcher, controllers ...*scriptedpeer.Listener) *Client {
	client := &Client{Zone: "a", Classes: []string{"x"}, Dispatcher: dispatcher, Log: slog.New(slog.DiscardHandler)}
	for _, l := range controllers {
		client.Controllers = append(client.Controllers, l.Address())
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
	return client
}

// A controller is lost between two parts of an update, in the middle of a part, or while an ack is being sent. The next
// stream, to another controller or to the same controller, begins with an update of its own: no incomplete update is
// applied, none is assembled from parts of two streams, and no nonce of the earlier stream is acknowledged on the new one.
func TestControllerIsLostDuringAnUpdate(t *testing.T) {
	complete := scriptedpeer.EncodeMessage("push full 1 endpoints a:1,b:1 nonce_out 5")
	for name, c := range map[string]struct {
		firstStream string
		applied     int // number of updates applied from the first stream
	}{
		"between two parts":                {scriptedpeer.EncodeMessage("push full 1 endpoints a:1 continued 1"), 0},
		"in the middle of a part":          {complete[:len(complete)-4], 0},
		"in the middle of the second part": {scriptedpeer.EncodeMessage("push full 1 endpoints a:1 continued 1") + complete[:20], 0},
		"while its ack is sent":            {complete, 1},
		"in the middle of the next update": {complete + complete[:30], 1},
	} {
		for _, same := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", same controller ", same), func(t *testing.T) {
				t.Parallel()
				dispatcher := &recordingDispatcher{}
				firstController := scriptedpeer.Listen(t)
				nextController := firstController
				if !same {
					nextController = scriptedpeer.Listen(t)
				}
				startClient(t, dispatcher, firstController, nextController)
				stream := firstController.AcceptConn()
				stream.WaitForMessage("hello id 0 site a rps 0.000 new 1")
				stream.SendRaw(c.firstStream)
				scriptedpeer.WaitFor(t, "the first stream does not lead to the expected number of applied updates", func() bool { return dispatcher.updates() == c.applied })
				stream.Reset() // an ack may be under way or unread
				stream = nextController.AcceptConn()
				stream.WaitForMessage(fmt.Sprint("hello id 0 site a rps 0.000 new ", 1-c.applied))
				stream.Send("push eject b nonce_out 6") // must not be taken for the last part of the earlier update
				for {
					text, ok := stream.ReadMessage()
					if !ok {
						t.Fatal("the new stream has ended before its ack")
					}
					if strings.HasPrefix(text, "ack ") {
						if !strings.HasPrefix(text, "ack id 0 seq 6 ") {
							t.Errorf("received %q on the new stream, want an ack of nonce 6", text)
						}
						break
					}
				}
				dispatcher.mu.Lock()
				defer dispatcher.mu.Unlock()
				if last := dispatcher.applied[len(dispatcher.applied)-1]; len(dispatcher.applied) != c.applied+1 || len(last) != 1 || len(last[0].Weights) != 0 || len(last[0].Eject) != 1 {
					t.Errorf("applied updates %+v, want %d, the last of which ejects b only", dispatcher.applied, c.applied+1)
				}
			})
		}
	}
}

// Requests arrive while controllers close one stream after the other. The next demand report states the whole period since
// the last report, not only the second since its stream began: a shorter period would overstate the demand.
func TestDemandBetweenStreamsIsReportedOverItsPeriod(t *testing.T) {
	controller := scriptedpeer.Listen(t)
	dispatcher := &recordingDispatcher{demand: []dispatch.Demand{{Requests: 7}}}
	began := time.Now()
	startClient(t, dispatcher, controller)
	for range 4 {
		stream := controller.AcceptConn()
		stream.WaitForMessage("hello")
		stream.Reset()
	}
	stream := controller.AcceptConn()
	stream.WaitForMessage("hello")
	gap := time.Since(began)
	text := stream.WaitForMessage("demand id 0 lane x count 7 fail 0 over ")
	periodMillis, err := strconv.ParseFloat(text[strings.LastIndex(text, " ")+1:], 64)
	if minimum := milliseconds(gap + reportInterval - 100*time.Millisecond); err != nil || periodMillis < minimum {
		t.Errorf("received %q, want a period that includes the %v before the hello", text, gap)
	}
}

// startCollector runs a Collector without a budget until the test ends or stops it, which must not take longer than 700 ms.
func startCollector(t *testing.T, interval time.Duration, controllers ...*scriptedpeer.Listener) (c *Collector, address string, stop func()) {
	return startCollectorWithBudget(t, interval, 0, controllers...)
}

// startCollectorWithBudget runs a Collector with a budget in bytes per second for each controller; 0: no limit.
func startCollectorWithBudget(t *testing.T, interval time.Duration, budget int, controllers ...*scriptedpeer.Listener) (c *Collector, address string, stop func()) {
	l := scriptedpeer.Listen(t)
	c = &Collector{Zone: "a", Interval: interval, BytesPerSecond: budget, MaxSidecars: 10, Log: slog.New(slog.DiscardHandler)}
	for _, controller := range controllers {
		c.Controllers = append(c.Controllers, controller.Address())
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Serve(ctx, l.Listener); close(ended) }()
	stop = sync.OnceFunc(func() {
		began := time.Now()
		cancel()
		<-ended
		if took := time.Since(began); took > 700*time.Millisecond {
			t.Errorf("stopping the collector took %v, want at most 700 ms", took)
		}
	})
	t.Cleanup(stop)
	return c, l.Address(), stop
}

// A controller closes a collector's connection between two reports: the next outcomes are sent once, on the next connection.
func TestControllerClosesConnectionBetweenReports(t *testing.T) {
	listener := scriptedpeer.Listen(t)
	_, address, _ := startCollector(t, 50*time.Millisecond, listener)
	controller := listener.AcceptConn()
	controller.WaitForMessage("agent site a")
	sidecar := scriptedpeer.Dial(t, address)
	sidecar.Send("met target b count 3 fail 1 mean 10")
	controller.WaitForMessage("outcomes site a target b count 3 fail 1 mean 10.000 over ")
	controller.Reset() // between two reports
	next := listener.AcceptConn()
	next.WaitForMessage("agent site a") // the collector has noticed the close
	sidecar.Send("met target b count 5 fail 0 mean 20")
	next.WaitForMessage("outcomes site a target b count 5 fail 0 mean 20.000 over ")
}

// One of two controllers is not running while sidecars report: it receives the outcomes with their period once it is
// running.
func TestOutcomesAreHeldForADisconnectedController(t *testing.T) {
	reachable, unreachable := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	l := scriptedpeer.Listen(t)
	c := &Collector{Zone: "a", Controllers: []string{reachable.Address(), unreachable}, Interval: 50 * time.Millisecond, MaxSidecars: 10, Log: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Serve(ctx, l.Listener); close(ended) }()
	defer func() { stop(); <-ended }()
	sidecar := scriptedpeer.Dial(t, l.Address())
	controller := reachable.AcceptConn()
	for _, count := range []int{3, 4} {
		sidecar.Send(fmt.Sprint("met target b count ", count, " fail 1 mean 10"))
		controller.WaitForMessage(fmt.Sprint("outcomes site a target b count ", count, " fail 1 mean 10.000 over "))
	}
	reconnected := scriptedpeer.ListenOn(t, unreachable).AcceptConn()
	reconnected.WaitForMessage("outcomes site a target b count 7 fail 2 mean 10.000 over ")
}

// Outcomes are held for a disconnected controller up to the maximum age. Older outcomes are dropped, not reported as
// current.
func TestOldOutcomesExpire(t *testing.T) {
	second := int64(time.Second)
	pending, now := newPendingOutcomes(time.Second, 0), monotonicNow()
	pending.outcomes.Add(0, "b", outcomeReport{"b", 3, 0, 1}.sum(), now-12*second, now-11*second)
	pending.beginRound()
	if report, ok := pending.next(); ok {
		t.Errorf("expired outcomes are reported: %+v", report)
	}
	pending.outcomes.Add(0, "b", outcomeReport{"b", 3, 0, 1}.sum(), now-2*second, now-second)
	pending.add(0, outcomeReport{"b", 4, 0, 1})
	pending.beginRound()
	report, ok := pending.next()
	if !ok || report.Sum.Attempts != 7 || report.Period < 2*time.Second || report.Period > 3*time.Second {
		t.Errorf("report %+v, found %v, want 7 attempts in a period of 2 s to 3 s", report, ok)
	}
}

// A controller reads nothing, so that the write of a report blocks when the collector is stopped: the collector stops at
// once all the same.
func TestCollectorStopsDuringABlockedWrite(t *testing.T) {
	listener := scriptedpeer.Listen(t)
	c, _, stop := startCollector(t, 50*time.Millisecond, listener)
	controller := listener.AcceptConn()
	controller.ShrinkBuffers()
	controller.WaitForMessage("agent site a")
	long := strings.Repeat("x", 100)
	stopReports, reportsStopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reportsStopped)
		source := &reportSource{names: ratelimit.Names{Max: maxReplicas}}
		for k := 0; ; k++ {
			select {
			case <-stopReports:
				return
			default:
				c.receive([]string{"met", "target", long + strconv.Itoa(k%maxReplicas), "count", "1", "fail", "0", "mean", "1"}, source)
			}
		}
	}()
	lastCount, since := int64(0), time.Now()
	scriptedpeer.WaitFor(t, "writes never block", func() bool {
		if now := c.Reported.Load(); now != lastCount || now == 0 {
			lastCount, since = now, time.Now()
		}
		return time.Since(since) > 300*time.Millisecond // six reports are due, and no message is sent
	})
	close(stopReports)
	<-reportsStopped
	stop()
}

// A collector is restarted between reports of a sidecar: all sums arrive, and none is counted as lost.
func TestCollectorRestartsBetweenReports(t *testing.T) {
	l := scriptedpeer.Listen(t)
	due, taken := make(chan int), atomic.Int64{}
	reporter := &Reporter{Collectors: []string{l.Address()}, Interval: 10 * time.Millisecond, TakeOutcomes: func() map[string]*dispatch.OutcomeSum {
		n, ok := <-due
		if !ok {
			return nil
		}
		taken.Add(1)
		return map[string]*dispatch.OutcomeSum{"b": {Attempts: n}, "c": {Attempts: n}}
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
		collector.Close() // before the next report is due
	}
	close(due)
	stop()
	<-ended
	if reporter.LostSums.Load() != 0 {
		t.Errorf("%d sums counted as lost, want 0", reporter.LostSums.Load())
	}
}

// A collector that reads nothing does not delay the stop of a reporter.
func TestReporterStopsWhileItsCollectorReadsNothing(t *testing.T) {
	l := scriptedpeer.Listen(t)
	outcomes := map[string]*dispatch.OutcomeSum{}
	for k := range maxReplicas {
		outcomes[strings.Repeat("x", 100)+strconv.Itoa(k)] = &dispatch.OutcomeSum{Attempts: 1}
	}
	calls := atomic.Int64{}
	reporter := &Reporter{Collectors: []string{l.Address()}, Interval: 10 * time.Millisecond, TakeOutcomes: func() map[string]*dispatch.OutcomeSum { calls.Add(1); return outcomes }}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { reporter.Run(ctx); close(ended) }()
	l.AcceptConn().ShrinkBuffers()
	lastCount, since := int64(0), time.Now()
	scriptedpeer.WaitFor(t, "writes never block", func() bool {
		if now := calls.Load(); now != lastCount {
			lastCount, since = now, time.Now()
		}
		return time.Since(since) > 300*time.Millisecond
	})
	stop()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the reporter has not stopped after 1 s")
	}
}

// A report arrives while the collector stands still, and the collector asks for it only after the timeout: it is received.
func TestReportThatArrivesDuringStallIsReceived(t *testing.T) {
	listener := scriptedpeer.Listen(t)
	sidecar := scriptedpeer.Dial(t, listener.Address())
	accepted := listener.AcceptConn().Conn.(*net.TCPConn)
	sidecar.SendRaw(scriptedpeer.EncodeMessage("met target s-1 count 3 fail 1 mean 20.000") + scriptedpeer.EncodeMessage("probe"))
	collector := &Collector{Log: slog.New(slog.DiscardHandler), pool: resp.NewPool(1 << 20)}
	scriptedpeer.AwaitArrival(t, accepted)
	err := collector.readSidecar(scriptedpeer.LateConn{TCPConn: accepted})
	if received := collector.Received.Load(); received != 1 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d reports received, connection ended with %v; want 1 report before the timeout", received, err)
	}
	sidecar.WaitForMessage("alive")
}
