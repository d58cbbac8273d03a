package configserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configstore"
	"lilacbend/internal/ratelimit"
)

const (
	// writeTimeout and minWriteRate limit how long a follower may take to receive an answer: writeTimeout plus, for a long
	// answer, one second for each minWriteRate bytes. A slower follower is disconnected, which frees its slots for copies.
	writeTimeout = 5 * time.Second
	minWriteRate = 1 << 20
	// answerOverhead estimates the bytes that an answer has for each service besides its settings.
	answerOverhead = 256
)

// maxFollowersPerConnection is the number of followers that are recorded of one connection. A follower has a connection of its
// own; one that sends ever new names must not fill the record of all.
const maxFollowersPerConnection = 16

// followerNamesKey is the key of the names that were used on a connection in the context of its requests.
type followerNamesKey struct{}

// withFollowerNames adds the names that are used on a new connection to the context of its requests.
func withFollowerNames(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, followerNamesKey{}, &ratelimit.Names{Max: maxFollowersPerConnection})
}

// followerNames returns the names that were used on the connection of a request. A connection serves one request at a time.
func followerNames(r *http.Request) *ratelimit.Names {
	names, ok := r.Context().Value(followerNamesKey{}).(*ratelimit.Names)
	if !ok {
		return &ratelimit.Names{Max: maxFollowersPerConnection}
	}
	return names
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configapi.WatchPath, s.handleWatch)
	mux.HandleFunc("GET "+configapi.StatusPath, s.handleStatus)
	return mux
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, s.Status())
}

// handleWatch answers a query at once if there is a newer version than the follower's, otherwise as soon as there is one or
// the query's timeout has passed.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	s.counts.requests.Add(1)
	query, err := configapi.ParseQuery(r.URL.Query())
	if err != nil {
		s.writeJSON(w, http.StatusBadRequest, configapi.Refusal{Reason: err.Error()})
		return
	}
	prepared := s.prepareAnswer(query, r)
	switch {
	case prepared.throttled:
		s.counts.throttled.Add(1)
		s.writeJSON(w, http.StatusServiceUnavailable, configapi.Refusal{
			Reason:       "too many whole copies are under way",
			RetryAfterMS: prepared.retryAfter / int64(time.Millisecond),
		})
	case prepared.result == configstore.UnknownService:
		s.writeJSON(w, http.StatusNotFound, configapi.Refusal{Reason: fmt.Sprintf("no service %.40q", query.Service)})
	default:
		s.countAnswer(prepared.answer, prepared.result)
		start := s.now()
		s.writeAnswer(w, prepared.answer)
		s.releaseCopy(prepared.slots, s.now()-start)
	}
}

func (s *Server) countAnswer(answer configapi.Answer, result configstore.Result) {
	switch {
	case answer.Complete:
		s.counts.copies.Add(1)
	case result == configstore.Changed:
		s.counts.changes.Add(1)
	}
}

// copySlots returns how many slots of the copy limiter an answer takes. An answer without a change takes none, nor does one
// with changes of at most configstore.MaxSettingsSize.
func copySlots(answer configapi.Answer) int {
	size := settingsSize(answer)
	if !answer.Complete && size <= configstore.MaxSettingsSize {
		return 0
	}
	return configstore.Slots(size)
}

func settingsSize(answer configapi.Answer) int {
	size := 0
	for _, service := range answer.Services {
		size += len(service.Settings)
	}
	return size
}

// preparedAnswer is the answer to a query, and whether the copy limiter allows sending it now.
type preparedAnswer struct {
	answer     configapi.Answer
	result     configstore.Result
	slots      int   // number of the copy limiter's slots, acquired unless throttled
	throttled  bool  // too few slots are free
	retryAfter int64 // when to poll again if throttled, in nanoseconds
}

// prepareAnswer waits for a newer version than the follower's, at most until the query's timeout, and acquires the copy
// limiter's slots for the answer.
func (s *Server) prepareAnswer(query configapi.Query, r *http.Request) preparedAnswer {
	timeout := time.NewTimer(query.Timeout)
	defer timeout.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if followerNames(r).Admit(query.Service+"/"+query.Instance, time.Now()) {
		s.watchers.Record(query, s.now())
	}
	s.observe(query.Since)
	for waitEnded := false; ; {
		if s.isWriter() {
			s.store.WriterSeen(0, s.now())
		}
		answer, result := s.store.Answer(query, s.now())
		if result != configstore.Unchanged || waitEnded {
			return s.acquireSlots(answer, result)
		}
		waitEnded = s.awaitChange(query.Service, timeout.C, r.Context().Done())
	}
}

// awaitChange waits for a change of a service or, for the empty name, of any service, and reports whether the wait ended
// without one. The caller holds mu, which awaitChange releases while it waits.
func (s *Server) awaitChange(service string, timeout <-chan time.Time, canceled <-chan struct{}) (waitEnded bool) {
	changed := s.changeSignal(service)
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
		return false
	case <-timeout:
	case <-s.closing:
	case <-canceled:
	}
	return true
}

// acquireSlots acquires the copy limiter's slots for an answer. The caller holds mu.
func (s *Server) acquireSlots(answer configapi.Answer, result configstore.Result) preparedAnswer {
	prepared := preparedAnswer{answer: answer, result: result, slots: copySlots(answer)}
	if prepared.slots == 0 {
		return prepared
	}
	ok, retryAfter := s.copies.Acquire(prepared.slots, s.now())
	prepared.throttled = !ok
	prepared.retryAfter = retryAfter
	return prepared
}

// releaseCopy releases the slots of an answer, which took duration nanoseconds to send.
func (s *Server) releaseCopy(slots int, duration int64) {
	if slots == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies.Release(slots, duration)
}

// writeJSON sends a response with a small JSON body.
func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil { // cannot happen with the types in use
		status = http.StatusInternalServerError
		raw = []byte(`{"error":"not writable as JSON"}`)
	}
	s.write(w, status, raw)
}

// writeAnswer sends the answer to a query.
func (s *Server) writeAnswer(w http.ResponseWriter, answer configapi.Answer) {
	var body bytes.Buffer
	body.Grow(settingsSize(answer) + answerOverhead*(1+len(answer.Services)))
	answer.WriteTo(&body) // cannot fail on a buffer
	s.write(w, http.StatusOK, body.Bytes())
}

func (s *Server) write(w http.ResponseWriter, status int, raw []byte) {
	timeout := writeTimeout + time.Duration(len(raw)/minWriteRate)*time.Second
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
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
	s.counts.bytesOut.Add(int64(written))
	if err != nil {
		s.counts.writeErrors.Add(1)
	}
}
