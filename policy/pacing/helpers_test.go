package pacing

import (
	"testing"
	"time"

	"lilacbend/control"
)

const testTickInterval = 250 * time.Millisecond

// testSettings returns settings without a drain grace and message caps, for a controller that does not queue commands.
func testSettings() control.Settings {
	return control.Settings{Controllers: 1, Zones: 2, HardwareClasses: 1, Proxies: 6, ChannelRate: 1000, ChannelLimit: 400,
		MessageOverhead: 4, MaxTransit: int64(time.Second / 2), MessageWindow: int64(10 * time.Second),
		Classes: make([]control.TrafficClass, 2)}
}

// newPacer returns a Pacer without proxies, with testSettings as modified by change.
func newPacer(change func(*control.Settings)) *Pacer {
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	return New(&settings, testTickInterval)
}

// pacerWithTable returns a Pacer whose table 0 has 20 replicas of weight 1 and the given number of proxies bound to it.
func pacerWithTable(proxies int, change func(*control.Settings)) *Pacer {
	p := newPacer(change)
	for proxy := range proxies {
		p.proxies.bind(proxy, 0)
	}
	p.proxies.tables[0] = equalWeights(20)
	return p
}

func equalWeights(replicas uint32) map[uint32]float64 {
	weights := map[uint32]float64{}
	for replica := range replicas {
		weights[replica] = 1
	}
	return weights
}

// recordMessages records a number of messages to a proxy at time 0.
func recordMessages(p *Pacer, proxy, messages int) {
	for range messages {
		p.messages.record(0, []int{proxy})
	}
}

// commandsOfType returns the commands of one type.
func commandsOfType[T control.Command](commands []control.Command) []T {
	var matching []T
	for _, command := range commands {
		if c, ok := command.(T); ok {
			matching = append(matching, c)
		}
	}
	return matching
}

func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
