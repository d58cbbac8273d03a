package discovery

import (
	"bufio"
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

// The client's request lines. watchLine is a format string with the revision as its argument.
const (
	watchLine        = "GET " + instancesPath + "?since=%d&timeout_ms=2000 HTTP/1.1"
	completeListLine = "GET " + instancesPath + " HTTP/1.1"
)

// listAnswer returns an answer of discovery that has one member and keeps the connection open.
func listAnswer(revision int64, complete bool, phase string) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[{"id":"s-1","phase":%q}]}`, revision, complete, phase)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// unchangedAnswer returns an answer to a watch that has no changes.
func unchangedAnswer(revision int64) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// withClose adds a "Connection: close" header to an answer.
func withClose(answer string) string {
	return strings.Replace(answer, "\r\n", "\r\nConnection: close\r\n", 1)
}

// startClient runs a client that starts from a list of the given revision, until the end of the test.
func startClient(t *testing.T, address string, revision int64) (*Client, *eventloop.Queues, *scriptedpeer.LogBuffer) {
	queues, log := eventloop.New(), &scriptedpeer.LogBuffer{}
	client := New(address, revision, queues, slog.New(slog.NewTextHandler(log, nil)), func() int64 { return 7 }, 1)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); client.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return client, queues, log
}

// nextList waits for the next list.
func nextList(t *testing.T, queues *eventloop.Queues) controller.ReplicaList {
	t.Helper()
	select {
	case <-queues.Ready():
	case <-time.After(scriptedpeer.WaitTimeout):
		t.Fatal("timed out waiting for a list to be published")
	}
	events := queues.Drain()
	return events[len(events)-1].(controller.ReplicaList)
}

// expectRequest reads the head of a request, which must begin with the line want.
func expectRequest(t *testing.T, conn *scriptedpeer.Conn, want string) {
	t.Helper()
	if got := conn.ReadRequestHead(); got != want {
		t.Errorf("requested %q, want %q", got, want)
	}
}

// script is the behaviour of a scripted agent on one connection.
type script func(agent net.Conn, r *bufio.Reader)

// dialScripts returns a dial function that runs the first script on the first connection, the second script on the second
// connection, and so on. It runs the last script on all further connections. For a nil script the dial hangs.
func dialScripts(t *testing.T, scripts ...script) dialFunc {
	var open sync.WaitGroup
	t.Cleanup(open.Wait)
	dials := 0
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		run := scripts[min(dials, len(scripts)-1)]
		dials++
		if run == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		local, remote := net.Pipe()
		open.Go(func() { defer remote.Close(); run(remote, bufio.NewReader(remote)) })
		return local, nil
	}
}

// startClientWithDialer runs a client in a synctest bubble until its test ends.
func startClientWithDialer(t *testing.T, seed uint64, dial dialFunc) (
	*Client, *eventloop.Queues, *scriptedpeer.LogBuffer) {
	queues, log := eventloop.New(), &scriptedpeer.LogBuffer{}
	client := New("agent:1", 40, queues, slog.New(slog.NewTextHandler(log, nil)), func() int64 { return 7 }, seed)
	client.dial = dial
	ended := make(chan struct{})
	go func() { defer close(ended); client.Run(t.Context()) }()
	t.Cleanup(func() { <-ended })
	return client, queues, log
}

// answerCalls answers one call with each of the texts, and reports whether all were read and answered.
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

// writePieces writes text in pieces of length bytes, with a pause after each, until all is written or the connection ends.
func writePieces(agent net.Conn, text string, length int, pause time.Duration) {
	for ; len(text) > 0; text = text[min(length, len(text)):] {
		if _, err := io.WriteString(agent, text[:min(length, len(text))]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
