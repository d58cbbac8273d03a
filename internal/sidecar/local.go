package sidecar

import (
	"encoding/json"
	"fmt"
	"net/http"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

// Counters is a snapshot of a sidecar's counters and gauges. The local listener serves it as JSON.
type Counters struct {
	Controller string         // address of the controller with the control stream; empty: no stream
	TableSizes map[string]int // number of endpoints by traffic class
	InFlight   int            // number of requests in flight or queued
	Requests   dispatch.Counters
	Upstream   upstream.Counters
	Clients    map[string]int64 // counters of client connections and requests
	Control    map[string]int64 // counters of the control stream and of outcome reports
}

// Counters returns a snapshot of the counters.
func (s *Sidecar) Counters() Counters {
	counters := Counters{
		Controller: s.controlClient.Controller(),
		Upstream:   s.pool.Counters(),
		Clients:    s.clientCounters(),
		Control:    s.controlCounters(),
	}
	s.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) {
		counters.Requests = d.Counters.Clone()
		counters.TableSizes = d.TableSizes()
		counters.InFlight = d.InFlight()
	})
	return counters
}

func (s *Sidecar) clientCounters() map[string]int64 {
	c := &s.server.Counters
	return map[string]int64{
		"accepted":     c.Accepted.Load(),
		"refused":      c.Refused.Load(),
		"open":         c.Open.Load(),
		"requests":     c.Requests.Load(),
		"in_flight":    c.InFlight.Load(),
		"bad_requests": c.BadRequests.Load(),
		"unclassified": c.Unclassified.Load(),
		"resets":       c.Resets.Load(),
		"floods":       c.ControlFloods.Load(),
		"stalls":       c.Stalls.Load(),
		"idle_closed":  c.IdleTimeouts.Load(),
		"held_back":    c.HeldBack.Load(),
		"memory_full":  c.MemoryRefused.Load(),
		"lost":         c.CutOff.Load(),
		"panics":       c.Panics.Load(),
	}
}

func (s *Sidecar) controlCounters() map[string]int64 {
	c := &s.controlClient.Counters
	return map[string]int64{
		"dials":                c.Dials.Load(),
		"streams":              c.Streams.Load(),
		"failures":             c.StreamFailures.Load(),
		"updates":              c.Updates.Load(),
		"acks":                 c.Acks.Load(),
		"invalid_updates":      c.InvalidUpdates.Load(),
		"demand_reports":       c.DemandReports.Load(),
		"outcomes_lost":        s.reporter.LostSums.Load(),
		"outcomes_unconfirmed": s.reporter.UnconfirmedSums.Load(),
		"collector_failovers":  s.reporter.Failovers.Load(),
	}
}

// localHandler returns the handler of the local listener. /health responds with 200 while the sidecar accepts requests and
// the table of at least one traffic class has an endpoint. /figures responds with the counters.
func (s *Sidecar) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /figures", s.serveCounters)
	return mux
}

func (s *Sidecar) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.server.Draining() {
		http.Error(w, "drains", http.StatusServiceUnavailable)
		return
	}
	for _, size := range s.Counters().TableSizes {
		if size > 0 {
			fmt.Fprintln(w, "serves")
			return
		}
	}
	http.Error(w, "no replica", http.StatusServiceUnavailable)
}

func (s *Sidecar) serveCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	encoder.Encode(s.Counters())
}
