package controlclient

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// One sidecar reports ever new names of replicas. The reports of the other sidecars are still taken, although the number of
// replicas is limited.
func TestNamesOfOneSidecarLeaveRoomForOthers(t *testing.T) {
	pending := newPendingOutcomes(time.Second, 0)
	collector := &Collector{pending: []*pendingOutcomes{pending}}
	report := func(source *reportSource, replica string) error {
		return collector.receive([]string{"met", "target", replica, "count", "3", "fail", "0", "mean", "20"}, source)
	}
	flooding, other := collector.newReportSource(), collector.newReportSource()
	refused := 0
	for k := range 2 * maxReplicas {
		if errors.Is(report(flooding, fmt.Sprintf("invented-%d", k)), errTooManyReplicas) {
			refused++
		}
	}
	if want := 2*maxReplicas - maxSidecarReplicas; refused != want {
		t.Errorf("%d reports refused, want %d", refused, want)
	}
	if err := report(other, "s-1"); err != nil {
		t.Fatal(err)
	}
	pending.beginRound()
	for {
		next, ok := pending.next()
		if !ok {
			t.Fatal("the report of the other sidecar was dropped")
		}
		if next.Key == "s-1" {
			return
		}
	}
}
