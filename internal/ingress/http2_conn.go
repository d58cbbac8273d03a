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
)

const (
	// streamWindow and connWindow are what one stream, and one connection, may have sent that was not read yet, in bytes.
	streamWindow = 64 << 10
	connWindow   = 256 << 10
	// defaultWindow is the window of new connections and streams before any setting (RFC 9113, 6.9.2), in bytes.
	defaultWindow = 65535
	// maxWindow is the largest window (RFC 9113, 6.9.1), in bytes.
	maxWindow = 1<<31 - 1
	// maxStreamID is the largest number of a stream.
	maxStreamID = 1<<31 - 1
	// maxFrame bounds the frames of both sides, in bytes.
	maxFrame = 16 << 10
	// maxHeaderTable bounds the table of header compression of both sides, in bytes.
	maxHeaderTable = 4 << 10
	// lingerTimeout is how long a connection whose last answer has gone out may stay silent. Its client closes it; if it
	// were closed here earlier, whatever the client still sends would be answered by a reset.
	lingerTimeout = time.Second
	// faultTimeout is the time for telling a client what it did wrong.
	faultTimeout = time.Second
)

var (
	errFlood        = errors.New("too many control frames")
	errStreamReset  = errors.New("the stream was reset")
	errConnEnded    = errors.New("the connection has ended")
	errClientStalls = errors.New("the client neither sends nor accepts data")
	errBodyLength   = errors.New("the body differs from its content-length")
	errProtocol     = http2.ConnectionError(http2.ErrCodeProtocol)
	errFlowControl  = http2.ConnectionError(http2.ErrCodeFlowControl)
)

// http2Conn is an HTTP/2 connection. One goroutine reads it, and one for each stream answers. A writer holds writeMu; it
// is never taken while mu is held.
type http2Conn struct {
	server *Server
	conn   net.Conn
	framer *http2.Framer
	budget frameBudget   // of the reading goroutine
	served chan struct{} // closed when the connection has ended
	// streams that answer; the reading goroutine waits for them.
	handlers sync.WaitGroup

	writeMu     sync.Mutex
	writeClosed bool // nothing more is written
	out         *deadlineWriter
	w           *bufio.Writer
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder

	mu                sync.Mutex
	streams           map[uint32]*stream
	inFlight          int    // requests, those of streams that were reset among them
	lastStream        uint32 // the largest number of a client's stream
	sendWindow        int64
	initialSendWindow int64 // of a new stream
	maxSendFrame      int
	windowToReturn    int64         // bytes that were read, and for which the client has got no window yet
	changed           chan struct{} // closed when a window, or the state of the connection, changes
	refusing          bool          // no new stream is taken
	goAwaySent        bool          // the client knows the last stream
	lingering         bool          // the last answer has gone out
	ended             bool
}

func newHTTP2Conn(s *Server, conn net.Conn) *http2Conn {
	c := &http2Conn{
		server:            s,
		conn:              conn,
		budget:            newFrameBudget(),
		served:            make(chan struct{}),
		streams:           map[uint32]*stream{},
		sendWindow:        defaultWindow,
		initialSendWindow: defaultWindow,
		maxSendFrame:      maxFrame,
		changed:           make(chan struct{}),
	}
	c.out = &deadlineWriter{conn: conn, timeout: s.limits.StallTimeout}
	c.w = bufio.NewWriterSize(c.out, writeBufferSize)
	c.framer = http2.NewFramer(c.w, (*http2Reader)(c))
	c.framer.ReadMetaHeaders = hpack.NewDecoder(maxHeaderTable, nil)
	c.framer.MaxHeaderListSize = maxHead
	c.framer.SetMaxReadFrameSize(maxFrame)
	c.framer.SetReuseFrames()
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	return c
}

// http2Reader ends an idle connection after its timeout. A client with requests in flight has nothing to say while it
// waits for the answers.
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
		waiting := c.inFlight > 0 && !c.lingering
		c.mu.Unlock()
		if !waiting {
			return 0, err
		}
	}
}

// setReadDeadline gives the next read its timeout. The connection is locked.
func (c *http2Conn) setReadDeadline() {
	timeout := c.server.limits.IdleTimeout
	if c.lingering {
		timeout = min(lingerTimeout, c.server.limits.StallTimeout)
	}
	c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// write calls a function that writes frames, and sends them. After a write that failed in part no frame can follow, so
// the connection is closed: requests that still came over it would be executed and not answered.
func (c *http2Conn) write(frames func() error) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeClosed {
		return nil
	}
	err := frames()
	if flushErr := c.w.Flush(); flushErr != nil {
		c.conn.Close()
		return flushErr
	}
	return err
}

// abort implements clientConn. Each open stream is reset, so that its client learns of its end.
func (c *http2Conn) abort() {
	c.mu.Lock()
	open := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		open = append(open, id)
	}
	c.mu.Unlock()
	c.out.limitAll(drainPause)
	c.write(func() error {
		for _, id := range open {
			if err := c.framer.WriteRSTStream(id, http2.ErrCodeCancel); err != nil {
				return err
			}
		}
		return nil
	})
	c.conn.Close() // the goroutine that reads then cancels all requests
}

// drain implements clientConn. The client is told in two steps: first that the connection goes away, then which stream
// was the last. What it has sent between them is served.
func (c *http2Conn) drain() {
	c.write(func() error { return c.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil) })
	select {
	case <-c.served:
		return
	case <-time.After(drainPause):
	}
	c.mu.Lock()
	c.refusing = true
	last := c.lastStream
	c.mu.Unlock()
	c.write(func() error { return c.framer.WriteGoAway(last, http2.ErrCodeNo, nil) })
	c.mu.Lock()
	c.goAwaySent = true
	idle := c.inFlight == 0
	c.mu.Unlock()
	if idle {
		c.closeWrite()
	}
}

// closeWrite ends this side of a connection whose last answer has gone out. What was written arrives before the end does.
func (c *http2Conn) closeWrite() {
	c.writeMu.Lock()
	c.writeClosed = true
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
	c.setReadDeadline()
}

// serve implements clientConn.
func (c *http2Conn) serve() {
	defer close(c.served)
	err := c.readFrames()
	c.writeGoAway(err)
	c.cancelStreams()
	c.conn.Close()
	c.handlers.Wait()
}

// writeGoAway tells the client why its connection ends, if it is for something that the client did or did not do.
func (c *http2Conn) writeGoAway(err error) {
	c.mu.Lock()
	lingering := c.lingering
	last := c.lastStream
	c.mu.Unlock()
	code, fault := c.faultCode(err)
	switch {
	case fault:
		c.server.Counters.BadRequests.Add(1)
		c.server.log.Debug("connection ended", "from", c.conn.RemoteAddr(), "error", err)
		c.out.limitAll(faultTimeout)
	case errors.Is(err, os.ErrDeadlineExceeded) && !lingering: // idle for too long, which is no fault
		c.out.limitAll(drainPause)
	default:
		return
	}
	c.write(func() error { return c.framer.WriteGoAway(last, code, nil) })
}

// faultCode returns the code of what a client did wrong.
func (c *http2Conn) faultCode(err error) (code http2.ErrCode, fault bool) {
	var connError http2.ConnectionError
	switch {
	case errors.As(err, &connError):
		return http2.ErrCode(connError), true
	case errors.Is(err, errFlood):
		c.server.Counters.Floods.Add(1)
		return http2.ErrCodeEnhanceYourCalm, true
	case errors.Is(err, http2.ErrFrameTooLarge):
		return http2.ErrCodeFrameSize, true
	}
	return http2.ErrCodeNo, false
}

// cancelStreams cancels the requests of a connection that has ended.
func (c *http2Conn) cancelStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, s := range c.streams {
		s.cancel.Cancel()
	}
	c.signalChange()
}

// signalChange wakes the streams that wait for a window. The connection is locked.
func (c *http2Conn) signalChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// readFrames reads the connection to its end, and returns why it ended.
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

// readPreface reads what each HTTP/2 connection begins with.
func (c *http2Conn) readPreface() error {
	preface := make([]byte, len(http2.ClientPreface))
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.HeadTimeout))
	if _, err := io.ReadFull(c.conn, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
		return errProtocol
	}
	return nil
}

// writeSettings tells the client the bounds of the connection.
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

// readFrame reads and handles one frame. The first has to be settings.
func (c *http2Conn) readFrame(first bool) error {
	frame, err := c.framer.ReadFrame()
	var streamError http2.StreamError
	if errors.As(err, &streamError) {
		c.server.Counters.BadRequests.Add(1)
		if err := c.budget.spend(resetCost); err != nil {
			return err
		}
		c.resetStream(streamError.StreamID, streamError.Code)
		return nil
	}
	if err != nil {
		return err
	}
	if _, settings := frame.(*http2.SettingsFrame); first && !settings {
		return errProtocol
	}
	return c.handleFrame(frame)
}
