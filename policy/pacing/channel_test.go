package pacing

import (
	"testing"
	"time"

	"lilacbend/control"
)

// threeBatches returns an account with three batches of 10, 20 and 30 units, which are due after 1, 2 and 3 seconds.
func threeBatches() *channelAccount {
	c := &channelAccount{}
	for k := range 3 {
		c.add(batch{nonce: uint64(k + 1), units: float64(10 * (k + 1)), due: time.Duration(k+1) * time.Second})
	}
	return c
}

func TestAckClearsAllEarlierBatches(t *testing.T) {
	for _, c := range []struct {
		name  string
		nonce uint64
		all   bool
		want  float64
	}{
		{"first nonce by one proxy", 1, false, 60},
		{"first nonce by all", 1, true, 50},
		{"last nonce by one proxy", 3, false, 30},
		{"last nonce by all", 3, true, 0},
		{"nonce before all batches", 0, true, 60},
		{"nonce after all batches", 9, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			account := threeBatches()
			account.acknowledge(time.Second, c.nonce, c.all)
			assertEqual(t, "waiting cost units", account.waiting(time.Second), c.want)
		})
	}
}

func TestOverdueBatchIsLost(t *testing.T) {
	for _, c := range []struct {
		name     string
		orphaned uint64
		now      time.Duration
		want     float64
	}{
		{"overdue by lostAfter", 0, time.Minute/2 + time.Second, 60},
		{"overdue by more than lostAfter", 0, time.Minute/2 + time.Second + 1, 50},
		{"orphaned, not yet overdue", 1, time.Second, 60},
		{"orphaned, overdue", 1, time.Second + 1, 50},
		{"a later batch is orphaned, overdue", 2, 2*time.Second + 1, 40},
		{"an unknown nonce is orphaned", 9, 3*time.Second + 1, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			account := threeBatches()
			account.abandon(c.orphaned)
			assertEqual(t, "waiting cost units", account.waiting(c.now), c.want)
		})
	}
}

func TestChannelIsOverdueWithItsOldestBatch(t *testing.T) {
	account := threeBatches()
	assertEqual(t, "overdue when the oldest batch is due", account.overdue(time.Second), false)
	assertEqual(t, "overdue after the oldest batch was due", account.overdue(time.Second+1), true)
	account.acknowledge(time.Second, 1, true)
	assertEqual(t, "overdue once the oldest batch is acknowledged", account.overdue(2*time.Second), false)
	assertEqual(t, "overdue without batches", (&channelAccount{}).overdue(time.Hour), false)
}

func TestLatenessIsThatOfTheLastBatchCleared(t *testing.T) {
	account := threeBatches()
	assertEqual(t, "before any ack", account.latenessFactor(), 1.0)
	account.acknowledge(time.Second/2, 1, true)
	assertEqual(t, "after an early ack", account.latenessFactor(), 1.0)
	account.acknowledge(9*time.Second, 3, true)
	assertEqual(t, "after an ack that took three times as long as expected", account.latenessFactor(), 3.0)
}

func TestBatchIsDueAfterEarlierBatchesAreSent(t *testing.T) {
	p := pacerWithTable(2, nil)
	p.channel.add(batch{nonce: 1, units: 100, due: time.Hour})
	p.nonce = 1
	p.Eject(3)
	p.Send(time.Second)
	const units = 100 + 2*(4+1+1) // a message overhead, a nonce and an ejection to each of two proxies
	sent := p.channel.outstanding[1]
	assertEqual(t, "units", sent.units, units-100.0)
	assertEqual(t, "due", sent.due, time.Second+testTickInterval+time.Second/2+units*time.Millisecond)
}

func TestEjectionWaitsOnlyForProxiesThatHoldAnEndpoint(t *testing.T) {
	p := pacerWithTable(2, nil)
	p.proxies.tables[1] = map[uint32]float64{99: 1}
	p.proxies.bind(1, 1)
	p.Eject(99)
	sent := p.Send(0)
	assertEqual(t, "reaches only the proxy that holds an endpoint", len(sent.Proxies) == 1 && sent.Proxies[0] == 1, true)
	lost := p.channel.outstanding[0].due + lostAfter + 1
	assertEqual(t, "waiting cost units once the batch counts as lost", p.WaitingCostUnits(lost), 0.0)
}

// Messages to proxies that have disconnected may still wait in the channel.
func TestDisconnectingClearsNothingFromTheChannel(t *testing.T) {
	p := pacerWithTable(1, nil)
	p.Connected(1, 1)
	p.Bind(control.Bind{Proxy: 1})
	sent := p.Send(0)
	units := p.WaitingCostUnits(0)
	assertEqual(t, "cost units wait", units > 0, true)
	p.Disconnected(1)
	p.NonceAbandoned(sent.Nonce)
	assertEqual(t, "waiting cost units", p.WaitingCostUnits(0), units)
}
