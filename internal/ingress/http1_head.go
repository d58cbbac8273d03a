package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Heads that two readers could understand differently are refused before anybody parses them: that is how one request
// is smuggled inside another. http.ReadRequest forgives some of these, and replicas may as well.

// errBadRequest is the cause of a request that is refused for its form.
var errBadRequest = errors.New("bad request")

// badRequest returns an error that wraps errBadRequest.
func badRequest(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBadRequest, fmt.Sprintf(format, args...))
}

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
	// maxLengthDigits keeps a content length within an int64.
	maxLengthDigits = 18
)

var headEnd = []byte("\r\n\r\n")

// endOfHead returns the length of a head with the empty line that ends it, or -1 if it has not arrived completely.
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
	for fields != "" {
		var line string
		line, fields, _ = strings.Cut(fields, "\r\n")
		if err := framing.checkField(line); err != nil {
			return err
		}
	}
	return framing.check(version)
}

// checkRequestLine checks the first line of a head, and returns its HTTP version.
func checkRequestLine(line string) (version string, err error) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) {
		return "", badRequest("request line")
	}
	if version != version11 && version != version10 {
		return "", badRequest("version %.20q", version)
	}
	return version, checkTarget(method, target)
}

// framingFields counts the fields that say where a request ends, and for whom it is.
type framingFields struct {
	hosts   int
	lengths int
	codings int
}

// checkField checks one header line, and counts it.
func (f *framingFields) checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) { // also folded lines, and spaces before the colon
		return badRequest("field name %.40q", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) { // bare CR and LF, NUL, other controls
		return badRequest("value of %.40s", name)
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "host"):
		f.hosts++
		if !httpguts.ValidHostHeader(value) {
			return badRequest("host %.40q", value)
		}
	case strings.EqualFold(name, "content-length"):
		f.lengths++
		if !isLength(value) {
			return badRequest("length %.40q", value)
		}
	case strings.EqualFold(name, "transfer-encoding"):
		f.codings++
		if !strings.EqualFold(value, "chunked") {
			return badRequest("transfer coding %.40q", value)
		}
	}
	return nil
}

// check checks the counts of a complete head.
func (f *framingFields) check(version string) error {
	switch {
	case f.hosts > 1 || f.hosts == 0 && version == version11:
		return badRequest("%d hosts", f.hosts)
	case f.lengths+f.codings > 1:
		return badRequest("%d lengths and %d transfer codings", f.lengths, f.codings)
	case f.codings > 0 && version == version10:
		return badRequest("a transfer coding in HTTP/1.0")
	}
	return nil
}

// checkTarget accepts paths, and * for OPTIONS: a sidecar is no open proxy.
func checkTarget(method, target string) error {
	if method == "CONNECT" {
		return badRequest("CONNECT")
	}
	if target == "*" && method == "OPTIONS" {
		return nil
	}
	if !strings.HasPrefix(target, "/") {
		return badRequest("target %.40q is no path", target)
	}
	for k := range len(target) {
		if c := target[k]; c <= ' ' || c >= 0x7f || c == '#' {
			return badRequest("target has the byte %#x", c)
		}
	}
	return nil
}

// isLength reports whether a text is the length of a body: digits alone.
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
