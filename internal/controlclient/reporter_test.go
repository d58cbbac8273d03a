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

// reports runs a reporter, of one attempt at one replica in each interval, until the test ends or stops it.
func reports(t *testing.T, interval time.Duration, collectors ...string) (r *Reporter, told *atomic.Int64, stop func()) {
	told = &atomic.Int64{}
	r = &Reporter{Collectors: collectors, Interval: interval, TakeOutcomes: func() map[string]*dispatch.Outcomes {
		told.Add(1)
		return map[string]*dispatch.Outcomes{"b": {Attempts: 1}}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { r.Run(ctx); close(ended) }()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return r, told, stop
}

// scripted serves a collector's connections: it counts attempts, and answers probes while the test says so.
type scripted struct {
	*scriptedpeer.Listener
	tries   atomic.Int64
	open    atomic.Int64
	dials   atomic.Int64
	answers atomic.Bool
}

func script(t *testing.T, l *scriptedpeer.Listener, answers bool) *scripted {
	s := &scripted{Listener: l}
	s.answers.Store(answers)
	pool := resp.NewPool(1 << 20)
	l.Serve(func(conn net.Conn) {
		s.dials.Add(1)
		s.open.Add(1)
		defer s.open.Add(-1)
		w, done := &messageWriter{conn: conn, pool: pool}, make(chan struct{})
		defer close(done)
		for reader := resp.NewReader(conn, pool); ; {
			words, err := reader.Next()
			switch {
			case err != nil:
				return
			case words[0] == "met":
				n, _ := strconv.Atoi(words[4])
				s.tries.Add(int64(n))
			case words[0] == "probe":
				go s.answer(w, done)
			}
		}
	})
	return s
}

// answer answers a probe once probes are to be answered, unless the connection ends before.
func (s *scripted) answer(w *messageWriter, done <-chan struct{}) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !s.answers.Load() {
		select {
		case <-done:
			return
		case <-tick.C:
		}
	}
	w.send("alive")
}

// A zone's collector ends: the next one gets the reports with the next interval, and a controller gets those of the zone again
// within a few intervals. Without a second collector it never would.
func TestNextCollectorTakesOver(t *testing.T) {
	const interval = 50 * time.Millisecond
	controller := scriptedpeer.Listen(t)
	_, first, stop := collects(t, interval, controller)
	one := controller.AcceptConn()
	_, second, _ := collects(t, interval, controller)
	two := controller.AcceptConn()
	r, _, _ := reports(t, interval, first, second)
	one.WaitForMessage("agent site a")
	two.WaitForMessage("agent site a")
	one.WaitForMessage("outcomes site a target b count ")
	began := time.Now()
	stop()
	two.WaitForMessage("outcomes site a target b count ")
	gap := time.Since(began)
	t.Logf("%v after the end of the first a controller gets reports of the second, reports each %v", gap, interval)
	if gap > 20*interval {
		t.Errorf("%v without a report", gap)
	}
	if lost, unconfirmed := r.Lost.Load(), r.Unconfirmed.Load(); lost+unconfirmed > 3 {
		t.Errorf("%d sums lost, %d not confirmed", lost, unconfirmed)
	}
}

// A collector's machine vanishes, or its process stops, without closing connections: the kernel takes all that is written. It is
// given up once an answer has been missing for the timeout, and what it was sent meanwhile is counted.
func TestSilentCollectorIsGivenUp(t *testing.T) {
	const interval = 50 * time.Millisecond
	first, second := script(t, scriptedpeer.Listen(t), true), script(t, scriptedpeer.Listen(t), true)
	r, _, _ := reports(t, interval, first.Address(), second.Address())
	scriptedpeer.WaitFor(t, "the first is not used", func() bool { return first.tries.Load() > 3 })
	first.answers.Store(false)
	began := time.Now()
	scriptedpeer.WaitFor(t, "the second is not used", func() bool { return second.tries.Load() > 0 })
	if took := time.Since(began); took < silenceTimeout || took > silenceTimeout+20*interval {
		t.Errorf("given up after %v", took)
	}
	sent := int64(silenceTimeout / interval)
	if unconfirmed := r.Unconfirmed.Load(); unconfirmed < sent/2 || unconfirmed > sent+5 {
		t.Errorf("%d sums not confirmed, some %d were sent meanwhile", unconfirmed, sent)
	}
}

// The preferred collector is back: once its cool-down is over and it has answered, it gets the reports again, and until then
// the other one gets them all. One that takes connections and answers nothing does not get them.
func TestReportsReturnToThePreferredCollector(t *testing.T) {
	const interval = 20 * time.Millisecond
	l := scriptedpeer.Listen(t)
	address := l.Address()
	l.Close()
	second := script(t, scriptedpeer.Listen(t), true)
	r, told, stop := reports(t, interval, address, second.Address())
	scriptedpeer.WaitFor(t, "the second is not used", func() bool { return second.tries.Load() > 3 })
	first := script(t, scriptedpeer.ListenOn(t, address), false)
	scriptedpeer.WaitFor(t, "the first is not tried again", func() bool { return first.dials.Load() > 0 })
	before := second.tries.Load()
	scriptedpeer.WaitFor(t, "the second has no more", func() bool { return second.tries.Load() > before+10 })
	if first.tries.Load() > 0 {
		t.Error("the first has reports though it has answered nothing")
	}
	first.answers.Store(true)
	scriptedpeer.WaitFor(t, "the first has no reports", func() bool { return first.tries.Load() > 3 })
	scriptedpeer.WaitFor(t, "the connection to the second stays", func() bool { return second.open.Load() == 0 })
	stop()
	scriptedpeer.WaitFor(t, "an outcome is nowhere", func() bool {
		return first.tries.Load()+second.tries.Load()+r.Lost.Load() == told.Load()
	})
	if r.Lost.Load() > 1 {
		t.Errorf("%d lost, one at the most as nobody was there at first", r.Lost.Load())
	}
}

// A collector that takes no more connections closes them at once: its sidecars go to the next one, and do not dial it at each
// interval.
func TestFullCollectorIsLeft(t *testing.T) {
	const interval = 20 * time.Millisecond
	full := scriptedpeer.Listen(t)
	var dials atomic.Int64
	full.Serve(func(net.Conn) { dials.Add(1) })
	second := script(t, scriptedpeer.Listen(t), true)
	reports(t, interval, full.Address(), second.Address())
	scriptedpeer.WaitFor(t, "the second is not used", func() bool { return second.tries.Load() > 50 })
	if n := dials.Load(); n > 3 {
		t.Errorf("dialed %d times in %v", n, 50*interval)
	}
}

// A collector of an earlier version answers no probe. Where it is the only one it is used on.
func TestOnlyCollectorIsKeptWithoutAnswers(t *testing.T) {
	const interval = 50 * time.Millisecond
	only := script(t, scriptedpeer.Listen(t), false)
	r, told, stop := reports(t, interval, only.Address())
	scriptedpeer.WaitFor(t, "it is not used", func() bool { return told.Load() > int64((silenceTimeout+time.Second)/interval) })
	stop()
	if n := only.dials.Load(); n != 1 || r.Lost.Load() > 1 { // one as it is stopped
		t.Errorf("%d connections, %d sums lost", n, r.Lost.Load())
	}
	scriptedpeer.WaitFor(t, "an outcome is nowhere", func() bool { return only.tries.Load()+r.Lost.Load() == told.Load() })
}

// All collectors of a zone are unreachable: each is dialed once in an interval, and the first that is back gets the reports.
func TestAllCollectorsAreUnreachable(t *testing.T) {
	const interval = 50 * time.Millisecond
	one, two := scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t)
	r, _, _ := reports(t, interval, one, two)
	scriptedpeer.WaitFor(t, "nothing is lost", func() bool { return r.Lost.Load() > 5 })
	back := script(t, scriptedpeer.ListenOn(t, two), true)
	began := time.Now()
	scriptedpeer.WaitFor(t, "it is not found", func() bool { return back.tries.Load() > 0 })
	if took := time.Since(began); took > failover.CooldownInitial/2 {
		t.Errorf("found after %v", took)
	}
}

// A collector answers a probe once it has read all before it, and nothing else.
func TestCollectorAnswersProbes(t *testing.T) {
	c, at, _ := collects(t, time.Hour)
	sidecar := scriptedpeer.Dial(t, at)
	sidecar.Send("met target b count 1 fail 0 mean 1", "met target b", "probe")
	sidecar.WaitForMessage("alive")
	if c.Received.Load() != 1 || c.Skipped.Load() != 1 {
		t.Errorf("%d received, %d skipped", c.Received.Load(), c.Skipped.Load())
	}
	sidecar.Send("probe")
	if text, _ := sidecar.ReadMessage(); strings.TrimSpace(text) != "alive" {
		t.Errorf("%q", text)
	}
}
