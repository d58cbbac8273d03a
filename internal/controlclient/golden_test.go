package controlclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/golden"
	"lilacbend/internal/resp"
)

const (
	sentFile     = "sent.golden"
	receivedFile = "received.golden"
)

// goldenDispatcher is a sidecar's dispatcher with fixed figures.
type goldenDispatcher struct{ blank bool }

func (c *goldenDispatcher) Apply([]dispatch.Update) error {
	time.Sleep(1500 * time.Microsecond)
	return nil
}
func (c *goldenDispatcher) HasTables() bool { return !c.blank }
func (c *goldenDispatcher) TakeDemand() []dispatch.Demand {
	return []dispatch.Demand{{Requests: 19, Failures: 2}, {}, {Failures: 1}}
}

// bytesWritten returns what act writes to a connection. It is for use in a synctest bubble.
func bytesWritten(t *testing.T, act func(w *messageWriter) error) []byte {
	t.Helper()
	local, remote := net.Pipe()
	var b bytes.Buffer
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		io.Copy(&b, remote)
	}()
	err := act(&messageWriter{conn: local, pool: resp.NewPool(1 << 20)})
	local.Close()
	<-copied
	if err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// sent returns all that sidecars and collectors write to controllers and to each other, as text in Go's quotes.
func sent(t *testing.T) []byte {
	t.Helper()
	client := func(c goldenDispatcher) *Client {
		return &Client{ID: 17, Zone: "a", Rate: 21.5, Classes: []string{"lookup", "order", "scan"}, Dispatcher: &c, Log: slog.New(slog.DiscardHandler), demandSince: time.Now()}
	}
	var b bytes.Buffer
	for _, m := range []struct {
		name string
		act  func(w *messageWriter) error
	}{
		{"hello of a proxy without tables", func(w *messageWriter) error { return client(goldenDispatcher{blank: true}).sendHello(w) }},
		{"hello of a proxy with tables", func(w *messageWriter) error { return client(goldenDispatcher{}).sendHello(w) }},
		{"ack", func(w *messageWriter) error {
			return client(goldenDispatcher{}).apply(w, updateMessage{wantsAck: true, nonce: 1<<64 - 1})
		}},
		{"update without ack", func(w *messageWriter) error { return client(goldenDispatcher{}).apply(w, updateMessage{}) }},
		{"demand", func(w *messageWriter) error {
			c := client(goldenDispatcher{})
			time.Sleep(1000500 * time.Microsecond)
			return c.sendDemand(w)
		}},
		{"outcomes of a sidecar", func(w *messageWriter) error {
			return (&collectorConn{writer: w}).sendOutcomes("s-5", &dispatch.Outcomes{Attempts: 212, Failures: 3, ResponseTime: time.Duration(209 * 41700 * time.Microsecond)})
		}},
		{"outcomes of a sidecar, all failed", func(w *messageWriter) error {
			return (&collectorConn{writer: w}).sendOutcomes("s-5", &dispatch.Outcomes{Attempts: 3, Failures: 3})
		}},
		{"probe of a collector", func(w *messageWriter) error { return (&collectorConn{writer: w}).probe(1) }},
		{"outcomes of a collector", func(w *messageWriter) error {
			c := &Collector{Zone: "a"}
			pending := newPendingOutcomes(time.Second, 0)
			pending.begin()
			time.Sleep(time.Second)
			pending.add(outcomeReport{replica: "s-5", attempts: 200, failures: 2, meanMillis: 40})
			pending.add(outcomeReport{replica: "s-5", attempts: 12, failures: 1, meanMillis: 72.5})
			return c.sendOutcomes(w, pending)
		}},
	} {
		fmt.Fprintf(&b, "%s\n  %q\n", m.name, bytesWritten(t, m.act))
	}
	return b.Bytes()
}

// describe writes an update field by field.
func describe(m updateMessage) string {
	text := fmt.Sprintf("wants ack %t, nonce %d, unfinished %t", m.wantsAck, m.nonce, m.unfinished)
	for _, p := range m.parts {
		text += fmt.Sprintf("; part classes=%q full=%t ejected=%q restored=%q", p.Classes, p.Full, p.Eject, p.Uneject)
		for _, replica := range slices.Sorted(maps.Keys(p.Weights)) {
			text += fmt.Sprintf(" endpoint=%q:%g", replica, p.Weights[replica])
		}
		for _, level := range p.Settings {
			text += fmt.Sprintf(" share=%g retries=%d", level.Admission, level.Retry)
		}
	}
	return text
}

// parsedUpdates returns what is read from the parts of updates.
func parsedUpdates() []byte {
	var b bytes.Buffer
	for _, parts := range [][]string{
		{"push full 1 endpoints s-1:1.5,s-2:0.0000001,s-3:0 continued 1", "push eject s-2 continued 1", "push restore s-1,s-3 continued 1",
			"push routes lookup+order admit 0.9 policy 1 continued 1", "push routes scan policy 3 admit 340282350000000000000000000000000000000 nonce_out 905"},
		{"push full 1"},
		{"push full 0 endpoints s-1:2"},
		{"push endpoints s-1:1 continued 1"},
		{"push admit 1 policy 2"},
		{"push nonce_out 18446744073709551615"},
		{"push later 7"},
		{"push full 2"},
		{"push endpoints s-1"},
		{"push endpoints :1"},
		{"push admit 1"},
		{"push admit x policy 1"},
		{"push nonce_out -1"},
		{"push full"},
		{"pull"},
	} {
		var m updateMessage
		var err error
		for _, part := range parts {
			err = errors.Join(err, m.addPart(strings.Fields(part)))
		}
		fmt.Fprintf(&b, "%s\n  %s; error %v\n", strings.Join(parts, " | "), describe(m), err)
	}
	return b.Bytes()
}

// outcomeReports returns what a collector reads from sidecars.
func outcomeReports() []byte {
	var b bytes.Buffer
	for _, words := range []string{
		"met target s-5 count 212 fail 3 mean 41.700",
		"met target s-5 count 0 fail 0 mean 0.000",
		"met target s-5 count 16777216 fail 16777216 mean 10000000",
		"met target s-5 count 3 fail 4 mean 1",
		"met target s-5 count 16777217 fail 0 mean 1",
		"met target s-5 count 1 fail 0 mean 10000001",
		"met target s-5 count x fail 0 mean 1",
		"met target s-5 count 1 fail 0",
		"outcomes target s-5 count 1 fail 0 mean 1",
	} {
		report, err := parseOutcomeReport(strings.Fields(words))
		fmt.Fprintf(&b, "%s\n  replica=%q attempts=%d failures=%d mean_ms=%g; error %v\n", words, report.replica, report.attempts, report.failures, report.meanMillis, err)
	}
	return b.Bytes()
}

func TestSentMessagesMatchTheGoldenFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := sent(t)
		golden.Compare(t, sentFile, output)
		golden.CheckDetectsChange(t, sentFile, output)
	})
}

func TestReceivedMessagesMatchTheGoldenFile(t *testing.T) {
	output := append(parsedUpdates(), outcomeReports()...)
	golden.Compare(t, receivedFile, output)
	golden.CheckDetectsChange(t, receivedFile, output)
}

// The messages of whole connections, beside those above: how a collector joins, and what a sidecar asks and a collector answers.
func TestCollectorJoinsAndAnswersInBytes(t *testing.T) {
	controller, inlet := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	c := &Collector{Zone: "a", Controllers: []string{controller.Address()}, Interval: time.Hour, MaxSidecars: 1, Log: slog.New(slog.DiscardHandler)}
	ended := make(chan struct{})
	go func() { defer close(ended); c.Serve(ctx, inlet) }()
	t.Cleanup(func() { stop(); <-ended })
	for _, m := range []struct {
		name, sends, want string
		conn              *scriptedpeer.Conn
	}{
		{"joining", "", "*3\r\n$5\r\nagent\r\n$4\r\nsite\r\n$1\r\na\r\n", controller.AcceptConn()},
		{"answer to a probe", "*1\r\n$5\r\nprobe\r\n", "*1\r\n$5\r\nalive\r\n", scriptedpeer.Dial(t, inlet.Address())},
	} {
		t.Run(m.name, func(t *testing.T) {
			m.conn.SendRaw(m.sends)
			got := make([]byte, len(m.want))
			if _, err := io.ReadFull(m.conn.Reader, got); err != nil || string(got) != m.want {
				t.Errorf("%q %v, want %q", got, err, m.want)
			}
		})
	}
}
