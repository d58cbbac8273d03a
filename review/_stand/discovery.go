package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// member is one entry of the list of replicas.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// list is an answer of discovery.
type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// agent is discovery as a governor or a sidecar meets it. Its list never changes: it answers at once with the whole list, and
// a watch once its time is over.
type agent struct {
	address string
	list    list
}

func startAgent(members []member) *agent {
	a := &agent{list: list{Revision: 1, Complete: true, Members: members}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	a.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.answer)
	go (&http.Server{Handler: mux}).Serve(l)
	return a
}

func (a *agent) answer(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	millis, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if err == nil && a.list.Revision <= since {
		select {
		case <-time.After(time.Duration(millis) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	json.NewEncoder(w).Encode(a.list)
}
