// Package replica has scripted peers for tests and experiments: a replica, and an HTTP/2 client that sends any frame. They
// listen on loopback only.
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

// Replica is a scripted replica. It counts how often each key (the field Key) has run.
type Replica struct {
	Addr         string
	RequestCount atomic.Int64  // requests that have begun to run
	ServiceTime  atomic.Int64  // nanoseconds that a request takes
	Unresponsive atomic.Bool   // requests run but are not answered
	Status       atomic.Int64  // of answers; 0: 200
	Slots        chan struct{} // limits requests at once; nil: no limit
	BodySize     atomic.Int64  // of an answer's body, in bytes
	mu           sync.Mutex
	runs         map[string]int
	server       *http.Server
	handler      http.HandlerFunc
}

// NewReplica listens on an address of loopback. A handler, if any, answers instead of the script.
func NewReplica(addr string, places int, handler http.HandlerFunc) (*Replica, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Replica{Addr: l.Addr().String(), runs: map[string]int{}, handler: handler}
	if places > 0 {
		r.Slots = make(chan struct{}, places)
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(l)
	return r, nil
}

// Stop ends the replica at once, as a crash does.
func (r *Replica) Stop() { r.server.Close() }

// RunsByKey returns how often each key has run.
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
	if span := time.Duration(r.ServiceTime.Load()); span > 0 {
		select {
		case <-time.After(span):
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
