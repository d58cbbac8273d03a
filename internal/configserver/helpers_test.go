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

// runningServer is a server that runs until stop is called or the test ends.
type runningServer struct {
	*Server
	t    testing.TB
	log  *scriptedpeer.LogBuffer
	stop func()
}

// startServer starts a server. If options has no address or no poll interval, defaults for tests are used.
func startServer(t testing.TB, options Options) *runningServer {
	t.Helper()
	server := &runningServer{t: t, log: &scriptedpeer.LogBuffer{}}
	options.Log = slog.New(slog.NewTextHandler(server.log, nil))
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.PollInterval == 0 {
		options.PollInterval = 20 * time.Millisecond
	}
	var err error
	if server.Server, err = New(options); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	var once sync.Once
	server.stop = func() {
		once.Do(func() {
			stoppedAt := time.Now()
			cancel()
			select {
			case err := <-ended:
				if elapsed := time.Since(stoppedAt); err != nil || elapsed > 2*shutdownTimeout {
					t.Errorf("server %s ended %v after its context: %v", options.Name, elapsed, err)
				}
			case <-time.After(scriptedpeer.WaitTimeout):
				t.Errorf("server %s did not end", options.Name)
			}
		})
	}
	t.Cleanup(server.stop)
	return server
}

// exampleSettings returns the settings of example/config.json with another name of the first traffic class.
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

// writeFile writes a file atomically.
func writeFile(t testing.TB, folder, name string, raw []byte) {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// controllerClient is a follower of one service that applies every version except those with a traffic class "refused".
type controllerClient struct {
	*configwatch.Watcher
	t        testing.TB
	mu       sync.Mutex
	offered  []revision.Version
	settings string // JSON of the last applied version
}

// followService follows a service until the end of the test.
func followService(t testing.TB, service string, servers ...configclient.Server) *controllerClient {
	t.Helper()
	c := &controllerClient{t: t}
	var err error
	c.Watcher, err = configwatch.New(configwatch.Options{Instance: "n0", Service: service, Region: "r0", Zone: "a", Servers: servers, Seed: 1, OnOffer: c.offer})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return c
}

func (c *controllerClient) offer(v revision.Version, settings []byte) {
	c.mu.Lock()
	if len(c.offered) > 0 && !v.Newer(c.offered[len(c.offered)-1]) {
		c.t.Errorf("version %s was offered after %s", v, c.offered[len(c.offered)-1])
	}
	c.offered = append(c.offered, v)
	reject := bytes.Contains(settings, []byte(`"refused"`))
	if !reject {
		c.settings = string(settings)
	}
	c.mu.Unlock()
	if reject {
		c.Rejected(v, fmt.Errorf("setting lanes.0.name is refused"))
	} else {
		c.Applied(v)
	}
}

// waitForClass waits until settings with a traffic class are active.
func (c *controllerClient) waitForClass(class string) {
	c.t.Helper()
	scriptedpeer.WaitFor(c.t, class+" is not active", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return strings.Contains(c.settings, fmt.Sprintf("%q", class))
	})
}

// asServer returns a server's address in the form that a follower is configured with.
func asServer(server *runningServer) configclient.Server {
	return configclient.Server{Address: server.Address(), Region: "r0"}
}

// forwarder forwards connections to a server. It can be cut silently: connections stay open, and the data that arrives is
// dropped.
type forwarder struct {
	net.Listener
	t      testing.TB
	target string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newForwarder(t testing.TB, target string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{Listener: listener, t: t, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.forward(conn)
		}
	}()
	t.Cleanup(func() { listener.Close(); f.close() })
	return f
}

func (f *forwarder) forward(incoming net.Conn) {
	outgoing, err := net.Dial("tcp", f.target)
	if err != nil {
		incoming.Close()
		return
	}
	f.mu.Lock()
	f.conns = append(f.conns, incoming, outgoing)
	f.mu.Unlock()
	go f.copy(outgoing, incoming)
	go f.copy(incoming, outgoing)
}

func (f *forwarder) copy(destination, source net.Conn) {
	defer destination.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		f.mu.Lock()
		cut := f.cut
		f.mu.Unlock()
		if !cut {
			destination.Write(buffer[:n])
		}
	}
}

func (f *forwarder) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *forwarder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		conn.Close()
	}
}
