package sendbudget

// Account holds the charges of one controller, across all modules and streams that it has had.
type Account struct {
	Bounds
	queued       int       // units that may wait in the channel
	likelyQueued int       // units that are likely to wait in it: how busy it is, and nothing else
	messages     []message // in the order charged, from the first that is not known to have left
	firstNumber  uint64    // of messages[0]
	proxies      map[int]*proxyAccount
}

// message is one that may still wait in the channel.
type message struct {
	proxy       int
	units       int   // 0: known to have left
	likelyUnits int   // 0: likely to have left
	chargedAt   int64 // when it was about to be written
	sendTime    int64 // that the channel takes when all is well to send what waited, and this
	writtenAt   int64 // when its last byte was known to have been written; 0: not yet
}

// New returns an account of an empty channel.
func New(b Bounds) *Account { return &Account{Bounds: b, proxies: map[int]*proxyAccount{}} }

// Queued returns how many units may still wait in the channel.
func (a *Account) Queued() int { return a.queued }

// HasRoom reports whether the channel takes messages now. A few keep it busy until acks arrive; the rest had better wait
// outside, where they can be brought up to date.
func (a *Account) HasRoom(urgent bool) bool {
	busy := a.busyUnits(urgent)
	return busy <= 0 || float64(a.likelyQueued) < busy
}

// NeedsAckRequest reports that something is charged, that nothing was written for so long that all of it must have entered the
// channel, and that an ack request fits: its ack would show that everything has left. Otherwise a channel that is full of
// messages whose acks are lost stays full, and nothing is sent that could be acknowledged.
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

// Fits reports whether a message of some units to a proxy keeps all bounds. One that keeps the proxy away from a replica is
// urgent.
func (a *Account) Fits(proxy, units int, urgent bool, now int64) bool {
	if !a.HasRoom(urgent) {
		return false
	}
	if a.ChannelLimit > 0 && a.queued+units+a.MessageOverhead > a.messageLimit(urgent) {
		return false
	}
	return a.UnderMessageCap(proxy, now) && a.keepsSpacing(proxy, now)
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

// lookUp returns the message of a number; nil: it has left.
func (a *Account) lookUp(number uint64) *message {
	if number < a.firstNumber || number-a.firstNumber >= uint64(len(a.messages)) {
		return nil
	}
	return &a.messages[number-a.firstNumber]
}

// MarkSent records that all bytes of a message have been written.
func (a *Account) MarkSent(number uint64, now int64) {
	m := a.lookUp(number)
	if m == nil {
		return
	}
	m.writtenAt = now
	if m.likelyUnits == 0 {
		a.assumeReceived(number, now)
	}
}

// Acknowledge takes back what the ack of a proxy to a message shows to have left: all that was sent to it up to then and, as
// messages leave in the order in which they enter, what was written to anybody so long before this one was charged that it
// must have entered first. What has not been written may enter at any moment, of a stalled writer too.
func (a *Account) Acknowledge(proxy int, number uint64, now int64) {
	if p := a.proxies[proxy]; p != nil {
		p.acknowledge(number, now)
	}
	if acknowledged := a.lookUp(number); acknowledged != nil {
		a.takeBackUpTo(number, *acknowledged, proxy, now)
	}
	a.trim()
}

// takeBackUpTo takes back the messages up to an acknowledged one as far as its ack shows that they have left.
func (a *Account) takeBackUpTo(last uint64, acknowledged message, proxy int, now int64) {
	for number := a.firstNumber; number <= last; number++ {
		m := a.lookUp(number)
		switch {
		case m.proxy == proxy:
			m.takeBack(a)
		case m.writtenAt > 0 && m.writtenAt < acknowledged.chargedAt-reorderWindow:
			a.markLeft(number, now)
		case m.chargedAt < acknowledged.chargedAt-a.MaxTransit:
			a.markLikelyLeft(number, now)
		}
	}
}

// Disconnect records that the stream of a proxy has ended. What the proxy might still get it may have got just now, as messages
// do not outlive their stream. Whether they still wait in the channel is not known, so they stay charged to it.
func (a *Account) Disconnect(proxy int, now int64) {
	p := a.proxies[proxy]
	if p == nil {
		return
	}
	p.disconnect(now)
	for k := range a.messages {
		m := &a.messages[k]
		if m.proxy == proxy && m.writtenAt == 0 { // no more of it will be written
			m.writtenAt = now
		}
	}
}

// Expire takes back what has waited for so long that it must have left, though nobody has acknowledged it.
func (a *Account) Expire(now int64) {
	for k := range a.messages {
		m := &a.messages[k]
		if now <= m.chargedAt+a.MaxTransit+usualSlowdown*m.sendTime {
			break
		}
		number := a.firstNumber + uint64(k)
		a.markLikelyLeft(number, now)
		if now > m.chargedAt+a.MaxTransit+maxSlowdown*m.sendTime+lostDelay {
			a.markLeft(number, now)
		}
	}
	a.trim()
}

// Evict expires messages and drops the proxies of which nothing is charged any more.
func (a *Account) Evict(now int64) {
	a.Expire(now)
	for proxy, p := range a.proxies {
		p.evict(now - a.MessageWindow)
		if p.isEmpty() {
			delete(a.proxies, proxy)
		}
	}
}

// takeBack frees the units of a message.
func (m *message) takeBack(a *Account) {
	a.queued -= m.units
	a.likelyQueued -= m.likelyUnits
	m.units = 0
	m.likelyUnits = 0
}

// markLikelyLeft takes a message as likely to have left the channel.
func (a *Account) markLikelyLeft(number uint64, now int64) {
	m := a.lookUp(number)
	a.likelyQueued -= m.likelyUnits
	m.likelyUnits = 0
	if m.writtenAt > 0 {
		a.assumeReceived(number, now)
	}
}

// markLeft takes back a message that has left the channel without an ack of its own.
func (a *Account) markLeft(number uint64, now int64) {
	a.assumeReceived(number, now)
	a.lookUp(number).takeBack(a)
}

// assumeReceived counts a message without an ack as received now, or as late as its transit takes. Otherwise a proxy whose acks
// are lost would get no more than its cap of messages for as long as the channel might hold them.
func (a *Account) assumeReceived(number uint64, now int64) {
	if p := a.proxies[a.lookUp(number).proxy]; p != nil {
		p.assumeReceived(number, now+a.MaxTransit)
	}
}

// trim drops the oldest messages as far as all of them have left.
func (a *Account) trim() {
	for len(a.messages) > 0 && a.messages[0].units == 0 {
		a.messages = a.messages[1:]
		a.firstNumber++
	}
}
