package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "hang": clients read the stock, whose answer a replica sends in pieces for half a second, while one of six
// replicas stands still.
const (
	hangClients   = 30
	hangBegin     = 4 * time.Second // after the clients
	hangTime      = 15 * time.Second
	hangEnd       = hangBegin + hangTime + 5*time.Second
	stockExpiry   = 2 * time.Second
	answerGrace   = 500 * time.Millisecond // after the expiry
	clientWaits   = 60 * time.Second
	stockTarget   = "/stock"
	stockComplete = pieces * pieceSize
)

// hangCase counts the requests of the clients.
type hangCase struct {
	*caseRun
	end      time.Time
	sent     atomic.Int64
	complete atomic.Int64
	rejected atomic.Int64 // with a status other than 200
	brokeOff atomic.Int64 // ended in time, but not complete
}

func runHang(c *caseRun) error {
	s, err := c.startSite(6, 1, "")
	if err != nil {
		return err
	}
	hc := &hangCase{caseRun: c, end: time.Now().Add(hangEnd)}
	var clients sync.WaitGroup
	for range hangClients {
		clients.Go(func() {
			for time.Now().Before(hc.end) {
				hc.useConnection(s.sidecars[0].http1)
			}
		})
	}
	if c.trouble {
		time.Sleep(hangBegin)
		s.replicas[0].Process.Signal(syscall.SIGSTOP)
		c.note("s-00 stands still")
		time.Sleep(hangTime)
		s.replicas[0].Process.Signal(syscall.SIGCONT)
		c.note("s-00 goes on")
	}
	clients.Wait()
	summary := fmt.Sprintf("sent %d, complete %d, rejected %d, broken off in time %d", hc.sent.Load(), hc.complete.Load(), hc.rejected.Load(), hc.brokeOff.Load())
	c.note("%s", summary)
	fmt.Print(summary, "; ")
	return nil
}

// useConnection reads the stock on one connection until the end, or until the connection ends.
func (hc *hangCase) useConnection(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	for reader := bufio.NewReader(conn); time.Now().Before(hc.end); {
		id := fmt.Sprintf("r-%d", hc.sent.Add(1))
		hc.note("%s sent", id)
		sentAt := time.Now()
		conn.SetDeadline(sentAt.Add(clientWaits))
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop\r\n%s: %s\r\n\r\n", stockTarget, requestID, id)
		status, size, ended := readStock(reader)
		took := time.Since(sentAt)
		hc.note("%s ended after %.3f s with status %d and %d of %d bytes, %s", id, took.Seconds(), status, size, stockComplete, ended)
		switch {
		case took > stockExpiry+answerGrace:
			hc.breach("%s had no final answer %.1f s after it was sent, %.1f s past its expiry: %s after %.3f s with status %d and %d of %d bytes",
				id, (stockExpiry + answerGrace).Seconds(), answerGrace.Seconds(), ended, took.Seconds(), status, size, stockComplete)
		case status == http.StatusOK && size == stockComplete:
			hc.complete.Add(1)
		case status == http.StatusOK || status == 0:
			hc.brokeOff.Add(1)
		default:
			hc.rejected.Add(1)
		}
		if ended != endedWhole {
			return
		}
	}
}

// endedWhole is the end of an answer that is complete and after which the connection stays open.
const endedWhole = "whole"

// readStock reads an answer to its end, and returns its status, the size of its body, and how it ended.
func readStock(reader *bufio.Reader) (status int, size int64, ended string) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, 0, err.Error()
	}
	size, err = io.Copy(io.Discard, response.Body)
	switch {
	case err != nil:
		return response.StatusCode, size, err.Error()
	case response.Close:
		return response.StatusCode, size, "connection closed"
	}
	return response.StatusCode, size, endedWhole
}
