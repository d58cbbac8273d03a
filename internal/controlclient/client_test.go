package controlclient

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/resp"
)

func TestPartsAreAssembledIntoOneUpdate(t *testing.T) {
	for _, c := range []struct {
		parts     []string
		want      updateMessage
		wantError string
	}{
		{[]string{"push full 1 endpoints a:1.5,b:0.2 continued 1", "push eject a,b continued 1", "push restore c continued 1", "push routes x+y admit 0.9 policy 2 nonce_out 905"},
			updateMessage{parts: []dispatch.UpdatePart{{Replace: true, Weights: map[string]float64{"a": 1.5, "b": 0.2}}, {Eject: []string{"a", "b"}}, {Uneject: []string{"c"}},
				{Classes: []string{"x", "y"}, Settings: []dispatch.ClassSettings{{Admission: 0.9, Retry: control.RetryOnce}}}}, wantsAck: true, nonce: 905}, ""},
		{[]string{"push nonce_out 0"}, updateMessage{parts: []dispatch.UpdatePart{{}}, wantsAck: true}, ""},
		{[]string{"push later 7 full 0"}, updateMessage{parts: []dispatch.UpdatePart{{}}}, ""}, // a field of a later protocol version
		{[]string{"push endpoints a:1 continued 2"}, updateMessage{}, "continued"},
		{[]string{"push endpoints a"}, updateMessage{}, "endpoints"}, {[]string{"push endpoints :1"}, updateMessage{}, "endpoints"}, {[]string{"push endpoints a:x"}, updateMessage{}, "endpoints"},
		{[]string{"push admit 1"}, updateMessage{}, "admit and policy"}, {[]string{"push admit 1 policy x"}, updateMessage{}, "policy"}, {[]string{"push nonce_out -1"}, updateMessage{}, "nonce_out"},
		{[]string{"push full"}, updateMessage{}, "malformed"}, {[]string{"pull"}, updateMessage{}, "malformed"}, {[]string{""}, updateMessage{}, "malformed"},
	} {
		var message updateMessage
		var err error
		for _, part := range c.parts {
			if err = message.addPart(strings.Fields(part)); err != nil {
				break
			}
		}
		if c.wantError != "" {
			if !errors.Is(err, errMalformed) || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("parts %q: error %v, want errMalformed with %q", c.parts, err, c.wantError)
			}
		} else if err != nil || !reflect.DeepEqual(message, c.want) {
			t.Errorf("parts %q: update %+v, error %v, want %+v", c.parts, message, err, c.want)
		}
	}
	message := updateMessage{}
	for k := range maxParts + 1 {
		if err := message.addPart([]string{"push", "continued", "1"}); (err != nil) != (k == maxParts) {
			t.Errorf("part %d: error %v, want one only for a part above the limit of %d", k, err, maxParts)
		}
	}
}

func FuzzUpdatePart(f *testing.F) {
	f.Add("push full 1 endpoints a:1.5,b:0.2 continued 1 admit 1 policy 2")
	f.Fuzz(func(t *testing.T, text string) {
		var message updateMessage
		if err := message.addPart(strings.Split(text, " ")); err == nil {
			d, _ := dispatch.New(dispatch.Config{MaxRequests: 1, Classes: []dispatch.Class{{Name: "x"}}})
			d.Apply(1, message.parts...)
		} else if len(message.parts) != 0 {
			t.Errorf("part %q: parts %v kept after error %v, want none", text, message.parts, err)
		}
	})
}

// recordingDispatcher records the applied updates, and returns fixed demand.
type recordingDispatcher struct {
	mu         sync.Mutex
	applied    [][]dispatch.UpdatePart
	applyError error
	demand     []dispatch.Demand
}

func (d *recordingDispatcher) Apply(parts []dispatch.UpdatePart) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.applyError == nil {
		d.applied = append(d.applied, parts)
	}
	return d.applyError
}
func (d *recordingDispatcher) HasTables() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.applied) > 0
}
func (d *recordingDispatcher) TakeDemand() []dispatch.Demand {
	return d.demand
}
func (d *recordingDispatcher) updates() int { d.mu.Lock(); defer d.mu.Unlock(); return len(d.applied) }

// scriptedController records the messages that it receives except probes, which it answers, and sends the messages of the
// test.
type scriptedController struct {
	net.Listener
	received chan string
	conns    chan net.Conn
	pool     *resp.Pool
}

// listenAsController starts a scriptedController.
func listenAsController(t *testing.T) *scriptedController {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	controller := &scriptedController{l, make(chan string, 1000), make(chan net.Conn, 100), resp.NewPool(1 << 20)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			controller.conns <- conn
			go func() {
				for r := resp.NewReader(conn, controller.pool); ; {
					words, err := r.Next()
					if err != nil {
						controller.received <- "closed"
						return
					}
					if text := strings.Join(words, " "); text != "probe" {
						controller.received <- text
					} else {
						resp.Write(conn, controller.pool, "alive")
					}
				}
			}()
		}
	}()
	return controller
}

// send sends one message on a connection.
func (c *scriptedController) send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := resp.Write(conn, c.pool, strings.Fields(text)...); err != nil {
		t.Fatal(err)
	}
}

// waitFor waits for a message that begins with a given string, and returns it. Other messages are discarded.
func (c *scriptedController) waitFor(t *testing.T, prefix string) string {
	t.Helper()
	for limit := time.After(8 * time.Second); ; {
		select {
		case text := <-c.received:
			if strings.HasPrefix(text, prefix) {
				return text
			}
		case <-limit:
			t.Fatalf("no message received that begins with %q", prefix)
		}
	}
}

// startScriptedClient runs a Client of scripted controllers until the test ends.
func startScriptedClient(t *testing.T, dispatcher *recordingDispatcher, controllers ...*scriptedController) *Client {
	client := &Client{ProxyID: 0, Zone: "a", Classes: []string{"x"}, Dispatcher: dispatcher, Log: slog.New(slog.DiscardHandler)}
	for _, controller := range controllers {
		client.Controllers = append(client.Controllers, controller.Addr().String())
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
	return client
}

func TestStreamAppliesUpdatesAndEndsOnErrors(t *testing.T) {
	controller, dispatcher := listenAsController(t), &recordingDispatcher{demand: []dispatch.Demand{{Requests: 7, Failures: 2}}}
	client := startScriptedClient(t, dispatcher, controller)
	conn := <-controller.conns
	controller.waitFor(t, "hello id 0 site a rps 0.000 new 1")
	controller.send(t, conn, "push full 1 endpoints a:1 continued 1")
	controller.send(t, conn, "push eject b nonce_out 5")
	controller.waitFor(t, "ack id 0 seq 5 ms ")
	controller.waitFor(t, "demand id 0 lane x count 7 fail 2 over ")
	if dispatcher.updates() != 1 || client.Controller() == "" {
		t.Errorf("%d updates applied, controller %q; want 1 update and an address", dispatcher.updates(), client.Controller())
	}
	controller.send(t, conn, "push endpoints a:1 continued 1") // the stream ends between two parts of one update
	conn.Close()
	conn = <-controller.conns
	controller.waitFor(t, "hello id 0 site a rps 0.000 new 0")
	if dispatcher.updates() != 1 {
		t.Errorf("%d updates applied, want the incomplete one not to be applied", dispatcher.updates())
	}
	controller.send(t, conn, "push full 1 endpoints a:x")
	controller.waitFor(t, "closed")
	conn = <-controller.conns
	dispatcher.mu.Lock()
	dispatcher.applyError = fmt.Errorf("%w: refused by the test", dispatch.ErrInvalidUpdate)
	dispatcher.mu.Unlock()
	controller.send(t, conn, "push full 1 endpoints a:1 nonce_out 6")
	controller.waitFor(t, "closed") // no ack was sent before the close
	conn = <-controller.conns
	controller.send(t, conn, "error reason none")
	controller.waitFor(t, "closed")
	if n := client.Counters.InvalidUpdates.Load(); n != 2 {
		t.Errorf("%d invalid updates counted, want 2", n)
	}
}

// One controller accepts connections and sends nothing, another is not listening: the client connects to the third
// controller.
func TestClientTriesControllersUntilOneSendsUpdates(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	unreachable, working := listenAsController(t), listenAsController(t)
	unreachable.Close()
	dispatcher := &recordingDispatcher{}
	client := &Client{Zone: "a", Dispatcher: dispatcher, Log: slog.New(slog.DiscardHandler), Controllers: []string{silent.Addr().String(), unreachable.Addr().String(), working.Addr().String()}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	defer func() { stop(); <-ended }()
	working.waitFor(t, "hello")
	working.send(t, <-working.conns, "push full 1 endpoints a:1 nonce_out 1")
	working.waitFor(t, "ack id 0 seq 1")
}

func TestCollectorForwardsSumsOfOutcomes(t *testing.T) {
	controller := listenAsController(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	collector := &Collector{Zone: "a", Controllers: []string{controller.Addr().String()}, Interval: 300 * time.Millisecond, MaxSidecars: 2, Log: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { collector.Serve(ctx, l); close(ended) }()
	defer func() { stop(); <-ended }()
	controller.waitFor(t, "agent site a")
	takeOnce := func(outcomes map[string]*dispatch.OutcomeSum) func() map[string]*dispatch.OutcomeSum {
		var mu sync.Mutex
		return func() map[string]*dispatch.OutcomeSum {
			mu.Lock()
			defer mu.Unlock()
			taken := outcomes
			outcomes = nil
			return taken
		}
	}
	for k := range 2 {
		reporter := &Reporter{Collectors: []string{l.Addr().String()}, Interval: 20 * time.Millisecond, TakeOutcomes: takeOnce(map[string]*dispatch.OutcomeSum{"b": {Attempts: 10 + k, Failures: 1, ResponseTime: time.Duration(9+k) * 40e6}, "c": {Attempts: 1, Failures: 1}})}
		go reporter.Run(ctx)
	}
	controller.waitFor(t, "outcomes site a target b count 21 fail 2 mean 40.000 over ")
	controller.waitFor(t, "outcomes site a target c count 2 fail 2 mean 0.000 over ")
	for _, bad := range []string{"met", "met target b count -1 fail 0 mean 1", "met target b count 1 fail 2 mean 1", "met target b count 1 fail 0 mean NaN", "met target  count 1 fail 0 mean 1", "hello id 1"} {
		if err := collector.receive(strings.Split(bad, " "), collector.newReportSource()); err == nil {
			t.Errorf("unusable report %q is accepted", bad)
		}
	}
}
