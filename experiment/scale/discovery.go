package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/experiment/scale/checks"
)

// member is one replica in the format of discovery's replica list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Zone     string  `json:"locality"`
	Kind     string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// discoveryAgent replaces the discovery agents of one service. It serves the replica list, which the controllers watch.
type discoveryAgent struct {
	listener  net.Listener
	responses atomic.Int64
	bytes     atomic.Int64 // read and written at the sockets

	mu         sync.Mutex
	members    []member
	changedIn  []checks.Marker // revision of the last change of each member
	revision   checks.Marker
	nextChange chan struct{} // closed at the next change
}

func newDiscoveryAgent(shape ServiceShape, service int) (*discoveryAgent, error) {
	a := &discoveryAgent{revision: 1, nextChange: make(chan struct{}), changedIn: make([]checks.Marker, shape.Replicas)}
	for k := range shape.Replicas {
		a.members = append(a.members, member{ID: fmt.Sprintf("s%d-%d", service, k), HostPort: "127.0.0.1:9",
			Zone: zoneName(k % max(1, shape.Zones)), Kind: fmt.Sprint("m", 1+k%2), Cell: k / 4, Phase: "Ready", Size: 1})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.listener = countingListener{listener, &a.bytes}
	go http.Serve(a.listener, a)
	return a, nil
}

func (a *discoveryAgent) address() string { return a.listener.Addr().String() }

// change sets the phase of one replica, and returns the new revision of the list.
func (a *discoveryAgent) change(k int, phase string) checks.Marker {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &a.members[k]
	if phase == "Ready" && m.Phase != phase {
		m.UpSince = time.Now().UnixMilli()
	}
	m.Phase = phase
	a.revision++
	a.changedIn[k] = a.revision
	close(a.nextChange)
	a.nextChange = make(chan struct{})
	return a.revision
}

// list returns the replicas that have changed since a revision, or the complete list.
func (a *discoveryAgent) list(since checks.Marker, complete bool) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := []member{}
	for k, m := range a.members {
		if complete || a.changedIn[k] > since {
			members = append(members, m)
		}
	}
	raw, _ := json.Marshal(map[string]any{"revision": a.revision, "complete": complete, "members": members})
	return raw
}

func (a *discoveryAgent) revisionAndNextChange() (revision checks.Marker, nextChange <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision, a.nextChange
}

// ServeHTTP responds with the complete list, or with the changes since the revision that the request names. In the latter
// case it waits for a change, at most for the requested time.
func (a *discoveryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if revision, nextChange := a.revisionAndNextChange(); err == nil && checks.Marker(since) >= revision {
		select {
		case <-nextChange:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	a.responses.Add(1)
	raw := a.list(checks.Marker(since), err != nil)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept waits for a connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
