package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Request heads that two parsers could interpret differently are rejected before they are parsed, because such
// differences allow request smuggling. http.ReadRequest accepts some of these heads, and replicas may as well.

// errBadRequest is returned for a malformed request.
var errBadRequest = errors.New("bad request")

// errTooManyFields is returned for a request with more than maxFields header fields.
var errTooManyFields = errors.New("request has too many header fields")

// badRequest returns an error that wraps errBadRequest.
func badRequest(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBadRequest, fmt.Sprintf(format, args...))
}

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
	// maxLengthDigits is the maximum number of digits of a Content-Length, so that its value fits into an int64.
	maxLengthDigits = 18
)

var headEnd = []byte("\r\n\r\n")

// endOfHead returns the length of a head, including the empty line that ends it, or -1 if the head is incomplete.
func endOfHead(b []byte) int {
	k := bytes.Index(b, headEnd)
	if k < 0 {
		return -1
	}
	return k + len(headEnd)
}

// checkHead checks the complete head of an HTTP/1 request.
func checkHead(head []byte) error {
	requestLine, fields, _ := strings.Cut(string(head[:len(head)-2]), "\r\n")
	version, err := checkRequestLine(requestLine)
	if err != nil {
		return err
	}
	var framing framingFields
	for count := 1; fields != ""; count++ {
		if count > maxFields {
			return errTooManyFields
		}
		var line string
		line, fields, _ = strings.Cut(fields, "\r\n")
		if err := framing.checkField(line); err != nil {
			return err
		}
	}
	return framing.check(version)
}

// checkRequestLine checks the first line of a head and returns its HTTP version.
func checkRequestLine(line string) (version string, err error) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) {
		return "", badRequest("malformed request line")
	}
	if version != version11 && version != version10 {
		return "", badRequest("unsupported HTTP version %.20q", version)
	}
	return version, checkTarget(method, target)
}

// framingFields counts the header fields that determine where a request ends and which host it is for.
type framingFields struct {
	hosts   int // Host
	lengths int // Content-Length
	codings int // Transfer-Encoding
}

// checkField checks one header line and counts its field.
func (f *framingFields) checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) { // also rejects folded lines and spaces before the colon
		return badRequest("invalid field name %.40q", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) { // rejects bare CR and LF, NUL and other control characters
		return badRequest("invalid value of field %.40s", name)
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "host"):
		f.hosts++
		if !httpguts.ValidHostHeader(value) {
			return badRequest("invalid host %.40q", value)
		}
	case strings.EqualFold(name, "content-length"):
		f.lengths++
		if !isLength(value) {
			return badRequest("invalid content-length %.40q", value)
		}
	case strings.EqualFold(name, "transfer-encoding"):
		f.codings++
		if !strings.EqualFold(value, "chunked") {
			return badRequest("unsupported transfer coding %.40q", value)
		}
	}
	return nil
}

// check checks the field counts of a complete head.
func (f *framingFields) check(version string) error {
	switch {
	case f.hosts > 1 || f.hosts == 0 && version == version11:
		return badRequest("%d host fields, want one", f.hosts)
	case f.lengths+f.codings > 1:
		return badRequest("%d content-length and %d transfer-encoding fields, want one at most", f.lengths, f.codings)
	case f.codings > 0 && version == version10:
		return badRequest("transfer coding in an HTTP/1.0 request")
	}
	return nil
}

// checkTarget accepts paths, and * for OPTIONS. It rejects CONNECT and absolute targets, so that a sidecar is not an
// open proxy.
func checkTarget(method, target string) error {
	if method == "CONNECT" {
		return badRequest("method CONNECT is not supported")
	}
	if target == "*" && method == "OPTIONS" {
		return nil
	}
	if !strings.HasPrefix(target, "/") {
		return badRequest("target %.40q is not a path", target)
	}
	for k := range len(target) {
		if c := target[k]; c <= ' ' || c >= 0x7f || c == '#' {
			return badRequest("target contains the invalid byte %#x", c)
		}
	}
	return nil
}

// isLength reports whether a string is a valid Content-Length: 1 to maxLengthDigits digits, and nothing else.
func isLength(text string) bool {
	if text == "" || len(text) > maxLengthDigits {
		return false
	}
	for k := range len(text) {
		if text[k] < '0' || text[k] > '9' {
			return false
		}
	}
	return true
}
