package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection (RFC 9110, 7.6.1), and those that the sidecar
// determines anew for each side.
var hopByHopFields = map[string]bool{
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

// RemoveHopByHop removes hop-by-hop fields from a header in place, including those that a Connection field names. It
// returns the header.
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
		if hopByHopFields[name] {
			delete(header, name)
		}
	}
	return header
}
