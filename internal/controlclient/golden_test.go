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

// goldenDispatcher is a sidecar's dispatcher with fixed demand.
type goldenDispatcher struct{ noTables bool }

func (d *goldenDispatcher) Apply([]dispatch.UpdatePart) error {
	time.Sleep(1500 * time.Microsecond)
	return nil
}
func (d *goldenDispatcher) HasTables() bool { return !d.noTables }
func (d *goldenDispatcher) TakeDemand() []dispatch.Demand {
	return []dispatch.Demand{{Requests: 19, Failures: 2}, {}, {Failures: 1}}
}

// bytesWritten returns the bytes that act writes to a connection. It is to be called in a synctest bubble.
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

// sentMessages returns the messages of sidecars and collectors to controllers and to each other, as quoted Go strings. The
// names of the messages are part of the golden file.
func sentMessages(t *testing.T) []byte {
	t.Helper()
	client := func(dispatcher goldenDispatcher) *Client {
		return &Client{ProxyID: 17, Zone: "a", Rate: 21.5, Classes: []string{"lookup", "order", "scan"}, Dispatcher: &dispatcher, Log: slog.New(slog.DiscardHandler), demandSince: time.Now()}
	}
	var b bytes.Buffer
	for _, m := range []struct {
		name string
		act  func(w *messageWriter) error
	}{
		{"hello of a proxy without tables", func(w *messageWriter) error { return client(goldenDispatcher{noTables: true}).sendHello(w) }},
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
			return (&collectorConn{writer: w}).sendOutcomes("s-5", &dispatch.OutcomeSum{Attempts: 212, Failures: 3, ResponseTime: time.Duration(209 * 41700 * time.Microsecond)})
		}},
		{"outcomes of a sidecar, all failed", func(w *messageWriter) error {
			return (&collectorConn{writer: w}).sendOutcomes("s-5", &dispatch.OutcomeSum{Attempts: 3, Failures: 3})
		}},
		{"probe of a collector", func(w *messageWriter) error { return (&collectorConn{writer: w}).probe(1) }},
		{"outcomes of a collector", func(w *messageWriter) error {
			c := &Collector{Zone: "a"}
			pending := newPendingOutcomes(time.Second, 0)
			pending.beginRound()
			time.Sleep(time.Second)
			pending.add(0, outcomeReport{replica: "s-5", attempts: 200, failures: 2, meanMillis: 40})
			pending.add(0, outcomeReport{replica: "s-5", attempts: 12, failures: 1, meanMillis: 72.5})
			return c.sendOutcomes(w, pending)
		}},
	} {
		fmt.Fprintf(&b, "%s\n  %q\n", m.name, bytesWritten(t, m.act))
	}
	return b.Bytes()
}

// describe formats an update field by field. The words of the format are part of the golden file.
func describe(m updateMessage) string {
	text := fmt.Sprintf("wants ack %t, nonce %d, unfinished %t", m.wantsAck, m.nonce, m.unfinished)
	for _, part := range m.parts {
		text += fmt.Sprintf("; part classes=%q full=%t ejected=%q restored=%q", part.Classes, part.Replace, part.Eject, part.Uneject)
		for _, replica := range slices.Sorted(maps.Keys(part.Weights)) {
			text += fmt.Sprintf(" endpoint=%q:%g", replica, part.Weights[replica])
		}
		for _, settings := range part.Settings {
			text += fmt.Sprintf(" share=%g retries=%d", settings.Admission, settings.Retry)
		}
	}
	return text
}

// parsedUpdates returns descriptions of the updates parsed from valid and invalid parts.
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

// outcomeReports returns descriptions of the reports that a collector parses from valid and invalid messages of sidecars.
func outcomeReports() []byte {
	var b bytes.Buffer
	for _, text := range []string{
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
		report, err := parseOutcomeReport(strings.Fields(text))
		fmt.Fprintf(&b, "%s\n  replica=%q attempts=%d failures=%d mean_ms=%g; error %v\n", text, report.replica, report.attempts, report.failures, report.meanMillis, err)
	}
	return b.Bytes()
}

func TestSentMessagesMatchTheGoldenFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := sentMessages(t)
		golden.Compare(t, sentFile, output)
		golden.CheckDetectsChange(t, sentFile, output)
	})
}

func TestReceivedMessagesMatchTheGoldenFile(t *testing.T) {
	output := append(parsedUpdates(), outcomeReports()...)
	golden.Compare(t, receivedFile, output)
	golden.CheckDetectsChange(t, receivedFile, output)
}

// This test checks messages that need a whole connection, in addition to the messages of the golden files: how a collector
// joins a controller, and how it answers a sidecar's probe.
func TestCollectorJoinAndProbeAnswerBytes(t *testing.T) {
	controller, sidecarListener := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	c := &Collector{Zone: "a", Controllers: []string{controller.Address()}, Interval: time.Hour, MaxSidecars: 1, Log: slog.New(slog.DiscardHandler)}
	ended := make(chan struct{})
	go func() { defer close(ended); c.Serve(ctx, sidecarListener) }()
	t.Cleanup(func() { stop(); <-ended })
	for _, m := range []struct {
		name, sends, want string
		conn              *scriptedpeer.Conn
	}{
		{"joining", "", "*3\r\n$5\r\nagent\r\n$4\r\nsite\r\n$1\r\na\r\n", controller.AcceptConn()},
		{"answer to a probe", "*1\r\n$5\r\nprobe\r\n", "*1\r\n$5\r\nalive\r\n", scriptedpeer.Dial(t, sidecarListener.Address())},
	} {
		t.Run(m.name, func(t *testing.T) {
			m.conn.SendRaw(m.sends)
			got := make([]byte, len(m.want))
			if _, err := io.ReadFull(m.conn.Reader, got); err != nil || string(got) != m.want {
				t.Errorf("received %q, error %v, want %q", got, err, m.want)
			}
		})
	}
}
