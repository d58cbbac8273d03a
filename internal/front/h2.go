package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/internal/relay"
	"lilacbend/internal/upstream"
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

// stream is one flow.
type stream struct {
	id      uint32
	conn    *h2
	leash   upstream.Leash
	window  int64
	reset   bool // by either side
	over    bool // the answer has ended
	inbox   bytes.Buffer
	arrived chan struct{}
	ended   bool // all of the body has come
	halted  bool // it is read no further
	length  int64
	got     int64
	trailer http.Header
	fault   error
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
		s.leash.Cut()
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

// chat counts what a client says beside its flows.
func (c *h2) chat(cost float64) error {
	now := time.Now()
	c.chatter = min(chatterSaved, c.chatter+chatterRate*now.Sub(c.chattered).Seconds()) - cost
	if c.chattered = now; c.chatter < 0 {
		return errFlood
	}
	return nil
}

func (c *h2) frameIn(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.headersIn(f)
	case *http2.DataFrame:
		return c.dataIn(f)
	case *http2.SettingsFrame:
		if err := c.chat(1); err != nil || f.IsAck() {
			return err
		}
		return c.settingsIn(f)
	case *http2.PingFrame:
		if err := c.chat(1); err != nil || f.IsAck() {
			return err
		}
		return c.write(func() error { return c.framer.WritePing(true, f.Data) })
	case *http2.WindowUpdateFrame:
		return c.windowIn(f)
	case *http2.RSTStreamFrame:
		c.mu.Lock()
		s, idle := c.streams[f.StreamID], f.StreamID > c.last
		c.mu.Unlock()
		if idle {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		c.server.Count.Resets.Add(1)
		if s != nil {
			c.drop(s, errReset)
		}
		return c.chat(resetCost)
	case *http2.PushPromiseFrame, *http2.ContinuationFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	return c.chat(1) // priorities, a client's own going away, what we do not know
}

func (c *h2) settingsIn(f *http2.SettingsFrame) error {
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingInitialWindowSize:
			c.mu.Lock()
			defer c.mu.Unlock()
			by := int64(s.Val) - c.initial
			c.initial = int64(s.Val)
			for _, st := range c.streams {
				if st.window += by; st.window > 1<<31-1 {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
			c.wake()
		case http2.SettingMaxFrameSize:
			c.mu.Lock()
			defer c.mu.Unlock()
			c.frame = int(min(s.Val, frameMost))
		case http2.SettingHeaderTableSize:
			c.pen.Lock()
			defer c.pen.Unlock()
			c.encoder.SetMaxDynamicTableSizeLimit(min(s.Val, tableMost))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.write(c.framer.WriteSettingsAck)
}

func (c *h2) windowIn(f *http2.WindowUpdateFrame) error {
	if f.Increment < tinyPiece {
		if err := c.chat(1); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wake()
	if f.StreamID == 0 {
		if c.window += int64(f.Increment); c.window > 1<<31-1 {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
		return nil
	}
	if f.StreamID > c.last {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	if s := c.streams[f.StreamID]; s != nil {
		if s.window += int64(f.Increment); s.window > 1<<31-1 {
			go c.fault(s.id, http2.ErrCodeFlowControl)
		}
	}
	return nil
}

// fault resets a stream for what its client did.
func (c *h2) fault(id uint32, code http2.ErrCode) {
	c.mu.Lock()
	s := c.streams[id]
	c.last = max(c.last, id)
	c.mu.Unlock()
	if s != nil {
		c.drop(s, fmt.Errorf("reset for its fault: %v", code))
	}
	c.write(func() error { return c.framer.WriteRSTStream(id, code) })
	c.tell(nil, 0)
}

// drop ends a stream without a word. Its answer, if one is under way, ends soon after, and counts until then.
func (c *h2) drop(s *stream, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.reset = true
	if s.fault == nil {
		s.fault = why
	}
	c.give(int64(s.inbox.Len()))
	s.inbox = bytes.Buffer{}
	delete(c.streams, s.id)
	s.leash.Cut()
	c.wake()
}

// give makes room for what was taken from a stream; the connection is locked. The client is told by tell.
func (c *h2) give(n int64) { c.taken += n }

// tell tells the client of room, once there is enough of it.
func (c *h2) tell(s *stream, n int64) {
	c.mu.Lock()
	conn := int64(0)
	if c.taken >= connWindow/4 {
		conn, c.taken = c.taken, 0
	}
	own := n
	if s == nil || s.ended || s.reset {
		own = 0
	}
	c.mu.Unlock()
	if conn == 0 && own == 0 {
		return
	}
	c.write(func() error {
		if conn > 0 {
			if err := c.framer.WriteWindowUpdate(0, uint32(conn)); err != nil {
				return err
			}
		}
		if own > 0 {
			return c.framer.WriteWindowUpdate(s.id, uint32(own))
		}
		return nil
	})
}

func (c *h2) dataIn(f *http2.DataFrame) error {
	size := int64(f.Length) // padding counts
	if size < tinyPiece && !f.StreamEnded() {
		if err := c.chat(1); err != nil {
			return err
		}
	}
	c.mu.Lock()
	s := c.streams[f.StreamID]
	if s == nil {
		idle := f.StreamID > c.last
		c.give(size)
		c.mu.Unlock()
		if idle {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		c.tell(nil, 0)
		return nil
	}
	data := f.Data()
	s.got += int64(len(data))
	switch {
	case s.ended:
		c.give(size) // what is thrown away leaves room on the connection all the same
		c.mu.Unlock()
		c.fault(f.StreamID, http2.ErrCodeStreamClosed)
		return nil
	case int64(s.inbox.Len())+size > streamWindow:
		c.give(size)
		c.mu.Unlock()
		c.fault(f.StreamID, http2.ErrCodeFlowControl)
		return nil
	case s.length >= 0 && (s.got > s.length || f.StreamEnded() && s.got < s.length):
		s.fault, s.reset = errLength, true // at once: its handler has no other last word
		c.give(size)
		c.mu.Unlock()
		c.fault(f.StreamID, http2.ErrCodeProtocol)
		return nil
	}
	s.inbox.Write(data)
	s.ended = f.StreamEnded()
	pad := size - int64(len(data))
	c.give(pad)
	c.arrive(s)
	c.mu.Unlock()
	if pad > 0 {
		c.tell(s, pad)
	}
	return nil
}

func (c *h2) arrive(s *stream) {
	close(s.arrived)
	s.arrived = make(chan struct{})
}

func (c *h2) headersIn(f *http2.MetaHeadersFrame) error {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	c.mu.Unlock()
	if s != nil {
		return c.trailersIn(s, f)
	}
	if f.StreamID <= c.last {
		if f.StreamID%2 == 0 {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		c.fault(f.StreamID, http2.ErrCodeStreamClosed) // trailers of one that is over
		return nil
	}
	if f.StreamID%2 == 0 {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	c.mu.Lock()
	c.last = f.StreamID
	leaving, over := c.leaving, len(c.streams) >= c.server.Streams || c.active >= 2*c.server.Streams
	if !leaving && !over {
		c.active++ // from the moment that it counts as taken: one that part has named is waited for
	}
	c.mu.Unlock()
	if leaving || over { // it has not run: the client may send it again
		if err := c.chat(1); err != nil {
			return err
		}
		return c.write(func() error { return c.framer.WriteRSTStream(f.StreamID, http2.ErrCodeRefusedStream) })
	}
	q, err := requestOf(f)
	if f.Truncated { // some of its fields are missing: it gets an answer, and goes nowhere
		q = nil
	}
	s = &stream{id: f.StreamID, conn: c, window: 0, length: -1, arrived: make(chan struct{}), ended: f.StreamEnded()}
	out := &h2Answer{stream: s}
	if err != nil || f.Truncated {
		if !f.Truncated {
			defer c.free()
		}
		c.server.Count.BadRequests.Add(1)
		if err := c.chat(resetCost); err != nil {
			return err
		}
		if !f.Truncated {
			c.fault(f.StreamID, http2.ErrCodeProtocol)
			return nil
		}
	}
	if q != nil {
		if s.length = q.Length; s.ended && s.length > 0 {
			defer c.free()
			c.fault(f.StreamID, http2.ErrCodeProtocol)
			return nil
		}
		out.head = q.Method == http.MethodHead
		if !s.ended {
			q.Body, q.Trailer = (*h2Body)(s), func() http.Header { return s.trailer }
			q.Halt = s.halt
			q.Continue = func() error { return out.inform(http.StatusContinue, nil) }
		} else {
			q.Length = 0
		}
	}
	c.mu.Lock()
	s.window = c.initial
	c.streams[s.id] = s
	c.mu.Unlock()
	c.handlers.Add(1)
	go c.handle(s, q, out)
	return nil
}

func (c *h2) handle(s *stream, q *relay.Request, out *h2Answer) {
	defer c.handlers.Done()
	defer c.finish(s)
	if q == nil {
		answer(out, http.StatusRequestHeaderFieldsTooLarge, "head-too-large")
		return
	}
	c.server.flow(&s.leash, "h2", q, out)
}

// finish ends a stream after its answer. A body that has not come whole is not waited for.
func (c *h2) finish(s *stream) {
	c.mu.Lock()
	open, reset := !s.ended, s.reset
	over := s.over
	c.leave(s)
	c.mu.Unlock()
	switch {
	case reset:
	case !over: // the answer broke
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeInternal) })
	case open:
		c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeNo) })
	}
	c.tell(nil, 0)
	c.free()
}

// free ends the counting of a flow after its last word: the connection hangs up once nobody has one to say.
func (c *h2) free() {
	c.mu.Lock()
	c.active--
	last := c.parted && c.active == 0
	c.mu.Unlock()
	if last {
		c.hangUp()
	}
}

// leave frees the place of a stream: before its end goes out, as the client may fill the place at once. The
// connection is locked.
func (c *h2) leave(s *stream) {
	s.over = true
	c.give(int64(s.inbox.Len()))
	s.inbox = bytes.Buffer{}
	delete(c.streams, s.id)
}

func (c *h2) trailersIn(s *stream, f *http2.MetaHeadersFrame) error {
	h := http.Header{}
	bad := !f.StreamEnded() || s.ended || f.Truncated
	for _, field := range f.Fields {
		if strings.HasPrefix(field.Name, ":") || !httpguts.ValidTrailerHeader(http.CanonicalHeaderKey(field.Name)) {
			bad = true
		}
		h.Add(field.Name, field.Value)
	}
	c.mu.Lock()
	short := s.length >= 0 && s.got != s.length
	if !bad && !short {
		s.trailer, s.ended = relay.Clean(h), true
		c.arrive(s)
	}
	c.mu.Unlock()
	if bad || short {
		c.fault(s.id, http2.ErrCodeProtocol)
	}
	return nil
}

// requestOf reads a request, refusing what HTTP/1.1 would read differently.
func requestOf(f *http2.MetaHeadersFrame) (*relay.Request, error) {
	q := &relay.Request{Method: f.PseudoValue("method"), Target: f.PseudoValue("path"), Host: f.PseudoValue("authority"), Header: http.Header{}, Length: -1}
	if f.PseudoValue("scheme") == "" || !httpguts.ValidHeaderFieldName(q.Method) {
		return nil, bad("scheme or method")
	}
	if err := checkTarget(q.Method, q.Target); err != nil {
		return nil, err
	}
	cookies := []string(nil)
	for _, field := range f.RegularFields() {
		switch field.Name {
		case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
			return nil, bad("%s in HTTP/2", field.Name)
		case "te":
			if field.Value != "trailers" {
				return nil, bad("te")
			}
		case "host":
			if q.Host != "" && q.Host != field.Value {
				return nil, bad("two hosts")
			}
			q.Host = field.Value
		case "content-length":
			if q.Length >= 0 || !digits(field.Value) {
				return nil, bad("length %.40q", field.Value)
			}
			q.Length, _ = strconv.ParseInt(field.Value, 10, 64)
		case "expect":
			q.Expects = strings.EqualFold(field.Value, "100-continue")
		case "cookie":
			cookies = append(cookies, field.Value)
		default:
			if !httpguts.ValidHeaderFieldValue(field.Value) {
				return nil, bad("value of %s", field.Name)
			}
			q.Header.Add(field.Name, field.Value)
		}
	}
	if len(cookies) > 0 {
		q.Header.Set("Cookie", strings.Join(cookies, "; "))
	}
	if q.Host == "" || !httpguts.ValidHostHeader(q.Host) {
		return nil, bad("host")
	}
	return q, nil
}

// halt has the body read no further.
func (s *stream) halt() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.halted = true
	s.conn.arrive(s)
}

// h2Body reads what has come of a stream's body.
type h2Body stream

func (b *h2Body) Read(p []byte) (int, error) {
	s, c := (*stream)(b), b.conn
	timer := time.NewTimer(c.server.Stall)
	defer timer.Stop()
	for {
		c.mu.Lock()
		switch {
		case s.fault != nil:
			err := s.fault
			c.mu.Unlock()
			return 0, err
		case s.halted:
			c.mu.Unlock()
			return 0, upstream.ErrHalted
		case s.inbox.Len() > 0:
			n, _ := s.inbox.Read(p)
			c.give(int64(n))
			c.mu.Unlock()
			c.tell(s, int64(n))
			return n, nil
		case s.ended:
			c.mu.Unlock()
			return 0, io.EOF
		}
		arrived := s.arrived
		c.mu.Unlock()
		select {
		case <-arrived:
		case <-timer.C:
			c.server.Count.Stalls.Add(1)
			return 0, errStall
		case <-s.leash.Done():
			return 0, errEnded
		}
	}
}

// h2Answer writes the answer of a stream. Its head waits for the first of the body, so that one without a body is
// one frame.
type h2Answer struct {
	stream *stream
	head   bool       // the answer to HEAD
	mu     sync.Mutex // a body is asked for beside the wait for the answer
	status int
	fields http.Header
	length int64
	sent   int64
	begun  bool
}

func (a *h2Answer) Inform(status int, h http.Header) { a.inform(status, relay.Clean(h)) }

func (a *h2Answer) inform(status int, h http.Header) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return upstream.ErrHalted
	}
	return a.headers(status, h, -1, false)
}

func (a *h2Answer) Head(status int, h http.Header, length int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status, a.fields, a.length = status, h, length
	return nil
}

func (a *h2Answer) headers(status int, h http.Header, length int64, end bool) error {
	s, c := a.stream, a.stream.conn
	return c.write(func() error {
		if a.gone() {
			return errReset
		}
		c.headers.Reset()
		if status > 0 {
			c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(status)})
		}
		for name, values := range h {
			name = strings.ToLower(name)
			for _, v := range values {
				c.encoder.WriteField(hpack.HeaderField{Name: name, Value: v})
			}
		}
		if length >= 0 && status != http.StatusNoContent {
			c.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.FormatInt(length, 10)})
		}
		return c.writeHeaders(s.id, end)
	})
}

// writeHeaders writes the encoded fields in as many frames as they need; whoever calls holds the pen.
func (c *h2) writeHeaders(id uint32, end bool) error {
	b := c.headers.Bytes()
	n := min(len(b), frameMost)
	if err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b[:n], EndStream: end, EndHeaders: n == len(b)}); err != nil {
		return err
	}
	for b = b[n:]; len(b) > 0; b = b[n:] {
		n = min(len(b), frameMost)
		if err := c.framer.WriteContinuation(id, n == len(b), b[:n]); err != nil {
			return err
		}
	}
	return nil
}

// gone says whether nobody waits for the answer any more.
func (a *h2Answer) gone() bool {
	c := a.stream.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	return a.stream.reset || c.ended
}

func (a *h2Answer) bodiless() bool {
	return a.head || a.status == http.StatusNoContent || a.status == http.StatusNotModified
}

func (a *h2Answer) Write(p []byte) (n int, err error) {
	if a.bodiless() {
		return len(p), nil
	}
	if !a.begun {
		a.begun = true
		if err := a.headers(a.status, a.fields, a.length, false); err != nil {
			return 0, err
		}
	}
	if a.sent += int64(len(p)); a.length >= 0 && a.sent > a.length {
		return 0, errors.New("an answer longer than its length")
	}
	for len(p) > 0 {
		k, err := a.room(len(p))
		if err != nil {
			return n, err
		}
		if err := a.stream.conn.write(func() error { return a.stream.conn.framer.WriteData(a.stream.id, false, p[:k]) }); err != nil {
			return n, err
		}
		n, p = n+k, p[k:]
	}
	return n, nil
}

// room waits until both windows have some, and takes it.
func (a *h2Answer) room(want int) (int, error) {
	s, c := a.stream, a.stream.conn
	var timer *time.Timer
	for {
		c.mu.Lock()
		k := int(min(int64(want), int64(c.frame), s.window, c.window))
		if s.reset {
			c.mu.Unlock()
			return 0, errReset
		}
		if k > 0 {
			s.window, c.window = s.window-int64(k), c.window-int64(k)
			c.mu.Unlock()
			return k, nil
		}
		changed := c.changed
		c.mu.Unlock()
		if timer == nil { // it has so long to open either window
			timer = time.NewTimer(c.server.Stall)
			defer timer.Stop()
		}
		select {
		case <-changed:
		case <-timer.C:
			c.server.Count.Stalls.Add(1)
			return 0, errStall
		case <-s.leash.Done():
			return 0, errEnded
		}
	}
}

func (a *h2Answer) End(trailer http.Header) error {
	if a.length >= 0 && a.sent < a.length && !a.bodiless() {
		return errors.New("an answer shorter than its length")
	}
	c := a.stream.conn
	c.mu.Lock()
	c.leave(a.stream)
	c.mu.Unlock()
	var err error
	switch {
	case !a.begun && len(trailer) == 0:
		a.begun = true
		err = a.headers(a.status, a.fields, a.length, true)
	case !a.begun:
		a.begun = true
		if err = a.headers(a.status, a.fields, a.length, false); err == nil {
			err = a.headers(0, trailer, -1, true)
		}
	case len(trailer) > 0:
		err = a.headers(0, trailer, -1, true)
	default:
		err = a.stream.conn.write(func() error {
			if a.gone() {
				return errReset
			}
			return a.stream.conn.framer.WriteData(a.stream.id, true, nil)
		})
	}
	return err
}

// Break leaves the stream to finish, which resets it.
func (a *h2Answer) Break() {}
