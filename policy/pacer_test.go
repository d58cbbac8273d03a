package policy

import (
	"reflect"
	"testing"

	"lilacbend/control"
)

// addTable has table 0 filled with replicas of weight 1. No proxy is bound to it yet, so nothing waits in the channel for it.
func addTable(p *pacer, replicas uint32) {
	step := updateStep{Additions: int(replicas)}
	for replica := range replicas {
		step.Commands = append(step.Commands, control.SetEndpoint{Replica: replica, Weight: 1})
	}
	p.handle(step)
	p.handle(turnEnding{})
}

func TestPacerReportsWhatItHasSent(t *testing.T) {
	g := newPolicyAt(0)
	p := g.pacing
	addTable(p, 3)
	wantEqual(t, "reports to bindings where no proxy is concerned", len(queued[messagesSent](g, bindingComponent)), 0)
	first := queued[messagesSent](g, updateComponent)[0]
	wantEqual(t, "commands", len(first.commands), 3)
	wantEqual(t, "nonce", first.nonce, uint64(0))
	g.commands = nil
	p.handle(streamOpened{control.StreamOpened{Proxy: 4, Rate: 1}})
	p.handle(admissionChanged{control.SetAdmission{Class: 1, Fraction: 0.5}})
	p.handle(bindRequested{control.Bind{Proxy: 4}})
	p.handle(replicaExcluded{2})
	step := control.SetEndpoint{Replica: 1, Weight: 2}
	p.handle(updateStep{0, []control.Command{step}})
	p.handle(turnEnding{})
	wantEqual(t, "commands", reflect.DeepEqual(g.commands, []control.Command{step, control.SetEjected{Replica: 2, Ejected: true},
		control.SetAdmission{Class: 1, Fraction: 0.5}, control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}), true)
	report := messagesSent{1, []int{4}, []control.Command{step}}
	wantEqual(t, "report to bindings", reflect.DeepEqual(queued[messagesSent](g, bindingComponent), []messagesSent{report}), true)
	wantEqual(t, "report to the update", reflect.DeepEqual(queued[messagesSent](g, updateComponent)[1], report), true)
}

func TestPacerPassesOnWhatItReceives(t *testing.T) {
	const cost = 2*3 + 2 + 1 + 4 + 1 // of the table: endpoints, admission rates, binding, message overhead, nonce
	for _, c := range []struct {
		name    string
		receive []message
		waiting float64
		bound   bool
	}{
		{"nothing", nil, cost, true},
		{"an ack of one proxy", []message{acknowledged{nonce: 1}}, cost, true},
		{"the last ack", []message{acknowledged{nonce: 1, complete: true}}, 0, true},
		{"the last proxy is gone", []message{acknowledged{nonce: 1, complete: true, disconnected: true}}, cost, true},
		{"a stream is closed", []message{streamClosed{control.StreamClosed{Proxy: 4}}}, cost, false},
		{"a replica is forgotten", []message{replicaEvicted{2}}, cost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newPolicyAt(0)
			p := g.pacing
			addTable(p, 3)
			p.handle(streamOpened{control.StreamOpened{Proxy: 4, Rate: 1}})
			p.handle(bindRequested{control.Bind{Proxy: 4}})
			p.handle(turnEnding{})
			for _, m := range c.receive {
				p.handle(m)
			}
			_, bound := p.sender.Bindings()[4]
			wantEqual(t, "bound", bound, c.bound)
			wantEqual(t, "waiting", p.sender.Waiting(0), c.waiting)
		})
	}
}

// Warming replicas that are to be unejected together wait until the channel has capacity for all. Here it has for one.
func TestPacerReceivesWhichReplicasAreWarming(t *testing.T) {
	for together, unejected := range map[bool]int{false: 1, true: 0} {
		settings := testSettings()
		settings.ChannelLimit = 52
		g := New(settings)
		p := g.pacing
		addTable(p, 3)
		p.handle(streamOpened{control.StreamOpened{Proxy: 4, Rate: 1}})
		p.handle(bindRequested{control.Bind{Proxy: 4}})
		p.handle(turnEnding{})
		p.handle(warmingReplicas{map[uint32]bool{0: true, 1: true, 2: true}, together})
		step := updateStep{Additions: 3}
		for replica := range uint32(3) {
			step.Commands = append(step.Commands, control.SetEjected{Replica: replica})
		}
		p.handle(step)
		p.handle(turnEnding{})
		wantEqual(t, "unejected", len(ofType[control.SetEjected](g.commands)), unejected)
	}
}

func TestPacerRefusesMessagesOfOthers(t *testing.T) {
	defer func() { wantEqual(t, "panics", recover() != nil, true) }()
	newPolicyAt(0).queues[pacingComponent].component.handle(tickStarted{})
}
