package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Heads that two readers could understand differently are refused before anybody reads them: that is how one
// request is smuggled inside another. http.ReadRequest forgives some of these, and replicas may as well.

var errHead = errors.New("head")

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errHead}, args...)...)
}

// endOfHead finds the end of a head, with its empty line; below 0: it has not come yet.
func endOfHead(b []byte) int {
	if k := bytes.Index(b, []byte("\r\n\r\n")); k >= 0 {
		return k + 4
	}
	return -1
}

// checkHead says what is wrong with the head of an HTTP/1 request.
func checkHead(head []byte) error {
	first, rest, _ := strings.Cut(string(head[:len(head)-2]), "\r\n")
	method, after, _ := strings.Cut(first, " ")
	target, version, ok := strings.Cut(after, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) {
		return bad("request line")
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return bad("version %.20q", version)
	}
	if err := checkTarget(method, target); err != nil {
		return err
	}
	hosts, lengths, codings := 0, 0, 0
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) { // also folded lines, and spaces before the colon
			return bad("field name %.40q", name)
		}
		if !httpguts.ValidHeaderFieldValue(value) { // bare CR and LF, NUL, other controls
			return bad("value of %.40s", name)
		}
		trimmed := strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "host"):
			if hosts++; !httpguts.ValidHostHeader(trimmed) {
				return bad("host %.40q", trimmed)
			}
		case strings.EqualFold(name, "content-length"):
			if lengths++; !digits(trimmed) {
				return bad("length %.40q", trimmed)
			}
		case strings.EqualFold(name, "transfer-encoding"):
			if codings++; !strings.EqualFold(trimmed, "chunked") {
				return bad("transfer coding %.40q", trimmed)
			}
		}
	}
	switch {
	case hosts > 1 || hosts == 0 && version == "HTTP/1.1":
		return bad("%d hosts", hosts)
	case lengths > 1 || codings > 1 || lengths+codings > 1:
		return bad("%d lengths and %d transfer codings", lengths, codings)
	case codings > 0 && version == "HTTP/1.0":
		return bad("a transfer coding in HTTP/1.0")
	}
	return nil
}

// checkTarget takes paths, and * for OPTIONS: a sidecar is no open proxy.
func checkTarget(method, target string) error {
	if method == "CONNECT" {
		return bad("CONNECT")
	}
	if target == "*" && method == "OPTIONS" {
		return nil
	}
	if !strings.HasPrefix(target, "/") {
		return bad("target %.40q is no path", target)
	}
	for k := range len(target) {
		if c := target[k]; c <= ' ' || c >= 0x7f || c == '#' {
			return bad("target has the byte %#x", c)
		}
	}
	return nil
}

func digits(s string) bool {
	if s == "" || len(s) > 18 {
		return false
	}
	for k := range len(s) {
		if s[k] < '0' || s[k] > '9' {
			return false
		}
	}
	return true
}
