package ingress

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"lilacbend/internal/proxy"
)

// serveRequest reads one request and responds to it. It returns false if the connection must be closed.
func (c *http1Conn) serveRequest(r *bufio.Reader, w *bufio.Writer) bool {
	head, err := c.readHead(r)
	if err != nil {
		c.rejectRequest(w, err)
		return false
	}
	c.prepare(head, w)
	c.cancel.Reset()
	if c.ended.Load() {
		return false
	}
	c.requestRead = false
	c.watching = false
	if c.request.Body == nil {
		c.onRequestRead()
	}
	result := c.server.serveRequest(&c.cancel, "h1", &c.request, &c.response)
	keep := c.finishRequest(head, r, w)
	if keep && result.Attempts == 0 {
		c.server.holdBack(&c.unattempted, c.server.rates.unattempted)
	}
	return keep
}

// readHead reads, checks and parses the head of a request.
func (c *http1Conn) readHead(r *bufio.Reader) (*http.Request, error) {
	c.connReader.deadline = time.Now().Add(c.server.limits.HeadTimeout)
	head, err := peekHead(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	c.connReader.deadline = time.Time{}
	parsed, err := http.ReadRequest(r)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	return parsed, nil
}

// peekHead waits for a complete head, and returns it without consuming it.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if n > maxHead {
			return nil, errHeadTooLarge
		}
		_, err := r.Peek(n)
		buffered, _ := r.Peek(r.Buffered())
		if end := endOfHead(buffered); end >= 0 {
			return buffered[:end], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// prepare sets up the request and its response from a parsed head.
func (c *http1Conn) prepare(head *http.Request, w *bufio.Writer) {
	c.request = proxy.Request{
		Method: head.Method,
		Target: head.RequestURI,
		Host:   head.Host,
		Header: head.Header,
		Length: head.ContentLength,

		ClientLeft: c.clientLeft,
	}
	c.response = http1Response{
		writer:    w,
		conn:      c,
		method:    head.Method,
		http10:    head.ProtoMinor == 0,
		closeConn: head.Close || c.server.Draining(),
	}
	if head.Body != http.NoBody {
		c.request.Body = &http1Body{Reader: head.Body, conn: c, head: head}
		c.request.Trailer = func() http.Header { return head.Trailer }
		c.request.StopBody = c.connReader.stop
		c.request.ExpectContinue = expectsContinue(head.Header)
		c.request.Continue = c.response.sendContinue
	}
	proxy.RemoveHopByHop(c.request.Header)
}

// finishRequest ends a request after its response. It returns false if the connection must be closed.
func (c *http1Conn) finishRequest(head *http.Request, r *bufio.Reader, w *bufio.Writer) bool {
	clientGone := c.watching && !c.stopWatching()
	c.connReader.stopped.Store(false) // no goroutine reads the connection now
	if clientGone || c.response.aborted || c.ended.Load() {
		return false
	}
	if w.Flush() != nil {
		return false
	}
	c.unreadInput = !c.requestRead || r.Buffered() > 0
	if c.response.closeConn {
		return false
	}
	if c.request.Body == nil {
		return true
	}
	return c.discardBody(head.Body)
}

// discardBody reads the unread rest of a request body, which precedes the next request on the connection. It returns
// false if the rest has maxDiscard bytes or more, or cannot be read. The head of the response has announced the close of the
// connection if that was to be expected (canReadNextRequest).
func (c *http1Conn) discardBody(body io.Reader) bool {
	n, err := io.CopyN(io.Discard, body, maxDiscard)
	if n == maxDiscard || !errors.Is(err, io.EOF) {
		return false
	}
	c.unreadInput = false
	return true
}

// expectsContinue reports whether the client waits for a 100 Continue before it sends the body.
func expectsContinue(header http.Header) bool {
	values := header["Expect"]
	return len(values) == 1 && (values[0] == "100-continue" || values[0] == "100-Continue")
}

// rejectRequest responds to a request whose head is malformed, too large or too slow. After any other error there is no
// request to respond to, and it sends nothing. The caller closes the connection.
func (c *http1Conn) rejectRequest(w *bufio.Writer, err error) {
	status := http.StatusBadRequest
	reason := reasonBadRequest
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, errTooManyFields):
		status = http.StatusRequestHeaderFieldsTooLarge
		reason = reasonHeadTooLarge
	case errors.Is(err, errBadRequest):
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
		reason = reasonHeadTooSlow
	default:
		return
	}
	c.server.Counters.BadRequests.Add(1)
	out := &http1Response{writer: w, conn: c, closeConn: true}
	if writeErrorResponse(out, status, reason) == nil {
		c.unreadInput = w.Flush() == nil
	}
}
