package policy

import (
	"time"

	"lilacbend/policy/pacing"
)

// pacer is the component that sends the commands to the proxies. See package pacing for the rules.
type pacer struct {
	*sharedState
	sender *pacing.Pacer
}

func newPacer(shared *sharedState) *pacer {
	return &pacer{sharedState: shared, sender: pacing.New(&shared.Settings, time.Duration(maxTickInterval))}
}

func (p *pacer) handle(m message) {
	switch m := m.(type) {
	case replicaExcluded:
		p.sender.Eject(m.replica)
	case bindRequested:
		p.sender.Bind(m.Bind)
	case admissionChanged:
		p.sender.SetAdmission(m.SetAdmission)
	case streamOpened:
		p.sender.Connected(m.Proxy, m.ForecastRate)
	case streamClosed:
		p.sender.Disconnected(m.Proxy)
	case replicaEvicted:
		p.sender.RemoveReplica(m.replica)
	case warmingReplicas:
		p.sender.SetWarming(pacing.Warming(m))
	case updateStep:
		p.sender.SetStep(pacing.Step(m))
	case acknowledged:
		p.acknowledge(m)
	case turnEnding:
		p.send()
	default:
		unexpected(p, m)
	}
}

func (p *pacer) acknowledge(m acknowledged) {
	if m.disconnected {
		p.sender.NonceAbandoned(m.nonce)
		return
	}
	p.sender.Acknowledged(time.Duration(p.now), m.nonce, m.complete)
}

// send sends the turn's commands and reports them to the update, and to binding if an ack is requested.
func (p *pacer) send() {
	sent := p.sender.Send(time.Duration(p.now))
	p.commands = append(p.commands, sent.Commands...)
	report := messagesSent{nonce: sent.Nonce, proxies: sent.Proxies, commands: sent.StepCommands}
	if len(sent.Proxies) > 0 {
		p.enqueue(bindingComponent, report)
	}
	p.enqueue(updateComponent, report)
}
