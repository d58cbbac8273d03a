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

// H2 is a client that says frames as it is told to, and keeps what it hears.
type H2 struct {
	Conn   net.Conn
	Framer *http2.Framer
	enc    *hpack.Encoder
	block  bytes.Buffer
	pen    sync.Mutex

	mu      sync.Mutex
	heard   *sync.Cond
	Streams map[uint32]*Heard
	GoAways []http2.GoAwayFrame
	Ended   bool
	Pings   int
	// Greedy has it open windows as data comes.
	Greedy bool
}

// Heard is what came on one stream.
type Heard struct {
	Status  string
	Fields  map[string]string
	Body    []byte
	Ended   bool
	Reset   bool
	Code    http2.ErrCode
	Answers int // final heads
}

// Done says whether the stream has its final word.
func (h *Heard) Done() bool { return h.Ended || h.Reset }

// DialH2 connects and greets; window is the initial one of each stream.
func DialH2(addr string, window uint32) (*H2, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &H2{Conn: conn, Framer: http2.NewFramer(conn, conn), Streams: map[uint32]*Heard{}, Greedy: window > 0}
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

func (c *H2) read() {
	for {
		f, err := c.Framer.ReadFrame()
		c.mu.Lock()
		if err != nil {
			c.Ended = true
			c.heard.Broadcast()
			c.mu.Unlock()
			return
		}
		grant := uint32(0)
		s := c.Streams[f.Header().StreamID]
		if s == nil {
			s = &Heard{Fields: map[string]string{}}
			if id := f.Header().StreamID; id != 0 {
				c.Streams[id] = s
			}
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			if status := f.PseudoValue("status"); status != "" {
				if s.Status = status; status >= "200" {
					s.Answers++
				}
			}
			for _, field := range f.RegularFields() {
				s.Fields[field.Name] = field.Value
			}
			s.Ended = s.Ended || f.StreamEnded()
		case *http2.DataFrame:
			s.Body = append(s.Body, f.Data()...)
			s.Ended = s.Ended || f.StreamEnded()
			grant = uint32(len(f.Data()))
		case *http2.RSTStreamFrame:
			s.Reset, s.Code = true, f.ErrCode
		case *http2.GoAwayFrame:
			c.GoAways = append(c.GoAways, *f)
		case *http2.PingFrame:
			c.Pings++
		case *http2.SettingsFrame:
			if !f.IsAck() {
				go c.Say(c.Framer.WriteSettingsAck)
			}
		}
		greedy := c.Greedy
		c.heard.Broadcast()
		c.mu.Unlock()
		if id := f.Header().StreamID; grant > 0 && greedy {
			go c.Say(func() error {
				if err := c.Framer.WriteWindowUpdate(0, grant); err != nil {
					return err
				}
				return c.Framer.WriteWindowUpdate(id, grant)
			})
		}
	}
}

// Say writes frames, one caller at a time.
func (c *H2) Say(do func() error) error {
	c.pen.Lock()
	defer c.pen.Unlock()
	return do()
}

// Open opens a stream; pairs are further fields. Without a body the stream ends with its head.
func (c *H2) Open(id uint32, method, path string, body bool, pairs ...string) error {
	return c.Say(func() error {
		c.block.Reset()
		for k, v := range []string{":method", method, ":scheme", "http", ":path", path, ":authority", "shop.example.org"} {
			if k%2 == 1 {
				continue
			}
			c.enc.WriteField(hpack.HeaderField{Name: v, Value: []string{method, "http", path, "shop.example.org"}[k/2]})
		}
		for k := 0; k+1 < len(pairs); k += 2 {
			c.enc.WriteField(hpack.HeaderField{Name: pairs[k], Value: pairs[k+1]})
		}
		return c.Framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.block.Bytes(), EndStream: !body, EndHeaders: true})
	})
}

// Data sends a piece of a body.
func (c *H2) Data(id uint32, end bool, data []byte) error {
	return c.Say(func() error { return c.Framer.WriteData(id, end, data) })
}

// Reset resets a stream.
func (c *H2) Reset(id uint32) error {
	return c.Say(func() error { return c.Framer.WriteRSTStream(id, http2.ErrCodeCancel) })
}

// Wait waits until something holds, for at most so long, and says whether it does.
func (c *H2) Wait(most time.Duration, holds func(c *H2) bool) bool {
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

// Of is a copy of what came on a stream.
func (c *H2) Of(id uint32) Heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.Streams[id]; s != nil {
		return *s
	}
	return Heard{}
}

// Key is the field by which a replica counts runs.
func Key(n int) []string { return []string{"key", "k" + strconv.Itoa(n)} }
