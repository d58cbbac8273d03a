package configserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configstore"
)

const (
	// writeTimeout and minWriteRate limit how long a follower may take to receive an answer: writeTimeout and, for a long
	// answer, a second more for each minWriteRate bytes. A slower one is disconnected, which frees its slots for copies.
	writeTimeout = 5 * time.Second
	minWriteRate = 1 << 20
	// answerOverhead is about how many bytes an answer has besides its settings, for each service.
	answerOverhead = 256
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configapi.WatchPath, s.handleWatch)
	mux.HandleFunc("GET "+configapi.StatusPath, s.handleStatus)
	return mux
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, s.Status())
}

// handleWatch answers a query at once if there is a newer version than the follower's, otherwise when there is one or the
// query's timeout is over.
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

// copySlots returns how many slots of the copy limiter an answer takes: none without a change or with a small one.
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

// preparedAnswer is the answer to a query, and whether it may be sent now.
type preparedAnswer struct {
	answer     configapi.Answer
	result     configstore.Result
	slots      int   // of the copy limiter, acquired unless throttled
	throttled  bool  // the slots are not free
	retryAfter int64 // if throttled, in nanoseconds
}

// prepareAnswer waits for a newer version than the follower's, at most until the query's timeout, and acquires the slots for
// the answer.
func (s *Server) prepareAnswer(query configapi.Query, r *http.Request) preparedAnswer {
	timeout := time.NewTimer(query.Timeout)
	defer timeout.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers.Record(query, s.now())
	s.observe(query.Since)
	for waitOver := false; ; {
		if s.isWriter() {
			s.store.WriterSeen(0, s.now())
		}
		answer, result := s.store.Answer(query, s.now())
		if result != configstore.Unchanged || waitOver {
			return s.acquireSlots(answer, result)
		}
		waitOver = s.awaitChange(query.Service, timeout.C, r.Context().Done())
	}
}

// awaitChange waits for a change of a service, or of any for the empty name, and reports whether the wait ended without one.
// It releases mu, which the caller holds, while it waits.
func (s *Server) awaitChange(service string, timeout <-chan time.Time, canceled <-chan struct{}) (waitOver bool) {
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

// acquireSlots acquires the slots for an answer. The caller holds mu.
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

// releaseCopy releases the slots of an answer that took duration to send.
func (s *Server) releaseCopy(slots int, duration int64) {
	if slots == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies.Release(slots, duration)
}

// writeJSON writes a small body.
func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil { // cannot happen with the types in use
		status = http.StatusInternalServerError
		raw = []byte(`{"error":"not writable as JSON"}`)
	}
	s.write(w, status, raw)
}

// writeAnswer writes the answer to a query.
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
