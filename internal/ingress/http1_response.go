package ingress

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"

	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

var (
	errResponseTooLong  = errors.New("response body is longer than its content-length")
	errResponseTooShort = errors.New("response body is shorter than its content-length")
)

// http1Response writes the response to one HTTP/1 request.
type http1Response struct {
	writer    *bufio.Writer
	conn      *http1Conn
	method    string
	http10    bool
	closeConn bool // the connection is closed after the response
	aborted   bool

	mu        sync.Mutex // guards started and continued, as sendContinue may run concurrently with WriteHeader
	started   bool
	continued bool // 100 Continue was sent

	noBody    bool
	remaining int64          // bytes of the body still to be written; negative: the length is unknown
	chunks    io.WriteCloser // nil: the body is not chunked
}

// sendContinue asks the client for its body by a 100 Continue. It returns upstream.ErrBodyStopped if the response has
// started.
func (r *http1Response) sendContinue() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		return upstream.ErrBodyStopped
	}
	r.continued = true
	if _, err := r.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return r.writer.Flush()
}

// WriteInformational implements proxy.ResponseWriter. HTTP/1.0 clients get none, as that version does not define
// informational responses.
func (r *http1Response) WriteInformational(status int, header http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.http10 || r.started {
		return
	}
	r.writeStatusLine(status)
	proxy.RemoveHopByHop(header).Write(r.writer)
	r.writer.WriteString("\r\n")
	r.writer.Flush()
}

func (r *http1Response) writeStatusLine(status int) {
	r.writer.WriteString("HTTP/1.1 ")
	r.writer.WriteString(strconv.Itoa(status))
	r.writer.WriteByte(' ')
	r.writer.WriteString(http.StatusText(status))
	r.writer.WriteString("\r\n")
}

// WriteHeader implements proxy.ResponseWriter.
func (r *http1Response) WriteHeader(status int, header http.Header, length int64) error {
	r.mu.Lock()
	r.started = true
	r.remaining = length
	r.mu.Unlock()
	r.writeStatusLine(status)
	if err := header.Write(r.writer); err != nil {
		return err
	}
	r.noBody = r.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	r.closeConn = r.closeConn || r.conn.server.Draining() || !r.canReadNextRequest()
	if status != http.StatusNoContent {
		r.writeFraming(length)
	}
	switch {
	case r.closeConn:
		r.writer.WriteString("Connection: close\r\n")
	case r.http10:
		r.writer.WriteString("Connection: keep-alive\r\n")
	}
	_, err := r.writer.WriteString("\r\n")
	return err
}

// canReadNextRequest reports whether the next request on the connection can be read, although the body of this one may not
// have been read completely. If not, the response has to announce the close of the connection: otherwise the client would send
// its next request, which would be discarded with the rest of the body.
func (r *http1Response) canReadNextRequest() bool {
	body, ok := r.conn.request.Body.(*http1Body)
	if !ok {
		return true
	}
	if r.conn.request.ExpectContinue && !r.continued { // the client does not send the body
		return false
	}
	return body.hasShortRest()
}

// writeFraming writes the header field that determines where the body ends.
func (r *http1Response) writeFraming(length int64) {
	switch {
	case length >= 0:
		r.writer.WriteString("Content-Length: ")
		r.writer.WriteString(strconv.FormatInt(length, 10))
		r.writer.WriteString("\r\n")
	case r.noBody:
	case r.http10: // the body ends where the connection is closed
		r.closeConn = true
	default:
		r.writer.WriteString("Transfer-Encoding: chunked\r\n")
		r.chunks = httputil.NewChunkedWriter(r.writer)
	}
}

// Write implements proxy.ResponseWriter. Each part of a body of unknown length is flushed, because the client may wait
// for it.
func (r *http1Response) Write(p []byte) (int, error) {
	if r.noBody {
		return len(p), nil
	}
	if r.chunks != nil {
		n, err := r.chunks.Write(p)
		if err == nil {
			err = r.writer.Flush()
		}
		return n, err
	}
	if r.remaining >= 0 {
		r.remaining -= int64(len(p))
		if r.remaining < 0 {
			return 0, errResponseTooLong
		}
	}
	return r.writer.Write(p)
}

// Finish implements proxy.ResponseWriter.
func (r *http1Response) Finish(trailer http.Header) error {
	if r.chunks != nil {
		if err := r.chunks.Close(); err != nil {
			return err
		}
		trailer.Write(r.writer)
		r.writer.WriteString("\r\n")
	} else if r.remaining > 0 && !r.noBody {
		r.Abort()
		return errResponseTooShort
	}
	return r.writer.Flush()
}

// Abort implements proxy.ResponseWriter. It closes the connection, which shows an HTTP/1 client that the response is
// incomplete.
func (r *http1Response) Abort() {
	r.aborted = true
	r.closeConn = true
	r.writer.Flush()
	r.conn.conn.Close()
}
