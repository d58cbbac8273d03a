package main

import (
	"io"
	"net"
	"sync"
)

// cutProxy forwards TCP connections to a replica, and resets them all when told so.
type cutProxy struct {
	address string
	target  string

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

func startCutProxy(target string) *cutProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &cutProxy{address: l.Addr().String(), target: target, conns: map[*net.TCPConn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p
}

func (p *cutProxy) forward(client *net.TCPConn) {
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	p.track(true, client, server)
	defer p.track(false, client, server)
	var both sync.WaitGroup
	both.Go(func() { pipe(server, client) })
	both.Go(func() { pipe(client, server) })
	both.Wait()
	client.Close()
	server.Close()
}

func pipe(to, from *net.TCPConn) {
	io.Copy(to, from)
	to.CloseWrite()
}

func (p *cutProxy) track(open bool, conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if open {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
}

// reset resets all connections, and returns how many.
func (p *cutProxy) reset() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
	return len(p.conns) / 2
}
