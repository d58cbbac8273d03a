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

// Stage is how far a call came before it failed.
type Stage string

// The stages of a call, in their order; StagePanic may come at any time.
const (
	StageDial   Stage = "dial"
	StageSend   Stage = "send"
	StageStatus Stage = "status"
	StageBody   Stage = "body"
	StageList   Stage = "list"
	StagePanic  Stage = "panic"
)

// CallError says at which stage a call failed, and why.
type CallError struct {
	Stage Stage
	Err   error
}

func (e *CallError) Error() string { return string(e.Stage) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// answer is what came of a call that did not fail.
type answer struct {
	changed bool // it told something new
	keep    bool // the connection can be used again
}

// followConnection calls on one connection until it fails or, without an error, until the other side has closed it after an
// answer. It returns how many answers it got.
func (c *Client) followConnection(ctx context.Context) (answers int, err error) {
	defer func() {
		if v := recover(); v != nil {
			c.exchange.Counters.Panics.Add(1)
			c.synced = false
			err = &CallError{StagePanic, fmt.Errorf("%v at %s", v, debug.Stack())}
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
	for reader := bufio.NewReader(conn); ; answers++ {
		watch := c.synced
		began := time.Now()
		got, err := c.call(conn, reader)
		if err != nil {
			return answers, c.failedCall(conn, err, answers)
		}
		c.shortenReadTime(conn)
		if watch {
			c.watchAnswered()
		}
		if !got.changed && time.Since(began) < watchTimeout/2 {
			backoff.Sleep(ctx, idlePause)
		}
		if !got.keep {
			return answers + 1, nil
		}
	}
}

// connect dials the present address.
func (c *Client) connect(ctx context.Context) (*pacedConn, error) {
	c.exchange.Counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, &CallError{StageDial, err}
	}
	return &pacedConn{Conn: conn}, nil
}

// failedCall decides what a failed call means for the next one. It returns nil if the connection was only closed after an
// earlier answer.
func (c *Client) failedCall(conn *pacedConn, err error, answers int) error {
	switch {
	case answers > 0 && !conn.received && !isTimeout(err):
		return nil
	case isTimeout(err) && conn.exhausted(): // something arrived all the time: what is asked next should not be longer
		c.readTime = min(2*c.readTime, readTimeLimit)
	default: // the service may be unable to answer what we asked
		c.synced = false
	}
	return err
}

// shortenReadTime gives answers the usual time again after one that needed no more.
func (c *Client) shortenReadTime(conn *pacedConn) {
	if time.Until(conn.latest) > c.readTime-initialReadTime {
		c.readTime = initialReadTime
	}
}

// call sends one request, reads the answer and applies it.
func (c *Client) call(conn *pacedConn, reader *bufio.Reader) (answer, error) {
	c.exchange.Counters.DiscoveryCalls.Add(1)
	if err := c.send(conn); err != nil {
		return answer{}, &CallError{StageSend, err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return answer{}, &CallError{StageStatus, err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer{}, &CallError{StageStatus, fmt.Errorf("answered %s", response.Status)}
	}
	body, err := readBody(response.Body)
	if err != nil {
		return answer{}, err
	}
	changed, err := c.apply(body)
	if err != nil {
		c.exchange.Counters.InvalidLists.Add(1)
		return answer{}, &CallError{StageList, err}
	}
	c.exchange.Counters.DiscoveryAnswers.Add(1)
	return answer{changed: changed, keep: !response.Close && reader.Buffered() == 0}, nil
}

// send writes a request: for changes since our revision if we are synced, else for the whole list.
func (c *Client) send(conn *pacedConn) error {
	query := ""
	wait := time.Duration(0)
	if c.synced {
		wait = watchTimeout
		query = fmt.Sprintf("?since=%d&timeout_ms=%d", c.revision, wait.Milliseconds())
	}
	conn.expect(wait, c.readTime)
	_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", path, query, c.address)
	return err
}

// readBody reads a body of at most maxBodySize bytes.
func readBody(from io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, maxBodySize+1))
	if err != nil {
		return nil, &CallError{StageBody, fmt.Errorf("after %d bytes: %w", len(body), err)}
	}
	if len(body) > maxBodySize {
		return nil, &CallError{StageBody, fmt.Errorf("over %d bytes", maxBodySize)}
	}
	return body, nil
}

// apply passes on a list that is newer than ours, and says whether it told anything new. A whole list of our own revision is
// passed on as well, and is new only if the whole list was asked for.
func (c *Client) apply(body []byte) (changed bool, err error) {
	list, err := Parse(body)
	if err != nil {
		return false, err
	}
	switch {
	case list.Revision < c.revision && (!list.Complete || c.staleAnswers+1 < staleAnswersLimit):
		c.staleAnswers++
		c.synced = false // ask for all of it
		return false, fmt.Errorf("revision %d is older than ours, %d", list.Revision, c.revision)
	case !list.Complete && !c.synced:
		return false, errors.New("changes where the whole list was asked for")
	case list.Revision == c.revision && !list.Complete:
		return false, nil
	}
	changed = list.Revision != c.revision || !c.synced
	c.revision = list.Revision
	c.synced = true
	c.staleAnswers = 0
	list.ReadAt = c.clock()
	list.ReadAtWall = time.Now().UnixNano()
	c.exchange.Enqueue(list)
	return changed, nil
}
