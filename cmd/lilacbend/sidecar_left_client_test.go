package main

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
)

// payout returns an HTTP/1.1 request with a key and a body of the given length.
func payout(key string, length int) string {
	return fmt.Sprintf("POST /payouts HTTP/1.1\r\nHost: x\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s", key, length, strings.Repeat("x", length))
}

// sendHTTP1 sends one payout for each key on one connection, and closes it.
func sendHTTP1(t *testing.T, address string, keys []string, length int) {
	t.Helper()
	client := scriptedpeer.Dial(t, address)
	for _, key := range keys {
		client.SendRaw(payout(key, length))
	}
	client.Close()
}

// sendHTTP2 sends one payout for each key on one connection, and closes it.
func sendHTTP2(t *testing.T, address string, keys []string, length int) {
	t.Helper()
	client, err := replica.DialHTTP2(address, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for k, key := range keys {
		id := uint32(2*k + 1)
		client.OpenStream(id, "POST", "/payouts", true, "key", key, "content-length", fmt.Sprint(length))
		for sent := 0; sent < length; {
			n := min(length-sent, 16<<10)
			sent += n
			client.SendData(id, sent == length, make([]byte, n))
		}
	}
	client.Conn.Close()
}

// A sidecar stands still while its client sends requests, gives up and closes its connection, so that the sidecar finds all of
// them, and the end of the connection behind them, at once. It sends none of them on: the client comes again, and each request
// is executed once.
func TestRequestsOfClientThatLeftAreNotExecuted(t *testing.T) {
	const (
		short = 3
		long  = 60_000 // is streamed to a replica
	)
	for _, c := range []struct {
		name, protocol string
		send           func(t *testing.T, address string, keys []string, length int)
		expectAnswers  func(t *testing.T, address string, keys []string)
		length         int
		keys           []string
	}{
		{"HTTP/1.1 requests", "http1", sendHTTP1, expectHTTP1Answers, short, []string{"a", "b", "c", "d", "e"}},
		{"HTTP/1.1 request with a long body", "http1", sendHTTP1, expectHTTP1Answers, long, []string{"a"}},
		{"HTTP/2 requests", "http2", sendHTTP2, expectHTTP2Answers, short, []string{"a", "b", "c", "d", "e"}},
		{"HTTP/2 request with a long body", "http2", sendHTTP2, expectHTTP2Answers, long, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			replicaServer, err := replica.NewReplica("127.0.0.1:0", 0, nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(replicaServer.Stop)
			listen, file := scriptedpeer.FreeAddress(t), filepath.Join(t.TempDir(), "shop.yaml")
			writeManifest(t, file, c.protocol, listen, replicaServer.Addr)
			process := startProgram(t, nil, "sidecar", "--manifest", file)
			scriptedpeer.DialWhenUp(t, listen).Close()
			process.stop()
			c.send(t, listen, c.keys, c.length)
			process.resume()
			c.expectAnswers(t, listen, c.keys)
			for _, key := range c.keys {
				if n := replicaServer.RunsByKey()[key]; n != 1 {
					t.Errorf("request %s was executed %d times, want once", key, n)
				}
			}
		})
	}
}

// expectHTTP1Answers sends one short payout after the other and expects the answer to each.
func expectHTTP1Answers(t *testing.T, address string, keys []string) {
	t.Helper()
	client := scriptedpeer.Dial(t, address)
	for _, key := range keys {
		client.SendRaw(payout(key, 3))
		response, err := http.ReadResponse(client.Reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %s: response %+v, error %v, want 200", key, response, err)
		}
		io.Copy(io.Discard, response.Body)
	}
}

// expectHTTP2Answers opens one stream after the other and expects the answer to each.
func expectHTTP2Answers(t *testing.T, address string, keys []string) {
	t.Helper()
	client, err := replica.DialHTTP2(address, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Conn.Close()
	for k, key := range keys {
		id := uint32(2*k + 1)
		client.OpenStream(id, "POST", "/payouts", false, "key", key)
		client.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return c.Streams[id] != nil && c.Streams[id].Done() })
		if got := client.Stream(id); got.Status != "200" {
			t.Errorf("request %s: %+v, want 200", key, got)
		}
	}
}
