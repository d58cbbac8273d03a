package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/internal/ratelimit"
	"lilacbend/internal/socket"
)

const (
	// streamWindow and connWindow bound the bytes that a client may have sent on one stream, and on one connection, and that
	// were not read yet.
	streamWindow = 64 << 10
	connWindow   = 256 << 10
	// defaultWindow is the initial window of connections and streams without any setting (RFC 9113, 6.9.2), in bytes.
	defaultWindow = 65535
	// maxWindow is the largest window (RFC 9113, 6.9.1), in bytes.
	maxWindow = 1<<31 - 1
	// maxStreamID is the largest stream ID.
	maxStreamID = 1<<31 - 1
	// maxFrame bounds the payload of frames in both directions, in bytes.
	maxFrame = 16 << 10
	// maxHeaderTable bounds the dynamic table of header compression (HPACK) in both directions, in bytes.
	maxHeaderTable = 4 << 10
)

var (
	errStreamReset   = errors.New("stream was reset")
	errConnEnded     = errors.New("client connection has ended")
	errClientStalls  = errors.New("client neither sent nor accepted data within the stall timeout")
	errRequestMemory = errors.New("requests of all clients take too much memory")
	errBodyLength    = errors.New("request body differs from its content-length")
	errProtocol      = http2.ConnectionError(http2.ErrCodeProtocol)
	errFlowControl   = http2.ConnectionError(http2.ErrCodeFlowControl)
)

// http2Conn is an HTTP/2 connection of a client. One goroutine reads it, and one for each stream serves the request. Frames
// are written while holding writeMu, which is never acquired while mu is held.
type http2Conn struct {
	server  *Server
	conn    net.Conn
	framer  *http2.Framer
	budget  frameBudget       // used by the reading goroutine alone
	frames  ratelimit.Limiter // used by the reading goroutine alone
	flooded bool              // the client has exceeded its budget; used by the reading goroutine alone
	// unwindTimedOut means that a new stream has waited in vain, and no request has ended since. It is used by the reading
	// goroutine alone.
	unwindTimedOut bool
	serveDone      chan struct{} // closed when serve returns
	clientLeft     func() bool   // reports whether the client has closed the connection
	// requestEnded holds a value if a request has ended since it was last received from.
	requestEnded chan struct{}
	// The goroutines of the streams; the reading goroutine waits for them.
	handlers sync.WaitGroup

	writeMu     sync.Mutex
	writeClosed bool // no further frames are written
	connWriter  *deadlineWriter
	writer      *bufio.Writer
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder

	mu                sync.Mutex
	streams           map[uint32]*stream
	inFlight          int // requests, including those of reset streams that are still being served
	memory            connMemory
	lastStream        uint32 // the largest stream ID that the client has used
	lastServed        uint32 // the largest ID of a stream that was served; a GOAWAY names it
	sendWindow        int64
	initialSendWindow int64 // of a new stream
	maxSendFrame      int
	windowToReturn    int64         // bytes that were read, but not returned to the client by a window update yet
	changed           chan struct{} // closed when a window, or the state of the connection, changes
	refusing          bool          // new streams are refused, and lastServed stays as it is
	goAwaySent        bool          // the GOAWAY that names the last stream was sent
	lingering         bool          // the last response was sent, and the sending side is closed
	endBy             time.Time     // when the connection is closed though requests are in flight; zero: never
	ended             bool
}

func newHTTP2Conn(s *Server, conn net.Conn) *http2Conn {
	c := &http2Conn{
		server:            s,
		conn:              conn,
		budget:            newFrameBudget(s.limits.MaxStreams),
		memory:            connMemory{shared: &s.requestMemory},
		serveDone:         make(chan struct{}),
		requestEnded:      make(chan struct{}, 1),
		clientLeft:        func() bool { return socket.PeerClosed(conn) },
		streams:           map[uint32]*stream{},
		sendWindow:        defaultWindow,
		initialSendWindow: defaultWindow,
		maxSendFrame:      maxFrame,
		changed:           make(chan struct{}),
	}
	c.connWriter = &deadlineWriter{conn: conn, timeout: s.limits.StallTimeout}
	c.writer = bufio.NewWriterSize(c.connWriter, writeBufferSize)
	c.framer = http2.NewFramer(c.writer, (*http2Reader)(c))
	c.framer.ReadMetaHeaders = hpack.NewDecoder(maxHeaderTable, nil)
	c.framer.MaxHeaderListSize = maxHead
	c.framer.SetMaxReadFrameSize(maxFrame)
	c.framer.SetReuseFrames()
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	return c
}

// http2Reader reads a connection and fails when an idle one exceeds its timeout, unless bytes have arrived by then. While
// requests are in flight a timeout does not end the connection, because the client may have nothing to send while it waits
// for the responses.
type http2Reader http2Conn

// Read reads what the client sends.
func (r *http2Reader) Read(p []byte) (int, error) {
	c := (*http2Conn)(r)
	for {
		c.mu.Lock()
		c.setReadDeadline()
		c.mu.Unlock()
		n, err := c.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		c.mu.Lock()
		overdue := c.isOverdue()
		waiting := c.inFlight > 0 && !c.lingering
		c.mu.Unlock()
		switch {
		case overdue:
			return 0, err
		case !waiting:
			return socket.ReadArrived(c.conn, p)
		}
	}
}

// setReadDeadline gives the next read its timeout. The caller holds c.mu.
func (c *http2Conn) setReadDeadline() {
	timeout := c.server.limits.IdleTimeout
	if c.lingering {
		timeout = min(lingerTimeout, c.server.limits.StallTimeout)
	}
	deadline := time.Now().Add(timeout)
	if !c.endBy.IsZero() && c.endBy.Before(deadline) {
		deadline = c.endBy
	}
	c.conn.SetReadDeadline(deadline)
}

// write calls a function that writes frames, and flushes them. If the flush fails, a part of a frame may have been sent and
// no further frame can follow, so the connection is closed: otherwise further requests on it would be executed, but their
// responses could not be sent.
func (c *http2Conn) write(frames func() error) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeClosed {
		return nil
	}
	err := frames()
	if flushErr := c.writer.Flush(); flushErr != nil {
		c.conn.Close()
		return flushErr
	}
	return err
}

// serve implements clientConn.
func (c *http2Conn) serve() {
	defer close(c.serveDone)
	err := c.readFrames()
	c.cutOffIfOverdue()
	c.writeGoAway(err)
	c.cancelStreams()
	c.conn.Close()
	c.handlers.Wait()
}

// signalChange wakes the streams that wait for a send window. The caller holds c.mu.
func (c *http2Conn) signalChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// readFrames reads and handles frames until the connection ends, and returns the reason.
func (c *http2Conn) readFrames() (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.server.Counters.Panics.Add(1)
			err = fmt.Errorf("panic: %v", v)
		}
	}()
	if err := c.readPreface(); err != nil {
		return err
	}
	if err := c.writeSettings(); err != nil {
		return err
	}
	for first := true; ; first = false {
		if err := c.readFrame(first); err != nil {
			return err
		}
	}
}

// readPreface reads and checks the client preface, with which each HTTP/2 connection begins.
func (c *http2Conn) readPreface() error {
	preface := make([]byte, len(http2.ClientPreface))
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.HeadTimeout))
	if _, err := io.ReadFull(socket.Reader{Conn: c.conn}, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
		return errProtocol
	}
	return nil
}

// writeSettings sends the sidecar's settings and raises the window of the connection to connWindow.
func (c *http2Conn) writeSettings() error {
	return c.write(func() error {
		err := c.framer.WriteSettings(
			http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(c.server.limits.MaxStreams)},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow},
			http2.Setting{ID: http2.SettingMaxFrameSize, Val: maxFrame},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHead},
		)
		if err != nil {
			return err
		}
		return c.framer.WriteWindowUpdate(0, connWindow-defaultWindow)
	})
}

// readFrame reads and handles one frame. The first frame of a connection must be SETTINGS.
func (c *http2Conn) readFrame(first bool) error {
	frame, err := c.framer.ReadFrame()
	var streamError http2.StreamError
	if errors.As(err, &streamError) {
		c.rejectMalformed(streamError.StreamID, streamError.Code)
		return nil
	}
	if err != nil {
		return err
	}
	if _, settings := frame.(*http2.SettingsFrame); first && !settings {
		return errProtocol
	}
	if err := c.handleFrame(frame); err != nil {
		return err
	}
	if !carriesRequest(frame) {
		c.server.holdBack(&c.frames, c.server.rates.frames)
	}
	return nil
}
