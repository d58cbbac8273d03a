package httplimit

import (
	"io"
	"net/http"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// A server stands still while a follower's next query arrives, and asks for it only after the idle timeout: the query is
// answered, as the follower sent it on an open connection.
func TestQueryThatArrivesDuringStallIsAnswered(t *testing.T) {
	const timeout = 100 * time.Millisecond
	listener := scriptedpeer.Listen(t)
	stall := scriptedpeer.NewStall(3) // after the read of the first query, and that by which net/http notices a lost client
	server := NewServer(respondOK, Timeouts{Header: time.Minute, Idle: timeout})
	defer server.Close()
	go server.Serve(NewListener(stall.Listener(listener.Listener), 1))
	follower := scriptedpeer.Dial(t, listener.Address())
	query := func() (status int, err error) {
		response, err := http.ReadResponse(follower.Reader, nil)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	follower.SendRaw("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if status, err := query(); status != http.StatusOK || err != nil {
		t.Fatalf("first query: status %d, error %v", status, err)
	}
	stall.AwaitBegin(t)
	follower.SendRaw("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(2 * timeout)
	stall.Resume()
	if status, err := query(); status != http.StatusOK || err != nil {
		t.Errorf("query that arrived during the stall: status %d, error %v", status, err)
	}
}
