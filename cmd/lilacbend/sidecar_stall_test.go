package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
)

// abandoningClient is an HTTP/2 client that gives up on requests that are not answered in time.
type abandoningClient struct {
	*replica.HTTP2Client
	t      *testing.T
	nextID uint32
}

func (c *abandoningClient) open(method, path, key string) (id uint32) {
	id = c.nextID
	c.nextID += 2
	c.OpenStream(id, method, path, false, "key", key)
	return id
}

// abandon sends requests and, once its patience has ended, resets all of them.
func (c *abandoningClient) abandon(requests int, patience time.Duration) {
	first := c.nextID
	for range requests {
		c.open("GET", "/stock", "abandoned")
	}
	time.Sleep(patience)
	for id := first; id < c.nextID; id += 2 {
		c.ResetStream(id)
	}
}

// awaitAnswer waits for the response to a request. It repeats the request while the sidecar refuses it as not executed.
func (c *abandoningClient) awaitAnswer(id uint32, key string) {
	c.t.Helper()
	for {
		ended := func(client *replica.HTTP2Client) bool {
			return client.Closed || client.Streams[id] != nil && client.Streams[id].Done()
		}
		c.WaitFor(scriptedpeer.WaitTimeout, ended)
		got := c.Stream(id)
		if !got.Reset || got.ErrCode != http2.ErrCodeRefusedStream {
			if got.Status != "200" || got.Responses != 1 {
				c.t.Errorf("request %s on stream %d: %+v, want one response with 200", key, id, got)
			}
			return
		}
		id = c.open("POST", "/payouts", key)
	}
}

// A sidecar stands still again and again, and then reads at once what its client has sent meanwhile: requests, and the resets
// of those that the client has given up on. The connection stays, and each request that the client waits for is executed
// once and answered.
func TestSidecarThatStandsStillAnswersAllRequests(t *testing.T) {
	const (
		stalls      = 3
		rounds      = 6 // in each stall
		abandoned   = 90
		patience    = 100 * time.Millisecond
		waitedFor   = 5 // in each stall
		serviceTime = 60 * time.Millisecond
	)
	replicaServer, err := replica.NewReplica("127.0.0.1:0", 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replicaServer.Stop)
	replicaServer.ServiceTime.Store(int64(serviceTime))
	listen, file := scriptedpeer.FreeAddress(t), filepath.Join(t.TempDir(), "shop.yaml")
	writeManifest(t, file, "http2", listen, replicaServer.Addr)
	process := startProgram(t, nil, "sidecar", "--manifest", file)
	scriptedpeer.DialWhenUp(t, listen).Close()
	connection, err := replica.DialHTTP2(listen, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Conn.Close()
	client := &abandoningClient{HTTP2Client: connection, t: t, nextID: 1}
	for stall := range stalls {
		process.stop()
		for range rounds {
			client.abandon(abandoned, patience)
		}
		waiting := map[string]uint32{}
		for k := range waitedFor {
			key := strconv.Itoa(stall) + "/" + strconv.Itoa(k)
			waiting[key] = client.open("POST", "/payouts", key)
		}
		process.resume()
		for key, id := range waiting {
			client.awaitAnswer(id, key)
			if n := replicaServer.RunsByKey()[key]; n != 1 {
				t.Errorf("request %s was executed %d times, want once", key, n)
			}
		}
	}
	if len(client.GoAways) != 0 || process.logged("too many control frames") {
		t.Errorf("GOAWAY frames %+v, want none", client.GoAways)
	}
}

// A sidecar stands still while its client sends the next request on an idle connection, and the idle timeout passes before it
// goes on: the request arrived in time, so it is executed once and answered.
func TestSidecarThatStandsStillServesIdleConnection(t *testing.T) {
	const (
		idle   = 300 * time.Millisecond
		stalls = 3
	)
	replicaServer, err := replica.NewReplica("127.0.0.1:0", 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replicaServer.Stop)
	listen, file := scriptedpeer.FreeAddress(t), filepath.Join(t.TempDir(), "shop.yaml")
	writeManifest(t, file, "http1", listen, replicaServer.Addr)
	appendToFile(t, file, fmt.Sprintf("limits: {idle: %v}\n", idle))
	// With one processor the runtime runs its timers first after a stop, before it asks what has arrived.
	process := startProgram(t, []string{"GOMAXPROCS=1"}, "sidecar", "--manifest", file)
	scriptedpeer.DialWhenUp(t, listen).Close()
	client := scriptedpeer.Dial(t, listen)
	pay := func(key string) {
		client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nKey: " + key + "\r\nContent-Length: 2\r\n\r\nhi")
	}
	expectAnswer := func(key string) {
		t.Helper()
		response, err := http.ReadResponse(client.Reader, nil)
		if err != nil {
			t.Fatalf("request %s got no answer: %v", key, err)
		}
		io.Copy(io.Discard, response.Body)
		if n := replicaServer.RunsByKey()[key]; n != 1 || response.StatusCode != http.StatusOK {
			t.Errorf("request %s was executed %d times and answered with %d, want once and 200", key, n, response.StatusCode)
		}
	}
	pay("first")
	expectAnswer("first")
	for stall := range stalls {
		key := strconv.Itoa(stall)
		process.stop()
		pay(key)
		time.Sleep(2 * idle)
		process.resume()
		expectAnswer(key)
	}
}

// appendToFile appends text to a file.
func appendToFile(t *testing.T, name, text string) {
	t.Helper()
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, append(raw, text...), 0o600); err != nil {
		t.Fatal(err)
	}
}
