package proxy

import (
	"errors"
	"io"
	"net/http"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

const (
	// ReasonHeader is the header field that tells a client why it got no response from a replica.
	ReasonHeader = "Lilacbend-Reason"
	// retryAfterSeconds is the wait, in seconds, that rejected clients are asked for (Retry-After).
	retryAfterSeconds = "1"
)

// forwardResponse copies a response to the client. No further attempt can follow. The error is an upstream.AttemptError if
// the replica failed; any other error is a failure of the client.
func (t *transaction) forwardResponse(response *upstream.Response) error {
	t.proxy.reportResponseStart(t.state)
	response.StreamBody()
	t.responseStarted = true
	t.result.Status = response.StatusCode
	err := copyResponse(t.out, response, t.Method)
	if err != nil {
		t.result.Incomplete = true
		t.out.Abort()
	}
	return err
}

// reportResponseStart reports to the dispatcher that the response to a request starts.
func (p *Proxy) reportResponseStart(state *dispatch.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.ResponseStarted(p.config.DispatcherTime(), state)
}

// copyResponse copies a response, no faster than the client accepts it.
func copyResponse(out ResponseWriter, response *upstream.Response, method string) error {
	if err := out.WriteHeader(response.StatusCode, RemoveHopByHop(response.Header), response.ContentLength); err != nil {
		return err
	}
	hasBody := mayHaveBody(method, response.StatusCode)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := response.Read(*buffer)
		if n > 0 && hasBody {
			if _, err := out.Write((*buffer)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return out.Finish(RemoveHopByHop(response.Trailer))
		}
		if err != nil {
			return err
		}
	}
}

// mayHaveBody reports whether a response with the given status to a request with the given method may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeRejection writes the 503 response to a request for which no replica's response is forwarded.
func writeRejection(out ResponseWriter, reason dispatch.Reason) error {
	text := string(reason) + "\n"
	header := http.Header{
		"Retry-After":  {retryAfterSeconds},
		ReasonHeader:   {string(reason)},
		"Content-Type": {"text/plain; charset=utf-8"},
	}
	if err := out.WriteHeader(http.StatusServiceUnavailable, header, int64(len(text))); err != nil {
		return err
	}
	if _, err := io.WriteString(out, text); err != nil {
		return err
	}
	return out.Finish(nil)
}
