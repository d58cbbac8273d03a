package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "early": clients send an order of some size and then a payout on the same connection, while one of six replicas
// quickly fails a part of its requests.
const (
	earlyClients = 24
	earlyBegin   = 3 * time.Second // after the clients
	earlyTime    = 20 * time.Second
	earlyEnd     = earlyBegin + earlyTime + 3*time.Second
	earlyPause   = 20 * time.Millisecond // of a client between two pairs of requests
	orderSizeMin = 80 << 10
	orderSizeMax = 240 << 10
)

// earlyCase counts the requests of the clients.
type earlyCase struct {
	*caseRun
	end       time.Time
	sent      atomic.Int64
	answered  atomic.Int64
	failed    atomic.Int64 // answered with a status of 500 or more
	announced atomic.Int64 // connections whose end an answer announced
	seen      atomic.Int64 // connections whose end was seen before a request was sent on them
}

func runEarly(c *caseRun) error {
	s, err := c.startSite(6, 1, "")
	if err != nil {
		return err
	}
	ec := &earlyCase{caseRun: c, end: time.Now().Add(earlyEnd)}
	var clients sync.WaitGroup
	for range earlyClients {
		clients.Go(func() {
			for time.Now().Before(ec.end) {
				ec.useConnection(s.sidecars[0].http1)
			}
		})
	}
	if c.trouble {
		time.Sleep(earlyBegin)
		s.replicas[0].Process.Signal(syscall.SIGUSR1)
		c.note("s-00 quickly fails %.0f%% of its requests", 100*failedFraction)
		time.Sleep(earlyTime)
		s.replicas[0].Process.Signal(syscall.SIGUSR1)
		c.note("s-00 is well again")
	}
	clients.Wait()
	summary := fmt.Sprintf("sent %d, answered %d, of these failed %d, ends announced %d, ends seen in time %d",
		ec.sent.Load(), ec.answered.Load(), ec.failed.Load(), ec.announced.Load(), ec.seen.Load())
	c.note("%s", summary)
	fmt.Print(summary, "; ")
	return nil
}

// useConnection sends orders and payouts in turn on one connection, until the end or until the connection ends. A client
// looks whether the connection was closed before it sends a request on it.
func (ec *earlyCase) useConnection(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	for reader := bufio.NewReader(conn); time.Now().Before(ec.end); time.Sleep(earlyPause) {
		size := orderSizeMin + rand.Intn(orderSizeMax-orderSizeMin)
		if !ec.request(conn, reader, "/orders", size) || !ec.request(conn, reader, "/payouts", 2) {
			return
		}
	}
}

// request sends a request and reads its answer. It reports whether the connection can be used for another one.
func (ec *earlyCase) request(conn net.Conn, reader *bufio.Reader, path string, size int) (open bool) {
	if isClosed(conn) {
		ec.seen.Add(1)
		return false
	}
	id := fmt.Sprintf("q-%d", ec.sent.Add(1))
	ec.note("%s POST %s of %d bytes sent", id, path, size)
	conn.SetDeadline(time.Now().Add(answerWithin))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", path, requestID, id, size)
	_, writeErr := io.WriteString(conn, head+strings.Repeat("x", size))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		ec.breach("%s POST %s got no answer, though no answer before it announced the end of the connection: %v (write: %v)", id, path, err, writeErr)
		return false
	}
	io.Copy(io.Discard, response.Body)
	ec.note("%s answered %d", id, response.StatusCode)
	ec.answered.Add(1)
	if response.StatusCode >= http.StatusInternalServerError {
		ec.failed.Add(1)
	}
	if response.Close {
		ec.announced.Add(1)
	}
	return !response.Close
}
