// Command toy lets a newcomer see a governor at work: it stands in for discovery, for a few proxies and for
// the collector of each zone, answers marks, and prints each table as it arrives. After a while one replica
// drains and goes, another starts cold, and one answers nothing. It carries no flows and measures nothing.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"lilacbend/internal/resp"
)

const (
	pace    = 500 * time.Millisecond // of reports
	moment  = 5 * time.Second        // between the things that happen
	proxies = 4
)

// box is one replica of the toy's list.
type box struct {
	id, zone, kind, phase string
	since                 int64
}

// town is the list and its revision; news is closed and made anew at each change.
type town struct {
	mu       sync.Mutex
	revision int
	boxes    []box
	news     chan struct{}
}

func (t *town) change(id, phase string, since int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.boxes {
		if t.boxes[k].id == id {
			t.boxes[k].phase, t.boxes[k].since = phase, since
		}
	}
	t.revision++
	close(t.news)
	t.news = make(chan struct{})
	fmt.Printf("toy: %s is %s (revision %d)\n", id, phase, t.revision)
}

func (t *town) list() (text string, revision int, news <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []string
	for k, b := range t.boxes {
		if b.phase != "Gone" {
			members = append(members, fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:%d","locality":%q,"flavor":%q,"cell":0,`+
				`"phase":%q,"size":1.0,"up_since_ms":%d}`, b.id, 9001+k, b.zone, b.kind, b.phase, b.since))
		}
	}
	text = fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, t.revision, strings.Join(members, ","))
	return text, t.revision, t.news
}

// discovery answers one connection: the whole list, at once or when it is newer than what the caller has.
func (t *town) discovery(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var since, wait int
		watching, _ := fmt.Sscan(req.URL.Query().Get("since"), &since)
		fmt.Sscan(req.URL.Query().Get("timeout_ms"), &wait)
		text, revision, news := t.list()
		if watching == 1 && since >= revision {
			select {
			case <-news:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
			text, _, _ = t.list()
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
	}
}

// say sends a message of the words in text.
func say(conn net.Conn, pool *resp.Pool, text string, args ...any) error {
	_, err := resp.Write(conn, pool, strings.Fields(fmt.Sprintf(text, args...))...)
	return err
}

// proxy joins, prints what it is told and answers marks.
func proxy(conn net.Conn, pool *resp.Pool, id int) error {
	if err := say(conn, pool, "hello id %d site %c rps 20 new 1", id, 'a'+id%2); err != nil {
		return err
	}
	go func() {
		for say(conn, pool, "demand id %d lane lookup count 10 fail 0 over %d", id, pace.Milliseconds()) == nil {
			time.Sleep(pace)
		}
	}()
	for r := resp.NewReader(conn, pool); ; {
		words, err := r.Next()
		if err != nil {
			return err
		}
		fmt.Printf("proxy %d: %s\n", id, strings.Join(words, " "))
		for k := 1; k+1 < len(words); k += 2 {
			if words[k] == "nonce_out" {
				if err := say(conn, pool, "ack id %d seq %s ms 100", id, words[k+1]); err != nil {
					return err
				}
			}
		}
	}
}

// collect reports what the proxies of a zone met: every replica serves, but the silent one.
func (t *town) collect(conn net.Conn, pool *resp.Pool, zone string, silent func() string) error {
	if err := say(conn, pool, "agent site %s", zone); err != nil {
		return err
	}
	for ; ; time.Sleep(pace) {
		t.mu.Lock()
		boxes := append([]box(nil), t.boxes...)
		t.mu.Unlock()
		for _, b := range boxes {
			failed := 0
			if b.id == silent() {
				failed = 10
			}
			if err := say(conn, pool, "outcomes site %s target %s count 10 fail %d mean 120 over %d", zone, b.id, failed,
				pace.Milliseconds()); err != nil {
				return err
			}
		}
	}
}

func run(governor, list string) error {
	t, pool := &town{revision: 1, news: make(chan struct{})}, resp.NewPool(1<<20)
	for k := 1; k <= 6; k++ {
		t.boxes = append(t.boxes, box{fmt.Sprintf("box-%d", k), string("ab"[k%2]), fmt.Sprintf("m%d", 1+k/2%2), "Ready", 0})
	}
	l, err := net.Listen("tcp", list)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.discovery(conn)
		}
	}()
	var silent struct {
		sync.Mutex
		id string
	}
	ended := make(chan error, proxies+2)
	for k := range proxies + 2 {
		conn, err := net.Dial("tcp", governor)
		if err != nil {
			return fmt.Errorf("governor: %w", err)
		}
		defer conn.Close()
		go func() {
			if k < proxies {
				ended <- proxy(conn, pool, k)
				return
			}
			ended <- t.collect(conn, pool, string("ab"[k-proxies]), func() string {
				silent.Lock()
				defer silent.Unlock()
				return silent.id
			})
		}()
	}
	for _, happens := range []func(){
		func() { t.change("box-1", "Terminating", 0) },
		func() { t.change("box-1", "Gone", 0) },
		func() { t.change("box-1", "Ready", time.Now().UnixMilli()) },
		func() {
			silent.Lock()
			defer silent.Unlock()
			silent.id = "box-2"
			fmt.Println("toy: box-2 answers nothing")
		},
		func() {},
		func() { fmt.Println("toy: the end") },
	} {
		select {
		case err := <-ended:
			return fmt.Errorf("a connection to the governor ended: %w", err)
		case <-time.After(moment):
			happens()
		}
	}
	return nil
}

func main() {
	governor := flag.String("governor", "127.0.0.1:8080", "where the governor listens")
	list := flag.String("discovery", "127.0.0.1:8500", "where the toy serves the list of replicas")
	flag.Parse()
	if err := run(*governor, *list); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}
