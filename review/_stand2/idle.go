package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "idle": clients that keep their connection open, and send their next payout before the sidecar's idle timeout,
// while the sidecar stands still again and again.
const (
	idleLimits   = "idle: 8s"
	thinkMin     = 5 * time.Second // between an answer and the next request of a client
	thinkMax     = 7700 * time.Millisecond
	idleClients  = 240 // of each sidecar
	stallPeriod  = 38 * time.Second
	stallTime    = 1900 * time.Millisecond
	stallGapMin  = 2200 * time.Millisecond
	stallGapMax  = 3900 * time.Millisecond
	answerWithin = 10 * time.Second // a client waits for an answer longer than any rule asks for
)

// idleCase counts the payouts of the clients.
type idleCase struct {
	*caseRun
	end      time.Time
	sent     atomic.Int64
	answered atomic.Int64
}

func runIdle(c *caseRun) error {
	s, err := c.startSite(6, 2, idleLimits)
	if err != nil {
		return err
	}
	ic := &idleCase{caseRun: c, end: time.Now().Add(stallPeriod)}
	var clients sync.WaitGroup
	for _, sidecar := range s.sidecars {
		for range idleClients {
			clients.Go(func() { ic.keepBusy(sidecar.http1) })
		}
	}
	if c.trouble {
		clients.Go(func() { ic.stall(s.sidecars[0]) })
	}
	clients.Wait()
	c.note("sent %d, answered %d", ic.sent.Load(), ic.answered.Load())
	fmt.Printf("sent %d, answered %d; ", ic.sent.Load(), ic.answered.Load())
	return nil
}

// keepBusy begins at a random time and uses one connection after the other.
func (ic *idleCase) keepBusy(address string) {
	time.Sleep(time.Duration(rand.Int63n(int64(thinkMin))))
	for time.Now().Before(ic.end) {
		if !ic.useConnection(address) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// stall stops and continues the process of one of the two sidecars until the end.
func (ic *idleCase) stall(s *sidecar) {
	for time.Now().Before(ic.end) {
		time.Sleep(stallGapMin + time.Duration(rand.Int63n(int64(stallGapMax-stallGapMin))))
		s.process.Process.Signal(syscall.SIGSTOP)
		ic.note("sidecar-0 stands still")
		time.Sleep(stallTime)
		s.process.Process.Signal(syscall.SIGCONT)
		ic.note("sidecar-0 goes on")
	}
}

func think() { time.Sleep(thinkMin + time.Duration(rand.Int63n(int64(thinkMax-thinkMin)))) }

// isClosed reports whether the other side has closed the connection, as far as is known without waiting. A client looks
// before it sends a request.
func isClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !open
}

// useConnection sends payouts on one connection until the end, or until the connection ends.
func (ic *idleCase) useConnection(address string) (dialed bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answeredAt := (time.Time{}); time.Now().Before(ic.end); {
		if isClosed(conn) {
			return true
		}
		id := fmt.Sprintf("p-%d", ic.sent.Add(1))
		idle := time.Since(answeredAt)
		ic.note("%s sent", id)
		sentAt := time.Now()
		conn.SetDeadline(sentAt.Add(answerWithin))
		fmt.Fprintf(conn, "POST /payouts HTTP/1.1\r\nHost: shop\r\n%s: %s\r\nContent-Length: 2\r\n\r\nhi", requestID, id)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			ic.breach("%s got no answer: sent after %.3f s without a request, connection closed %.3f s later: %v", id, idle.Seconds(), time.Since(sentAt).Seconds(), err)
			return true
		}
		io.Copy(io.Discard, response.Body)
		ic.answered.Add(1)
		ic.note("%s answered %d", id, response.StatusCode)
		if response.Close {
			return true
		}
		answeredAt = time.Now()
		think()
	}
	return true
}
