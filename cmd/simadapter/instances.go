package main

import (
	"fmt"
	"maps"
	"slices"

	"lilacbend/control"
	"lilacbend/internal/simwire"
	"lilacbend/policy"
	"lilacbend/settings"
)

// instances are the running controllers, by instance number. They share nothing but the reply.
type instances struct {
	running map[uint32]*policy.Policy
	reply   simwire.Reply
}

func newInstances() *instances { return &instances{running: map[uint32]*policy.Policy{}} }

// handle passes each instance its events of a batch, in the order of the instances' numbers, so that the reply does not
// depend on the iteration order of a map.
func (s *instances) handle(batch simwire.Batch) {
	events := map[uint32][]simwire.Event{}
	for _, record := range batch.Records {
		events[record.Instance] = append(events[record.Instance], record.Event)
	}
	for _, id := range slices.Sorted(maps.Keys(events)) {
		s.handleInstance(id, batch.Now, events[id])
	}
}

// handleInstance passes an instance its events and adds its commands to the reply. If the instance panics, it is ended and a
// fault is added to the reply.
func (s *instances) handleInstance(id uint32, now int64, events []simwire.Event) {
	defer func() {
		if v := recover(); v != nil {
			delete(s.running, id)
			s.reply.Fault(id, fmt.Sprintf("the module failed: %v", v))
		}
	}()
	var inputs []control.Event
	for _, event := range events {
		switch e := event.(type) {
		case simwire.Killed:
			delete(s.running, id)
			inputs = nil
		case simwire.Configure:
			err := s.start(id, e)
			if err != nil {
				s.reply.Fault(id, "cannot start: "+err.Error())
				return
			}
			inputs = nil
		case simwire.Input:
			inputs = append(inputs, e.Event)
		default:
			panic(fmt.Sprintf("unknown event %T", event))
		}
	}
	instance := s.running[id]
	if instance == nil {
		return
	}
	for _, command := range instance.Turn(now, inputs) {
		s.reply.Add(id, command)
	}
}

// start starts an instance and replaces one of the same number that is running. After an error no instance of that number
// runs.
func (s *instances) start(id uint32, configure simwire.Configure) error {
	delete(s.running, id)
	decoded, err := settings.ParseLines(configure.Text).Decode(configure.Seed)
	if err != nil {
		return err
	}
	s.running[id] = policy.New(decoded)
	return nil
}
