package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the fields that concern one connection alone (RFC 9110, 7.6.1), and those that each side works out anew.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Http2-Settings":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// RemoveHopByHop removes, in place, the fields that concern one connection alone, and those that a Connection field
// names. It returns the header.
func RemoveHopByHop(header http.Header) http.Header {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if name != "" {
				delete(header, name)
			}
		}
	}
	for name := range header {
		if hopByHop[name] {
			delete(header, name)
		}
	}
	return header
}
