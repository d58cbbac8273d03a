package discovery

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
)

// What the client asks for; watchLine has a place for the revision.
const (
	watchLine     = "GET " + path + "?since=%d&timeout_ms=2000 HTTP/1.1"
	wholeListLine = "GET " + path + " HTTP/1.1"
)

// list is an answer of discovery with one member, on a connection that is kept.
func list(revision int64, whole bool, phase string) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[{"id":"s-1","phase":%q}]}`, revision, whole, phase)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// unchanged is an answer to a watch that waited in vain.
func unchanged(revision int64) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// withClose has an answer say that its connection ends.
func withClose(answer string) string {
	return strings.Replace(answer, "\r\n", "\r\nConnection: close\r\n", 1)
}

// logBuffer is a log to be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (j *logBuffer) Write(b []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(b)
}

func (j *logBuffer) count(text string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.text.String(), text)
}

// startClient runs a client that holds the list of a revision, until the end of the test.
func startClient(t *testing.T, address string, known int64) (*Client, *eventloop.Queues, *logBuffer) {
	x, log := eventloop.New(), &logBuffer{}
	c := New(address, known, x, slog.New(slog.NewTextHandler(log, nil)), func() int64 { return 7 }, 1)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return c, x, log
}

// nextListing waits for the next listing.
func nextListing(t *testing.T, x *eventloop.Queues) controller.ReplicaList {
	t.Helper()
	select {
	case <-x.Ready():
	case <-time.After(scriptedpeer.Patience):
		t.Fatal("nothing is told")
	}
	notes := x.Drain()
	return notes[len(notes)-1].(controller.ReplicaList)
}

// expectRequest reads a request, which must begin with this line.
func expectRequest(t *testing.T, conn *scriptedpeer.Conn, want string) {
	t.Helper()
	if got := conn.Request(); got != want {
		t.Errorf("asked %q, want %q", got, want)
	}
}

// script is what becomes of one connection to a scripted agent.
type script func(agent net.Conn, r *bufio.Reader)

// dialScripts makes a dialer whose connections run the next of the scripts, and the last from then on; nil: the dial hangs.
func dialScripts(t *testing.T, scripts ...script) dialFunc {
	var open sync.WaitGroup
	t.Cleanup(open.Wait)
	k := 0
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		w := scripts[min(k, len(scripts)-1)]
		if k++; w == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		here, there := net.Pipe()
		open.Go(func() { defer there.Close(); w(there, bufio.NewReader(there)) })
		return here, nil
	}
}

// startClientWithDialer runs a client in a bubble of virtual time until its test ends.
func startClientWithDialer(t *testing.T, seed uint64, dial dialFunc) (
	*Client, *eventloop.Queues, *logBuffer) {
	x, log := eventloop.New(), &logBuffer{}
	c := New("agent:1", 40, x, slog.New(slog.NewTextHandler(log, nil)), func() int64 { return 7 }, seed)
	c.dial = dial
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(t.Context()) }()
	t.Cleanup(func() { <-ended })
	return c, x, log
}

// answerCalls has an agent answer one call with each text.
func answerCalls(r *bufio.Reader, agent net.Conn, texts ...string) bool {
	for _, text := range texts {
		if _, err := http.ReadRequest(r); err != nil {
			return false
		}
		if _, err := io.WriteString(agent, text); err != nil {
			return false
		}
	}
	return true
}

// writePieces writes a text in pieces of a length, one each pause, until it or the connection ends.
func writePieces(agent net.Conn, text string, length int, pause time.Duration) {
	for ; len(text) > 0; text = text[min(length, len(text)):] {
		if _, err := io.WriteString(agent, text[:min(length, len(text))]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
