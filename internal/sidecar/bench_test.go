package sidecar

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// BenchmarkFlow measures one request over reused connections, with HTTP/1.1 on both sides. The client and the replica of
// the benchmark do not allocate, so all reported allocations are those of the sidecar.
func BenchmarkFlow(b *testing.B) {
	replicaAddress := startRawReplica(b, func(conn net.Conn, r *bufio.Reader) {
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			if _, err := conn.Write(benchmarkResponse); err != nil {
				return
			}
		}
	})
	s := startSidecar(b, nil, replicaAddress)
	conn, err := net.Dial("tcp", s.h1)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	response := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(benchmarkRequest); err != nil {
			b.Fatal(err)
		}
		if n, err := conn.Read(response); err != nil || n < 15 || string(response[9:12]) != "200" {
			b.Fatal(string(response[:n]), err)
		}
	}
	io.WriteString(conn, "")
}

var (
	benchmarkResponse = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok")
	benchmarkRequest  = []byte("GET /stock HTTP/1.1\r\nHost: shop.example.org\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n")
)
