package ingress

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/internal/proxy"
)

// parseHTTP2Request parses the head of a request. It rejects heads that a replica would interpret differently when they
// are sent to it over HTTP/1.1.
func parseHTTP2Request(f *http2.MetaHeadersFrame) (*proxy.Request, error) {
	request := &proxy.Request{
		Method: f.PseudoValue("method"),
		Target: f.PseudoValue("path"),
		Host:   f.PseudoValue("authority"),
		Header: http.Header{},
		Length: -1,
	}
	if f.PseudoValue("scheme") == "" || !httpguts.ValidHeaderFieldName(request.Method) {
		return nil, badRequest("missing scheme or invalid method")
	}
	if err := checkTarget(request.Method, request.Target); err != nil {
		return nil, err
	}
	var cookies []string
	for _, field := range f.RegularFields() {
		if field.Name == "cookie" {
			cookies = append(cookies, field.Value)
			continue
		}
		if err := addField(request, field); err != nil {
			return nil, err
		}
	}
	if len(cookies) > 0 { // HTTP/2 allows several Cookie fields, HTTP/1.1 allows one
		request.Header.Set("Cookie", strings.Join(cookies, "; "))
	}
	if f.StreamEnded() && request.Length > 0 {
		return nil, badRequest("content-length %d without a body", request.Length)
	}
	if request.Host == "" || !httpguts.ValidHostHeader(request.Host) {
		return nil, badRequest("missing or invalid host")
	}
	return request, nil
}

// addField adds a header field to a request. The fields host, content-length and expect set Host, Length and ExpectContinue
// instead, and te is checked but not added.
func addField(request *proxy.Request, field hpack.HeaderField) error {
	switch field.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		return badRequest("field %s is not allowed in HTTP/2", field.Name)
	case "te":
		if field.Value != "trailers" {
			return badRequest("field te has a value other than trailers")
		}
	case "host":
		if request.Host != "" && request.Host != field.Value {
			return badRequest("conflicting hosts")
		}
		request.Host = field.Value
	case "content-length":
		if request.Length >= 0 || !isLength(field.Value) {
			return badRequest("repeated or invalid content-length %.40q", field.Value)
		}
		request.Length, _ = strconv.ParseInt(field.Value, 10, 64)
	case "expect":
		request.ExpectContinue = strings.EqualFold(field.Value, "100-continue")
	default:
		if !httpguts.ValidHeaderFieldValue(field.Value) {
			return badRequest("invalid value of field %s", field.Name)
		}
		request.Header.Add(field.Name, field.Value)
	}
	return nil
}
