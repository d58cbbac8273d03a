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
	// What one stream, and one connection, may have sent that no replica has taken yet.
	streamWindow, connWindow = 64 << 10, 256 << 10
	frameMost                = 16 << 10
	tableMost                = 4 << 10
	// A client may chatter (settings, pings, resets, priorities, empty or tiny pieces) so often a second, with so
	// much saved up; past it the connection ends. A busy honest one sends a window update for some KiB at most.
	chatterRate, chatterSaved = 200.0, 2000.0
	// Streams that a client resets cost more: each has begun work that nobody wants.
	resetCost = 10.0
	tinyPiece = 64
	// Between the first and the second word of going away: what a client has sent by then still counts. HTTP/1 has no
	// such word, and the pause alone.
	partPause = 50 * time.Millisecond
	// A connection whose last answer has gone out is closed by its client. One that does not, and has said nothing for
	// so long, is closed by us: earlier, and what the client says as it reads would be answered by a reset.
	lingerMost = time.Second
)

var (
	errFlood  = errors.New("chatters")
	errReset  = errors.New("reset by the client")
	errEnded  = errors.New("the connection has ended")
	errStall  = errors.New("the client takes nothing")
	errLength = errors.New("the body is not as long as its length says")
)

// h2 is one HTTP/2 connection: a goroutine reads, one for each stream answers, and whoever writes holds the pen.
type h2 struct {
	server *Server
	conn   net.Conn
	framer *http2.Framer

	pen     sync.Mutex // one writer at a time
	hung    bool       // it has hung up: nothing more is written
	out     *patientWriter
	w       *bufio.Writer
	headers bytes.Buffer
	encoder *hpack.Encoder

	mu        sync.Mutex
	streams   map[uint32]*stream
	active    int // flows in hand, those of streams that were reset among them
	last      uint32
	window    int64 // that we may send
	initial   int64 // of a new stream
	frame     int
	taken     int64 // received, not told to the client as room yet
	changed   chan struct{}
	leaving   bool // no new stream is taken
	parted    bool // and the client has been told which was the last
	closing   bool // the last answer has gone out
	ended     bool
	chatter   float64
	chattered time.Time
	handlers  sync.WaitGroup
}

func newH2(s *Server, conn net.Conn) *h2 {
	c := &h2{server: s, conn: conn, streams: map[uint32]*stream{}, window: 65535, initial: 65535, frame: frameMost,
		changed: make(chan struct{}), chatter: chatterSaved, chattered: time.Now()}
	c.out = &patientWriter{conn: conn, stall: s.Stall}
	c.w = bufio.NewWriterSize(c.out, 4<<10)
	c.framer = http2.NewFramer(c.w, (*h2Reader)(c))
	c.framer.ReadMetaHeaders = hpack.NewDecoder(tableMost, nil)
	c.framer.MaxHeaderListSize = headMost
	c.framer.SetMaxReadFrameSize(frameMost)
	c.framer.SetReuseFrames()
	c.encoder = hpack.NewEncoder(&c.headers)
	return c
}

// h2Reader gives an idle connection so long; one with flows in hand has nothing to say while it waits for answers.
type h2Reader h2

func (r *h2Reader) Read(p []byte) (int, error) {
	c := (*h2)(r)
	for {
		c.mu.Lock()
		if c.closing {
			c.conn.SetReadDeadline(time.Now().Add(min(lingerMost, c.server.Stall)))
		} else {
			c.conn.SetReadDeadline(time.Now().Add(c.server.Idle))
		}
		c.mu.Unlock()
		n, err := c.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		c.mu.Lock()
		busy := c.active > 0 && !c.closing
		c.mu.Unlock()
		if !busy {
			return 0, err
		}
	}
}

// write holds the pen and sends what it has written. What has gone out in part cannot be gone on with: then the
// connection is over, or flows that still came over it would run and not be answered.
func (c *h2) write(do func() error) error {
	c.pen.Lock()
	defer c.pen.Unlock()
	if c.hung {
		return nil
	}
	err := do()
	if broken := c.w.Flush(); broken != nil {
		c.conn.Close()
		err = broken
	}
	return err
}

func (c *h2) end() {
	c.mu.Lock()
	open := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		open = append(open, id)
	}
	c.mu.Unlock()
	c.out.last(partPause)
	c.write(func() error { // none is lost silently
		for _, id := range open {
			if err := c.framer.WriteRSTStream(id, http2.ErrCodeCancel); err != nil {
				return err
			}
		}
		return nil
	})
	c.conn.Close() // whose reader then cuts all flows
}

// part says that the connection goes away, in two steps: first no stream is refused, then the last one is named.
func (c *h2) part() {
	c.write(func() error { return c.framer.WriteGoAway(1<<31-1, http2.ErrCodeNo, nil) })
	time.Sleep(partPause)
	c.mu.Lock()
	c.leaving = true
	last := c.last
	c.mu.Unlock()
	c.write(func() error { return c.framer.WriteGoAway(last, http2.ErrCodeNo, nil) })
	c.mu.Lock()
	c.parted = true
	idle := c.active == 0
	c.mu.Unlock()
	if idle {
		c.hangUp()
	}
}

// hangUp ends a connection whose last answer has gone out.
func (c *h2) hangUp() {
	c.pen.Lock()
	c.hung = true
	if t, ok := c.conn.(interface{ CloseWrite() error }); ok {
		t.CloseWrite() // what was written arrives before the end does
	}
	c.pen.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.conn.SetReadDeadline(time.Now().Add(min(lingerMost, c.server.Stall)))
}

func (c *h2) attend() {
	err := c.read()
	c.mu.Lock()
	closing, last := c.closing, c.last
	c.mu.Unlock()
	code, known := http2.ErrCodeNo, false
	var ce http2.ConnectionError
	switch {
	case errors.As(err, &ce):
		code, known = http2.ErrCode(ce), true
	case errors.Is(err, errFlood):
		c.server.Count.Floods.Add(1)
		code, known = http2.ErrCodeEnhanceYourCalm, true
	case errors.Is(err, http2.ErrFrameTooLarge):
		code, known = http2.ErrCodeFrameSize, true
	case errors.Is(err, os.ErrDeadlineExceeded) && !closing: // idle for too long: said, and no fault
		c.out.last(partPause)
		c.write(func() error { return c.framer.WriteGoAway(last, http2.ErrCodeNo, nil) })
	}
	if known {
		c.server.Count.BadRequests.Add(1)
		c.server.log.Debug("connection ended", "from", c.conn.RemoteAddr(), "error", err)
		c.out.last(time.Second)
		c.write(func() error { return c.framer.WriteGoAway(last, code, nil) })
	}
	c.mu.Lock()
	c.ended = true
	for _, s := range c.streams {
		s.leash.Cancel()
	}
	c.wake()
	c.mu.Unlock()
	c.conn.Close()
	c.handlers.Wait()
}

// wake wakes whoever waits for a window or for a body; the connection is locked.
func (c *h2) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *h2) read() (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.server.Count.Panics.Add(1)
			err = fmt.Errorf("panic: %v", v)
		}
	}()
	preface := make([]byte, len(http2.ClientPreface))
	c.conn.SetReadDeadline(time.Now().Add(c.server.Head))
	if _, err := io.ReadFull(c.conn, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	if err := c.write(func() error {
		if err := c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(c.server.Streams)},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow}, http2.Setting{ID: http2.SettingMaxFrameSize, Val: frameMost},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: headMost}); err != nil {
			return err
		}
		return c.framer.WriteWindowUpdate(0, connWindow-65535)
	}); err != nil {
		return err
	}
	for first := true; ; first = false {
		f, err := c.framer.ReadFrame()
		var se http2.StreamError
		switch {
		case errors.As(err, &se):
			c.server.Count.BadRequests.Add(1)
			if err := c.chat(resetCost); err != nil {
				return err
			}
			c.fault(se.StreamID, se.Code)
			continue
		case err != nil:
			return err
		}
		if _, settings := f.(*http2.SettingsFrame); first && !settings {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		if err := c.frameIn(f); err != nil {
			return err
		}
	}
}
