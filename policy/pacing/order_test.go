package pacing

import (
	"reflect"
	"testing"
	"time"

	"lilacbend/control"
)

// An ejected replica still has endpoints, whose weights may date from a time when it was warmed up: it must not be unejected
// before these weights are lowered.
func TestReplicaIsNotUnejectedWhileAChangeOfItsWeightIsHeldBack(t *testing.T) {
	p := newPacer(func(s *control.Settings) { s.MaxMessages = 4 })
	for proxy := range 2 {
		p.proxies.bind(proxy, proxy)
		p.proxies.tables[proxy] = map[uint32]float64{1: 1}
	}
	recordMessages(p, 0, 3) // an addition may not use the last message of the cap
	p.SetStep(Step{Additions: 4, Commands: []control.Command{
		control.SetEndpoint{Table: 1, Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.2},
		control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.2}, control.SetEjected{Replica: 1}}})
	sent := p.Send(0)
	assertEqual(t, "unejections", len(commandsOfType[control.SetEjected](sent.Commands)), 0)
	assertEqual(t, "changed weights of the other tables", len(commandsOfType[control.SetEndpoint](sent.Commands)), 2)
}

// If warming replicas are unejected together, a raised weight is sent only after its replica is unejected: weights rise at
// each evaluation, and raised weights that were sent earlier would use up the message caps and the capacity of the channel
// that the unejections need.
func TestRaisedWeightWaitsForTheUnejectionIfWarmingReplicasAreUnejectedTogether(t *testing.T) {
	p := newPacer(func(s *control.Settings) { s.MaxMessages = 4 })
	p.proxies.tables = map[int]map[uint32]float64{0: {1: 0.2}, 1: {1: 0.4}, 2: {}}
	for table := range 3 {
		p.proxies.bind(table, table)
	}
	p.proxies.ejected[1] = true
	p.SetWarming(Warming{UnejectTogether: true})
	recordMessages(p, 2, 3) // the addition to its table is held back, and the unejection with it
	p.SetStep(Step{Additions: 4, Commands: []control.Command{
		control.SetEndpoint{Table: 2, Replica: 1, Weight: 0.3}, control.SetEndpoint{Table: 1, Replica: 1, Weight: 0.3},
		control.SetEjected{Replica: 1}, control.SetEndpoint{Table: 0, Replica: 1, Weight: 0.3}}})
	for _, c := range commandsOfType[control.SetEndpoint](p.Send(0).Commands) {
		if c.Table == 0 {
			t.Errorf("sent %v, which raises the weight of an ejected replica", c)
		}
	}
	p.messages = messageCaps{}
	sent := p.Send(0)
	assertEqual(t, "unejections", len(commandsOfType[control.SetEjected](sent.Commands)), 1)
	assertEqual(t, "commands left in the step", len(p.step.Commands), 0)
}

func TestWarmingReplicasAreUnejectedTogether(t *testing.T) {
	const warming = 12
	full := batch{nonce: 1, units: 100, due: time.Second}
	unejected := func(p *Pacer) int { return len(commandsOfType[control.SetEjected](p.Send(0).Commands)) }
	pacerWithUnejections := func(limit int) *Pacer {
		p := pacerWithTable(10, func(s *control.Settings) { s.ChannelLimit = limit })
		p.warming = Warming{Replicas: map[uint32]bool{}, UnejectTogether: true}
		p.step.Additions = warming
		for replica := range uint32(warming) {
			p.warming.Replicas[replica] = true
			p.proxies.ejected[replica] = true
			p.step.Commands = append(p.step.Commands, control.SetEjected{Replica: replica})
		}
		return p
	}
	t.Run("all are unejected if there is capacity for all", func(t *testing.T) {
		p := pacerWithUnejections(450) // the cost, 120 units and ten message overheads, is less than 0.4 of this limit
		assertEqual(t, "unejected", unejected(p), warming)
	})
	t.Run("none are unejected without capacity for all, then all at once", func(t *testing.T) {
		p := pacerWithUnejections(450)
		p.channel.add(full)
		assertEqual(t, "unejected while the channel is full", unejected(p), 0)
		p.channel = channelAccount{}
		assertEqual(t, "unejected once it is empty", unejected(p), warming)
	})
	t.Run("some are unejected if they need not be unejected together", func(t *testing.T) {
		p := pacerWithUnejections(450)
		p.warming.UnejectTogether = false
		p.channel.add(full)
		assertEqual(t, "some are unejected", unejected(p) > 0, true)
	})
	t.Run("as many are unejected as an empty channel has capacity for", func(t *testing.T) {
		p := pacerWithUnejections(300)
		some := unejected(p)
		assertEqual(t, "some, not all", some > 0 && some < warming, true)
	})
	t.Run("none are unejected while a changed weight of one of them is held back", func(t *testing.T) {
		p := pacerWithUnejections(4000)
		p.settings.MaxMessages = 4
		p.step.Commands = append([]control.Command{control.SetEndpoint{Table: 1, Replica: 3, Weight: 0.1}}, p.step.Commands...)
		p.step.Additions++
		p.proxies.tables[1] = map[uint32]float64{3: 0.5}
		p.proxies.bind(11, 1)
		recordMessages(p, 11, 3)
		assertEqual(t, "unejected", unejected(p), 0)
	})
}

func TestHeldBackCommandDoesNotHoldBackOthers(t *testing.T) {
	p := pacerWithTable(2, func(s *control.Settings) { s.MaxMessages = 4 })
	p.proxies.tables[1] = map[uint32]float64{}
	recordMessages(p, 0, 3)
	p.proxies.bind(1, 1)
	p.SetStep(Step{Additions: 2, Commands: []control.Command{
		control.SetEndpoint{Replica: 1, Weight: 1}, control.SetEndpoint{Table: 1, Replica: 1, Weight: 1}}})
	sent := p.Send(0)
	assertEqual(t, "sent commands of the step", len(sent.StepCommands), 1)
	assertEqual(t, "table of the sent endpoint", sent.StepCommands[0].(control.SetEndpoint).Table, 1)
	assertEqual(t, "commands left in the step", len(p.step.Commands), 1)
}

func TestOnlyAdditionsAreSentWhileAnAckIsOverdue(t *testing.T) {
	p := pacerWithTable(2, nil)
	p.channel.add(batch{nonce: 1, units: 10, due: time.Second})
	p.SetStep(Step{Additions: 1, Commands: []control.Command{
		control.SetEndpoint{Replica: 1, Weight: 1}, control.SetEndpoint{Replica: 2, Weight: 0.5}}})
	sent := commandsOfType[control.SetEndpoint](p.Send(20 * time.Second).Commands)
	assertEqual(t, "sent commands", len(sent), 1)
	assertEqual(t, "replica of the addition", sent[0].Replica, uint32(1))
}

func TestTurnSendsStepThenUrgentThenNonce(t *testing.T) {
	p := pacerWithTable(1, nil)
	p.Connected(1, 1)
	p.Bind(control.Bind{Proxy: 1})
	p.SetAdmission(control.SetAdmission{Class: 1, Fraction: 0.5})
	p.Eject(5)
	p.Eject(6)
	p.SetStep(Step{Commands: []control.Command{control.SetEndpoint{Replica: 1, Weight: 2}}})
	sent := p.Send(0)
	want := []control.Command{control.SetEndpoint{Replica: 1, Weight: 2}, control.SetEjected{Replica: 6, Ejected: true},
		control.SetEjected{Replica: 5, Ejected: true}, control.Bind{Proxy: 1},
		control.SetAdmission{Class: 1, Fraction: 0.5}, control.RequestAck{Nonce: 1}}
	assertEqual(t, "commands", reflect.DeepEqual(sent.Commands, want), true)
	assertEqual(t, "commands of the step", reflect.DeepEqual(sent.StepCommands, want[:1]), true)
	assertEqual(t, "proxies", reflect.DeepEqual(sent.Proxies, []int{0, 1}), true)
	assertEqual(t, "nonce", sent.Nonce, uint64(1))
}

func TestNoAckIsRequestedWhereNoProxyIsReached(t *testing.T) {
	p := newPacer(nil)
	p.SetStep(Step{Additions: 1, Commands: []control.Command{control.SetEndpoint{Replica: 1, Weight: 1}}})
	sent := p.Send(0)
	assertEqual(t, "commands", len(sent.Commands), 1)
	assertEqual(t, "nonce", sent.Nonce, uint64(0))
	assertEqual(t, "waiting cost units", p.WaitingCostUnits(0), 0.0)
}

func TestNonceOfACommandIsMasked(t *testing.T) {
	p := pacerWithTable(1, nil)
	p.nonce = NonceMask
	p.Eject(1)
	sent := p.Send(0)
	assertEqual(t, "nonce", sent.Nonce, uint64(NonceMask+1))
	assertEqual(t, "masked nonce in the command", commandsOfType[control.RequestAck](sent.Commands)[0].Nonce, uint64(0))
}

func TestProxyIsNotBoundBeforeItsTableHasEndpoints(t *testing.T) {
	p := pacerWithTable(1, nil)
	table := p.proxies.tables[0]
	p.proxies.tables[0] = nil
	p.Bind(control.Bind{Proxy: 0, Table: 0})
	p.Bind(control.Bind{Proxy: 99, Table: 0}) // proxy 99 has never connected
	assertEqual(t, "binds while the table has no endpoint", len(commandsOfType[control.Bind](p.Send(0).Commands)), 0)
	assertEqual(t, "queued commands, without the bind of the proxy that is not connected", p.urgent.len(), 1)
	p.proxies.tables[0] = table
	assertEqual(t, "binds once the table has endpoints", len(commandsOfType[control.Bind](p.Send(0).Commands)), 1)
}
