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

// HTTP2Client is an HTTP/2 client that sends scripted frames and records what it receives.
type HTTP2Client struct {
	Conn        net.Conn
	Framer      *http2.Framer
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer
	writeMu     sync.Mutex // serializes writes of frames

	mu               sync.Mutex
	received         *sync.Cond
	Streams          map[uint32]*StreamRecord
	GoAways          []http2.GoAwayFrame
	Closed           bool
	Pings            int
	AutoWindowUpdate bool // flow-control windows are replenished as data arrives
}

// StreamRecord is what was received on one stream.
type StreamRecord struct {
	Status    string
	Fields    map[string]string
	Body      []byte
	Ended     bool
	Reset     bool
	ErrCode   http2.ErrCode
	Responses int // HEADERS frames with a final (not 1xx) status
}

// Done reports whether the stream has ended.
func (s *StreamRecord) Done() bool { return s.Ended || s.Reset }

// DialHTTP2 connects and sends the client preface. window is the initial flow-control window of each stream, in bytes; if
// it is 0, windows are not replenished as data arrives.
func DialHTTP2(addr string, window uint32) (*HTTP2Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &HTTP2Client{Conn: conn, Framer: http2.NewFramer(conn, conn), Streams: map[uint32]*StreamRecord{}, AutoWindowUpdate: window > 0}
	c.received = sync.NewCond(&c.mu)
	c.encoder = hpack.NewEncoder(&c.headerBlock)
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
			c.received.Broadcast()
			c.mu.Unlock()
			return
		}
		c.handle(frame)
	}
}

// handle records a frame, and replenishes the flow-control windows by the length of its data if AutoWindowUpdate is set.
func (c *HTTP2Client) handle(frame http2.Frame) {
	c.mu.Lock()
	c.record(frame)
	autoWindowUpdate := c.AutoWindowUpdate
	c.received.Broadcast()
	c.mu.Unlock()
	data, isData := frame.(*http2.DataFrame)
	if !autoWindowUpdate || !isData || len(data.Data()) == 0 {
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
	stream := c.recordOf(frame.Header().StreamID)
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

// recordOf returns the record of a stream. Records of stream 0, the connection itself, are not kept.
func (c *HTTP2Client) recordOf(id uint32) *StreamRecord {
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

// firstFinalStatus is the lowest status code that is not interim (1xx).
const firstFinalStatus = "200"

func (s *StreamRecord) recordHeaders(frame *http2.MetaHeadersFrame) {
	status := frame.PseudoValue("status")
	if status != "" {
		s.Status = status
	}
	if status >= firstFinalStatus {
		s.Responses++
	}
	for _, field := range frame.RegularFields() {
		s.Fields[field.Name] = field.Value
	}
	s.Ended = s.Ended || frame.StreamEnded()
}

// WriteFrames calls write, which writes frames, while no other goroutine writes any.
func (c *HTTP2Client) WriteFrames(write func() error) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return write()
}

// OpenStream sends the headers of a request; pairs are names and values of further fields. Without a body the headers end
// the stream.
func (c *HTTP2Client) OpenStream(id uint32, method, path string, body bool, pairs ...string) error {
	return c.WriteFrames(func() error {
		c.headerBlock.Reset()
		fields := append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "shop.example.org"}, pairs...)
		for k := 0; k+1 < len(fields); k += 2 {
			c.encoder.WriteField(hpack.HeaderField{Name: fields[k], Value: fields[k+1]})
		}
		return c.Framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.headerBlock.Bytes(), EndStream: !body, EndHeaders: true})
	})
}

// SendData sends a part of a request body; end ends the stream.
func (c *HTTP2Client) SendData(id uint32, end bool, data []byte) error {
	return c.WriteFrames(func() error { return c.Framer.WriteData(id, end, data) })
}

// ResetStream resets a stream with the error code CANCEL.
func (c *HTTP2Client) ResetStream(id uint32) error {
	return c.WriteFrames(func() error { return c.Framer.WriteRSTStream(id, http2.ErrCodeCancel) })
}

// WaitFor waits until a condition holds or the timeout has passed, and reports whether the condition holds. The condition is
// checked after each received frame, under the client's lock.
func (c *HTTP2Client) WaitFor(timeout time.Duration, condition func(c *HTTP2Client) bool) bool {
	timer := time.AfterFunc(timeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.received.Broadcast()
	})
	defer timer.Stop()
	deadline := time.Now().Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !condition(c) {
		if !time.Now().Before(deadline) {
			return false
		}
		c.received.Wait()
	}
	return true
}

// Stream returns a copy of the record of a stream.
func (c *HTTP2Client) Stream(id uint32) StreamRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.Streams[id]; s != nil {
		return *s
	}
	return StreamRecord{}
}

// KeyField returns name and value of the header field by which a replica counts runs, for the n-th key.
func KeyField(n int) []string { return []string{"key", "k" + strconv.Itoa(n)} }
