package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hops are the fields that concern one connection alone (RFC 9110, 7.6.1), and those that each side works out anew.
var hops = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Http2-Settings": true,
	"Content-Length": true, "Expect": true}

// Clean takes out of a header, in place, what concerns one connection, and what its Connection field names.
func Clean(h http.Header) http.Header {
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" {
				delete(h, name)
			}
		}
	}
	for name := range h {
		if hops[name] {
			delete(h, name)
		}
	}
	return h
}
