package pacing

import (
	"slices"

	"lilacbend/control"
	"lilacbend/policy/internal/renumber"
)

// urgentQueue holds the commands that must not wait for the update: first ejections, the latest one first; then first binds
// and admission rates, in the order in which they were added.
type urgentQueue struct {
	commands []control.Command
}

func (q *urgentQueue) len() int { return len(q.commands) }

func (q *urgentQueue) add(command control.Command) { q.commands = append(q.commands, command) }

// eject adds an ejection at the head of the queue.
func (q *urgentQueue) eject(replica uint32) {
	var ejection control.Command = control.SetEjected{Replica: replica, Ejected: true}
	q.commands = slices.Insert(q.commands, 0, ejection)
}

// cancelEjection removes the ejections of a replica that is unejected now: if they were sent later, they would undo the
// unejection.
func (q *urgentQueue) cancelEjection(replica uint32) {
	ejection := control.SetEjected{Replica: replica, Ejected: true}
	q.commands = slices.DeleteFunc(q.commands, func(command control.Command) bool {
		return command == control.Command(ejection)
	})
}

func (q *urgentQueue) cancelBinds() { q.commands = withoutBinds(q.commands) }

// withoutBinds removes all binds from a list of commands.
func withoutBinds(commands []control.Command) []control.Command {
	return slices.DeleteFunc(commands, func(command control.Command) bool {
		_, ok := command.(control.Bind)
		return ok
	})
}

// renumberClasses replaces the class numbers of the admission rates, and drops the rates of traffic classes that no longer
// exist.
func (q *urgentQueue) renumberClasses(newClasses []int) {
	var kept []control.Command
	for _, command := range q.commands {
		admission, ok := command.(control.SetAdmission)
		if !ok {
			kept = append(kept, command)
			continue
		}
		if class, ok := renumber.Lookup(newClasses, admission.Class); ok {
			admission.Class = class
			kept = append(kept, admission)
		}
	}
	q.commands = kept
}
