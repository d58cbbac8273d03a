package controlserver

import (
	"io"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/controller"
	"lilacbend/internal/ratelimit"
)

// A peer sends messages as fast as it can. It is read no faster than its role needs, so that its messages neither take the
// processor from other peers nor collect without end, and a health check of another peer is answered meanwhile.
func TestPeerThatFloodsIsHeldBack(t *testing.T) {
	const (
		messages = 20_000
		observed = 300 * time.Millisecond
		demand   = "demand id 17 lane lookup count 19 fail 0 over 1000.0"
	)
	topology := newTestServer(100).topology.Load()
	for _, c := range []struct {
		name, join, message string
		rate                ratelimit.Rate
		events              bool // each message results in an input of the core
	}{
		{"reports of demand", "hello id 17 site a rps 2 new 1", demand, topology.ProxyRate(), true},
		{"unusable messages", "hello id 17 site a rps 2 new 1", "unusable", topology.ProxyRate(), true},
		{"health checks", "hello id 17 site a rps 2 new 1", "probe", topology.ProxyRate(), false},
		{"reports of demand by a collector", "agent site a", demand, topology.CollectorDemandRate(), true},
		{"health checks without a join", "probe", "probe", controller.UnidentifiedRate, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(100)
			address := serve(t, s)
			other := scriptedpeer.Dial(t, address)
			other.Send("hello id 3 site a rps 2 new 1")
			receive(t, s, 1)
			start := time.Now()
			flooding := scriptedpeer.Dial(t, address)
			flooding.Send(c.join)
			go flooding.Write([]byte(strings.Repeat(scriptedpeer.EncodeMessage(c.message), messages)))
			go io.Copy(io.Discard, flooding.Reader)
			scriptedpeer.WaitFor(t, "the peer is not held back", func() bool { return s.queues.Counters.PeersHeldBack.Load() == 1 })
			time.Sleep(observed)
			handled := int(s.queues.Counters.HealthChecks.Load())
			if c.events {
				handled = len(s.queues.Drain())
			}
			most := c.rate.Burst + c.rate.PerSecond*time.Since(start).Seconds() + 2
			if float64(handled) > most || float64(handled) < c.rate.Burst {
				t.Errorf("%d messages were handled within %v, want between %.0f and %.0f", handled, time.Since(start), c.rate.Burst, most)
			}
			other.Send("probe")
			other.WaitForMessage("alive")
		})
	}
}
