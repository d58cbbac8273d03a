package pacing

import (
	"slices"
	"time"
)

// messageCaps counts the messages to each proxy, as Settings.MaxMessages limits how many messages a proxy accepts within
// Settings.MessageWindow. The count is kept across streams: a proxy's cap is not reset when it reconnects.
type messageCaps struct {
	sent map[int][]time.Duration // by proxy: when each message was sent
}

// record counts a message to each of the proxies.
func (m *messageCaps) record(now time.Duration, recipients []int) {
	if m.sent == nil {
		m.sent = map[int][]time.Duration{}
	}
	for _, proxy := range recipients {
		m.sent[proxy] = append(m.sent[proxy], now)
	}
}

// count returns how many messages a proxy was sent within the window.
func (m *messageCaps) count(now, window time.Duration, proxy int) int {
	if len(m.sent[proxy]) == 0 {
		return 0
	}
	m.sent[proxy] = slices.DeleteFunc(m.sent[proxy], func(sent time.Duration) bool { return now-sent > window })
	return len(m.sent[proxy])
}
