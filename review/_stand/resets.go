package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "resets".
const (
	flowsPerSecond = 100.0                   // of one client process; the deployment carries about 140
	calmBefore     = 8 * time.Second         // until the disruption
	stallLength    = 2 * time.Second         // "stand still for 1,000 to 2,000 ms again and again"
	stallPause     = 2200 * time.Millisecond // "seconds between stalls 4 to 2", 2.2 at least at this site
	stallsFor      = 38 * time.Second
	calmAfter      = 4 * time.Second
	tryShare       = 0.4 // "a try is given up after 40 to 100% of the traffic group's expiry"
)

// kind is a traffic group as a client sees it.
type kind struct {
	method, path string
	share        float64
	expiry       time.Duration
	repeats      int // the client repeats what is retriable after any failure, up to 2 times
}

var kinds = []kind{
	{"GET", "/stock", 0.46, 2 * time.Second, 2},
	{"POST", "/orders", 0.32, 4 * time.Second, 0},
	{"POST", "/payouts", 0.22, 2 * time.Second, 0},
}

func drawKind(r *rand.Rand) kind {
	left := r.Float64()
	for _, k := range kinds {
		left -= k.share
		if left < 0 {
			return k
		}
	}
	return kinds[0]
}

// client is a client process with one HTTP/2 connection to its sidecar, which it opens anew when it has ended.
type client struct {
	address string
	record  *record

	mu       sync.Mutex
	conn     *h2Conn
	conns    []*h2Conn
	outcomes []outcome
	unsent   int // flows for which no stream could be opened
}

func (c *client) connection() *h2Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.mu.Lock()
		usable := !c.conn.closed && c.conn.goAway == ""
		c.conn.mu.Unlock()
		if usable {
			return c.conn
		}
	}
	conn, err := dialH2(c.address)
	if err != nil {
		return nil
	}
	c.conn = conn
	c.conns = append(c.conns, conn)
	c.record.printf("client opens connection %d", len(c.conns))
	return conn
}

// flow is one flow of the client, with its repeats.
func (c *client) flow(id string, k kind, r *rand.Rand) {
	for try := 0; try <= k.repeats; try++ {
		conn := c.connection()
		if conn == nil {
			break
		}
		result, err := conn.try(fmt.Sprintf("%s.%d", id, try), k.method, k.path, time.Duration(tryShare*float64(k.expiry)))
		if errors.Is(err, errConnFull) {
			c.mu.Lock()
			c.unsent++
			c.mu.Unlock()
			return
		}
		if err != nil {
			continue // the connection ended before the request was sent
		}
		c.mu.Lock()
		c.outcomes = append(c.outcomes, result)
		c.mu.Unlock()
		if result.status > 0 && result.status < 500 {
			return
		}
		time.Sleep(time.Duration(38+r.IntN(262)) * time.Millisecond)
	}
}

// runResets plays a sidecar that stands still for 2 s again and again, while its client process gives up on what is not
// answered in 40% of its expiry. Each request that the sidecar took and that the client still waits for has to get its
// final answer.
func runResets(s *site) int {
	boxes := newLedger()
	random := rand.New(rand.NewPCG(1, 2))
	var members []member
	for k := range 15 {
		base := []time.Duration{150 * time.Millisecond, 120 * time.Millisecond}[k%2]
		work := func(path string) time.Duration {
			if path == "/orders" {
				return base * 3 / 2
			}
			return base
		}
		b := startBox(member{ID: fmt.Sprintf("box-%02d", k), Locality: zones[k%3], Flavor: []string{"small-2c", "wide-4c"}[k%2], Cell: k / 6, Phase: "Ready", Size: 1}, boxes, work)
		members = append(members, b.member)
	}
	discovery := startAgent(members)
	governor := freeAddress()
	s.startGovernor(governor, discovery.address, members, settings(6))
	var sidecars []*sidecar
	for number, zone := range zones {
		sidecars = append(sidecars, s.startSidecar(number, zone, governor, s.startCollector(zone, governor), discovery.address))
	}
	time.Sleep(2 * time.Second)

	c := &client{address: sidecars[0].http2, record: s.record}
	total := calmBefore + stallsFor + calmAfter
	stalled := make(chan struct{})
	go func() {
		defer close(stalled)
		time.Sleep(calmBefore)
		for end := time.Now().Add(stallsFor - stallLength); time.Now().Before(end); time.Sleep(stallPause) {
			if !s.trouble {
				continue
			}
			s.record.printf("sidecar-0 is stopped")
			sidecars[0].signal(syscall.SIGSTOP)
			time.Sleep(stallLength)
			sidecars[0].signal(syscall.SIGCONT)
			s.record.printf("sidecar-0 goes on")
		}
	}()
	var flows sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < total; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / flowsPerSecond * float64(time.Second)))
		k := drawKind(random)
		repeats := rand.New(rand.NewPCG(uint64(n), 3))
		flows.Go(func() { c.flow(fmt.Sprintf("f%05d", n), k, repeats) })
	}
	<-stalled
	flows.Wait()
	return judgeResets(s, c, boxes, sidecars)
}

func judgeResets(s *site, c *client, boxes *ledger, sidecars []*sidecar) int {
	answered, gaveUp, refused, lost, lostRun := 0, 0, 0, 0, 0
	for _, o := range c.outcomes {
		ran := boxes.of(o.id)
		end := ""
		switch {
		case o.lost:
			lost++
			end = "LOST: " + o.lostWith
			if len(ran) > 0 {
				lostRun++
			}
		case o.gaveUp:
			gaveUp++
			end = "given up by the client"
		case o.refused:
			refused++
			end = "not processed, as the server says"
		default:
			answered++
			end = fmt.Sprintf("answer %d", o.status)
		}
		s.record.printf("request %s %s stream %d opened %.3f ended %.3f: %s; run %d times", o.id, o.path, o.stream, s.record.at(o.opened), s.record.at(o.ended), end, len(ran))
	}
	for k, conn := range c.conns {
		s.record.printf("connection %d: %d streams opened, %d reset by the client, server's last word %q", k+1, conn.next/2, conn.resets, conn.goAway)
	}
	s.record.printf("sidecar-0 log:\n%s", s.logTail("sidecar-0", 10))
	if answered == 0 || !sidecars[0].running() {
		s.record.verdict("could not run: %d answers, sidecar running %v", answered, sidecars[0].running())
		return couldNot
	}
	s.record.verdict("%d requests: %d answered, %d given up by the client, %d not processed, %d not sent; connections %d; LOST %d (of them %d were run by a replica)",
		len(c.outcomes), answered, gaveUp, refused, c.unsent, len(c.conns), lost, lostRun)
	if lost > 0 {
		return broken
	}
	return held
}
