package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"lilacbend/internal/backoff"
)

// Stage is the stage at which a call failed.
type Stage string

// The stages of a call, in order. StagePanic may happen in any of them.
const (
	StageDial   Stage = "dial"
	StageSend   Stage = "send"
	StageStatus Stage = "status"
	StageBody   Stage = "body"
	StageList   Stage = "list"
	StagePanic  Stage = "panic"
)

// CallError reports the stage at which a call failed, and the cause.
type CallError struct {
	Stage Stage
	Err   error
}

// Error returns the stage and the text of the cause.
func (e *CallError) Error() string { return string(e.Stage) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// callResult is the outcome of a call that did not fail.
type callResult struct {
	changed  bool // the answer contains a new list or a change
	reusable bool // the connection can carry another call
}

// followConnection makes calls on one connection until a call fails or the service closes the connection after an answer,
// which is not an error. It returns the number of answers.
func (c *Client) followConnection(ctx context.Context) (answers int, err error) {
	defer func() {
		if v := recover(); v != nil {
			c.queues.Counters.Panics.Add(1)
			c.synced = false
			err = &CallError{Stage: StagePanic, Err: fmt.Errorf("%v at %s", v, debug.Stack())}
		}
	}()
	conn, err := c.connect(ctx)
	if err != nil {
		c.synced = false
		return 0, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	for ; ; answers++ {
		watch := c.synced
		start := time.Now()
		result, err := c.call(conn, reader)
		if err != nil {
			return answers, c.handleCallError(conn, err, answers)
		}
		c.resetReadTime(conn)
		if watch {
			c.watchAnswered()
		}
		if !result.changed && time.Since(start) < watchTimeout/2 {
			backoff.Sleep(ctx, idlePause)
		}
		if !result.reusable {
			return answers + 1, nil
		}
	}
}

// connect dials the current address.
func (c *Client) connect(ctx context.Context) (*pacedConn, error) {
	c.queues.Counters.DiscoveryDials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, &CallError{Stage: StageDial, Err: err}
	}
	return &pacedConn{Conn: conn}, nil
}

// handleCallError decides how the next call is made after a failed one: with more read time, or for the complete list. It
// returns nil if the service only closed the connection after an earlier answer.
func (c *Client) handleCallError(conn *pacedConn, err error, answers int) error {
	switch {
	case answers > 0 && !conn.received && !isTimeout(err):
		return nil
	case isTimeout(err) && conn.pastFinalDeadline(): // pieces kept arriving; a complete list would take even longer than a change
		c.readTime = min(2*c.readTime, readTimeLimit)
	default: // the service may be unable to answer a watch
		c.synced = false
	}
	return err
}

// resetReadTime restores the initial read time after an answer that arrived within it.
func (c *Client) resetReadTime(conn *pacedConn) {
	if time.Until(conn.finalDeadline) > c.readTime-initialReadTime {
		c.readTime = initialReadTime
	}
}

// call sends one request, reads its answer and applies it.
func (c *Client) call(conn *pacedConn, reader *bufio.Reader) (callResult, error) {
	c.queues.Counters.DiscoveryCalls.Add(1)
	if err := c.send(conn); err != nil {
		return callResult{}, &CallError{Stage: StageSend, Err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return callResult{}, &CallError{Stage: StageStatus, Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return callResult{}, &CallError{Stage: StageStatus, Err: fmt.Errorf("service answered %s", response.Status)}
	}
	body, err := readBody(response.Body)
	if err != nil {
		return callResult{}, err
	}
	changed, err := c.apply(body)
	if err != nil {
		c.queues.Counters.InvalidLists.Add(1)
		return callResult{}, &CallError{Stage: StageList, Err: err}
	}
	c.queues.Counters.DiscoveryAnswers.Add(1)
	return callResult{changed: changed, reusable: !response.Close && reader.Buffered() == 0}, nil
}

// send writes a request: for changes since the revision in use if the client is synced, otherwise for the complete list. It
// also sets the deadlines for the answer.
func (c *Client) send(conn *pacedConn) error {
	query := ""
	wait := time.Duration(0)
	if c.synced {
		wait = watchTimeout
		query = fmt.Sprintf("?since=%d&timeout_ms=%d", c.revision, wait.Milliseconds())
	}
	conn.expect(wait, c.readTime)
	_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", instancesPath, query, c.address)
	return err
}

// readBody reads a body of at most maxBodySize bytes.
func readBody(source io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, maxBodySize+1))
	if err != nil {
		return nil, &CallError{Stage: StageBody, Err: fmt.Errorf("reading failed after %d bytes: %w", len(body), err)}
	}
	if len(body) > maxBodySize {
		return nil, &CallError{Stage: StageBody, Err: fmt.Errorf("body exceeds %d bytes", maxBodySize)}
	}
	return body, nil
}

// apply publishes a list that is newer than the one in use, and reports whether it is a change. A complete list of the
// revision in use is published as well; it counts as a change only if the complete list was requested.
func (c *Client) apply(body []byte) (changed bool, err error) {
	list, err := Parse(body)
	if err != nil {
		return false, err
	}
	switch {
	case list.Revision < c.revision && (!list.Complete || c.staleAnswers+1 < staleAnswersLimit):
		c.staleAnswers++
		c.synced = false // request the complete list next
		return false, fmt.Errorf("list has revision %d, older than revision %d in use", list.Revision, c.revision)
	case !list.Complete && !c.synced:
		return false, errors.New("list has only changes, but the complete list was requested")
	case list.Revision == c.revision && !list.Complete:
		return false, nil
	}
	changed = list.Revision != c.revision || !c.synced
	c.revision = list.Revision
	c.synced = true
	c.staleAnswers = 0
	list.ReadAt = c.clock()
	list.ReadAtWallClock = time.Now().UnixNano()
	c.queues.Enqueue(list)
	return changed, nil
}
