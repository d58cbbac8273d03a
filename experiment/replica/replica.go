// Package replica provides scripted peers for tests and experiments: a replica that serves HTTP/1.1, and an HTTP/2 client
// that can send any frame. They are for use on loopback only.
package replica

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is a scripted HTTP server. It counts how many requests it ran for each value of the header field Key.
type Replica struct {
	Addr         string
	RequestCount atomic.Int64  // requests received
	ServiceTime  atomic.Int64  // service time of each request, in nanoseconds
	Unresponsive atomic.Bool   // requests are received but not answered
	Status       atomic.Int64  // status code of responses; 0: 200
	Slots        chan struct{} // limits concurrent requests; nil: no limit
	BodySize     atomic.Int64  // bytes that follow the address in a response body
	mu           sync.Mutex
	runs         map[string]int
	server       *http.Server
	handler      http.HandlerFunc
}

// NewReplica starts a replica on an address, with a limit of concurrent requests (0: no limit). A handler that is not nil
// replaces the scripted response.
func NewReplica(addr string, slots int, handler http.HandlerFunc) (*Replica, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Replica{Addr: l.Addr().String(), runs: map[string]int{}, handler: handler}
	if slots > 0 {
		r.Slots = make(chan struct{}, slots)
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(l)
	return r, nil
}

// Stop closes the listener and all connections at once, like a crash.
func (r *Replica) Stop() { r.server.Close() }

// RunsByKey returns the number of requests that ran for each key.
func (r *Replica) RunsByKey() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	r.RequestCount.Add(1)
	if key := req.Header.Get("Key"); key != "" {
		r.mu.Lock()
		r.runs[key]++
		r.mu.Unlock()
	}
	if r.handler != nil {
		r.handler(w, req)
		return
	}
	io.Copy(io.Discard, req.Body)
	if r.Slots != nil {
		select {
		case r.Slots <- struct{}{}:
			defer func() { <-r.Slots }()
		case <-req.Context().Done():
			return
		}
	}
	if r.Unresponsive.Load() {
		<-req.Context().Done()
		return
	}
	if serviceTime := time.Duration(r.ServiceTime.Load()); serviceTime > 0 {
		select {
		case <-time.After(serviceTime):
		case <-req.Context().Done():
			return
		}
	}
	if status := int(r.Status.Load()); status != 0 {
		w.WriteHeader(status)
	}
	fmt.Fprint(w, r.Addr)
	io.CopyN(w, zeros{}, r.BodySize.Load())
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}
