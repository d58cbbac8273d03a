package pacing

import (
	"reflect"
	"testing"

	"lilacbend/control"
)

func TestLateEjectionDoesNotUndoAnUnejection(t *testing.T) {
	p := pacerWithTable(1, nil)
	p.Eject(5)
	p.SetStep(Step{Additions: 1, Commands: []control.Command{control.SetEjected{Replica: 5}}})
	got := commandsOfType[control.SetEjected](p.Send(0).Commands)
	assertEqual(t, "commands", reflect.DeepEqual(got, []control.SetEjected{{Replica: 5}}), true)
}

func TestUrgentQueueDropsOnlyObsoleteCommands(t *testing.T) {
	ejection := control.SetEjected{Replica: 5, Ejected: true}
	bind := control.Bind{Proxy: 1, Table: 2}
	admission := func(class int) control.Command { return control.SetAdmission{Class: class, Fraction: 0.5} }
	for _, c := range []struct {
		name   string
		change func(*urgentQueue)
		want   []control.Command
	}{
		{"no change", func(*urgentQueue) {}, []control.Command{ejection, bind, admission(0), admission(1)}},
		{"another ejection comes first", func(q *urgentQueue) { q.eject(6) },
			[]control.Command{control.SetEjected{Replica: 6, Ejected: true}, ejection, bind, admission(0), admission(1)}},
		{"ejection cancelled", func(q *urgentQueue) { q.cancelEjection(5) }, []control.Command{bind, admission(0), admission(1)}},
		{"ejection of another replica cancelled", func(q *urgentQueue) { q.cancelEjection(6) },
			[]control.Command{ejection, bind, admission(0), admission(1)}},
		{"binds cancelled", func(q *urgentQueue) { q.cancelBinds() }, []control.Command{ejection, admission(0), admission(1)}},
		{"classes renumbered, one class no longer exists", func(q *urgentQueue) { q.renumberClasses([]int{-1, 0}) },
			[]control.Command{ejection, bind, admission(0)}},
		{"new numbers for only some of the classes", func(q *urgentQueue) { q.renumberClasses([]int{3}) },
			[]control.Command{ejection, bind, admission(3)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := urgentQueue{commands: []control.Command{ejection, bind, admission(0), admission(1)}}
			c.change(&q)
			if !reflect.DeepEqual(q.commands, c.want) {
				t.Errorf("got %v, want %v", q.commands, c.want)
			}
		})
	}
}

func TestRenumberingKeepsAdmissionRatesOfKnownClasses(t *testing.T) {
	p := pacerWithTable(1, nil)
	for class := range 3 {
		p.SetAdmission(control.SetAdmission{Class: class, Fraction: 0.5})
	}
	p.Send(0)
	assertEqual(t, "number of classes with an admission rate", p.proxies.limitedClassCount(), 3)
	p.RenumberClasses([]int{1, -1, 0})
	assertEqual(t, "classes with an admission rate after renumbering", reflect.DeepEqual(p.proxies.limitedClasses, map[int]bool{0: true, 1: true}), true)
}

func TestCancelledBindsAreNotSent(t *testing.T) {
	p := pacerWithTable(2, nil)
	p.Bind(control.Bind{Proxy: 0, Table: 0})
	p.SetStep(Step{Commands: []control.Command{control.Bind{Proxy: 1, Table: 0}, control.SetEndpoint{Replica: 1, Weight: 2}}})
	p.CancelBinds()
	sent := p.Send(0)
	assertEqual(t, "binds", len(commandsOfType[control.Bind](sent.Commands)), 0)
	assertEqual(t, "endpoints", len(commandsOfType[control.SetEndpoint](sent.Commands)), 1)
}
