// Package sendbudget is the account of a governor's channel. Every message is charged to it, and to the proxy that it is for,
// before it leaves, and only what shows that it has left the channel takes the charge back: so its bounds hold whatever
// the channel, the proxies or the governor's own pace do. It has no I/O, no clock and no goroutine, and it decides nothing
// but whether a message fits. Times are nanoseconds of any one clock.
package sendbudget

import "slices"

const (
	// Messages that keep proxies away from replicas may fill the channel; all others leave this part of it to them, as
	// withdrawals for all proxies of a governor take about so much.
	keptPart = 16
	// Messages on their way, and the answers to those before them on theirs, keep the channel busy: so many times the
	// longest way, there and back and there and back. Urgent ones may fill it twice as long.
	ways = 4
	// What is urgent waits behind all that is in the channel: ordinary messages keep it busy for no longer than this part of
	// the grace, urgent ones twice as long.
	gracePart = 4
	// A channel may be slower than stated for a while, to a 24th of its pace. What nobody answers is taken for sent when
	// that would have sent all that waited with it, and some time more. It is no longer taken for what keeps the channel
	// busy a good deal earlier, as the answer may be lost.
	slowest, usual, lostSpan = 24, 4, int64(30 * 1e9)
	// So many marks fit into a channel that is full otherwise.
	asks = 4
	// What is urgent and waits for its turn among a proxy's spaced messages waits no longer than this part of what the grace
	// leaves beside the way; where no grace is known half of the messages are spaced.
	spacingPart, spacedPart = 2, 2
	// A message comes in pieces and enters the channel with its last one, so messages of different streams change places
	// by more than the platform's longest way (0.26 s was too short in four plays of four). What has gone out so long
	// before another that is answered has left; what was written a way before has so in all likelihood.
	pieces = int64(2 * 1e9)
)

// Bounds are what the platform says of the channel.
type Bounds struct {
	ChannelLimit    int     // that may wait in it, heads included; 0: any number
	ChannelRate     float64 // lines a second, when all is well
	MessageOverhead int     // lines that a message costs beside its own
	MaxMessages     int     // that one proxy may get within Span; 0: any number
	MessageWindow   int64
	MaxTransit      int64 // the longest from the channel to a proxy
	DrainGrace      int64 // in which a proxy has to get what keeps it away from a replica; 0: not known
}

// Account holds the charges of one governor, over all modules and streams that it has had.
type Account struct {
	Bounds
	waits   int       // what may
	likely  int       // what does in all likelihood: it says how busy the channel is, and no more
	open    []message // in the order written, from the number first on
	first   uint64
	proxies map[int]*proxyAccount
}

// message is one message that may still wait.
type message struct {
	proxy  int
	lines  int // 0: known to have left
	likely int // 0: likely to have left
	at     int64
	span   int64 // that the channel at its pace takes to send what waited, and this
	wrote  int64 // when its last byte was known to have gone out, 0: not yet
}

// proxyAccount is what is charged to one proxy.
type proxyAccount struct {
	open  []uint64 // messages that it may well still get, in the order written
	got   []int64  // when it answered others, of the last span: it may have got them just then
	wrote []int64  // when messages were written to it, of the last span
}

// used is how many messages of the span a proxy was written, or may have got, whichever is more.
func (p *proxyAccount) used() int { return max(len(p.wrote), len(p.open)+len(p.got)) }

// forget drops the times before one.
func (p *proxyAccount) forget(before int64) {
	past := func(at int64) bool { return at < before }
	p.wrote, p.got = slices.DeleteFunc(p.wrote, past), slices.DeleteFunc(p.got, past)
}

// New makes an account of an empty channel.
func New(b Bounds) *Account { return &Account{Bounds: b, proxies: map[int]*proxyAccount{}} }

// Queued is how many lines may still wait in the channel.
func (a *Account) Queued() int { return a.waits }

// HasRoom says whether the channel takes messages now: a few are enough for it to be busy until answers come, and the rest
// had better wait outside, where they can be brought up to date.
func (a *Account) HasRoom(urgent bool) bool {
	span := ways * a.MaxTransit
	if a.DrainGrace > 0 {
		span = min(span, a.DrainGrace/gracePart)
	}
	busy := a.ChannelRate * float64(span) / 1e9
	if urgent {
		busy *= 2
	}
	return busy <= 0 || float64(a.likely) < busy
}

// NeedsAckRequest says that something is charged, nothing was written for so long that all of it must have entered the channel, and
// there is room for a mark: its answer would tell that all has left. Without one a channel that is full of messages whose
// answers are lost stays full, and nothing goes that could be answered.
func (a *Account) NeedsAckRequest(now int64) bool {
	return a.waits > 0 && now-a.open[len(a.open)-1].at > pieces && (a.ChannelLimit == 0 || a.waits+a.MessageOverhead+1 <= a.ChannelLimit)
}

// Fits says whether a message of so many lines to a proxy keeps the bounds. One that keeps it away from a replica is
// urgent.
func (a *Account) Fits(proxy, lines int, urgent bool, now int64) bool {
	if !a.HasRoom(urgent) {
		return false
	}
	most := a.ChannelLimit - min(asks*(a.MessageOverhead+1), a.ChannelLimit/keptPart)
	if !urgent {
		most -= most / keptPart
	}
	if a.ChannelLimit > 0 && a.waits+lines+a.MessageOverhead > most {
		return false
	}
	return a.UnderMessageCap(proxy, now) && a.paced(proxy, now)
}

// spaced is how many of the messages that a proxy may get within Span are spaced: the last ones, as many as make their
// spacing short enough.
func (a *Account) spaced() int {
	limit := (a.DrainGrace - a.MaxTransit) / spacingPart
	if a.DrainGrace == 0 {
		return a.MaxMessages - a.MaxMessages/spacedPart
	}
	if limit <= 0 {
		return a.MaxMessages
	}
	return min(a.MaxMessages, int((a.countedSpan()+limit-1)/limit))
}

// countedSpan is for how long a message counts: until its answer, after the ways there and back, is a span old.
func (a *Account) countedSpan() int64 { return a.MessageWindow + ways*a.MaxTransit }

// spacing is the time between two messages to a proxy that has got its first ones of a span. Without it a proxy that is told of
// each of many changes by itself uses its cap up, and is told of no withdrawal until the first of its messages are a span old.
func (a *Account) spacing() int64 { return a.countedSpan() / int64(a.spaced()) }

// paced says whether a message to a proxy may go now as far as its pace is concerned.
func (a *Account) paced(proxy int, now int64) bool {
	p := a.proxies[proxy]
	if p == nil || a.MaxMessages == 0 || len(p.wrote) == 0 {
		return true
	}
	return p.used() < a.MaxMessages-a.spaced() || now-p.wrote[len(p.wrote)-1] >= a.spacing()
}

// UnderMessageCap says whether a proxy stays under its cap with one more message.
func (a *Account) UnderMessageCap(proxy int, now int64) bool {
	p := a.proxies[proxy]
	if p == nil || a.MaxMessages == 0 {
		return true
	}
	p.forget(now - a.MessageWindow)
	return p.used() < a.MaxMessages
}

// Charge enters a message that is about to be written, and says its number.
func (a *Account) Charge(proxy, lines int, now int64) (number uint64) {
	lines = max(1, lines+a.MessageOverhead)
	a.waits, a.likely = a.waits+lines, a.likely+lines
	p := a.proxies[proxy]
	if p == nil {
		p = &proxyAccount{}
		a.proxies[proxy] = p
	}
	number = a.first + uint64(len(a.open))
	span := int64(0)
	if a.ChannelRate > 0 {
		span = int64(float64(a.waits) / a.ChannelRate * 1e9)
	}
	a.open = append(a.open, message{proxy: proxy, lines: lines, likely: lines, at: now, span: span})
	p.open, p.wrote = append(p.open, number), append(p.wrote, now)
	return number
}

// MarkSent says that all of a message has gone out.
func (a *Account) MarkSent(number uint64, now int64) {
	if number >= a.first && number-a.first < uint64(len(a.open)) {
		c := &a.open[number-a.first]
		if c.wrote = now; c.likely == 0 {
			a.free(number, now)
		}
	}
}

// Acknowledge takes back what an answer of a proxy to a message shows to have left: all that was written to it up to then,
// and, as messages leave in the order in which they come, what had gone out to anybody so long before this one was begun
// that it must have come first. What has not gone out may come in any moment: a stalled writer's too.
func (a *Account) Acknowledge(proxy int, number uint64, now int64) {
	if p := a.proxies[proxy]; p != nil {
		for len(p.open) > 0 && p.open[0] <= number {
			p.open, p.got = p.open[1:], append(p.got, now)
		}
	}
	if number >= a.first && number-a.first < uint64(len(a.open)) {
		at := a.open[number-a.first].at
		for k := range a.open[:number-a.first+1] {
			switch c, n := &a.open[k], a.first+uint64(k); {
			case c.proxy == proxy:
				a.clear(n)
			case c.wrote > 0 && c.wrote < at-pieces:
				a.sent(n, now)
			case c.at < at-a.MaxTransit:
				a.ease(n, now)
			}
		}
	}
	a.trim()
}

// Disconnect turns what a proxy that has left may still get into what it may have got just now: messages to it do not outlive
// its stream. Whether they still wait in the channel is not known, so it stays charged.
func (a *Account) Disconnect(proxy int, now int64) {
	p := a.proxies[proxy]
	if p == nil {
		return
	}
	for range p.open {
		p.got = append(p.got, now)
	}
	p.open = nil
	for k := range a.open {
		if c := &a.open[k]; c.proxy == proxy && c.wrote == 0 { // nothing more goes out
			c.wrote = now
		}
	}
}

// Evict forgets proxies of which nothing is charged any more.
func (a *Account) Evict(now int64) {
	a.Expire(now)
	for proxy, p := range a.proxies {
		p.forget(now - a.MessageWindow)
		if len(p.open)+len(p.wrote)+len(p.got) == 0 {
			delete(a.proxies, proxy)
		}
	}
}

func (a *Account) clear(number uint64) {
	c := &a.open[number-a.first]
	a.waits, a.likely = a.waits-c.lines, a.likely-c.likely
	c.lines, c.likely = 0, 0
}

// ease takes a message as likely to have left.
func (a *Account) ease(number uint64, now int64) {
	c := &a.open[number-a.first]
	if a.likely, c.likely = a.likely-c.likely, 0; c.wrote > 0 {
		a.free(number, now)
	}
}

// free counts a message that its proxy has not answered as one that it gets now, or as late as its way takes: if answers
// are lost it would get no more than its cap of messages for as long as the channel might hold them.
func (a *Account) free(number uint64, now int64) {
	if p := a.proxies[a.open[number-a.first].proxy]; p != nil {
		if k := slices.Index(p.open, number); k >= 0 {
			p.open, p.got = slices.Delete(p.open, k, k+1), append(p.got, now+a.MaxTransit)
		}
	}
}

// sent takes back a message that has left.
func (a *Account) sent(number uint64, now int64) {
	a.free(number, now)
	a.clear(number)
}

// Expire takes back what has waited for so long that it must have left, though nobody has answered.
func (a *Account) Expire(now int64) {
	for k := range a.open {
		c := &a.open[k]
		if now <= c.at+a.MaxTransit+usual*c.span {
			break
		}
		if a.ease(a.first+uint64(k), now); now > c.at+a.MaxTransit+slowest*c.span+lostSpan {
			a.sent(a.first+uint64(k), now)
		}
	}
	a.trim()
}

// trim forgets the oldest messages as far as all of them have left.
func (a *Account) trim() {
	for len(a.open) > 0 && a.open[0].lines == 0 {
		a.open = a.open[1:]
		a.first++
	}
}
