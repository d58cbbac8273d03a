package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// execution is one request that a replica has run.
type execution struct {
	id   string
	box  string
	path string
	at   time.Time
}

// ledger holds what all replicas have run.
type ledger struct {
	mu  sync.Mutex
	ran map[string][]execution
}

func newLedger() *ledger { return &ledger{ran: map[string][]execution{}} }

func (l *ledger) add(e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[e.id] = append(l.ran[e.id], e)
}

func (l *ledger) of(id string) []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]execution{}, l.ran[id]...)
}

// box is a replica: an HTTP server that works for a while on each request, writes down that it ran it, and answers with its
// number.
type box struct {
	member
	work   func(path string) time.Duration
	ledger *ledger
	server *http.Server
}

func startBox(m member, l *ledger, work func(path string) time.Duration) *box {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	m.HostPort = listener.Addr().String()
	b := &box{member: m, work: work, ledger: l}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.server.Serve(listener)
	return b
}

func (b *box) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	time.Sleep(b.work(r.URL.Path)) // running work goes on when it is cancelled, as on some days
	b.ledger.add(execution{id: id, box: b.ID, path: r.URL.Path, at: time.Now()})
	body := fmt.Sprintf("%s ran at %s\n", id, b.ID)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	io.WriteString(w, body)
}
