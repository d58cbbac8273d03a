package pacing

import (
	"testing"
	"time"

	"lilacbend/control"
)

func TestMessageCapCountsMessagesInTheWindow(t *testing.T) {
	var caps messageCaps
	for second := range 5 {
		caps.record(time.Duration(second)*time.Second, []int{1, second})
	}
	for _, c := range []struct {
		name  string
		now   time.Duration
		proxy int
		want  int
	}{
		{"all messages are in the window", 4 * time.Second, 1, 6},
		{"the first message is at the end of the window", 10 * time.Second, 1, 6},
		{"the first message has left the window", 10*time.Second + 1, 1, 5},
		{"another proxy", 10*time.Second + 1, 0, 0},
		{"all messages have left the window", time.Minute, 1, 0},
		{"a proxy without messages", 0, 7, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertEqual(t, "messages", caps.count(c.now, 10*time.Second, c.proxy), c.want)
		})
	}
}

// A short interruption of a stream must not reset the proxy's message cap: the proxy would get more messages than allowed.
func TestMessageCapIsKeptAcrossStreams(t *testing.T) {
	p := newPacer(func(s *control.Settings) { s.MaxMessages = 10 })
	p.Connected(0, 0)
	for second := time.Duration(11); second <= 19; second++ {
		p.messages.record(second*time.Second, []int{0})
	}
	p.proxies.tables[0] = map[uint32]float64{9: 1}
	p.Disconnected(0)
	p.Connected(0, 0)
	limit := budget{1, urgentMessageFraction}
	p.beginTurn(20 * time.Second)
	assertEqual(t, "sent after reconnecting", p.trySend(control.Bind{Proxy: 0}, limit), false)
	p.beginTurn(22 * time.Second)
	assertEqual(t, "sent once two messages have left the window", p.trySend(control.Bind{Proxy: 0}, limit), true)
}
