package configserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/configclient"
	"lilacbend/internal/configwatch"
	"lilacbend/internal/revision"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// runningServer is a server that runs until stop or the end of the test.
type runningServer struct {
	*Server
	t    testing.TB
	log  *logBuffer
	stop func()
}

func start(t testing.TB, o Options) *runningServer {
	t.Helper()
	r := &runningServer{t: t, log: &logBuffer{}}
	o.Log = slog.New(slog.NewTextHandler(r.log, nil))
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.PollInterval == 0 {
		o.PollInterval = 20 * time.Millisecond
	}
	var err error
	if r.Server, err = New(o); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	var once sync.Once
	r.stop = func() {
		once.Do(func() {
			begun := time.Now()
			cancel()
			select {
			case err := <-ended:
				if span := time.Since(begun); err != nil || span > 2*shutdownTimeout {
					t.Errorf("%s ended after %v: %v", o.Name, span, err)
				}
			case <-time.After(scriptedpeer.WaitTimeout):
				t.Errorf("%s does not end", o.Name)
			}
		})
	}
	t.Cleanup(r.stop)
	return r
}

// exampleSettings are the example's, with another name of its first traffic class.
func exampleSettings(t testing.TB, class string) []byte {
	t.Helper()
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	return bytes.Replace(file.Settings, []byte(`"lookup"`), []byte(fmt.Sprintf("%q", class)), 1)
}

func write(t testing.TB, folder, name string, raw []byte) {
	t.Helper()
	at := filepath.Join(folder, name)
	if err := os.WriteFile(at+".new", raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(at+".new", at); err != nil {
		t.Fatal(err)
	}
}

// controllerClient is a follower of one service that applies every version but one that names the class "refused".
type controllerClient struct {
	*configwatch.Watcher
	t    testing.TB
	mu   sync.Mutex
	seen []revision.Version
	has  string
}

func follow(t testing.TB, service string, servers ...configclient.Server) *controllerClient {
	t.Helper()
	g := &controllerClient{t: t}
	var err error
	g.Watcher, err = configwatch.New(configwatch.Options{Instance: "n0", Service: service, Region: "r0", Zone: "a", Servers: servers, Seed: 1, OnOffer: g.offer})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return g
}

func (g *controllerClient) offer(v revision.Version, settings []byte) {
	g.mu.Lock()
	if len(g.seen) > 0 && !v.Newer(g.seen[len(g.seen)-1]) {
		g.t.Errorf("%s is offered after %s", v, g.seen[len(g.seen)-1])
	}
	g.seen = append(g.seen, v)
	reject := bytes.Contains(settings, []byte(`"refused"`))
	if !reject {
		g.has = string(settings)
	}
	g.mu.Unlock()
	if reject {
		g.Rejected(v, fmt.Errorf("setting lanes.0.name is refused"))
	} else {
		g.Applied(v)
	}
}

// until waits until the settings with a class are active.
func (g *controllerClient) until(class string) {
	g.t.Helper()
	scriptedpeer.WaitFor(g.t, class+" is not active", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return strings.Contains(g.has, fmt.Sprintf("%q", class))
	})
}

func at(r *runningServer) configclient.Server {
	return configclient.Server{Address: r.Address(), Region: "r0"}
}

// gate forwards connections to a server, and can be cut silently: connections stay open, and nothing is forwarded.
type gate struct {
	net.Listener
	t  testing.TB
	to string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newGate(t testing.TB, to string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{Listener: l, t: t, to: to}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go g.pass(conn)
		}
	}()
	t.Cleanup(func() { l.Close(); g.close() })
	return g
}

func (g *gate) pass(from net.Conn) {
	to, err := net.Dial("tcp", g.to)
	if err != nil {
		from.Close()
		return
	}
	g.mu.Lock()
	g.conns = append(g.conns, from, to)
	g.mu.Unlock()
	go g.copy(to, from)
	go g.copy(from, to)
}

func (g *gate) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		g.mu.Lock()
		cut := g.cut
		g.mu.Unlock()
		if !cut {
			to.Write(buffer[:n])
		}
	}
}

func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.conns {
		conn.Close()
	}
}
