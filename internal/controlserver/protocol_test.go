package controlserver

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
	"lilacbend/settings"
)

// With a part for each traffic class the update would exceed the maximum number of parts, so classes with equal admissions
// share a part.
func TestEncodeUpdateMergesAdmissionsOfManyClasses(t *testing.T) {
	update := controller.Update{FullTable: true, Endpoints: []controller.WeightedEndpoint{{Replica: "x", Weight: 1}}, WantsAck: true, Nonce: 7}
	for k := range 200 {
		admission := controller.Admission{Class: fmt.Sprintf("g-%d", k), Fraction: 1, Retries: control.RetryIfNotExecuted}
		if admission.Fraction = 1; k > 150 {
			admission.Fraction = 0
		}
		if k == 150 {
			admission.Fraction = 0.35
		}
		update.Admissions = append(update.Admissions, admission)
	}
	messages := EncodeUpdate(update)
	var classes []string
	for k, words := range messages {
		part := newMessage(words)
		if _, continued := part.lookup("continued"); continued != (k < len(messages)-1) {
			t.Errorf("part %d of %d has the wrong continued field: %v", k, len(messages), words)
		}
		if routes, hasClasses := part.lookup("routes"); hasClasses {
			for _, name := range strings.Split(routes, "+") {
				fraction, _ := part.lookup("admit")
				index := slices.IndexFunc(update.Admissions, func(a controller.Admission) bool { return a.Class == name })
				if fraction != formatWeight(update.Admissions[index].Fraction) {
					t.Errorf("class %s gets the wrong fraction %s", name, fraction)
				}
				classes = append(classes, name)
			}
		}
	}
	slices.Sort(classes)
	if classes = slices.Compact(classes); len(classes) != 200 || len(messages) > maxParts {
		t.Errorf("%d classes in %d parts, want 200 classes in at most maxParts parts", len(classes), len(messages))
	}
	if update.Admissions = update.Admissions[:maxParts-1]; len(EncodeUpdate(update)) != maxParts { // admissions that fit are not merged
		t.Errorf("%d parts, want one for the table and one for each admission", len(EncodeUpdate(update)))
	}
}

func TestFormatWeightIsFinite(t *testing.T) {
	for value, want := range map[float64]string{1e300: formatWeight(math.MaxFloat32), 0.35: "0.35", 0: "0"} {
		if got := formatWeight(value); got != want || strings.Contains(got, "Inf") {
			t.Errorf("formatWeight(%v) returned %s", value, got)
		}
	}
}

// In a deployment without zones peers may omit the zone.
func TestPeersWithoutZoneJoin(t *testing.T) {
	queues := eventloop.New()
	topology := controller.NewTopology(settings.Names{Classes: []string{"a"}},
		control.Settings{Proxies: 2, Classes: []control.TrafficClass{{Timeout: 1e9}}})
	s := New(queues, resp.NewPool(1<<20), slog.New(slog.DiscardHandler), 99, topology)
	address := serve(t, s)
	dial(t, address, "agent", "outcomes target x count 1 fail 0 mean 1 over 1000")
	want := controller.OutcomeReport{Replica: "x", OutcomeReport: control.OutcomeReport{Attempts: 1, ResponseTime: 1e6, Period: 1e9, InFlight: -1}}
	if events := receive(t, s, 1); events[0] != want {
		t.Errorf("collector without zone: received %+v", events)
	}
	dial(t, address, "hello id 1 new 1", "probe").expect(t, "alive")
	if events := receive(t, s, 1); events[0] != (controller.StreamOpened{Stream: 2, Proxy: 1, WithoutTable: true}) {
		t.Errorf("proxy without zone: received %+v", events)
	}
}

func TestDecodeInFlight(t *testing.T) {
	for report, want := range map[string]float64{
		"":                      inFlightUnknown,
		"inflight":              inFlightUnknown,
		"inflight:":             inFlightUnknown,
		"inflight:x":            inFlightUnknown,
		"inflight:7":            7,
		"inflight:7,util:0.61":  7,
		"inflight:2.5,inflight": 2.5,
	} {
		t.Run(report, func(t *testing.T) {
			if got := decodeInFlight(report); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

func TestMergeAdmissionsKeepsOrderOfFirstClass(t *testing.T) {
	merged := mergeAdmissions([]controller.Admission{
		{Class: "a", Fraction: 1},
		{Class: "b", Fraction: 0.5},
		{Class: "c", Fraction: 1},
		{Class: "d", Fraction: 1, Retries: control.RetryOnce},
		{Class: "e", Fraction: 0.5},
	})
	want := []controller.Admission{
		{Class: "a+c", Fraction: 1},
		{Class: "b+e", Fraction: 0.5},
		{Class: "d", Fraction: 1, Retries: control.RetryOnce},
	}
	if !slices.Equal(merged, want) {
		t.Errorf("got  %+v\nwant %+v", merged, want)
	}
}
