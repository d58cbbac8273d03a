package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is a response whose head was received. The caller must call Close, which keeps the connection for further
// requests if the response was read to its end without further bytes behind it, all of the request was sent, the replica
// keeps the connection open and the request was not canceled. A Response must not be used after Close.
type Response struct {
	*http.Response
	conn     *conn
	cancel   *Cancellation
	bodySent <-chan error // the result of sending the request body; nil: it was sent with the head
	complete bool         // the body was read to its end
	streamed bool         // StreamBody was called
}

// StreamBody replaces the deadline of the attempt for all further reads: each has the pool's stall timeout instead.
func (r *Response) StreamBody() { r.streamed = true }

// Read reads the body of the response.
func (r *Response) Read(p []byte) (int, error) {
	if r.streamed {
		r.cancel.setReadTimeout(r.conn.pool.config.StallTimeout)
	}
	n, err := r.Response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, err
	}
	if err != nil {
		return n, &AttemptError{ResponseStarted, "read response body", err}
	}
	return n, nil
}

// Close ends the attempt and releases the connection.
func (r *Response) Close() {
	c := r.conn
	sent := r.finishSending()
	reusable := sent && r.complete && !r.Response.Close
	r.cancel.detach()
	reusable = reusable && c.reader.Buffered() == 0 && !r.cancel.Canceled()
	*r = Response{}
	if reusable {
		c.SetDeadline(time.Time{})
	}
	c.pool.release(c, reusable)
}

// finishSending reports whether all of the request was sent. If its body is still being sent, the replica has responded
// without reading all of it, and the connection is closed.
func (r *Response) finishSending() bool {
	if r.bodySent == nil {
		return true
	}
	select {
	case err := <-r.bodySent:
		return err == nil
	default:
		r.conn.abort(r.bodySent)
		return false
	}
}
