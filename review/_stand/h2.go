package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// outcome is how one try of a client ended.
type outcome struct {
	id       string
	path     string
	stream   uint32
	opened   time.Time
	ended    time.Time
	status   int    // of the final answer; 0: none
	body     string // of the final answer
	gaveUp   bool   // the client gave up, and reset the stream
	refused  bool   // the server says that it has not processed the request
	lost     bool   // the connection or the stream ended without an answer, though the request was taken
	lostWith string
}

// h2Conn is one HTTP/2 connection of a client process. It holds to RFC 9113: it opens no more streams at once than the
// server allows, and resets the stream of a request that it gives up on.
type h2Conn struct {
	conn    net.Conn
	framer  *http2.Framer
	headers bytes.Buffer
	encoder *hpack.Encoder

	mu         sync.Mutex
	next       uint32
	open       map[uint32]*h2Call
	maxStreams int
	resets     int // streams that this client has reset
	received   int // bytes of answers since the last window update of the connection
	closed     bool
	goAway     string // what the server said before it closed; empty: nothing
	last       uint32 // of the GOAWAY
	ended      chan struct{}
}

type h2Call struct {
	outcome outcome
	done    chan struct{}
}

// windowStep is after how many bytes of answers the client opens the window of the connection again.
const windowStep = 16 << 10

var errConnFull = errors.New("the server allows no more streams at once")

func dialH2(address string) (*h2Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &h2Conn{conn: conn, next: 1, open: map[uint32]*h2Call{}, maxStreams: 100, ended: make(chan struct{})}
	c.framer = http2.NewFramer(conn, conn)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.encoder = hpack.NewEncoder(&c.headers)
	if _, err := conn.Write([]byte(http2.ClientPreface)); err != nil {
		return nil, err
	}
	if err := c.framer.WriteSettings(); err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

// try sends a request and waits for its final answer. The client gives up after patience.
func (c *h2Conn) try(id, method, path string, patience time.Duration) (outcome, error) {
	call, err := c.send(id, method, path)
	if err != nil {
		return outcome{}, err
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-call.done:
	case <-timer.C:
		c.giveUp(call)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return call.outcome, nil
}

func (c *h2Conn) send(id, method, path string) (*h2Call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.goAway != "" {
		return nil, net.ErrClosed
	}
	if len(c.open) >= c.maxStreams {
		return nil, errConnFull
	}
	call := &h2Call{outcome: outcome{id: id, path: path, stream: c.next, opened: time.Now()}, done: make(chan struct{})}
	c.next += 2
	c.headers.Reset()
	for _, field := range [][2]string{{":method", method}, {":scheme", "http"}, {":authority", "shop.example.org"}, {":path", path}, {"x-request-id", id}} {
		c.encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	c.open[call.outcome.stream] = call
	err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: call.outcome.stream, BlockFragment: c.headers.Bytes(), EndStream: true, EndHeaders: true})
	if err != nil {
		delete(c.open, call.outcome.stream)
		return nil, err
	}
	return call, nil
}

func (c *h2Conn) giveUp(call *h2Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[call.outcome.stream] != call {
		return
	}
	c.framer.WriteRSTStream(call.outcome.stream, http2.ErrCodeCancel)
	c.resets++
	call.outcome.gaveUp = true
	c.end(call)
}

// end ends a call. The caller holds c.mu.
func (c *h2Conn) end(call *h2Call) {
	call.outcome.ended = time.Now()
	delete(c.open, call.outcome.stream)
	close(call.done)
}

func (c *h2Conn) read() {
	var err error
	for err == nil {
		var frame http2.Frame
		frame, err = c.framer.ReadFrame()
		if err == nil {
			c.handle(frame)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.conn.Close()
	for _, call := range c.open {
		if c.goAway != "" && call.outcome.stream > c.last {
			call.outcome.refused = true
		} else {
			call.outcome.lost = true
			call.outcome.lostWith = fmt.Sprintf("%s; connection ended: %v", c.goAway, err)
		}
		c.end(call)
	}
	close(c.ended)
}

func (c *h2Conn) handle(frame http2.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f := frame.(type) {
	case *http2.SettingsFrame:
		if f.IsAck() {
			return
		}
		if value, ok := f.Value(http2.SettingMaxConcurrentStreams); ok {
			c.maxStreams = int(value)
		}
		c.framer.WriteSettingsAck()
	case *http2.PingFrame:
		if !f.IsAck() {
			c.framer.WritePing(true, f.Data)
		}
	case *http2.GoAwayFrame:
		c.goAway = fmt.Sprintf("GOAWAY %v last stream %d", f.ErrCode, f.LastStreamID)
		c.last = f.LastStreamID
	case *http2.RSTStreamFrame:
		call := c.open[f.StreamID]
		if call == nil {
			return
		}
		call.outcome.refused = f.ErrCode == http2.ErrCodeRefusedStream
		call.outcome.lost = !call.outcome.refused
		call.outcome.lostWith = fmt.Sprintf("RST_STREAM %v", f.ErrCode)
		c.end(call)
	case *http2.MetaHeadersFrame:
		call := c.open[f.StreamID]
		if call == nil {
			return
		}
		call.outcome.status, _ = strconv.Atoi(f.PseudoValue("status"))
		if f.StreamEnded() {
			c.end(call)
		}
	case *http2.DataFrame:
		c.received += len(f.Data())
		if c.received >= windowStep {
			c.framer.WriteWindowUpdate(0, uint32(c.received))
			c.received = 0
		}
		call := c.open[f.StreamID]
		if call == nil {
			return
		}
		call.outcome.body += string(f.Data())
		if f.StreamEnded() {
			c.end(call)
		}
	}
}
