package configwatch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/configstore"
)

const (
	// dialTimeout limits one attempt to connect.
	dialTimeout = 2 * time.Second
	// readTimeLimit is how much longer than the requested wait a complete answer may take. It ends connections on which
	// data only trickles.
	readTimeLimit = 10 * time.Second
	// maxServiceBody and maxAllBody limit the body of an answer for one service and for all services, in bytes.
	maxServiceBody = configstore.MaxSettingsSize + 4<<10
	maxAllBody     = configstore.MaxTotalSize + configstore.MaxServices*(configapi.MaxNameLength+128)
	// maxRefusalBody limits the body of an answer with an error status, in bytes.
	maxRefusalBody = 4 << 10
	readBufferSize = 4 << 10
)

// Stage is the step of a call at which it failed.
type Stage string

// The stages of a call, in order.
const (
	StageDial   Stage = "dial"
	StageSend   Stage = "send"
	StageStatus Stage = "status"
	StageBody   Stage = "body"
	StageAnswer Stage = "answer"
)

// CallError is the error of a call that failed at a stage.
type CallError struct {
	Stage Stage
	Err   error
}

// Error returns the stage and the text of the cause.
func (e *CallError) Error() string { return string(e.Stage) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RefusalError reports that a server works but has refused to serve a query.
type RefusalError struct {
	Status         int
	Reason         string
	RetryAfter     time.Duration // requested by the server; 0: unknown
	UnknownService bool
}

// Error returns the status and the reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("query refused with status %d: %s", e.Status, e.Reason)
}

// connection is a follower's persistent connection. While it is open, address is that of its server.
type connection struct {
	counts  *counters
	address string
	conn    *pacedConn
	reader  *bufio.Reader
}

// call sends a query to a server and reads the answer. If the query fails because the server has closed a reused connection,
// call sends it once more on a new one.
func (c *connection) call(ctx context.Context, poll configclient.Poll) (configapi.Answer, error) {
	reused := c.conn != nil && c.address == poll.Server.Address
	if !reused {
		if err := c.dial(ctx, poll.Server.Address); err != nil {
			return configapi.Answer{}, err
		}
	}
	answer, err := c.roundTrip(ctx, poll.Query)
	if err == nil || !reused || ctx.Err() != nil || !c.closedByServer(err) {
		c.closeAfterFailure(err)
		return answer, err
	}
	c.close()
	if err := c.dial(ctx, poll.Server.Address); err != nil {
		return configapi.Answer{}, err
	}
	answer, err = c.roundTrip(ctx, poll.Query)
	c.closeAfterFailure(err)
	return answer, err
}

// closedByServer reports whether the connection of a failed call was closed by the server before any part of the answer
// arrived.
func (c *connection) closedByServer(err error) bool {
	return c.conn != nil && !c.conn.received && !isTimeout(err)
}

// closeAfterFailure closes the connection after a CallError. After an answer or a RefusalError it stays open.
func (c *connection) closeAfterFailure(err error) {
	var failure *CallError
	if errors.As(err, &failure) {
		c.close()
	}
}

func (c *connection) close() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.conn = nil
	c.reader = nil
	c.address = ""
}

// dial replaces the connection. If no new one can be made the previous one stays open, so that retries of a lost server do
// not cost the connection to the server that answers meanwhile.
func (c *connection) dial(ctx context.Context, address string) error {
	c.counts.dials.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(dialCtx, "tcp", address)
	if err != nil {
		return &CallError{Stage: StageDial, Err: err}
	}
	c.close()
	c.address = address
	c.conn = &pacedConn{Conn: conn, counts: c.counts}
	c.reader = bufio.NewReaderSize(c.conn, readBufferSize)
	return nil
}

// roundTrip sends a query on the open connection and reads the answer.
func (c *connection) roundTrip(ctx context.Context, query configapi.Query) (configapi.Answer, error) {
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.expect(query.Timeout)
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", query.Encode(), c.address)
	if err != nil {
		return configapi.Answer{}, &CallError{Stage: StageSend, Err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return configapi.Answer{}, &CallError{Stage: StageStatus, Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return configapi.Answer{}, c.readRefusal(response)
	}
	answer, err := readAnswer(response, query)
	if err != nil {
		return configapi.Answer{}, err
	}
	if response.Close {
		c.close()
	}
	return answer, nil
}

// readAnswer reads and checks the body of an answer to a query.
func readAnswer(response *http.Response, query configapi.Query) (configapi.Answer, error) {
	limit := int64(maxServiceBody)
	if query.Service == "" {
		limit = maxAllBody
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return configapi.Answer{}, &CallError{Stage: StageBody, Err: fmt.Errorf("reading stopped after %d bytes: %w", len(body), err)}
	}
	if int64(len(body)) > limit {
		return configapi.Answer{}, &CallError{Stage: StageBody, Err: fmt.Errorf("size exceeds %d bytes", limit)}
	}
	var answer configapi.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return configapi.Answer{}, &CallError{Stage: StageAnswer, Err: err}
	}
	if err := answer.Check(query); err != nil {
		return configapi.Answer{}, &CallError{Stage: StageAnswer, Err: err}
	}
	return answer, nil
}

// readRefusal returns the error for an answer with a status other than 200: a RefusalError for an unknown service or a busy
// server, otherwise a CallError.
func (c *connection) readRefusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBody))
	if err != nil || len(body) == maxRefusalBody {
		return &CallError{Stage: StageStatus, Err: fmt.Errorf("server answered with status %s", response.Status)}
	}
	var refusal configapi.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return &CallError{Stage: StageStatus, Err: fmt.Errorf("server answered with status %s", response.Status)}
	}
	if response.Close {
		c.close()
	}
	refusalError := &RefusalError{
		Status:     response.StatusCode,
		Reason:     refusal.Reason,
		RetryAfter: time.Duration(refusal.RetryAfterMS) * time.Millisecond,
	}
	switch response.StatusCode {
	case http.StatusNotFound:
		refusalError.UnknownService = true
		return refusalError
	case http.StatusServiceUnavailable:
		return refusalError
	}
	// Any other status is a failed call, whose cause has the text of a RefusalError but not its type.
	return &CallError{Stage: StageStatus, Err: errors.New(refusalError.Error())}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
