package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case "payouts".
const (
	payoutWork    = 150 * time.Millisecond // "120 to 160 ms"
	payoutsRate   = 30.0                   // payouts a second, 22% of the deployment's flows
	payoutExpiry  = 2 * time.Second
	payoutRepeats = 2                      // "clients retry by themselves up to 2 times, after a wait"
	honourShare   = 0.6                    // of the clients come again after Retry-After; the site has 31 to 90%
	payoutResets  = 100 * time.Millisecond // between two resets, each of the connections of one replica
)

// servePayout runs a payout and answers. Running work goes on when its connection ends, as it does on some days.
func servePayout(l *ledger, id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		request := r.Header.Get("X-Request-Id")
		time.Sleep(payoutWork)
		l.add(execution{id: request, box: id, path: r.URL.Path, at: time.Now()})
		fmt.Fprintf(w, "%s ran at %s\n", request, id)
	})
}

// payoutTry is one try of a client.
type payoutTry struct {
	id         string
	try        int
	began      time.Time
	ended      time.Time
	status     int
	retryAfter string
	reason     string
	err        error
}

// sendPayout sends a payout on a new connection.
func sendPayout(address, id string, try int) (t payoutTry) {
	t = payoutTry{id: id, try: try, began: time.Now()}
	defer func() { t.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.err = err
		return t
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(payoutExpiry))
	body := "amount=100"
	fmt.Fprintf(conn, "POST /payouts HTTP/1.1\r\nHost: shop.example.org\r\nX-Request-Id: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", id, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.err = err
		return t
	}
	t.status = response.StatusCode
	t.retryAfter = response.Header.Get("Retry-After")
	t.reason = response.Header.Get("Lilacbend-Reason")
	_, t.err = io.ReadAll(response.Body)
	return t
}

// runPayouts plays replicas whose connections are reset under requests, and clients that repeat a payout only after a
// refusal: a 503 with Retry-After, by which HTTP says that the request could not be handled and when to come again. No
// payout may run twice.
func runPayouts(s *site) int {
	ran := newLedger()
	var members []member
	var proxies []*cutProxy
	for k := range 15 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		id := fmt.Sprintf("box-%02d", k)
		go (&http.Server{Handler: servePayout(ran, id)}).Serve(l)
		p := startCutProxy(l.Addr().String())
		proxies = append(proxies, p)
		members = append(members, member{ID: id, HostPort: p.address, Locality: zones[k%3], Flavor: []string{"small-2c", "wide-4c"}[k%2], Cell: k / 6, Phase: "Ready", Size: 1})
	}
	discovery := startAgent(members)
	governor := freeAddress()
	s.startGovernor(governor, discovery.address, members, settings(6))
	sc := s.startSidecar(0, zones[0], governor, s.startCollector(zones[0], governor), discovery.address)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var tries []payoutTry
	payout := func(id string, honours bool) {
		for try := 0; try <= payoutRepeats; try++ {
			t := sendPayout(sc.http1, id, try)
			mu.Lock()
			tries = append(tries, t)
			mu.Unlock()
			wait, err := strconv.Atoi(t.retryAfter)
			refused := t.status == http.StatusServiceUnavailable && err == nil
			if !refused || !honours {
				return
			}
			time.Sleep(time.Duration(wait) * time.Second)
		}
	}
	go func() {
		time.Sleep(4 * time.Second)
		for begin, k := time.Now(), 0; s.trouble && time.Since(begin) < resetsFor; k++ {
			n := proxies[k%len(proxies)].reset()
			s.record.printf("%d connections of %s are reset", n, members[k%len(members)].ID)
			time.Sleep(payoutResets)
		}
	}()
	r := rand.New(rand.NewPCG(5, 6))
	var clients sync.WaitGroup
	for begin, n := time.Now(), 0; time.Since(begin) < 14*time.Second; n++ {
		time.Sleep(time.Duration(r.ExpFloat64() / payoutsRate * float64(time.Second)))
		honours := r.Float64() < honourShare
		clients.Go(func() { payout(fmt.Sprintf("p%04d", n), honours) })
	}
	clients.Wait()
	time.Sleep(time.Second)
	return judgePayouts(s, tries, ran, sc)
}

func judgePayouts(s *site, tries []payoutTry, ran *ledger, sc *sidecar) int {
	answered, refused, repeats := 0, 0, 0
	for _, t := range tries {
		if t.status == http.StatusOK {
			answered++
		}
		if t.status == http.StatusServiceUnavailable {
			refused++
		}
		if t.try > 0 {
			repeats++
		}
		s.record.printf("payout %s try %d began %.3f ended %.3f: status %d, Retry-After %q, reason %q, error %v; run %d times in all",
			t.id, t.try, s.record.at(t.began), s.record.at(t.ended), t.status, t.retryAfter, t.reason, t.err, len(ran.of(t.id)))
	}
	twice := 0
	for _, t := range tries {
		runs := ran.of(t.id)
		if t.try > 0 || len(runs) < 2 {
			continue
		}
		twice++
		var where []string
		for _, e := range runs {
			where = append(where, fmt.Sprintf("at %s %.3f", e.box, s.record.at(e.at)))
		}
		s.record.printf("payout %s RAN %d TIMES: %s", t.id, len(runs), strings.Join(where, ", "))
	}
	s.record.printf("sidecar-0 log:\n%s", s.logTail("sidecar-0", 10))
	if answered == 0 || !sc.running() {
		s.record.verdict("could not run: %d answers, sidecar running %v", answered, sc.running())
		return couldNot
	}
	s.record.verdict("%d tries: %d answered, %d answered 503, %d repeats after a 503 with Retry-After; payouts that RAN TWICE %d", len(tries), answered, refused, repeats, twice)
	if twice > 0 {
		return broken
	}
	return held
}
