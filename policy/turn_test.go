package policy

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"testing"

	"lilacbend/control"
)

func TestEventsWithUnknownNumbersAddNoUnknownEndpoints(t *testing.T) {
	unusual := []control.Event{control.OutcomeReport{Replica: 77, Attempts: 9, Failures: 9}, control.OutcomeReport{Replica: 1},
		control.StreamClosed{Proxy: 88}, control.DemandReport{Class: 9, Proxy: 99}, control.Ack{Proxy: 99, Nonce: 4},
		control.Ack{Proxy: 1, Nonce: 60000}, control.HealthCheckFinished{Replica: 77}, control.ReplicasListed{Failed: true},
		control.ReplicasListed{Full: true}, control.ReplicasListed{}, control.StreamOpened{Proxy: 50, Zone: 200},
		control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 3, Zone: 99, HardwareClass: 9}}}}
	commands := playEvents(unusual...)
	for _, command := range ofType[control.SetEndpoint](commands) {
		wantEqual(t, "endpoint is a listed replica", command.Replica >= 1 && command.Replica <= 6, true)
	}
	wantEqual(t, "number of binds", len(ofType[control.Bind](commands)), 7)
	wantEqual(t, "same commands for the same events", reflect.DeepEqual(commands, playEvents(unusual...)), true)
}

func TestEvictedReplicaStaysEjectedAndItsQueueIsReused(t *testing.T) {
	p := New(testSettings())
	p.Turn(0, []control.Event{control.ReplicasListed{Full: true, Entries: readyReplicas(3)}, control.StreamOpened{Proxy: 1}})
	p.Turn(second, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 2, State: control.Gone}}}})
	commands := p.Turn(2*second+evictAfter, []control.Event{control.TimerFired{}})
	commands = append(commands, p.Turn(3*second+evictAfter, []control.Event{control.TimerFired{}})...)
	for _, command := range ofType[control.SetEjected](commands) {
		wantEqual(t, "command ejects, does not uneject", command.Ejected, true)
	}
	wantEqual(t, "replicas after the eviction", len(p.replicas), 2)
	p.Turn(4*second+evictAfter, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 9}}}})
	wantEqual(t, "queues after another replica is listed", len(p.queues), fixedComponents+3)
}

// unknownEvent is an event type that Policy.route does not know.
type unknownEvent struct{ control.Event }

func TestUnknownEventPanics(t *testing.T) {
	for name, event := range map[string]control.Event{"another type": unknownEvent{}, "a pointer": &control.Ack{}, "none": nil} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("Turn did not panic on an unknown event type")
				}
			}()
			New(testSettings()).Turn(0, []control.Event{event})
		})
	}
}

func TestEveryEventOfTheInterfaceIsRouted(t *testing.T) {
	events := []control.Event{control.ReplicasListed{}, control.StreamOpened{}, control.StreamClosed{}, control.OutcomeReport{},
		control.DemandReport{}, control.Ack{}, control.HealthCheckFinished{}, control.TimerFired{}, control.SnapshotRequested{},
		control.ReplicaRestored{}, control.FleetRestored{}, control.SettingsChanged{Settings: testSettings(), ClassNumbers: []int{0, 1}}}
	for _, event := range events {
		New(testSettings()).Turn(0, []control.Event{event})
	}
	source, err := os.ReadFile("../control/events.go")
	if err != nil {
		t.Fatal(err)
	}
	implementations := regexp.MustCompile(`(?m)^func \((\w+)\) event\(\)`).FindAllStringSubmatch(string(source), -1)
	for _, implementation := range implementations {
		tested := slices.ContainsFunc(events, func(event control.Event) bool { return reflect.TypeOf(event).Name() == implementation[1] })
		wantEqual(t, "event type is tested here: "+implementation[1], tested, true)
	}
	wantEqual(t, "number of event types", len(implementations), len(events))
}

func TestTickIsDueInTheFirstTurnAndWhenATimerFired(t *testing.T) {
	p := New(testSettings())
	for _, c := range []struct {
		name   string
		events []control.Event
		timers int
	}{
		{"first turn", nil, 1},
		{"event other than a timer", []control.Event{control.Ack{}}, 0},
		{"one timer", []control.Event{control.TimerFired{}}, 1},
		{"two timers", []control.Event{control.TimerFired{}, control.TimerFired{}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			timers := ofType[control.SetTimer](p.Turn(p.now+second, c.events))
			wantEqual(t, "number of timers set", len(timers), c.timers)
			for _, timer := range timers {
				wantEqual(t, "tick interval", timer.After, second/4)
			}
		})
	}
}

func TestSnapshotIsTheLastCommandOfItsTurn(t *testing.T) {
	p := New(testSettings())
	commands := p.Turn(0, []control.Event{control.SnapshotRequested{}, control.ReplicasListed{Full: true, Entries: readyReplicas(3)},
		control.StreamOpened{Proxy: 1}})
	snapshot, ok := commands[len(commands)-1].(control.Snapshot)
	if !ok {
		t.Fatalf("last command is a %T, want a control.Snapshot", commands[len(commands)-1])
	}
	wantEqual(t, "replicas in the snapshot", len(snapshot.Replicas), 3)
	wantEqual(t, "bindings in the snapshot", len(snapshot.Bindings), 1)
}
