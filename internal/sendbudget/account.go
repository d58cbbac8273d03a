package sendbudget

// Account holds the charges of one controller, across all of its modules and streams.
type Account struct {
	Bounds
	queued       int       // units that may still wait in the channel
	likelyQueued int       // units that are likely to wait in the channel; used only to judge how busy it is
	messages     []message // in the order charged, starting with the oldest that is not known to have left
	firstNumber  uint64    // number of messages[0]
	proxies      map[int]*proxyAccount
}

// message is a charged message. It may still wait in the channel unless its units are 0.
type message struct {
	proxy       int
	units       int   // 0 if the message is known to have left the channel
	likelyUnits int   // 0 if the message is likely to have left the channel
	chargedAt   int64 // when the message was charged, just before it was written
	sendTime    int64 // time to send this message and all that waited before it, at the channel's stated rate
	writtenAt   int64 // when its last byte was reported as written; 0 if it was not
}

// New returns an account without any charges, for a channel that is empty.
func New(b Bounds) *Account { return &Account{Bounds: b, proxies: map[int]*proxyAccount{}} }

// Queued returns how many units may still wait in the channel.
func (a *Account) Queued() int { return a.queued }

// HasCapacity reports whether the channel is to be given more messages now. A few messages keep it busy until acks arrive.
// Others wait outside the channel, where they can still be brought up to date.
func (a *Account) HasCapacity(urgent bool) bool {
	busy := a.busyUnits(urgent)
	return busy <= 0 || float64(a.likelyQueued) < busy
}

// NeedsAckRequest reports whether messages are charged, all of them were charged so long ago that they must have entered the
// channel, and an ack request fits. The ack of such a request shows that all of them have left. Without it, a channel full
// of messages whose acks are lost would stay full, and no message that could be acknowledged would be sent.
func (a *Account) NeedsAckRequest(now int64) bool {
	if a.queued == 0 {
		return false
	}
	last := a.messages[len(a.messages)-1]
	if now-last.chargedAt <= reorderWindow {
		return false
	}
	return a.ChannelLimit == 0 || a.queued+a.MessageOverhead+1 <= a.ChannelLimit
}

// Fits reports whether a message to a proxy with the given units is within all bounds. A message that stops the proxy from
// using a replica is urgent.
func (a *Account) Fits(proxy, units int, urgent bool, now int64) bool {
	if !a.HasCapacity(urgent) {
		return false
	}
	if a.ChannelLimit > 0 && a.queued+units+a.MessageOverhead > a.messageLimit(urgent) {
		return false
	}
	return a.UnderMessageCap(proxy, now) && a.spacingElapsed(proxy, now)
}

// Charge records a message that is about to be written and returns its number.
func (a *Account) Charge(proxy, units int, now int64) (number uint64) {
	units = max(1, units+a.MessageOverhead)
	a.queued += units
	a.likelyQueued += units
	number = a.firstNumber + uint64(len(a.messages))
	a.messages = append(a.messages, message{
		proxy:       proxy,
		units:       units,
		likelyUnits: units,
		chargedAt:   now,
		sendTime:    a.sendTime(a.queued),
	})
	p := a.proxies[proxy]
	if p == nil {
		p = &proxyAccount{}
		a.proxies[proxy] = p
	}
	p.outstanding = append(p.outstanding, number)
	p.chargedAt = append(p.chargedAt, now)
	return number
}

// lookup returns the message with a number, or nil if it is no longer in the account.
func (a *Account) lookup(number uint64) *message {
	if number < a.firstNumber || number-a.firstNumber >= uint64(len(a.messages)) {
		return nil
	}
	return &a.messages[number-a.firstNumber]
}

// MarkSent records that all bytes of a message have been written.
func (a *Account) MarkSent(number uint64, now int64) {
	m := a.lookup(number)
	if m == nil {
		return
	}
	m.writtenAt = now
	if m.likelyUnits == 0 {
		a.assumeReceived(number, now)
	}
}

// Acknowledge releases the charges of all messages that have left the channel according to a proxy's ack of a message.
// These are the messages to the same proxy up to the acknowledged one. Since messages leave in the order in which they
// enter, they are also the messages to any proxy that were written so long before the acknowledged one was charged that they
// must have entered first. A message that has not been written may enter at any time, even if its writer has stalled.
func (a *Account) Acknowledge(proxy int, number uint64, now int64) {
	if p := a.proxies[proxy]; p != nil {
		p.acknowledge(number, now)
	}
	if acknowledged := a.lookup(number); acknowledged != nil {
		a.releaseUpTo(number, *acknowledged, proxy, now)
	}
	a.trim()
}

// releaseUpTo releases the charges of those messages up to an acknowledged one that have left according to its ack.
func (a *Account) releaseUpTo(last uint64, acknowledged message, proxy int, now int64) {
	for number := a.firstNumber; number <= last; number++ {
		m := a.lookup(number)
		switch {
		case m.proxy == proxy:
			m.release(a)
		case m.writtenAt > 0 && m.writtenAt < acknowledged.chargedAt-reorderWindow:
			a.markLeftChannel(number, now)
		case m.chargedAt < acknowledged.chargedAt-a.MaxTransit:
			a.markLikelyLeftChannel(number, now)
		}
	}
}

// Disconnect records that the stream of a proxy has ended. The outstanding messages count as received now, since a message
// cannot arrive after the end of its stream. It is not known whether they still wait in the channel, so they stay charged to
// it.
func (a *Account) Disconnect(proxy int, now int64) {
	p := a.proxies[proxy]
	if p == nil {
		return
	}
	p.disconnect(now)
	for k := range a.messages {
		m := &a.messages[k]
		if m.proxy == proxy && m.writtenAt == 0 { // no more of the message will be written
			m.writtenAt = now
		}
	}
}

// Expire releases the charges of unacknowledged messages that were charged so long ago that they must have left the
// channel.
func (a *Account) Expire(now int64) {
	for k := range a.messages {
		m := &a.messages[k]
		if now <= m.chargedAt+a.MaxTransit+likelyLeftSlowdown*m.sendTime {
			break
		}
		number := a.firstNumber + uint64(k)
		a.markLikelyLeftChannel(number, now)
		if now > m.chargedAt+a.MaxTransit+maxSlowdown*m.sendTime+lostAckDelay {
			a.markLeftChannel(number, now)
		}
	}
	a.trim()
}

// Evict calls Expire and drops the accounts of proxies without messages that count against their message caps.
func (a *Account) Evict(now int64) {
	a.Expire(now)
	for proxy, p := range a.proxies {
		p.evict(now - a.MessageWindow)
		if p.isEmpty() {
			delete(a.proxies, proxy)
		}
	}
}

// release releases the charge of a message.
func (m *message) release(a *Account) {
	a.queued -= m.units
	a.likelyQueued -= m.likelyUnits
	m.units = 0
	m.likelyUnits = 0
}

// markLikelyLeftChannel records that a message is likely to have left the channel.
func (a *Account) markLikelyLeftChannel(number uint64, now int64) {
	m := a.lookup(number)
	a.likelyQueued -= m.likelyUnits
	m.likelyUnits = 0
	if m.writtenAt > 0 {
		a.assumeReceived(number, now)
	}
}

// markLeftChannel releases the charge of a message that has left the channel without an ack of its own.
func (a *Account) markLeftChannel(number uint64, now int64) {
	a.assumeReceived(number, now)
	a.lookup(number).release(a)
}

// assumeReceived counts an unacknowledged message as received one longest transit time from now. Otherwise a proxy whose
// acks are lost would get no more messages than its cap for as long as the channel might hold the unacknowledged ones.
func (a *Account) assumeReceived(number uint64, now int64) {
	if p := a.proxies[a.lookup(number).proxy]; p != nil {
		p.assumeReceived(number, now+a.MaxTransit)
	}
}

// trim drops the oldest messages up to the first that may still be in the channel.
func (a *Account) trim() {
	for len(a.messages) > 0 && a.messages[0].units == 0 {
		a.messages = a.messages[1:]
		a.firstNumber++
	}
}
