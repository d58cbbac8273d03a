package controlclient

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/failover"
	"lilacbend/internal/resp"
)

// startReporter runs a Reporter until the test ends or stops it. Each interval has one attempt at one replica; taken counts
// the intervals.
func startReporter(t *testing.T, interval time.Duration, collectors ...string) (r *Reporter, taken *atomic.Int64, stop func()) {
	taken = &atomic.Int64{}
	r = &Reporter{Collectors: collectors, Interval: interval, TakeOutcomes: func() map[string]*dispatch.OutcomeSum {
		taken.Add(1)
		return map[string]*dispatch.OutcomeSum{"b": {Attempts: 1}}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { r.Run(ctx); close(ended) }()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return r, taken, stop
}

// scriptedCollector is a collector that counts reported attempts and connections, and answers probes while answersProbes is
// true.
type scriptedCollector struct {
	*scriptedpeer.Listener
	attempts      atomic.Int64
	connections   atomic.Int64
	dials         atomic.Int64
	answersProbes atomic.Bool
}

// serveCollector serves the connections of a listener as a scriptedCollector.
func serveCollector(t *testing.T, l *scriptedpeer.Listener, answersProbes bool) *scriptedCollector {
	s := &scriptedCollector{Listener: l}
	s.answersProbes.Store(answersProbes)
	pool := resp.NewPool(1 << 20)
	l.Serve(func(conn net.Conn) {
		s.dials.Add(1)
		s.connections.Add(1)
		defer s.connections.Add(-1)
		w, done := &messageWriter{conn: conn, pool: pool}, make(chan struct{})
		defer close(done)
		for reader := resp.NewReader(conn, pool); ; {
			words, err := reader.Next()
			switch {
			case err != nil:
				return
			case words[0] == "met":
				n, _ := strconv.Atoi(words[4])
				s.attempts.Add(int64(n))
			case words[0] == "probe":
				go s.answer(w, done)
			}
		}
	})
	return s
}

// answer answers a probe as soon as answersProbes is true, unless the connection ends first.
func (s *scriptedCollector) answer(w *messageWriter, done <-chan struct{}) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !s.answersProbes.Load() {
		select {
		case <-done:
			return
		case <-tick.C:
		}
	}
	w.send("alive")
}

// After a zone's collector has stopped, its reporter sends the reports to the next collector from the next interval on, so
// that the controller receives reports of the zone again within a few intervals. Without a second collector the controller
// would receive none.
func TestNextCollectorTakesOver(t *testing.T) {
	const interval = 50 * time.Millisecond
	controller := scriptedpeer.Listen(t)
	_, first, stop := startCollector(t, interval, controller)
	firstConn := controller.AcceptConn()
	_, second, _ := startCollector(t, interval, controller)
	secondConn := controller.AcceptConn()
	r, _, _ := startReporter(t, interval, first, second)
	firstConn.WaitForMessage("agent site a")
	secondConn.WaitForMessage("agent site a")
	firstConn.WaitForMessage("outcomes site a target b count ")
	began := time.Now()
	stop()
	secondConn.WaitForMessage("outcomes site a target b count ")
	gap := time.Since(began)
	t.Logf("the controller receives reports of the second collector %v after the stop of the first, at a report interval of %v", gap, interval)
	if gap > 20*interval {
		t.Errorf("%v without a report, want at most %v", gap, 20*interval)
	}
	if lost, unconfirmed := r.LostSums.Load(), r.UnconfirmedSums.Load(); lost+unconfirmed > 3 {
		t.Errorf("%d sums lost and %d unconfirmed, want at most 3", lost, unconfirmed)
	}
}

// A collector's machine fails, or its process hangs, without closing connections, and the kernel still accepts all writes.
// The reporter fails over once an answer has been missing for the timeout, and counts the sums sent before the failover as
// unconfirmed.
func TestReporterFailsOverFromUnresponsiveCollector(t *testing.T) {
	const interval = 50 * time.Millisecond
	first, second := serveCollector(t, scriptedpeer.Listen(t), true), serveCollector(t, scriptedpeer.Listen(t), true)
	r, _, _ := startReporter(t, interval, first.Address(), second.Address())
	scriptedpeer.WaitFor(t, "the first collector receives no reports", func() bool { return first.attempts.Load() > 3 })
	first.answersProbes.Store(false)
	began := time.Now()
	scriptedpeer.WaitFor(t, "the second collector receives no reports", func() bool { return second.attempts.Load() > 0 })
	if took := time.Since(began); took < responseTimeout || took > responseTimeout+20*interval {
		t.Errorf("failed over after %v, want %v to %v", took, responseTimeout, responseTimeout+20*interval)
	}
	sent := int64(responseTimeout / interval)
	if unconfirmed := r.UnconfirmedSums.Load(); unconfirmed < sent/2 || unconfirmed > sent+5 {
		t.Errorf("%d sums unconfirmed, want about the %d sent before the failover", unconfirmed, sent)
	}
}

// The preferred collector runs again: once its cool-down has ended and it has answered a probe, it receives the reports
// again. Until then the second collector receives all reports. A collector that accepts connections and answers no probe
// receives none.
func TestReportsReturnToThePreferredCollector(t *testing.T) {
	const interval = 20 * time.Millisecond
	l := scriptedpeer.Listen(t)
	address := l.Address()
	l.Close()
	second := serveCollector(t, scriptedpeer.Listen(t), true)
	r, taken, stop := startReporter(t, interval, address, second.Address())
	scriptedpeer.WaitFor(t, "the second collector receives no reports", func() bool { return second.attempts.Load() > 3 })
	first := serveCollector(t, scriptedpeer.ListenOn(t, address), false)
	scriptedpeer.WaitFor(t, "the first collector is not dialed again", func() bool { return first.dials.Load() > 0 })
	before := second.attempts.Load()
	scriptedpeer.WaitFor(t, "the second collector receives no further reports", func() bool { return second.attempts.Load() > before+10 })
	if first.attempts.Load() > 0 {
		t.Error("the first collector receives reports although it has answered no probe")
	}
	first.answersProbes.Store(true)
	scriptedpeer.WaitFor(t, "the first collector receives no reports after answering", func() bool { return first.attempts.Load() > 3 })
	scriptedpeer.WaitFor(t, "the connection to the second collector is not closed", func() bool { return second.connections.Load() == 0 })
	stop()
	scriptedpeer.WaitFor(t, "an outcome is neither reported nor counted as lost", func() bool {
		return first.attempts.Load()+second.attempts.Load()+r.LostSums.Load() == taken.Load()
	})
	if r.LostSums.Load() > 1 {
		t.Errorf("%d sums lost, want at most 1 although the first collector is unreachable at the start", r.LostSums.Load())
	}
}

// A collector at its limit of connections closes new connections at once: its sidecars use the next collector, and do not
// dial the full collector in each interval.
func TestFullCollectorIsNotDialedInEachInterval(t *testing.T) {
	const interval = 20 * time.Millisecond
	full := scriptedpeer.Listen(t)
	var dials atomic.Int64
	full.Serve(func(net.Conn) { dials.Add(1) })
	second := serveCollector(t, scriptedpeer.Listen(t), true)
	startReporter(t, interval, full.Address(), second.Address())
	scriptedpeer.WaitFor(t, "the second collector receives no reports", func() bool { return second.attempts.Load() > 50 })
	if n := dials.Load(); n > 3 {
		t.Errorf("the full collector was dialed %d times in %v, want at most 3", n, 50*interval)
	}
}

// A collector of an earlier version answers no probes. If it is the only collector, the reporter keeps using it.
func TestOnlyCollectorIsKeptWithoutProbeAnswers(t *testing.T) {
	const interval = 50 * time.Millisecond
	only := serveCollector(t, scriptedpeer.Listen(t), false)
	r, taken, stop := startReporter(t, interval, only.Address())
	scriptedpeer.WaitFor(t, "the reporter stops taking outcomes before the timeout of the collector", func() bool { return taken.Load() > int64((responseTimeout+time.Second)/interval) })
	stop()
	if n := only.dials.Load(); n != 1 || r.LostSums.Load() > 1 { // one sum may be lost when the reporter stops
		t.Errorf("%d connections and %d sums lost, want 1 connection and at most 1 sum", n, r.LostSums.Load())
	}
	scriptedpeer.WaitFor(t, "an outcome is neither reported nor counted as lost", func() bool { return only.attempts.Load()+r.LostSums.Load() == taken.Load() })
}

// While all collectors of a zone are unreachable, each is dialed once in each interval, so that the first one that is
// reachable again soon receives the reports.
func TestFirstReachableCollectorReceivesReportsAfterAnOutage(t *testing.T) {
	const interval = 50 * time.Millisecond
	one, two := scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t)
	r, _, _ := startReporter(t, interval, one, two)
	scriptedpeer.WaitFor(t, "no sums are counted as lost while no collector is reachable", func() bool { return r.LostSums.Load() > 5 })
	reachable := serveCollector(t, scriptedpeer.ListenOn(t, two), true)
	began := time.Now()
	scriptedpeer.WaitFor(t, "the collector that is reachable again receives no reports", func() bool { return reachable.attempts.Load() > 0 })
	if took := time.Since(began); took > failover.CooldownInitial/2 {
		t.Errorf("first report after %v, want at most %v", took, failover.CooldownInitial/2)
	}
}

// A collector answers a probe once it has read all earlier messages, and sends nothing else.
func TestCollectorAnswersProbes(t *testing.T) {
	collector, address, _ := startCollector(t, time.Hour)
	sidecar := scriptedpeer.Dial(t, address)
	sidecar.Send("met target b count 1 fail 0 mean 1", "met target b", "probe")
	sidecar.WaitForMessage("alive")
	if collector.Received.Load() != 1 || collector.Skipped.Load() != 1 {
		t.Errorf("%d reports received and %d messages skipped, want 1 of each", collector.Received.Load(), collector.Skipped.Load())
	}
	sidecar.Send("probe")
	if text, _ := sidecar.ReadMessage(); strings.TrimSpace(text) != "alive" {
		t.Errorf("received %q, want only the answer to the second probe", text)
	}
}
