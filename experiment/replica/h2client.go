package replica

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2Client is a client that sends frames as scripted and records what it receives.
type HTTP2Client struct {
	Conn    net.Conn
	Framer  *http2.Framer
	enc     *hpack.Encoder
	block   bytes.Buffer
	writing sync.Mutex // one writer of frames at a time

	mu               sync.Mutex
	heard            *sync.Cond
	Streams          map[uint32]*StreamRecord
	GoAways          []http2.GoAwayFrame
	Closed           bool
	Pings            int
	AutoWindowUpdate bool // windows are opened as data arrives
}

// StreamRecord is what was received on one stream.
type StreamRecord struct {
	Status    string
	Fields    map[string]string
	Body      []byte
	Ended     bool
	Reset     bool
	ErrCode   http2.ErrCode
	Responses int // final headers
}

// Done reports whether the stream has ended.
func (h *StreamRecord) Done() bool { return h.Ended || h.Reset }

// DialHTTP2 connects and sends the preface; window is the initial window of each stream, in bytes.
func DialHTTP2(addr string, window uint32) (*HTTP2Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &HTTP2Client{Conn: conn, Framer: http2.NewFramer(conn, conn), Streams: map[uint32]*StreamRecord{}, AutoWindowUpdate: window > 0}
	c.heard = sync.NewCond(&c.mu)
	c.enc = hpack.NewEncoder(&c.block)
	c.Framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if _, err := conn.Write([]byte(http2.ClientPreface)); err != nil {
		return nil, err
	}
	if err := c.Framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: window}); err != nil {
		return nil, err
	}
	go c.read()
	return c, nil
}

// read records frames until the connection ends.
func (c *HTTP2Client) read() {
	for {
		frame, err := c.Framer.ReadFrame()
		if err != nil {
			c.mu.Lock()
			c.Closed = true
			c.heard.Broadcast()
			c.mu.Unlock()
			return
		}
		c.handle(frame)
	}
}

// handle records a frame, and opens windows for its data if the client is greedy.
func (c *HTTP2Client) handle(frame http2.Frame) {
	c.mu.Lock()
	c.record(frame)
	greedy := c.AutoWindowUpdate
	c.heard.Broadcast()
	c.mu.Unlock()
	data, isData := frame.(*http2.DataFrame)
	if !greedy || !isData || len(data.Data()) == 0 {
		return
	}
	id := data.StreamID
	size := uint32(len(data.Data()))
	go c.WriteFrames(func() error {
		if err := c.Framer.WriteWindowUpdate(0, size); err != nil {
			return err
		}
		return c.Framer.WriteWindowUpdate(id, size)
	})
}

// record records a frame. The caller holds mu.
func (c *HTTP2Client) record(frame http2.Frame) {
	stream := c.stream(frame.Header().StreamID)
	switch f := frame.(type) {
	case *http2.MetaHeadersFrame:
		stream.recordHeaders(f)
	case *http2.DataFrame:
		stream.Body = append(stream.Body, f.Data()...)
		stream.Ended = stream.Ended || f.StreamEnded()
	case *http2.RSTStreamFrame:
		stream.Reset = true
		stream.ErrCode = f.ErrCode
	case *http2.GoAwayFrame:
		c.GoAways = append(c.GoAways, *f)
	case *http2.PingFrame:
		c.Pings++
	case *http2.SettingsFrame:
		if !f.IsAck() {
			go c.WriteFrames(c.Framer.WriteSettingsAck)
		}
	}
}

// stream returns what was received on a stream, which for the connection itself (0) is not kept.
func (c *HTTP2Client) stream(id uint32) *StreamRecord {
	stream := c.Streams[id]
	if stream != nil {
		return stream
	}
	stream = &StreamRecord{Fields: map[string]string{}}
	if id != 0 {
		c.Streams[id] = stream
	}
	return stream
}

// firstFinalStatus is the lowest status that is not an interim one.
const firstFinalStatus = "200"

func (h *StreamRecord) recordHeaders(frame *http2.MetaHeadersFrame) {
	status := frame.PseudoValue("status")
	if status != "" {
		h.Status = status
	}
	if status >= firstFinalStatus {
		h.Responses++
	}
	for _, field := range frame.RegularFields() {
		h.Fields[field.Name] = field.Value
	}
	h.Ended = h.Ended || frame.StreamEnded()
}

// WriteFrames calls write, which writes frames, while no other caller does.
func (c *HTTP2Client) WriteFrames(write func() error) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return write()
}

// OpenStream opens a stream; pairs are further fields. Without a body the stream ends with its headers.
func (c *HTTP2Client) OpenStream(id uint32, method, path string, body bool, pairs ...string) error {
	return c.WriteFrames(func() error {
		c.block.Reset()
		fields := append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "shop.example.org"}, pairs...)
		for k := 0; k+1 < len(fields); k += 2 {
			c.enc.WriteField(hpack.HeaderField{Name: fields[k], Value: fields[k+1]})
		}
		return c.Framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.block.Bytes(), EndStream: !body, EndHeaders: true})
	})
}

// SendData sends a part of a body.
func (c *HTTP2Client) SendData(id uint32, end bool, data []byte) error {
	return c.WriteFrames(func() error { return c.Framer.WriteData(id, end, data) })
}

// ResetStream resets a stream.
func (c *HTTP2Client) ResetStream(id uint32) error {
	return c.WriteFrames(func() error { return c.Framer.WriteRSTStream(id, http2.ErrCodeCancel) })
}

// WaitFor waits until a condition holds, at most for a time, and reports whether it does.
func (c *HTTP2Client) WaitFor(most time.Duration, holds func(c *HTTP2Client) bool) bool {
	timer := time.AfterFunc(most, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heard.Broadcast()
	})
	defer timer.Stop()
	until := time.Now().Add(most)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !holds(c) {
		if !time.Now().Before(until) {
			return false
		}
		c.heard.Wait()
	}
	return true
}

// Stream returns a copy of what was received on a stream.
func (c *HTTP2Client) Stream(id uint32) StreamRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.Streams[id]; s != nil {
		return *s
	}
	return StreamRecord{}
}

// KeyField returns the header field by which a replica counts runs.
func KeyField(n int) []string { return []string{"key", "k" + strconv.Itoa(n)} }
