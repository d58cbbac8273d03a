package sidecar

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// BenchmarkFlow is one request over reused connections, HTTP/1.1 on both sides; the client and the replica of the
// benchmark allocate nothing, so what is counted is the sidecar's.
func BenchmarkFlow(b *testing.B) {
	at := raw(b, func(conn net.Conn, r *bufio.Reader) {
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			if _, err := conn.Write(fixedAnswer); err != nil {
				return
			}
		}
	})
	s := start(b, nil, at)
	conn, err := net.Dial("tcp", s.h1)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(fixedRequest); err != nil {
			b.Fatal(err)
		}
		if n, err := conn.Read(buf); err != nil || n < 15 || string(buf[9:12]) != "200" {
			b.Fatal(string(buf[:n]), err)
		}
	}
	io.WriteString(conn, "")
}

var (
	fixedAnswer  = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok")
	fixedRequest = []byte("GET /stock HTTP/1.1\r\nHost: shop.example.org\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n")
)
