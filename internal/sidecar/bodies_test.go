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

// patient changes a file so that the sidecar waits for its clients for longer than any test does.
func patient(change ...string) func(string) string {
	return func(f string) string {
		f = strings.NewReplacer("stall: 700ms", "stall: 1m", "replica_stall: 700ms", "replica_stall: 1m", "idle: 5s", "idle: 1m").Replace(f)
		return strings.NewReplacer(change...).Replace(f)
	}
}

// nothingInFlight waits until no request is in flight and no connection to a replica is in use.
func nothingInFlight(t *testing.T, s running) {
	t.Helper()
	scriptedpeer.WaitFor(t, "something stays in flight", func() bool {
		f := s.Counters()
		return f.InFlight == 0 && f.Clients["in_flight"] == 0 && f.Upstream.Open == f.Upstream.Idle
	})
}

// A client sends some of a long body, and then nothing for a minute. Its replica ends the request meanwhile, in each way:
// the answer comes at once, and capacity and connection are released, though the client still sends nothing.
func TestRequestIsGivenUpWhileItsClientSendsNothing(t *testing.T) {
	const some = 20_000
	for name, c := range map[string]struct {
		end  func(replica *scriptedpeer.Conn)
		want string
	}{
		"its replica resets":      {(*scriptedpeer.Conn).Reset, "503 unclear"},
		"its replica closes":      {func(r *scriptedpeer.Conn) { r.Close() }, "503 unclear"},
		"its time is over":        {func(*scriptedpeer.Conn) {}, "503 expired"},
		"it is answered early":    {func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n") }, "413 "},
		"the replica's own error": {func(r *scriptedpeer.Conn) { r.SendRaw("HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nno\n") }, "500 "},
	} {
		for _, protocol := range []string{"h1", "h2"} {
			t.Run(name+" "+protocol, func(t *testing.T) {
				t.Parallel()
				at := scriptedpeer.Listen(t)
				s := start(t, patient("expiry: 2s", "expiry: 500ms"), at.Address())
				answered := make(chan string, 1)
				switch protocol {
				case "h1":
					client := scriptedpeer.Dial(t, s.h1)
					client.SendRaw("POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", some))
					go func() {
						resp, err := http.ReadResponse(client.Reader, nil)
						if err != nil {
							answered <- err.Error()
							return
						}
						answered <- fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Lilacbend-Reason"))
					}()
				default:
					client := dialHTTP2(t, s, 1<<20)
					client.OpenStream(1, "POST", "/payouts", true, "content-length", "100000")
					client.SendData(1, false, make([]byte, 10_000))
					client.SendData(1, false, make([]byte, 10_000))
					go func() {
						client.WaitFor(scriptedpeer.WaitTimeout, done(1))
						got := client.Stream(1)
						answered <- got.Status + " " + got.Fields["lilacbend-reason"]
					}()
				}
				replica := at.AcceptConn()
				replica.ReadRequestHead()
				io.CopyN(io.Discard, replica.Reader, some/2) // so it has been sent on, and its client is waited for
				c.end(replica)
				if got := <-answered; got != c.want {
					t.Errorf("%q, want %q", got, c.want)
				}
				nothingInFlight(t, s)
			})
		}
	}
}

// A replica says that it has not executed a request before it can have read anything, so that the retry is decided as the
// body begins to be read: either the body was not touched, and goes to the next replica completely, or there is no retry.
func TestRetryHasACompleteBody(t *testing.T) {
	const size = 40_000
	for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", size), "Transfer-Encoding: chunked\r\n\r\n"} {
		busy := scriptedpeer.Listen(t)
		busy.Serve(func(conn net.Conn) {
			io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, conn)
		})
		got := make(chan string, 1)
		good := startReplica(t, func(w http.ResponseWriter, req *http.Request) {
			n, err := io.Copy(io.Discard, req.Body)
			got <- fmt.Sprint(n, " ", err)
		})
		s := start(t, patient("usual: again", "usual: again, never_ran_statuses: ['503']", "replica_stall", "replica_idle: 0, replica_stall"), busy.Address(), good.Addr)
		body := strings.Repeat("x", size)
		if strings.HasPrefix(head, "T") {
			body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
		}
		again := 0
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
			case ran := <-got:
				if again++; ran != fmt.Sprint(size, " <nil>") {
					t.Fatalf("%.20q: a replica ran it on %q, and the client was told %d", head, ran, resp.StatusCode)
				}
			default:
				if resp.StatusCode != 503 {
					t.Errorf("%.20q: nobody ran it, and the client was told %d", head, resp.StatusCode)
				}
			}
		}
		nothingInFlight(t, s)
		t.Logf("%.20q: %d of 100 reached the second", head, again)
	}
}

// A replica answers before it has read anything, so that its answer comes as the client is asked for the body: the
// client reads all of the 100 Continue, or none of it, and then the answer.
func TestBodyIsNotAskedForAfterAnAnswer(t *testing.T) {
	early := scriptedpeer.Listen(t)
	early.Serve(func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n")
		io.Copy(io.Discard, conn)
	})
	s := start(t, patient("replica_stall", "replica_idle: 0, replica_stall"), early.Address())
	for range 100 {
		client := scriptedpeer.Dial(t, s.h1)
		client.SendRaw("POST /orders HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 40000\r\n\r\n")
		text := client.ReadRequestHead()
		if text == "HTTP/1.1 100 Continue" {
			text = client.ReadRequestHead()
		}
		rest := make([]byte, 3)
		if io.ReadFull(client.Reader, rest); text != "HTTP/1.1 413 Request Entity Too Large" || string(rest) != "no\n" {
			t.Fatalf("%q, %q", text, rest)
		}
		client.Close()
	}
	two := dialHTTP2(t, s, 1<<20)
	for id := uint32(1); id < 200; id += 2 {
		two.OpenStream(id, "POST", "/orders", true, "expect", "100-continue")
		two.WaitFor(scriptedpeer.WaitTimeout, func(c *replica.HTTP2Client) bool { return c.Streams[id] != nil && c.Streams[id].Done() })
		if got := two.Stream(id); got.Status != "413" || got.Responses != 1 || string(got.Body) != "no\n" {
			t.Fatalf("%d: %+v", id, got)
		}
	}
	nothingInFlight(t, s)
}
