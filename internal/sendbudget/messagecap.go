package sendbudget

import "slices"

// proxyAccount holds the messages charged to one proxy. The larger of two numbers counts against its message cap: the
// messages that were sent to the proxy within the window, and the messages that the proxy may receive within one window.
type proxyAccount struct {
	outstanding []uint64 // numbers of the messages that the proxy may still receive, in the order charged
	receivedAt  []int64  // latest times at which the proxy may have received other messages, within the window
	chargedAt   []int64  // times at which messages to the proxy were charged, within the window
}

// countedMessages returns how many messages count against the cap.
func (p *proxyAccount) countedMessages() int {
	return max(len(p.chargedAt), len(p.outstanding)+len(p.receivedAt))
}

// evict drops all times before the given one.
func (p *proxyAccount) evict(before int64) {
	past := func(at int64) bool { return at < before }
	p.chargedAt = slices.DeleteFunc(p.chargedAt, past)
	p.receivedAt = slices.DeleteFunc(p.receivedAt, past)
}

// isEmpty reports whether no message counts against the cap any more.
func (p *proxyAccount) isEmpty() bool {
	return len(p.outstanding)+len(p.chargedAt)+len(p.receivedAt) == 0
}

// acknowledge records that the proxy has received all messages up to the one with a number. They count as received now,
// which is the latest time at which they can have been received.
func (p *proxyAccount) acknowledge(number uint64, now int64) {
	for len(p.outstanding) > 0 && p.outstanding[0] <= number {
		p.outstanding = p.outstanding[1:]
		p.receivedAt = append(p.receivedAt, now)
	}
}

// assumeReceived records that the proxy has received a message at the given time, unless the message is no longer
// outstanding.
func (p *proxyAccount) assumeReceived(number uint64, at int64) {
	k := slices.Index(p.outstanding, number)
	if k < 0 {
		return
	}
	p.outstanding = slices.Delete(p.outstanding, k, k+1)
	p.receivedAt = append(p.receivedAt, at)
}

// disconnect records that the proxy's stream has ended: the outstanding messages count as received now.
func (p *proxyAccount) disconnect(now int64) {
	for range p.outstanding {
		p.receivedAt = append(p.receivedAt, now)
	}
	p.outstanding = nil
}

// UnderMessageCap reports whether one more message to a proxy stays within the proxy's message cap.
func (a *Account) UnderMessageCap(proxy int, now int64) bool {
	p := a.proxies[proxy]
	if p == nil || a.MaxMessages == 0 {
		return true
	}
	p.evict(now - a.MessageWindow)
	return p.countedMessages() < a.MaxMessages
}

// spacingElapsed reports whether the spacing of messages allows a message to a proxy now. The first messages of a window are
// not spaced.
func (a *Account) spacingElapsed(proxy int, now int64) bool {
	p := a.proxies[proxy]
	if p == nil || a.MaxMessages == 0 || len(p.chargedAt) == 0 {
		return true
	}
	if p.countedMessages() < a.MaxMessages-a.spacedMessages() {
		return true
	}
	return now-p.chargedAt[len(p.chargedAt)-1] >= a.spacing()
}
