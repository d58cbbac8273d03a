package sendbudget

import "slices"

// proxyAccount is what is charged to one proxy. What counts against its message cap is whichever is more: the messages that
// were sent to it within the window, or those that it may receive within one.
type proxyAccount struct {
	outstanding []uint64 // numbers of messages that it may well still receive, in the order charged
	receivedAt  []int64  // when it may have received others: the times of their acks, within the window
	chargedAt   []int64  // when messages to it were charged, within the window
}

// used returns how many messages of the window count.
func (p *proxyAccount) used() int {
	return max(len(p.chargedAt), len(p.outstanding)+len(p.receivedAt))
}

// evict drops the times before one.
func (p *proxyAccount) evict(before int64) {
	past := func(at int64) bool { return at < before }
	p.chargedAt = slices.DeleteFunc(p.chargedAt, past)
	p.receivedAt = slices.DeleteFunc(p.receivedAt, past)
}

// isEmpty reports whether nothing counts any more.
func (p *proxyAccount) isEmpty() bool {
	return len(p.outstanding)+len(p.chargedAt)+len(p.receivedAt) == 0
}

// acknowledge records that the proxy has received everything up to a message, the last of it possibly just now.
func (p *proxyAccount) acknowledge(number uint64, now int64) {
	for len(p.outstanding) > 0 && p.outstanding[0] <= number {
		p.outstanding = p.outstanding[1:]
		p.receivedAt = append(p.receivedAt, now)
	}
}

// assumeReceived records that the proxy has received one message at a time, unless it is known to have.
func (p *proxyAccount) assumeReceived(number uint64, at int64) {
	k := slices.Index(p.outstanding, number)
	if k < 0 {
		return
	}
	p.outstanding = slices.Delete(p.outstanding, k, k+1)
	p.receivedAt = append(p.receivedAt, at)
}

// disconnect records that the proxy receives nothing more by its stream.
func (p *proxyAccount) disconnect(now int64) {
	for range p.outstanding {
		p.receivedAt = append(p.receivedAt, now)
	}
	p.outstanding = nil
}

// UnderMessageCap reports whether a proxy stays within its cap with one more message.
func (a *Account) UnderMessageCap(proxy int, now int64) bool {
	p := a.proxies[proxy]
	if p == nil || a.MaxMessages == 0 {
		return true
	}
	p.evict(now - a.MessageWindow)
	return p.used() < a.MaxMessages
}

// keepsSpacing reports whether a message to a proxy may be sent now as far as its spacing is concerned. The first messages of a
// window are not spaced.
func (a *Account) keepsSpacing(proxy int, now int64) bool {
	p := a.proxies[proxy]
	if p == nil || a.MaxMessages == 0 || len(p.chargedAt) == 0 {
		return true
	}
	if p.used() < a.MaxMessages-a.spacedMessages() {
		return true
	}
	return now-p.chargedAt[len(p.chargedAt)-1] >= a.spacing()
}
