package ingress

import (
	"time"

	"golang.org/x/net/http2"

	"lilacbend/internal/ratelimit"
)

// clientRates are the rates above which a client is held back.
type clientRates struct {
	// frames is the rate of frames of an HTTP/2 client that do not carry a request.
	frames ratelimit.Rate
	// unattempted is the rate of HTTP/1 requests on one connection that are answered without an attempt at a replica, such as
	// those that belong to no traffic class. No replica slows a client down that sends them.
	unattempted ratelimit.Rate
}

// defaultClientRates are far above what clients need, and a fraction of what a client can send that does not wait.
var defaultClientRates = clientRates{
	frames:      ratelimit.Rate{PerSecond: 50_000, Burst: 100_000},
	unattempted: ratelimit.Rate{PerSecond: 5_000, Burst: 10_000},
}

// smallData is the length below which a part of a body does not count as carrying a request, in bytes.
const smallData = 1 << 10

// carriesRequest reports whether a frame is a head, the end of a body, or a part of a body that is not small. The rate of such
// frames follows from requests, which the limits of streams and windows bound.
func carriesRequest(frame http2.Frame) bool {
	switch f := frame.(type) {
	case *http2.MetaHeadersFrame:
		return true
	case *http2.DataFrame:
		return f.StreamEnded() || f.Length >= smallData
	}
	return false
}

// holdBack waits if a client sends more than a rate allows. It is called between two reads, so that flow control holds the
// client back and other clients get the processor.
func (s *Server) holdBack(limiter *ratelimit.Limiter, rate ratelimit.Rate) {
	wait := limiter.Take(time.Now(), rate)
	if wait == 0 {
		return
	}
	s.Counters.HeldBack.Add(1)
	time.Sleep(wait)
}
