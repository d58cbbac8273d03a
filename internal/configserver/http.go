package configserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configstore"
)

const (
	// writeMost is how long a follower may take for an answer, and writeRate the bytes a second that it has to take of a long
	// one: who takes longer is cut off, so that it does not hold a place for long.
	writeMost = 5 * time.Second
	writeRate = 1 << 20
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configapi.WatchPath, s.watch)
	mux.HandleFunc("GET "+configapi.StatusPath, func(w http.ResponseWriter, _ *http.Request) { s.write(w, http.StatusOK, s.Status()) })
	return mux
}

// watch answers a query: at once where there is something newer than what the follower has, else when there is or when its
// time is over.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.counts.requests.Add(1)
	q, err := configapi.ParseQuery(r.URL.Query())
	if err != nil {
		s.write(w, http.StatusBadRequest, configapi.Refusal{Reason: err.Error()})
		return
	}
	a, result, away := s.await(q, r)
	places := copyPlaces(a)
	switch {
	case away.Reason != "":
		s.counts.sentAway.Add(1)
		s.write(w, http.StatusServiceUnavailable, away)
	case result == configstore.Unknown:
		s.write(w, http.StatusNotFound, configapi.Refusal{Reason: fmt.Sprintf("no service %.40q", q.Service)})
	default:
		s.count(a, result)
		begun := s.now()
		s.answer(w, a)
		if places > 0 {
			s.mu.Lock()
			s.copies.Done(places, s.now()-begun)
			s.mu.Unlock()
		}
	}
}

func (s *Server) count(a configapi.Answer, result configstore.Result) {
	switch {
	case a.Complete:
		s.counts.copies.Add(1)
	case result == configstore.News:
		s.counts.changes.Add(1)
	}
}

// copyPlaces is how many places an answer takes among the copies under way: none, if it is a small change or no news.
func copyPlaces(a configapi.Answer) int {
	size := settingsOf(a)
	if !a.Complete && size <= configstore.SettingsMax {
		return 0
	}
	return configstore.Places(size)
}

func settingsOf(a configapi.Answer) (size int) {
	for _, service := range a.Services {
		size += len(service.Settings)
	}
	return size
}

// await waits for something newer. A copy that is returned was admitted.
func (s *Server) await(q configapi.Query, r *http.Request) (configapi.Answer, configstore.Result, configapi.Refusal) {
	over := time.NewTimer(q.Timeout)
	defer over.Stop()
	s.mu.Lock()
	s.book.Heard(q, s.now())
	s.observe(q.Since)
	for last := false; ; {
		if s.watcher == nil {
			s.store.Heard(0, s.now())
		}
		a, result := s.store.Answer(q, s.now())
		if result != configstore.Current || last {
			away := s.admit(a)
			s.mu.Unlock()
			return a, result, away
		}
		changed := s.waiting(q.Service)
		s.mu.Unlock()
		select {
		case <-changed:
		case <-over.C:
			last = true
		case <-s.closing:
			last = true
		case <-r.Context().Done():
			last = true
		}
		s.mu.Lock()
	}
}

// admit takes the places for a copy.
func (s *Server) admit(a configapi.Answer) (away configapi.Refusal) {
	places := copyPlaces(a)
	if places == 0 {
		return away
	}
	if ok, retryAfter := s.copies.Admit(places, s.now()); !ok {
		return configapi.Refusal{Reason: "too many whole copies are under way", RetryAfterMS: retryAfter / int64(time.Millisecond)}
	}
	return away
}

// write answers a request that is not served, or with what is small.
func (s *Server) write(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil { // no such thing is sent
		status, raw = http.StatusInternalServerError, []byte(`{"error":"not writable as JSON"}`)
	}
	s.send(w, status, raw)
}

// answer writes an answer to a query.
func (s *Server) answer(w http.ResponseWriter, a configapi.Answer) {
	var body bytes.Buffer
	body.Grow(settingsOf(a) + answerHead*(1+len(a.Services)))
	a.WriteTo(&body) // a buffer takes all
	s.send(w, http.StatusOK, body.Bytes())
}

// answerHead is about what an answer has beside its settings, for each service.
const answerHead = 256

func (s *Server) send(w http.ResponseWriter, status int, raw []byte) {
	late := writeMost + time.Duration(len(raw)/writeRate)*time.Second
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(late))
	select {
	case <-s.closing:
		w.Header().Set("Connection", "close")
	default:
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	written, err := w.Write(raw)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if s.counts.bytesOut.Add(int64(written)); err != nil {
		s.counts.writeErrors.Add(1)
	}
}

// boundedListener closes connections over a bound at once: who wanted one tries another server.
type boundedListener struct {
	net.Listener
	most    int64
	open    atomic.Int64
	refused atomic.Int64
}

// Accept waits for a connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		var passing net.Error
		if err != nil && errors.As(err, &passing) && !errors.Is(err, net.ErrClosed) { // no descriptor is left
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		conn.Close()
	}
}

// acceptPause is how long nobody is accepted after a fault.
const acceptPause = 50 * time.Millisecond

// countedConn gives its place free when it is closed.
type countedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

func (c *counters) counters(l *boundedListener) configapi.Counters {
	return configapi.Counters{Requests: c.requests.Load(), Copies: c.copies.Load(), Changes: c.changes.Load(), SentAway: c.sentAway.Load(),
		Refused: l.refused.Load(), BytesOut: c.bytesOut.Load(), WriteErrors: c.writeErrors.Load(), Connections: l.open.Load()}
}
