package main

import (
	"testing"
	"time"

	"lilacbend/control"
	"lilacbend/internal/learnedstate"
)

func TestListedState(t *testing.T) {
	for state, want := range map[control.State]string{
		control.Ready: "ready", control.Draining: "draining", control.Gone: "gone", control.Gone + 7: "gone", -1: "ready",
	} {
		if got := listedState(state); got != want {
			t.Errorf("state %d is %q, want %q", state, got, want)
		}
	}
}

func TestHealthState(t *testing.T) {
	for want, replica := range map[string]learnedstate.Replica{
		"well":            {},
		"on trial":        {Probation: true},
		"sick, 1.5s left": {RemainingEjection: int64(1520 * time.Millisecond), Probation: true},
	} {
		if got := healthState(replica); got != want {
			t.Errorf("health of %+v is %q, want %q", replica, got, want)
		}
	}
}
