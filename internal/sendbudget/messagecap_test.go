package sendbudget

import (
	"math"
	"testing"
)

func TestProxyAccountCountsTheLargerNumber(t *testing.T) {
	p := &proxyAccount{outstanding: []uint64{1, 2, 3}, chargedAt: []int64{10, 20}}
	if p.countedMessages() != 3 {
		t.Errorf("%d messages count with three outstanding and two charged, want 3", p.countedMessages())
	}
	p.acknowledge(2, 30)
	if p.countedMessages() != 3 || len(p.outstanding) != 1 || len(p.receivedAt) != 2 {
		t.Errorf("%d messages count after an ack of two, want 3: %+v", p.countedMessages(), p)
	}
	p.assumeReceived(9, 35) // message 9 is not outstanding
	p.assumeReceived(3, 40)
	if p.countedMessages() != 3 || len(p.outstanding) != 0 || p.receivedAt[2] != 40 {
		t.Errorf("after all messages are received: %+v", p)
	}
	p.evict(40)
	if p.countedMessages() != 1 || len(p.chargedAt) != 0 {
		t.Errorf("after the eviction of times before the last receipt: %+v", p)
	}
	p.evict(41)
	if !p.isEmpty() {
		t.Errorf("after the eviction of all times: %+v", p)
	}
}

func TestDisconnectedProxyAccountCountsAllAsReceived(t *testing.T) {
	p := &proxyAccount{outstanding: []uint64{1, 2}}
	p.disconnect(50)
	if len(p.outstanding) != 0 || p.countedMessages() != 2 || p.isEmpty() {
		t.Errorf("after the disconnection: %+v", p)
	}
}

func TestBoundsReserveCapacityForUrgentMessagesAndAckRequests(t *testing.T) {
	for _, c := range []struct {
		name            string
		bounds          Bounds
		urgent, general int
	}{
		{"small", Bounds{ChannelLimit: 160, MessageOverhead: 4}, 150, 141},
		{"large", Bounds{ChannelLimit: 1600, MessageOverhead: 4}, 1580, 1482},
	} {
		if urgent, general := c.bounds.messageLimit(true), c.bounds.messageLimit(false); urgent != c.urgent || general != c.general {
			t.Errorf("%s: limits of %d units for urgent messages and %d for others, want %d and %d", c.name, urgent, general, c.urgent, c.general)
		}
	}
}

func TestBoundsBusyUnitsFollowTransitAndDrainGrace(t *testing.T) {
	b := Bounds{ChannelRate: 100, MaxTransit: second / 4}
	if got := b.busyUnits(false); math.Abs(got-100) > 1e-9 {
		t.Errorf("%v busy units without a drain grace, want 100", got)
	}
	b.DrainGrace = 2 * second
	if got := b.busyUnits(false); math.Abs(got-50) > 1e-9 {
		t.Errorf("%v busy units with a drain grace, want 50", got)
	}
	if got := b.busyUnits(true); math.Abs(got-100) > 1e-9 {
		t.Errorf("%v busy units for urgent messages, want 100", got)
	}
	if got := b.sendTime(50); got != second/2 {
		t.Errorf("50 units take %d ns", got)
	}
	b.ChannelRate = 0
	if got := b.sendTime(50); got != 0 {
		t.Errorf("50 units take %d ns at an unknown rate, want 0", got)
	}
}
