package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "shortened".
const (
	listLines     = 200                    // of the list of stock that each replica answers
	listPieces    = 10                     // in which it sends the list
	pieceInterval = 30 * time.Millisecond  // so an answer takes 300 ms, well within its 750 ms
	resetsFor     = 6 * time.Second        // "for 6 s ... connections are reset under requests"
	resetInterval = 400 * time.Millisecond // between two resets, each of the connections of one replica
	listClients   = 12
)

// stockList returns the whole list that a replica answers.
func stockList(id string) string {
	var text strings.Builder
	for k := range listLines {
		fmt.Fprintf(&text, "%s item %03d of %03d in stock\n", id, k+1, listLines)
	}
	return text.String()
}

// serveList answers the list in pieces, without a Content-Length, as a server does that makes its answer while it sends it.
func serveList(l *ledger, id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Request-Id")
		all := stockList(request)
		for k := range listPieces {
			if _, err := io.WriteString(w, all[k*len(all)/listPieces:(k+1)*len(all)/listPieces]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(pieceInterval)
		}
		l.add(execution{id: request, box: id, path: r.URL.Path, at: time.Now()})
	})
}

// answer is what a client gets for one request.
type answer struct {
	id       string
	version  string
	status   int
	received string
	head     string
	err      error // nil: the answer is complete, by the rules of HTTP
	began    time.Time
	ended    time.Time
}

// get asks for the list on a new connection. HTTP/1.0 ends an answer without a Content-Length at the regular end of the
// connection; an error of the connection, such as a reset, shows that it is not complete (RFC 9112, 8).
func get(address, version, id string) (a answer) {
	a = answer{id: id, version: version, began: time.Now()}
	defer func() { a.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "GET /stock HTTP/%s\r\nHost: shop.example.org\r\nX-Request-Id: %s\r\nConnection: close\r\n\r\n", version, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		a.err = err
		return a
	}
	a.status = response.StatusCode
	a.head = fmt.Sprintf("length %d, coding %v", response.ContentLength, response.TransferEncoding)
	raw, err := io.ReadAll(response.Body)
	a.received = string(raw)
	a.err = err
	return a
}

// runShortened plays replicas whose connections are reset under requests, and HTTP/1.0 clients that read the list of stock
// through a sidecar. An answer that arrives complete, by the rules of HTTP, has to be the answer that the replica gave.
func runShortened(s *site) int {
	ran := newLedger()
	var members []member
	var proxies []*cutProxy
	for k := range 15 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		id := fmt.Sprintf("box-%02d", k)
		go (&http.Server{Handler: serveList(ran, id)}).Serve(l)
		p := startCutProxy(l.Addr().String())
		proxies = append(proxies, p)
		members = append(members, member{ID: id, HostPort: p.address, Locality: zones[k%3], Flavor: []string{"small-2c", "wide-4c"}[k%2], Cell: k / 6, Phase: "Ready", Size: 1})
	}
	discovery := startAgent(members)
	governor := freeAddress()
	s.startGovernor(governor, discovery.address, members, settings(6))
	sc := s.startSidecar(0, zones[0], governor, s.startCollector(zones[0], governor), discovery.address)
	time.Sleep(2 * time.Second)

	end := time.Now().Add(4*time.Second + resetsFor + 4*time.Second)
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for k := range listClients {
		version := []string{"1.0", "1.1"}[k%2]
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				a := get(sc.http1, version, fmt.Sprintf("c%02d-%04d", k, n))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		for begin, k := time.Now(), 0; time.Since(begin) < resetsFor; k++ {
			n := proxies[k%len(proxies)].reset()
			s.record.printf("%d connections of %s are reset", n, members[k%len(members)].ID)
			time.Sleep(resetInterval)
		}
	}
	clients.Wait()
	return judgeShortened(s, answers, sc)
}

func judgeShortened(s *site, answers []answer, sc *sidecar) int {
	complete, seenIncomplete, rejected, wrong := 0, 0, 0, 0
	for _, a := range answers {
		verdict := "complete, and whole"
		switch {
		case a.err != nil:
			seenIncomplete++
			verdict = fmt.Sprintf("the client sees that it is not complete: %v", a.err)
		case a.status != http.StatusOK:
			rejected++
			verdict = "rejected"
		case a.received != stockList(a.id):
			wrong++
			verdict = fmt.Sprintf("WRONG: complete for the client, but %d of the replica's %d lines", strings.Count(a.received, "\n"), listLines)
		default:
			complete++
		}
		s.record.printf("request %s HTTP/%s began %.3f ended %.3f: status %d, %s, %d bytes: %s", a.id, a.version, s.record.at(a.began), s.record.at(a.ended), a.status, a.head, len(a.received), verdict)
	}
	s.record.printf("sidecar-0 log:\n%s", s.logTail("sidecar-0", 10))
	if complete == 0 || !sc.running() {
		s.record.verdict("could not run: %d whole answers, sidecar running %v", complete, sc.running())
		return couldNot
	}
	s.record.verdict("%d requests: %d whole, %d rejected, %d seen to be incomplete, WRONG %d", len(answers), complete, rejected, seenIncomplete, wrong)
	if wrong > 0 {
		return broken
	}
	return held
}
