package sendbudget

import (
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

func newTestAccount() *Account {
	return New(Bounds{ChannelLimit: 160, ChannelRate: 200, MessageOverhead: 4, MaxMessages: 3, MessageWindow: 10 * second, MaxTransit: second / 4})
}

func TestChannelStaysFullUntilAcksReleaseCharges(t *testing.T) {
	a := newTestAccount()
	first := a.Charge(1, 96, 0)
	a.MarkSent(first, second/20)
	if a.Fits(2, 38, false, 0) || !a.Fits(2, 37, false, 0) || !a.Fits(2, 46, true, 0) || a.Fits(2, 47, true, 0) {
		t.Error("with 100 of 160 units charged, exactly 37 normal or 46 urgent units must fit, without the overhead")
	}
	other := a.Charge(2, 16, second/10)
	a.Disconnect(1, second/5) // the messages may still be in the channel
	if a.Queued() != 120 {
		t.Errorf("%d units charged after a disconnection, want 120", a.Queued())
	}
	a.Acknowledge(2, other, second)
	if a.Queued() != 100 {
		t.Errorf("%d units charged, want 100: the first message was written at about the same time as the acknowledged one", a.Queued())
	}
	stalled := a.Charge(3, 16, second)
	third := a.Charge(2, 6, 4*second)
	if a.Acknowledge(2, third, 5*second); a.Queued() != 20 {
		t.Errorf("%d units charged, want 20: all much older messages have left, except the one that was never written", a.Queued())
	}
	a.Disconnect(3, 5*second)
	fourth := a.Charge(2, 6, 8*second)
	a.Acknowledge(2, fourth, 9*second)
	a.MarkSent(stalled, 9*second)     // the message is no longer in the account
	a.Acknowledge(1, first, 9*second) // late: its charge was already released
	if a.Queued() != 0 || len(a.messages) != 0 {
		t.Errorf("%d units charged, %d messages, want none", a.Queued(), len(a.messages))
	}
}

// Messages beyond those that keep the channel busy until acks arrive have to wait outside the channel, where they can be
// brought up to date. Here 100 units per second for four transits of 0.25 s keep it busy.
func TestBusyChannelHasNoCapacity(t *testing.T) {
	a := newTestAccount()
	a.ChannelLimit, a.ChannelRate = 1<<20, 100
	if a.Charge(1, 95, 0); !a.HasCapacity(false) || !a.Fits(2, 1000, false, 0) {
		t.Error("99 units must leave room for one more message of any size")
	}
	if a.Charge(1, 0, 0); a.HasCapacity(false) || !a.HasCapacity(true) {
		t.Error("103 units must leave room for urgent messages only")
	}
	if a.Charge(1, 93, 0); a.HasCapacity(true) {
		t.Error("200 units must leave no room for urgent messages")
	}
	later := a.Charge(2, 6, second)
	if a.Acknowledge(2, later, 2*second); a.Queued() != 200 || !a.HasCapacity(false) {
		t.Errorf("%d units charged, want 200, as messages may change their order within reorderWindow; but the channel must have room, as it is likely to be empty", a.Queued())
	}
}

// A proxy may receive unacknowledged messages at any time, and may have received acknowledged ones just before its ack.
func TestMessageCapCountsWhatAProxyMayReceive(t *testing.T) {
	a := newTestAccount()
	first := a.Charge(1, 1, 0)
	a.Charge(1, 1, 0)
	a.Charge(1, 1, second)
	if a.Fits(1, 1, true, 9*second) || a.Fits(1, 1, true, 10*second+1) {
		t.Error("a fourth message fits though the proxy may still receive all three within one window")
	}
	a.Acknowledge(1, first, 9*second)
	if a.Fits(1, 1, true, 19*second) || !a.Fits(1, 1, true, 19*second+1) || !a.Fits(2, 1, false, 9*second) {
		t.Error("the first message, acknowledged at 9 s, must count until 19 s, and for no other proxy")
	}
	a.Disconnect(1, 20*second)
	if a.Fits(1, 1, true, 20*second) && a.Fits(1, 1, true, 30*second) != true {
		t.Error("after the disconnection at 20 s, a message fits at 20 s but not at 30 s")
	}
	if a.Evict(31 * second); len(a.proxies) != 0 {
		t.Errorf("%d proxies after the eviction, want none", len(a.proxies))
	}
}

// Without spacing, a proxy that is sent many changes in a message each would use up its cap in a few seconds and get no
// ejection for the rest of the window. With spacing, no message waits longer than the minimum time between two spaced
// messages.
func TestNoMessageWaitsLongerThanTheSpacing(t *testing.T) {
	for name, ackDelay := range map[string]int64{"at once": 0, "late": second, "never": -1} {
		a := New(Bounds{MaxMessages: 30, MessageWindow: 10 * second, MaxTransit: second / 4, DrainGrace: 2 * second})
		var sentAt []int64
		for now, requestedAt := int64(0), int64(-1); now < 60*second; now += second / 100 {
			for k := range sentAt {
				if ackDelay >= 0 && now == sentAt[k]+ackDelay {
					a.Acknowledge(1, uint64(k), now)
				}
			}
			a.Expire(now)
			if requestedAt < 0 && (now/(second/10))%(1+now/(20*second)) == 0 { // every 0.1 s, later less often
				requestedAt = now
			}
			if requestedAt < 0 || !a.Fits(1, 1, true, now) {
				continue
			}
			if waited := now - requestedAt; waited > a.spacing() {
				t.Errorf("acknowledged %s: message sent at %d ms waited %d ms, longer than the spacing", name, now/1e6, waited/1e6)
			}
			a.MarkSent(a.Charge(1, 1, now), now)
			sentAt, requestedAt = append(sentAt, now), -1
			if first := len(sentAt) - 1 - a.MaxMessages; first >= 0 && now-sentAt[first] < a.MessageWindow {
				t.Fatalf("acknowledged %s: %d messages within %d ms", name, a.MaxMessages+1, (now-sentAt[first])/1e6)
			}
		}
		if len(sentAt) < 60 {
			t.Errorf("acknowledged %s: only %d messages in a minute", name, len(sentAt))
		}
	}
}

// The spacing is short enough for the drain grace. As few messages as the grace allows are spaced, so that the others are
// sent immediately.
func TestSpacingFollowsTheDrainGrace(t *testing.T) {
	for _, c := range []struct {
		messages          int
		grace, maxSpacing int64
		spaced            int
	}{
		{30, 2 * second, 875 * second / 1000, 13},
		{20, 4 * second, 1875 * second / 1000, 6},
		{6, 2 * second, 11 * second / 6, 6}, // too few messages for the grace: the shortest possible spacing
		{30, second / 4, 11 * second / 30, 30},
		{30, 0, 11 * second / 15, 15},
	} {
		a := New(Bounds{MaxMessages: c.messages, MessageWindow: 10 * second, MaxTransit: second / 4, DrainGrace: c.grace})
		if a.spacedMessages() != c.spaced || a.spacing() > c.maxSpacing {
			t.Errorf("cap of %d messages, grace of %d ms: %d messages spaced by %d ms", c.messages, c.grace/1e6, a.spacedMessages(), a.spacing()/1e6)
		}
	}
}

// A proxy whose acks are lost gets messages again as soon as the earlier ones are likely to have left the channel, even
// though the channel might still hold them.
func TestLostAcksDoNotBlockAProxy(t *testing.T) {
	a := newTestAccount()
	for range 3 {
		a.MarkSent(a.Charge(1, 16, 0), 1) // 60 units take 1.2 s at a quarter of 200 units per second, and 0.25 s in transit
	}
	a.Expire(2 * second)
	if a.Fits(1, 16, true, 12*second) || !a.Fits(1, 16, true, 13*second) || a.Queued() != 60 {
		t.Errorf("%d units charged, want 60; the proxy may have received three messages until 2.25 s", a.Queued())
	}
}

// Charges that no proxy can acknowledge any more expire 30 s after a channel at a 24th of its rate would have sent them.
func TestChargesWithoutAcksExpireLate(t *testing.T) {
	a := newTestAccount()
	a.Charge(1, 96, 0)
	a.Disconnect(1, 0)
	at := 12*second + second/4 + lostAckDelay
	if a.Expire(at); a.Fits(2, 60, true, at) {
		t.Error("charges expired too early")
	}
	if a.Expire(at + 1); !a.Fits(2, 60, true, at+1) {
		t.Error("charges have not expired after 12 s for 100 units at a 24th of 200 per second, 0.25 s of transit, and 30 s")
	}
}

// No matter how slow the channel is and which acks are lost, the units in it stay within the limit, and no proxy is sent or
// receives more messages than its cap within a window.
func TestBoundsHoldForAnyChannel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			proxy  int
			number uint64
			units  int
		}
		b := Bounds{ChannelLimit: rapid.IntRange(40, 400).Draw(t, "limit"), ChannelRate: 100, MessageOverhead: 4, MaxMessages: rapid.IntRange(1, 5).Draw(t, "cap"),
			MessageWindow: 10 * second, MaxTransit: second / 4}
		a := New(b)
		var queue []message
		now, queuedUnits := int64(0), 0
		sent, received := map[int][]int64{}, map[int][]int64{}
		within := func(times []int64) (n int) {
			for _, at := range times {
				if now-at < b.MessageWindow {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, second).Draw(t, "pause")
			proxy := rapid.IntRange(0, 3).Draw(t, "proxy")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1, 2:
				n := rapid.IntRange(1, 60).Draw(t, "units")
				if a.Fits(proxy, n, rapid.Bool().Draw(t, "urgent"), now) {
					queue = append(queue, message{proxy, a.Charge(proxy, n, now), n + b.MessageOverhead})
					queuedUnits += n + b.MessageOverhead
					if rapid.Bool().Draw(t, "reported as written") {
						a.MarkSent(queue[len(queue)-1].number, now)
					}
					if sent[proxy] = append(sent[proxy], now); within(sent[proxy]) > b.MaxMessages {
						t.Fatalf("%d messages sent to proxy %d within a window", within(sent[proxy]), proxy)
					}
				}
			case 3: // some messages leave the channel, and their acks may be lost
				for n := rapid.IntRange(0, len(queue)).Draw(t, "sent"); n > 0; n-- {
					m := queue[0]
					queue, queuedUnits = queue[1:], queuedUnits-m.units
					if received[m.proxy] = append(received[m.proxy], now); within(received[m.proxy]) > b.MaxMessages {
						t.Fatalf("%d messages received by proxy %d within a window", within(received[m.proxy]), m.proxy)
					}
					if rapid.Bool().Draw(t, "acknowledged") {
						a.Acknowledge(m.proxy, m.number, now)
					}
				}
			case 4:
				a.Evict(now)
			}
			if queuedUnits > b.ChannelLimit || a.Queued() < queuedUnits {
				t.Fatalf("%d units in the channel, %d charged, limit %d", queuedUnits, a.Queued(), b.ChannelLimit)
			}
		}
	})
}

// A charged message that was dropped, never written, half written, or written before its stream was reset may still wait in
// the channel. It stays charged until there is evidence that it has left, but not forever.
func TestChargeOutlivesItsMessageAndExpires(t *testing.T) {
	for name, end := range map[string]func(a *Account, n uint64){
		"dropped, its stream stays open": func(*Account, uint64) {},
		"never written, its stream ends": func(a *Account, n uint64) { a.Disconnect(1, 1) },
		"half written, its stream ends":  func(a *Account, n uint64) { a.Disconnect(1, second/10) },
		"written, its stream is reset":   func(a *Account, n uint64) { a.MarkSent(n, second/10); a.Disconnect(1, second/5) },
		"reported as written after its stream was reset": func(a *Account, n uint64) {
			a.Disconnect(1, second/10)
			a.MarkSent(n, second/5)
		},
	} {
		a := newTestAccount()
		end(a, a.Charge(1, 16, 0))
		early := a.Charge(2, 6, reorderWindow)
		if a.Acknowledge(2, early, reorderWindow+second/4); a.Queued() != 20 {
			t.Errorf("%s: %d units charged after the ack of a message written at about the same time", name, a.Queued())
		}
		late := a.Charge(3, 6, reorderWindow+second)
		if a.Acknowledge(3, late, 2*reorderWindow); a.Queued() != 0 != (name == "dropped, its stream stays open") {
			t.Errorf("%s: %d units charged after the ack of a message written much later", name, a.Queued())
		}
		own := a.Charge(1, 6, 3*reorderWindow) // on the proxy's next stream, or on the same one once the proxy reads again
		if a.Acknowledge(1, own, 3*reorderWindow+second/4); a.Queued() != 0 || len(a.messages) != 0 {
			t.Errorf("%s: %d units charged after an ack of the same proxy", name, a.Queued())
		}
		a = newTestAccount()
		end(a, a.Charge(1, 16, 0))
		if a.Expire(lostAckDelay); a.Queued() != 20 {
			t.Errorf("%s: %d units charged before the expiry, want 20", name, a.Queued())
		}
		a.Evict(2 * lostAckDelay) // unacknowledged messages count as received at this time
		if a.Evict(4 * lostAckDelay); a.Queued() != 0 || len(a.messages)+len(a.proxies) != 0 {
			t.Errorf("%s: %d units, %d messages and %d proxies left after the expiry", name, a.Queued(), len(a.messages), len(a.proxies))
		}
	}
}
