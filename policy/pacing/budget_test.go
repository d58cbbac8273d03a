package pacing

import (
	"math"
	"testing"
	"time"

	"lilacbend/control"
)

func TestOrdinaryCommandsLeaveCapacityForEjections(t *testing.T) {
	p := pacerWithTable(10, nil)
	for replica := range uint32(200) {
		p.step.Commands = append(p.step.Commands, control.SetEndpoint{Replica: replica, Weight: 1})
	}
	p.Eject(5)
	sent := p.Send(0)
	assertEqual(t, "ejections", len(commandsOfType[control.SetEjected](sent.Commands)), 1)
	assertEqual(t, "some changed weights are sent", len(commandsOfType[control.SetEndpoint](sent.Commands)) > 0, true)
	if waiting := p.WaitingCostUnits(0); waiting > urgentChannelFraction*400 {
		t.Errorf("%v cost units wait in the channel, want at most %v", waiting, urgentChannelFraction*400)
	}
	assertEqual(t, "commands while the ack is missing", len(p.Send(0).Commands), 0)
	p.Acknowledged(0, sent.Nonce, true)
	assertEqual(t, "some commands are sent after the ack", len(p.Send(0).Commands) > 0, true)
}

func TestMessageCapKeepsCapacityForUrgentMessages(t *testing.T) {
	p := pacerWithTable(1, func(s *control.Settings) {
		s.MaxMessages = 10
		s.ChannelLimit = 1 << 20
	})
	weights := 0
	for k := range 20 {
		p.SetStep(Step{Commands: []control.Command{control.SetEndpoint{Replica: 1, Weight: float64(k + 1)}}})
		weights += len(commandsOfType[control.SetEndpoint](p.Send(0).Commands))
	}
	assertEqual(t, "changed weights", weights, int(ordinaryMessageFraction*10))
	for replica := range uint32(20) {
		p.Eject(replica)
		p.Send(0)
	}
	messages := len(p.messages.sent[0])
	assertEqual(t, "messages are within the cap", messages <= 10, true)
	assertEqual(t, "messages are more than additions may use", float64(messages) > additionMessageFraction*10, true)
}

func TestBudgetAdmitsUpToItsFractions(t *testing.T) {
	for _, c := range []struct {
		name                  string
		limit                 budget
		waiting, sent         float64
		units                 float64
		messages              int
		reached, hasRecipient bool
		want                  bool
	}{
		{name: "channel exactly at the limit", limit: budget{0.5, 1}, waiting: 100, sent: 50, units: 50, hasRecipient: true, want: true},
		{name: "channel above the limit", limit: budget{0.5, 1}, waiting: 100, sent: 50, units: 51, hasRecipient: true, want: false},
		{name: "channel above the limit, unlimited budget", limit: unlimited, waiting: 1e9, hasRecipient: true, want: true},
		{name: "channel above the limit, command without recipients", limit: budget{0.5, 1}, waiting: 1e9, want: true},
		{name: "last message of the cap", limit: budget{1, 0.5}, messages: 4, hasRecipient: true, want: true},
		{name: "cap used up", limit: budget{1, 0.5}, messages: 5, hasRecipient: true, want: false},
		{name: "cap used up, proxy gets a message in this turn anyway", limit: budget{1, 0.5}, messages: 5, reached: true, hasRecipient: true, want: true},
		{name: "cap used up, unlimited budget", limit: unlimited, messages: 50, hasRecipient: true, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPacer(func(s *control.Settings) { s.MaxMessages = 10 })
			p.beginTurn(0)
			p.turn.waiting = c.waiting
			p.turn.units = c.sent
			p.turn.reached[3] = c.reached
			recordMessages(p, 3, c.messages)
			cost := commandCost{units: c.units}
			if c.hasRecipient {
				cost.recipients = []int{3}
			}
			assertEqual(t, "admitted", p.admits(cost, c.limit), c.want)
		})
	}
}

func TestUnlimitedBudgetAdmitsWhereTheChannelHasNoLimit(t *testing.T) {
	p := newPacer(func(s *control.Settings) { s.ChannelLimit = 0 })
	p.beginTurn(0)
	cost := commandCost{recipients: []int{1}, units: 5}
	assertEqual(t, "admitted with the unlimited budget", p.admits(cost, unlimited), true)
	assertEqual(t, "admitted with the urgent budget", p.admits(cost, urgentBudget), false)
	assertEqual(t, "fraction sent within a second", p.fractionSentWithin(time.Second), 0.0)
}

func TestLateAcksShrinkTheOrdinaryBudget(t *testing.T) {
	for lateness, want := range map[float64]float64{0: 0.4, 0.5: 0.4, 1: 0.4, 2: 0.2, 8: 0.05} {
		p := newPacer(nil)
		p.channel.lateness = lateness
		assertEqual(t, "channel fraction", p.ordinaryBudget().channel, want)
	}
}

func TestUrgentBudgetDependsOnWhetherTheControllerQueuesCommands(t *testing.T) {
	ejection := control.SetEjected{Replica: 1, Ejected: true}
	for _, c := range []struct {
		name    string
		queues  bool
		command control.Command
		want    budget
	}{
		{"ejection", false, ejection, urgentBudget},
		{"ejection, controller queues commands", true, ejection, unlimited},
		{"admission rate", false, control.SetAdmission{}, urgentBudget},
		{"admission rate, controller queues commands", true, control.SetAdmission{}, urgentBudget},
		{"bind without a drain grace", false, control.Bind{}, urgentBudget},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPacer(func(s *control.Settings) { s.ControllerQueues = c.queues })
			assertEqual(t, "budget", p.budgetOfUrgent(c.command), c.want)
		})
	}
}

func TestFirstBindsMayUseWhatHalfOfTheGraceSends(t *testing.T) {
	const second = int64(time.Second)
	for _, c := range []struct {
		name   string
		grace  int64
		queues bool
		want   float64
	}{
		{"no grace is known", 0, false, urgentChannelFraction},
		{"controller queues commands", 4 * second, true, urgentChannelFraction},
		{"half of the grace sends less than ordinary commands may use", second, false, ordinaryChannelFraction},
		{"half of the grace, less the transit", 4 * second, false, 0.75}, // 1500 of 2000 units
		{"half of the grace sends more than urgent commands may use", 40 * second, false, urgentChannelFraction},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPacer(func(s *control.Settings) {
				s.ChannelLimit = 2000
				s.DrainGrace = c.grace
				s.ControllerQueues = c.queues
			})
			assertEqual(t, "fraction", p.firstBindFraction(), c.want)
		})
	}
}

func TestGraceFractionNeedsAGraceAndAControllerThatQueuesCommands(t *testing.T) {
	const second = int64(time.Second)
	for _, c := range []struct {
		name   string
		grace  int64
		queues bool
		want   float64
	}{
		{"no grace, controller does not queue commands", 0, false, 0},
		{"grace, controller does not queue commands", 4 * second, false, 0},
		{"no grace, controller queues commands", 0, true, 0},
		{"grace shorter than the transit", second / 4, true, 0},
		{"grace, controller queues commands", 5 * second / 2, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPacer(func(s *control.Settings) {
				s.ChannelLimit = 2000
				s.DrainGrace = c.grace
				s.ControllerQueues = c.queues
			})
			assertEqual(t, "fraction", p.graceFraction(), c.want)
		})
	}
}

func TestFitTogetherCountsEachMessageOverheadOnce(t *testing.T) {
	p := pacerWithTable(2, nil)
	p.beginTurn(0)
	p.turn.waiting = 10
	commands := []control.Command{control.SetEndpoint{Replica: 1, Weight: 1}, control.SetEndpoint{Replica: 2, Weight: 1}}
	const units = 10 + 2*(5+2) // two proxies, each with the overhead, a nonce and two endpoints
	assertEqual(t, "fit exactly", p.fitTogether(commands, units/400.0), true)
	assertEqual(t, "fit into slightly less", p.fitTogether(commands, math.Nextafter(units/400.0, 0)), false)
}
