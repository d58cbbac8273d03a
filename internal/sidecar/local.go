package sidecar

import (
	"encoding/json"
	"fmt"
	"net/http"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/upstream"
)

// Counters are what a sidecar has counted, and what it has now. The local port gives them as JSON.
type Counters struct {
	Controller string         // the address that the control stream is to; empty: there is none
	TableSizes map[string]int // by traffic class
	InFlight   int            // requests
	Requests   dispatch.Counters
	Upstream   upstream.Counters
	Clients    map[string]int64
	Control    map[string]int64
}

// Counters returns the counters as of now.
func (s *Sidecar) Counters() Counters {
	counters := Counters{
		Controller: s.client.Controller(),
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
		"floods":       c.Floods.Load(),
		"stalls":       c.Stalls.Load(),
		"lost":         c.Lost.Load(),
		"panics":       c.Panics.Load(),
	}
}

func (s *Sidecar) controlCounters() map[string]int64 {
	c := &s.client.Counters
	return map[string]int64{
		"dials":                c.Dials.Load(),
		"streams":              c.Streams.Load(),
		"failures":             c.Failures.Load(),
		"updates":              c.Updates.Load(),
		"acks":                 c.Acks.Load(),
		"invalid_updates":      c.InvalidUpdates.Load(),
		"demand_reports":       c.DemandReports.Load(),
		"outcomes_lost":        s.reporter.Lost.Load(),
		"outcomes_unconfirmed": s.reporter.Unconfirmed.Load(),
		"collector_failovers":  s.reporter.Failovers.Load(),
	}
}

// localHandler serves the local port: /health says 200 while requests are taken and a replica can be picked, /figures
// gives the counters.
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
