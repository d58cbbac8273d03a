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

func TestPartsBecomeOneUpdate(t *testing.T) {
	for _, c := range []struct {
		parts []string
		want  updateMessage
		fail  string
	}{
		{[]string{"push full 1 endpoints a:1.5,b:0.2 continued 1", "push eject a,b continued 1", "push restore c continued 1", "push routes x+y admit 0.9 policy 2 nonce_out 905"},
			updateMessage{parts: []dispatch.Update{{Full: true, Weights: map[string]float64{"a": 1.5, "b": 0.2}}, {Eject: []string{"a", "b"}}, {Uneject: []string{"c"}},
				{Classes: []string{"x", "y"}, Settings: []dispatch.ClassSettings{{Admission: 0.9, Retry: control.RetryOnce}}}}, wantsAck: true, nonce: 905}, ""},
		{[]string{"push nonce_out 0"}, updateMessage{parts: []dispatch.Update{{}}, wantsAck: true}, ""},
		{[]string{"push later 7 full 0"}, updateMessage{parts: []dispatch.Update{{}}}, ""}, // a field of a later protocol
		{[]string{"push endpoints a:1 continued 2"}, updateMessage{}, "continued"},
		{[]string{"push endpoints a"}, updateMessage{}, "endpoints"}, {[]string{"push endpoints :1"}, updateMessage{}, "endpoints"}, {[]string{"push endpoints a:x"}, updateMessage{}, "endpoints"},
		{[]string{"push admit 1"}, updateMessage{}, "admit and policy"}, {[]string{"push admit 1 policy x"}, updateMessage{}, "policy"}, {[]string{"push nonce_out -1"}, updateMessage{}, "nonce_out"},
		{[]string{"push full"}, updateMessage{}, "malformed"}, {[]string{"pull"}, updateMessage{}, "malformed"}, {[]string{""}, updateMessage{}, "malformed"},
	} {
		var p updateMessage
		var err error
		for _, part := range c.parts {
			if err = p.addPart(strings.Fields(part)); err != nil {
				break
			}
		}
		if c.fail != "" {
			if !errors.Is(err, errMalformed) || !strings.Contains(err.Error(), c.fail) {
				t.Errorf("%q: %v", c.parts, err)
			}
		} else if err != nil || !reflect.DeepEqual(p, c.want) {
			t.Errorf("%q: %+v %v", c.parts, p, err)
		}
	}
	p := updateMessage{}
	for k := range maxParts + 1 {
		if err := p.addPart([]string{"push", "continued", "1"}); (err != nil) != (k == maxParts) {
			t.Errorf("part %d: %v", k, err)
		}
	}
}

func FuzzUpdatePart(f *testing.F) {
	f.Add("push full 1 endpoints a:1.5,b:0.2 continued 1 admit 1 policy 2")
	f.Fuzz(func(t *testing.T, text string) {
		var p updateMessage
		if err := p.addPart(strings.Split(text, " ")); err == nil {
			d, _ := dispatch.New(dispatch.Config{MaxRequests: 1, Classes: []dispatch.Class{{Name: "x"}}})
			d.Apply(1, p.parts...)
		} else if len(p.parts) != 0 {
			t.Errorf("%q: left %v after %v", text, p.parts, err)
		}
	})
}

// dispatcher keeps what was applied.
type dispatcher struct {
	mu      sync.Mutex
	applied [][]dispatch.Update
	fail    error
	usage   []dispatch.Demand
}

func (c *dispatcher) Apply(parts []dispatch.Update) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail == nil {
		c.applied = append(c.applied, parts)
	}
	return c.fail
}
func (c *dispatcher) HasTables() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.applied) > 0 }
func (c *dispatcher) TakeDemand() []dispatch.Demand {
	return c.usage
}
func (c *dispatcher) updates() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.applied) }

// scriptedController records what it receives, and sends what the test says.
type scriptedController struct {
	net.Listener
	heard chan string
	conns chan net.Conn
	pool  *resp.Pool
}

func listen(t *testing.T) *scriptedController {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &scriptedController{l, make(chan string, 1000), make(chan net.Conn, 100), resp.NewPool(1 << 20)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			g.conns <- conn
			go func() {
				for r := resp.NewReader(conn, g.pool); ; {
					words, err := r.Next()
					if err != nil {
						g.heard <- "gone"
						return
					}
					if text := strings.Join(words, " "); text != "probe" {
						g.heard <- text
					} else {
						resp.Write(conn, g.pool, "alive")
					}
				}
			}()
		}
	}()
	return g
}

func (g *scriptedController) says(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := resp.Write(conn, g.pool, strings.Fields(text)...); err != nil {
		t.Fatal(err)
	}
}

func (g *scriptedController) hears(t *testing.T, want string) string {
	t.Helper()
	for limit := time.After(8 * time.Second); ; {
		select {
		case text := <-g.heard:
			if strings.HasPrefix(text, want) {
				return text
			}
		case <-limit:
			t.Fatalf("not heard: %s", want)
		}
	}
}

func client(t *testing.T, c *dispatcher, to ...*scriptedController) *Client {
	cl := &Client{ID: 0, Zone: "a", Classes: []string{"x"}, Dispatcher: c, Log: slog.New(slog.DiscardHandler)}
	for _, g := range to {
		cl.Controllers = append(cl.Controllers, g.Addr().String())
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { cl.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
	return cl
}

func TestStreamAndWhatEndsIt(t *testing.T) {
	g, c := listen(t), &dispatcher{usage: []dispatch.Demand{{Requests: 7, Failures: 2}}}
	cl := client(t, c, g)
	conn := <-g.conns
	g.hears(t, "hello id 0 site a rps 0.000 new 1")
	g.says(t, conn, "push full 1 endpoints a:1 continued 1")
	g.says(t, conn, "push eject b nonce_out 5")
	g.hears(t, "ack id 0 seq 5 ms ")
	g.hears(t, "demand id 0 lane x count 7 fail 2 over ")
	if c.updates() != 1 || cl.Controller() == "" {
		t.Errorf("%d applied, following %q", c.updates(), cl.Controller())
	}
	g.says(t, conn, "push endpoints a:1 continued 1") // it dies between two parts of one message
	conn.Close()
	conn = <-g.conns
	g.hears(t, "hello id 0 site a rps 0.000 new 0")
	if c.updates() != 1 {
		t.Errorf("half an update was applied")
	}
	g.says(t, conn, "push full 1 endpoints a:x")
	g.hears(t, "gone")
	conn = <-g.conns
	c.mu.Lock()
	c.fail = fmt.Errorf("%w: so", dispatch.ErrInvalidUpdate)
	c.mu.Unlock()
	g.says(t, conn, "push full 1 endpoints a:1 nonce_out 6")
	g.hears(t, "gone") // and no ack before
	conn = <-g.conns
	g.says(t, conn, "error reason none")
	g.hears(t, "gone")
	if n := cl.Counters.InvalidUpdates.Load(); n != 2 {
		t.Errorf("%d invalid updates", n)
	}
}

// One controller accepts and says nothing, another is not there: the third is found, and the tables stay meanwhile.
func TestClientFindsAnotherController(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gone, there := listen(t), listen(t)
	gone.Close()
	c := &dispatcher{}
	cl := &Client{Zone: "a", Dispatcher: c, Log: slog.New(slog.DiscardHandler), Controllers: []string{silent.Addr().String(), gone.Addr().String(), there.Addr().String()}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { cl.Run(ctx); close(ended) }()
	defer func() { stop(); <-ended }()
	there.hears(t, "hello")
	there.says(t, <-there.conns, "push full 1 endpoints a:1 nonce_out 1")
	there.hears(t, "ack id 0 seq 1")
}

func TestCollectorSumsAndForwards(t *testing.T) {
	g := listen(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &Collector{Zone: "a", Controllers: []string{g.Addr().String()}, Interval: 300 * time.Millisecond, MaxSidecars: 2, Log: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Serve(ctx, l); close(ended) }()
	defer func() { stop(); <-ended }()
	g.hears(t, "agent site a")
	once := func(s map[string]*dispatch.Outcomes) func() map[string]*dispatch.Outcomes {
		var mu sync.Mutex
		return func() map[string]*dispatch.Outcomes {
			mu.Lock()
			defer mu.Unlock()
			all := s
			s = nil
			return all
		}
	}
	for k := range 2 {
		reporter := &Reporter{Collectors: []string{l.Addr().String()}, Interval: 20 * time.Millisecond, TakeOutcomes: once(map[string]*dispatch.Outcomes{"b": {Attempts: 10 + k, Failures: 1, ResponseTime: time.Duration(9+k) * 40e6}, "c": {Attempts: 1, Failures: 1}})}
		go reporter.Run(ctx)
	}
	g.hears(t, "outcomes site a target b count 21 fail 2 mean 40.000 over ")
	g.hears(t, "outcomes site a target c count 2 fail 2 mean 0.000 over ")
	for _, bad := range []string{"met", "met target b count -1 fail 0 mean 1", "met target b count 1 fail 2 mean 1", "met target b count 1 fail 0 mean NaN", "met target  count 1 fail 0 mean 1", "hello id 1"} {
		if err := c.receive(strings.Split(bad, " ")); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}
