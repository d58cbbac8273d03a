package ingress

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/net/http2"
)

func TestFrameBudgetEndsFloodsAndRefills(t *testing.T) {
	for _, c := range []struct {
		name  string
		cost  float64
		spent int // frames before the budget is spent
	}{{"control frames", frameCost, maxBudget}, {"resets", resetCost, maxBudget / resetCost}} {
		t.Run(c.name, func(t *testing.T) {
			budget := newFrameBudget()
			for k := range c.spent {
				if err := budget.spend(c.cost); err != nil {
					t.Fatalf("frame %d: %v", k, err)
				}
			}
			budget.remaining = 0
			budget.refilledAt = time.Now()
			if err := budget.spend(c.cost); !errors.Is(err, errFlood) {
				t.Errorf("beyond the budget: %v", err)
			}
		})
	}
	budget := frameBudget{refilledAt: time.Now().Add(-time.Hour)}
	if err := budget.spend(frameCost); err != nil || budget.remaining != maxBudget-frameCost {
		t.Errorf("after an hour: %v, %v left", err, budget.remaining)
	}
}

func TestGrowWindow(t *testing.T) {
	const open, over, unopened = 1, 3, 5
	for _, c := range []struct {
		name      string
		stream    uint32
		increment int64
		overflow  bool
		err       error
	}{
		{"connection", 0, 1, false, nil},
		{"connection, too large", 0, maxWindow, false, errFlowControl},
		{"stream", open, 1, false, nil},
		{"stream, too large", open, maxWindow, true, nil},
		{"stream that is over", over, maxWindow, false, nil},
		{"stream that was never opened", unopened, 1, false, errProtocol},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := newHTTP2Conn(New(Config{}), nil)
			conn.lastStream = over
			conn.streams[open] = &stream{id: open, conn: conn, sendWindow: defaultWindow}
			overflow, err := conn.growWindow(c.stream, c.increment)
			if overflow != c.overflow || !errors.Is(err, c.err) {
				t.Errorf("overflow %v, %v", overflow, err)
			}
		})
	}
}

func TestBodyLength(t *testing.T) {
	for _, c := range []struct {
		length, received int64
		complete, wrong  bool
	}{
		{-1, 10, true, false},
		{4, 3, false, false},
		{4, 4, false, false},
		{4, 4, true, false},
		{4, 3, true, true},
		{4, 5, false, true},
	} {
		s := &stream{length: c.length, receivedLength: c.received}
		if got := s.hasWrongLength(c.complete); got != c.wrong {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestFaultCode(t *testing.T) {
	for _, c := range []struct {
		err   error
		code  http2.ErrCode
		fault bool
	}{
		{errProtocol, http2.ErrCodeProtocol, true},
		{errFlowControl, http2.ErrCodeFlowControl, true},
		{errFlood, http2.ErrCodeEnhanceYourCalm, true},
		{http2.ErrFrameTooLarge, http2.ErrCodeFrameSize, true},
		{errConnEnded, http2.ErrCodeNo, false},
	} {
		conn := newHTTP2Conn(New(Config{}), nil)
		if code, fault := conn.faultCode(c.err); code != c.code || fault != c.fault {
			t.Errorf("%v: %v, fault %v", c.err, code, fault)
		}
	}
}
