package ingress

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// What the check lets pass, the library reads as one request with at most one idea of where it ends.
func FuzzHead(f *testing.F) {
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
			return // answered as a bad request
		}
		if len(req.Header["Content-Length"]) > 1 || len(req.TransferEncoding) > 0 && req.Header.Get("Content-Length") != "" {
			t.Errorf("%q passes as %+v", raw[:end], req)
		}
	})
}
