package sendbudget

import (
	"math"
	"testing"
)

func TestProxyAccountCountsWhicheverIsMore(t *testing.T) {
	p := &proxyAccount{outstanding: []uint64{1, 2, 3}, chargedAt: []int64{10, 20}}
	if p.used() != 3 {
		t.Errorf("%d used with three outstanding", p.used())
	}
	p.acknowledge(2, 30)
	if p.used() != 3 || len(p.outstanding) != 1 || len(p.receivedAt) != 2 {
		t.Errorf("%d used after an ack of two: %+v", p.used(), p)
	}
	p.assumeReceived(9, 35) // not outstanding
	p.assumeReceived(3, 40)
	if p.used() != 3 || len(p.outstanding) != 0 || p.receivedAt[2] != 40 {
		t.Errorf("after all are received: %+v", p)
	}
	p.forget(40)
	if p.used() != 1 || len(p.chargedAt) != 0 {
		t.Errorf("after a window: %+v", p)
	}
	p.forget(41)
	if !p.isEmpty() {
		t.Errorf("left: %+v", p)
	}
}

func TestProxyAccountThatDisconnectsMayHaveReceivedAll(t *testing.T) {
	p := &proxyAccount{outstanding: []uint64{1, 2}}
	p.disconnect(50)
	if len(p.outstanding) != 0 || p.used() != 2 || p.isEmpty() {
		t.Errorf("%+v", p)
	}
}

func TestBoundsLeaveRoomForUrgentMessagesAndAckRequests(t *testing.T) {
	for _, c := range []struct {
		name            string
		bounds          Bounds
		urgent, general int
	}{
		{"small", Bounds{ChannelLimit: 160, MessageOverhead: 4}, 150, 141},
		{"large", Bounds{ChannelLimit: 1600, MessageOverhead: 4}, 1580, 1482},
	} {
		if urgent, general := c.bounds.messageLimit(true), c.bounds.messageLimit(false); urgent != c.urgent || general != c.general {
			t.Errorf("%s: %d urgent, %d others", c.name, urgent, general)
		}
	}
}

func TestBoundsBusyUnitsFollowTransitAndDrainGrace(t *testing.T) {
	b := Bounds{ChannelRate: 100, MaxTransit: second / 4}
	if got := b.busyUnits(false); math.Abs(got-100) > 1e-9 {
		t.Errorf("%v units without a grace", got)
	}
	b.DrainGrace = 2 * second
	if got := b.busyUnits(false); math.Abs(got-50) > 1e-9 {
		t.Errorf("%v units with a grace", got)
	}
	if got := b.busyUnits(true); math.Abs(got-100) > 1e-9 {
		t.Errorf("%v urgent units", got)
	}
	if got := b.sendTime(50); got != second/2 {
		t.Errorf("50 units take %d", got)
	}
	b.ChannelRate = 0
	if got := b.sendTime(50); got != 0 {
		t.Errorf("50 units take %d at an unknown rate", got)
	}
}
