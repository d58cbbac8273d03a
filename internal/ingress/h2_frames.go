package ingress

import (
	"fmt"
	"time"

	"golang.org/x/net/http2"
)

// This file takes in the frames of a connection, and holds its client to its windows and a bound of chatter.

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
