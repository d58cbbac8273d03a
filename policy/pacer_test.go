package policy

import (
	"reflect"
	"testing"

	"lilacbend/control"
)

// addTable adds replicas of weight 1 to table 0. No proxy is bound to the table yet, so nothing is sent over the channel.
func addTable(p *pacer, replicas uint32) {
	step := updateStep{Additions: int(replicas)}
	for replica := range replicas {
		step.Commands = append(step.Commands, control.SetEndpoint{Replica: replica, Weight: 1})
	}
	p.handle(step)
	p.handle(turnEnding{})
}

func TestPacerReportsSentCommands(t *testing.T) {
	policy := newPolicyAt(0)
	p := policy.pacing
	addTable(p, 3)
	wantEqual(t, "reports to binding of commands that reach no proxy", len(queued[messagesSent](policy, bindingComponent)), 0)
	first := queued[messagesSent](policy, updateComponent)[0]
	wantEqual(t, "commands reported to the update", len(first.commands), 3)
	wantEqual(t, "nonce of commands that reach no proxy", first.nonce, uint64(0))
	policy.commands = nil
	p.handle(streamOpened{control.StreamOpened{Proxy: 4, ForecastRate: 1}})
	p.handle(admissionChanged{control.SetAdmission{Class: 1, Fraction: 0.5}})
	p.handle(bindRequested{control.Bind{Proxy: 4}})
	p.handle(replicaExcluded{2})
	step := control.SetEndpoint{Replica: 1, Weight: 2}
	p.handle(updateStep{0, []control.Command{step}})
	p.handle(turnEnding{})
	wantEqual(t, "commands of the turn", reflect.DeepEqual(policy.commands, []control.Command{step, control.SetEjected{Replica: 2, Ejected: true},
		control.SetAdmission{Class: 1, Fraction: 0.5}, control.Bind{Proxy: 4}, control.RequestAck{Nonce: 1}}), true)
	report := messagesSent{1, []int{4}, []control.Command{step}}
	wantEqual(t, "report to binding", reflect.DeepEqual(queued[messagesSent](policy, bindingComponent), []messagesSent{report}), true)
	wantEqual(t, "report to the update", reflect.DeepEqual(queued[messagesSent](policy, updateComponent)[1], report), true)
}

func TestPacerAppliesReceivedMessages(t *testing.T) {
	// cost is the cost of the table, in cost units: endpoints, admission rates, binding, message overhead, nonce.
	const cost = 2*3 + 2 + 1 + 4 + 1
	for _, c := range []struct {
		name     string
		messages []message
		waiting  float64
		bound    bool
	}{
		{"no message", nil, cost, true},
		{"an ack of one proxy", []message{acknowledged{nonce: 1}}, cost, true},
		{"the last outstanding ack", []message{acknowledged{nonce: 1, complete: true}}, 0, true},
		{"the last proxy without an ack disconnects", []message{acknowledged{nonce: 1, complete: true, disconnected: true}}, cost, true},
		{"a stream is closed", []message{streamClosed{control.StreamClosed{Proxy: 4}}}, cost, false},
		{"a replica is evicted", []message{replicaEvicted{2}}, cost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			policy := newPolicyAt(0)
			p := policy.pacing
			addTable(p, 3)
			p.handle(streamOpened{control.StreamOpened{Proxy: 4, ForecastRate: 1}})
			p.handle(bindRequested{control.Bind{Proxy: 4}})
			p.handle(turnEnding{})
			for _, m := range c.messages {
				p.handle(m)
			}
			_, bound := p.sender.Bindings()[4]
			wantEqual(t, "proxy is bound", bound, c.bound)
			wantEqual(t, "cost units in the channel", p.sender.WaitingCostUnits(0), c.waiting)
		})
	}
}

// Warming replicas that must be unejected together wait until the channel has capacity for all of them. In this test it has
// capacity for one.
func TestPacerUnejectsWarmingReplicasTogetherIfRequested(t *testing.T) {
	for together, unejected := range map[bool]int{false: 1, true: 0} {
		settings := testSettings()
		settings.ChannelLimit = 52
		policy := New(settings)
		p := policy.pacing
		addTable(p, 3)
		p.handle(streamOpened{control.StreamOpened{Proxy: 4, ForecastRate: 1}})
		p.handle(bindRequested{control.Bind{Proxy: 4}})
		p.handle(turnEnding{})
		p.handle(warmingReplicas{map[uint32]bool{0: true, 1: true, 2: true}, together})
		step := updateStep{Additions: 3}
		for replica := range uint32(3) {
			step.Commands = append(step.Commands, control.SetEjected{Replica: replica})
		}
		p.handle(step)
		p.handle(turnEnding{})
		wantEqual(t, "number of unejected replicas", len(ofType[control.SetEjected](policy.commands)), unejected)
	}
}

func TestPacerPanicsOnMessagesOfOtherComponents(t *testing.T) {
	defer func() { wantEqual(t, "pacer panics on a message that it does not handle", recover() != nil, true) }()
	newPolicyAt(0).queues[pacingComponent].component.handle(tickStarted{})
}
