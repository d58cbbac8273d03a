package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"testing"
)

// Each head that checkHead accepts defines the end of its request at most once, as net/http parses it.
func FuzzCheckHead(f *testing.F) {
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: x\r\nX: \tfolded\r\n\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		end := endOfHead(raw)
		if end < 0 || checkHead(raw[:end]) != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return // the connection responds with 400 Bad Request
		}
		if len(req.Header["Content-Length"]) > 1 || len(req.TransferEncoding) > 0 && req.Header.Get("Content-Length") != "" {
			t.Errorf("checkHead accepted %q with ambiguous framing, parsed as %+v", raw[:end], req)
		}
	})
}

func TestCheckHeadRefusesAmbiguousHeads(t *testing.T) {
	for _, c := range []struct {
		name string
		head string
		ok   bool
	}{
		{"GET with a host", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", true},
		{"HTTP/1.0 without a host", "GET / HTTP/1.0\r\n\r\n", true},
		{"no host", "GET / HTTP/1.1\r\n\r\n", false},
		{"two hosts", "GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n", false},
		{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", false},
		{"a length and a transfer coding", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"two transfer codings", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"an unsupported transfer coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false},
		{"a transfer coding in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"a signed length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\n", false},
		{"a length beyond an int64", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999999999999999\r\n\r\n", false},
		{"a space before the colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", false},
		{"a folded line", "GET / HTTP/1.1\r\nHost: x\r\n y\r\n\r\n", false},
		{"a bare CR", "GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n", false},
		{"an unknown version", "GET / HTTP/1.2\r\nHost: x\r\n\r\n", false},
		{"CONNECT", "CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n", false},
		{"an absolute target", "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", false},
		{"a fragment", "GET /#a HTTP/1.1\r\nHost: x\r\n\r\n", false},
		{"OPTIONS with target *", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := checkHead([]byte(c.head))
			if (err == nil) != c.ok || err != nil && !errors.Is(err, errBadRequest) {
				t.Errorf("checkHead returned %v, want success %v", err, c.ok)
			}
		})
	}
}
