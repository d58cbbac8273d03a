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
	errAnswerTooLong  = errors.New("the answer is longer than its length")
	errAnswerTooShort = errors.New("the answer is shorter than its length")
)

// http1Response writes the answer to one request.
type http1Response struct {
	w         *bufio.Writer
	conn      *http1Conn
	method    string
	http10    bool
	closeConn bool // the connection ends with it
	aborted   bool

	mu        sync.Mutex // guards begun and continued: the body may be asked for while the answer begins
	begun     bool
	continued bool // the client was asked for its body

	noBody    bool
	remaining int64          // of the length; negative: the length is unknown
	chunks    io.WriteCloser // nil: the body is not chunked
}

// askForBody asks the client for its body, unless the answer has begun.
func (r *http1Response) askForBody() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun {
		return upstream.ErrBodyStopped
	}
	r.continued = true
	if _, err := r.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return r.w.Flush()
}

// WriteInformational implements proxy.ResponseWriter. HTTP/1.0 knows no informational responses.
func (r *http1Response) WriteInformational(status int, header http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.http10 || r.begun {
		return
	}
	r.writeStatusLine(status)
	proxy.RemoveHopByHop(header).Write(r.w)
	r.w.WriteString("\r\n")
	r.w.Flush()
}

func (r *http1Response) writeStatusLine(status int) {
	r.w.WriteString("HTTP/1.1 ")
	r.w.WriteString(strconv.Itoa(status))
	r.w.WriteByte(' ')
	r.w.WriteString(http.StatusText(status))
	r.w.WriteString("\r\n")
}

// WriteHeader implements proxy.ResponseWriter.
func (r *http1Response) WriteHeader(status int, header http.Header, length int64) error {
	r.mu.Lock()
	r.begun = true
	r.remaining = length
	r.mu.Unlock()
	r.writeStatusLine(status)
	if err := header.Write(r.w); err != nil {
		return err
	}
	r.noBody = r.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	r.closeConn = r.closeConn || r.conn.server.Draining()
	if status != http.StatusNoContent {
		r.writeFraming(length)
	}
	switch {
	case r.closeConn:
		r.w.WriteString("Connection: close\r\n")
	case r.http10:
		r.w.WriteString("Connection: keep-alive\r\n")
	}
	_, err := r.w.WriteString("\r\n")
	return err
}

// writeFraming says where the body ends.
func (r *http1Response) writeFraming(length int64) {
	switch {
	case length >= 0:
		r.w.WriteString("Content-Length: ")
		r.w.WriteString(strconv.FormatInt(length, 10))
		r.w.WriteString("\r\n")
	case r.noBody:
	case r.http10: // the end of the connection is that of the body
		r.closeConn = true
	default:
		r.w.WriteString("Transfer-Encoding: chunked\r\n")
		r.chunks = httputil.NewChunkedWriter(r.w)
	}
}

// Write implements proxy.ResponseWriter. A body of unknown length is flushed after each part, as the client may wait for
// it.
func (r *http1Response) Write(p []byte) (int, error) {
	if r.noBody {
		return len(p), nil
	}
	if r.chunks != nil {
		n, err := r.chunks.Write(p)
		if err == nil {
			err = r.w.Flush()
		}
		return n, err
	}
	if r.remaining >= 0 {
		r.remaining -= int64(len(p))
		if r.remaining < 0 {
			return 0, errAnswerTooLong
		}
	}
	return r.w.Write(p)
}

// Finish implements proxy.ResponseWriter.
func (r *http1Response) Finish(trailer http.Header) error {
	if r.chunks != nil {
		if err := r.chunks.Close(); err != nil {
			return err
		}
		trailer.Write(r.w)
		r.w.WriteString("\r\n")
	} else if r.remaining > 0 && !r.noBody {
		r.Abort()
		return errAnswerTooShort
	}
	return r.w.Flush()
}

// Abort implements proxy.ResponseWriter. It ends the connection, which is how HTTP/1 says that an answer is incomplete.
func (r *http1Response) Abort() {
	r.aborted = true
	r.closeConn = true
	r.w.Flush()
	r.conn.conn.Close()
}
