package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lilacbend/experiment/replica"
	"lilacbend/experiment/scriptedpeer"
)

// withLongTimeouts returns a change of a sidecar's file that sets the stall and idle timeouts longer than any test runs,
// and then makes the given replacements.
func withLongTimeouts(replacements ...string) func(string) string {
	return func(content string) string {
		content = strings.NewReplacer("stall: 700ms", "stall: 1m", "replica_stall: 700ms", "replica_stall: 1m", "idle: 5s", "idle: 1m").Replace(content)
		return strings.NewReplacer(replacements...).Replace(content)
	}
}

// waitUntilIdle waits until no request is in flight and no connection to a replica is in use.
func waitUntilIdle(t *testing.T, s testSidecar) {
	t.Helper()
	scriptedpeer.WaitFor(t, "a request is still in flight or a connection to a replica is still in use", func() bool {
		counters := s.Counters()
		return counters.InFlight == 0 && counters.Clients["in_flight"] == 0 && counters.Upstream.Open == counters.Upstream.Idle
	})
}

// A client sends a part of a long body and then stalls, with a stall timeout of a minute. Meanwhile the request ends in one
// of several ways: the client gets the response at once, and capacity and connection are released.
func TestRequestEndsWhileClientStalls(t *testing.T) {
	const sentBytes = 20_000
	for name, test := range map[string]struct {
		endRequest func(replica *scriptedpeer.Conn)
		want       string
	}{
		"replica resets the connection":  {(*scriptedpeer.Conn).Reset, "503 unclear"},
		"replica closes the connection":  {func(r *scriptedpeer.Conn) { r.Close() }, "503 unclear"},
		"request timeout expires":        {func(*scriptedpeer.Conn) {}, "503 expired"},
		"replica responds early":         {func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n") }, "413 "},
		"replica responds with an error": {func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nno\n") }, "500 "},
	} {
		for _, protocol := range []string{"h1", "h2"} {
			t.Run(name+" "+protocol, func(t *testing.T) {
				t.Parallel()
				listener := scriptedpeer.Listen(t)
				s := startSidecar(t, withLongTimeouts("expiry: 2s", "expiry: 500ms"), listener.Address())
				responses := make(chan string, 1)
				switch protocol {
				case "h1":
					client := scriptedpeer.Dial(t, s.h1)
					client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", sentBytes))
					go func() {
						resp, err := http.ReadResponse(client.Reader, nil)
						if err != nil {
							responses <- err.Error()
							return
						}
						responses <- fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Lilacbend-Reason"))
					}()
				default:
					client := dialHTTP2(t, s, 1<<20)
					client.OpenStream(1, "POST", "/payouts", true, "content-length", "100000")
					client.SendData(1, false, make([]byte, 10_000))
					client.SendData(1, false, make([]byte, 10_000))
					go func() {
						client.WaitFor(scriptedpeer.WaitTimeout, streamsDone(1))
						got := client.Stream(1)
						responses <- got.Status + " " + got.Fields["lilacbend-reason"]
					}()
				}
				replica := listener.AcceptConn()
				replica.ReadRequestHead()
				io.CopyN(io.Discard, replica.Reader, sentBytes/2) // the sidecar has forwarded this part and waits for the client
				test.endRequest(replica)
				if got := <-responses; got != test.want {
					t.Errorf("response %q, want %q", got, test.want)
				}
				waitUntilIdle(t, s)
			})
		}
	}
}

// A replica reports that it has not executed a request before it can have read any of it, so that the retry is decided
// while the sidecar begins to read the body. Either none of the body was consumed and the next replica gets all of it, or
// there is no retry.
func TestRetrySendsCompleteBody(t *testing.T) {
	const size = 40_000
	for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", size), "Transfer-Encoding: chunked\r\n\r\n"} {
		busyReplica := scriptedpeer.Listen(t)
		busyReplica.Serve(func(conn net.Conn) {
			io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, conn)
		})
		executions := make(chan string, 1)
		healthyReplica := startReplica(t, func(w http.ResponseWriter, req *http.Request) {
			n, err := io.Copy(io.Discard, req.Body)
			executions <- fmt.Sprint(n, " ", err)
		})
		s := startSidecar(t, withLongTimeouts("usual: again", "usual: again, never_ran_statuses: ['503']", "replica_stall", "replica_idle: 0, replica_stall"), busyReplica.Address(), healthyReplica.Addr)
		body := strings.Repeat("x", size)
		if strings.HasPrefix(head, "T") {
			body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
		}
		retried := 0
		for range 100 {
			client := scriptedpeer.Dial(t, s.h1)
			client.SendRaw("POST /orders HTTP/1.1\r\nHost: x\r\n" + head)
			go io.WriteString(client, body)
			resp, err := http.ReadResponse(client.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			client.Close()
			select {
			case execution := <-executions:
				if retried++; execution != fmt.Sprint(size, " <nil>") {
					t.Fatalf("%.20q: replica executed the request with a body of %q, client got status %d", head, execution, resp.StatusCode)
				}
			default:
				if resp.StatusCode != 503 {
					t.Errorf("%.20q: no replica executed the request, client got status %d", head, resp.StatusCode)
				}
			}
		}
		waitUntilIdle(t, s)
		t.Logf("%.20q: %d of 100 requests were retried on the second replica", head, retried)
	}
}

// A replica responds before it has read anything, so that its response races with the 100 Continue to the client: the
// client reads all of the 100 Continue or none of it, and then the response.
func TestNo100ContinueAfterResponse(t *testing.T) {
	earlyReplica := scriptedpeer.Listen(t)
	earlyReplica.Serve(func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n")
		io.Copy(io.Discard, conn)
	})
	s := startSidecar(t, withLongTimeouts("replica_stall", "replica_idle: 0, replica_stall"), earlyReplica.Address())
	for range 100 {
		client := scriptedpeer.Dial(t, s.h1)
		client.SendRaw("POST /orders HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 40000\r\n\r\n")
		head := client.ReadRequestHead()
		if head == "HTTP/1.1 100 Continue" {
			head = client.ReadRequestHead()
		}
		body := make([]byte, 3)
		if io.ReadFull(client.Reader, body); head != "HTTP/1.1 413 Request Entity Too Large" || string(body) != "no\n" {
			t.Fatalf("response head %q, body %q", head, body)
		}
		client.Close()
	}
	http2Client := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id < 200; id += 2 {
		http2Client.OpenStream(id, "POST", "/orders", true, "expect", "100-continue")
		http2Client.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return c.Streams[id] != nil && c.Streams[id].Done() })
		if got := http2Client.Stream(id); got.Status != "413" || got.Responses != 1 || string(got.Body) != "no\n" {
			t.Fatalf("stream %d: %+v", id, got)
		}
	}
	waitUntilIdle(t, s)
}
