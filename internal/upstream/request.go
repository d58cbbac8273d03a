package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
)

// Request is a request as it is sent to a replica.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header // without hop-by-hop fields
	Body   io.Reader   // nil: none
	Length int64       // of the body; -1: unknown
	// StopBody unblocks a waiting read of Body and makes all further reads fail with ErrBodyStopped; nil: reads never wait.
	StopBody func()
	// Trailer is called after the end of Body; nil: there is no trailer.
	Trailer func() http.Header
	// FreshConnection excludes connections that have been idle for longer than maxFreshIdle.
	FreshConnection bool
	// Informational receives the informational responses other than 100 Continue; nil: they are discarded.
	Informational InformationalWriter
}

// InformationalWriter receives informational responses (status 1xx).
type InformationalWriter interface {
	WriteInformational(status int, header http.Header)
}

// bodyReader marks read errors of a request body, to distinguish them from errors of the connection to the replica.
type bodyReader struct{ io.Reader }

// Read reads from the body. It wraps errors in a BodyError, except io.EOF and ErrBodyStopped.
func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, ErrBodyStopped) {
		err = &BodyError{err}
	}
	return n, err
}

// writeHead writes the head of a request and returns its length.
func writeHead(w *bufio.Writer, r *Request) int {
	n := writeStrings(w, r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			n += writeStrings(w, name, ": ", value, "\r\n")
		}
	}
	switch {
	case r.Body != nil && r.Length >= 0:
		n += writeStrings(w, "Content-Length: ", strconv.FormatInt(r.Length, 10), "\r\n")
	case r.Body != nil:
		n += writeStrings(w, "Transfer-Encoding: chunked\r\n")
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		n += writeStrings(w, "Content-Length: 0\r\n")
	}
	return n + writeStrings(w, "\r\n")
}

// writeStrings writes strings one after the other and returns their total length. The next Flush returns any error.
func writeStrings(w *bufio.Writer, parts ...string) int {
	n := 0
	for _, part := range parts {
		w.WriteString(part)
		n += len(part)
	}
	return n
}

// sendBody sends a body that does not fit into the writer's buffer, and returns the writer to its pool.
func sendBody(w *bufio.Writer, r *Request) error {
	defer putWriter(w)
	if r.Length < 0 {
		return sendChunked(w, r)
	}
	n, err := io.CopyN(w, bodyReader{r.Body}, r.Length)
	if err != nil {
		return fmt.Errorf("sending the body failed after %d of %d bytes: %w", n, r.Length, err)
	}
	return w.Flush()
}

// sendChunked sends a body of unknown length, and its trailer.
func sendChunked(w *bufio.Writer, r *Request) error {
	chunks := httputil.NewChunkedWriter(flushWriter{w})
	if _, err := io.Copy(chunks, bodyReader{r.Body}); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if r.Trailer != nil {
		if err := r.Trailer().Write(w); err != nil {
			return err
		}
	}
	w.WriteString("\r\n")
	return w.Flush()
}

// flushWriter flushes after each write, because a client that streams a body may wait for the response to its first part.
type flushWriter struct{ w *bufio.Writer }

// Write writes p and flushes the writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.w.Flush()
	}
	return n, err
}
