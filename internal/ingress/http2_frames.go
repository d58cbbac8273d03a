package ingress

import (
	"fmt"

	"golang.org/x/net/http2"
)

// handleFrame handles one frame from the client.
func (c *http2Conn) handleFrame(frame http2.Frame) error {
	switch f := frame.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.PingFrame:
		if !c.charge(controlFrame) || f.IsAck() {
			return nil
		}
		return c.write(func() error { return c.framer.WritePing(true, f.Data) })
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		return c.handleReset(f)
	case *http2.PushPromiseFrame, *http2.ContinuationFrame:
		return errProtocol
	default: // PRIORITY, GOAWAY from the client, unknown frames
		c.charge(controlFrame)
		return nil
	}
}

// charge counts a frame of the client against its budget, and reports whether the budget covers it. From the first frame
// that the budget does not cover, the connection serves no further requests, and it ends with the last response. A frame
// that is not covered still takes effect on the requests in flight, but it gets no reply of its own.
func (c *http2Conn) charge(kind frameKind) bool {
	if c.budget.spend(kind) {
		return true
	}
	if !c.flooded {
		c.flooded = true
		c.endAfterFlood()
	}
	return false
}

// handleReset ends a stream that the client has reset.
func (c *http2Conn) handleReset(f *http2.RSTStreamFrame) error {
	c.mu.Lock()
	s := c.streams[f.StreamID]
	unopened := f.StreamID > c.lastStream
	c.mu.Unlock()
	if unopened {
		return errProtocol
	}
	c.server.Counters.Resets.Add(1)
	if s != nil {
		c.endStream(s, errStreamReset)
	}
	c.charge(streamReset)
	return nil
}

// handleSettings applies the client's settings, and acknowledges them if the budget covers it.
func (c *http2Conn) handleSettings(f *http2.SettingsFrame) error {
	covered := c.charge(controlFrame)
	if f.IsAck() {
		return nil
	}
	if err := f.ForeachSetting(c.handleSetting); err != nil || !covered {
		return err
	}
	return c.write(c.framer.WriteSettingsAck)
}

func (c *http2Conn) handleSetting(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return err
	}
	switch setting.ID {
	case http2.SettingInitialWindowSize:
		return c.setInitialWindow(int64(setting.Val))
	case http2.SettingMaxFrameSize:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.maxSendFrame = int(min(setting.Val, maxFrame))
	case http2.SettingHeaderTableSize:
		c.writeMu.Lock()
		defer c.writeMu.Unlock()
		c.encoder.SetMaxDynamicTableSizeLimit(min(setting.Val, maxHeaderTable))
	}
	return nil
}

// setInitialWindow sets the initial send window of new streams, and adjusts the windows of open streams by the difference.
func (c *http2Conn) setInitialWindow(window int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	difference := window - c.initialSendWindow
	c.initialSendWindow = window
	for _, s := range c.streams {
		s.sendWindow += difference
		if s.sendWindow > maxWindow {
			return errFlowControl
		}
	}
	c.signalChange()
	return nil
}

// handleWindowUpdate grows the send window of a stream or of the connection.
func (c *http2Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	if f.Increment < tinyFrame {
		c.charge(controlFrame)
	}
	overflow, err := c.growWindow(f.StreamID, int64(f.Increment))
	if overflow {
		c.resetStream(f.StreamID, http2.ErrCodeFlowControl)
	}
	return err
}

// growWindow grows the send window of a stream, or of the connection (stream 0). If the window exceeds maxWindow, a stream
// must be reset (overflow); for the connection, growWindow returns errFlowControl.
func (c *http2Conn) growWindow(id uint32, increment int64) (overflow bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.signalChange()
	if id == 0 {
		c.sendWindow += increment
		if c.sendWindow > maxWindow {
			return false, errFlowControl
		}
		return false, nil
	}
	if id > c.lastStream {
		return false, errProtocol
	}
	s := c.streams[id]
	if s == nil {
		return false, nil
	}
	s.sendWindow += increment
	return s.sendWindow > maxWindow, nil
}

// resetStream resets a stream because of an error that the client has made on it.
func (c *http2Conn) resetStream(id uint32, code http2.ErrCode) {
	c.mu.Lock()
	s := c.streams[id]
	c.lastStream = max(c.lastStream, id)
	c.mu.Unlock()
	if s != nil {
		c.endStream(s, fmt.Errorf("%w: %v", errStreamReset, code))
	}
	c.write(func() error { return c.framer.WriteRSTStream(id, code) })
	c.returnWindow(nil, 0)
}

// rejectMalformed resets a stream on which the client has sent a malformed head or trailer. If the budget does not cover
// this, only a stream in flight is reset: the GOAWAY has told the client that no other one is served.
func (c *http2Conn) rejectMalformed(id uint32, code http2.ErrCode) {
	c.server.Counters.BadRequests.Add(1)
	covered := c.charge(malformedStream)
	c.mu.Lock()
	inFlight := c.streams[id] != nil
	c.lastStream = max(c.lastStream, id)
	c.mu.Unlock()
	if covered || inFlight {
		c.resetStream(id, code)
	}
}

// addWindowToReturn adds to the window that the connection returns to the client; returnWindow sends it. The connection is
// locked.
func (c *http2Conn) addWindowToReturn(n int64) { c.windowToReturn += n }

// returnWindow sends window updates for bytes that were read: n bytes for the stream, and the bytes of the connection once
// they amount to a quarter of its window. The stream may be nil.
func (c *http2Conn) returnWindow(s *stream, n int64) {
	c.mu.Lock()
	connIncrement := int64(0)
	if c.windowToReturn >= connWindow/4 {
		connIncrement = c.windowToReturn
		c.windowToReturn = 0
	}
	streamIncrement := n
	if s == nil || s.bodyComplete || s.reset {
		streamIncrement = 0
	}
	c.mu.Unlock()
	if connIncrement == 0 && streamIncrement == 0 {
		return
	}
	c.write(func() error {
		if connIncrement > 0 {
			if err := c.framer.WriteWindowUpdate(0, uint32(connIncrement)); err != nil {
				return err
			}
		}
		if streamIncrement > 0 {
			return c.framer.WriteWindowUpdate(s.id, uint32(streamIncrement))
		}
		return nil
	})
}
