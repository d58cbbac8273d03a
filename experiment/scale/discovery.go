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

// member is one replica as discovery lists it.
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

// agent replaces discovery's agents of one service: its list of replicas, which its controllers watch.
type agent struct {
	listener net.Listener
	answers  atomic.Int64
	bytes    atomic.Int64 // both ways, at the sockets

	mu       sync.Mutex
	members  []member
	changed  []checks.Marker // by member: the revision that changed it last
	revision checks.Marker
	news     chan struct{}
}

func newAgent(shape ServiceShape, service int) (*agent, error) {
	a := &agent{revision: 1, news: make(chan struct{}), changed: make([]checks.Marker, shape.Replicas)}
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

func (a *agent) address() string { return a.listener.Addr().String() }

// change changes one replica, and returns the revision in which it does.
func (a *agent) change(k int, phase string) checks.Marker {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &a.members[k]
	if phase == "Ready" && m.Phase != phase {
		m.UpSince = time.Now().UnixMilli()
	}
	m.Phase = phase
	a.revision++
	a.changed[k] = a.revision
	close(a.news)
	a.news = make(chan struct{})
	return a.revision
}

// list returns the changes since a revision, or all replicas.
func (a *agent) list(since checks.Marker, whole bool) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := []member{}
	for k, m := range a.members {
		if whole || a.changed[k] > since {
			members = append(members, m)
		}
	}
	raw, _ := json.Marshal(map[string]any{"revision": a.revision, "complete": whole, "members": members})
	return raw
}

func (a *agent) state() (revision checks.Marker, news <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision, a.news
}

// ServeHTTP answers with the list, or waits for changes since a revision.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if revision, news := a.state(); err == nil && checks.Marker(since) >= revision {
		select {
		case <-news:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	a.answers.Add(1)
	raw := a.list(checks.Marker(since), err != nil)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

// countingListener counts the bytes of all its connections.
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
