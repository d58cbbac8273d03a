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

// A part for each traffic class would be more than an update may have: equal admissions share one.
func TestEncodeUpdateMergesAdmissionsOfManyClasses(t *testing.T) {
	p := controller.Update{Full: true, Endpoints: []controller.WeightedEndpoint{{Replica: "x", Weight: 1}}, WantsAck: true, Nonce: 7}
	for k := range 200 {
		l := controller.Admission{Class: fmt.Sprintf("g-%d", k), Fraction: 1, Retries: control.RetryIfNotExecuted}
		if l.Fraction = 1; k > 150 {
			l.Fraction = 0
		}
		if k == 150 {
			l.Fraction = 0.35
		}
		p.Admissions = append(p.Admissions, l)
	}
	messages := EncodeUpdate(p)
	var named []string
	for k, words := range messages {
		f := newMessage(words)
		if _, goes := f.lookup("continued"); goes != (k < len(messages)-1) {
			t.Errorf("part %d of %d: %v", k, len(messages), words)
		}
		if routes, has := f.lookup("routes"); has {
			for _, name := range strings.Split(routes, "+") {
				share, _ := f.lookup("admit")
				at := slices.IndexFunc(p.Admissions, func(l controller.Admission) bool { return l.Class == name })
				if share != formatWeight(p.Admissions[at].Fraction) {
					t.Errorf("%s gets %s", name, share)
				}
				named = append(named, name)
			}
		}
	}
	slices.Sort(named)
	if named = slices.Compact(named); len(named) != 200 || len(messages) > maxParts {
		t.Errorf("%d classes in %d parts", len(named), len(messages))
	}
	if p.Admissions = p.Admissions[:maxParts-1]; len(EncodeUpdate(p)) != maxParts { // as many as fit are not merged
		t.Errorf("%d parts", len(EncodeUpdate(p)))
	}
}

func TestFormatWeightIsFinite(t *testing.T) {
	for v, want := range map[float64]string{1e300: formatWeight(math.MaxFloat32), 0.35: "0.35", 0: "0"} {
		if got := formatWeight(v); got != want || strings.Contains(got, "Inf") {
			t.Errorf("%v is written %s", v, got)
		}
	}
}

// In a deployment without zones peers may leave out theirs.
func TestPeersWithoutZoneJoin(t *testing.T) {
	x := eventloop.New()
	topology := controller.NewTopology(settings.Names{Classes: []string{"a"}},
		control.Settings{Proxies: 2, Classes: []control.TrafficClass{{Timeout: 1e9}}})
	s := New(x, resp.NewPool(1<<20), slog.New(slog.DiscardHandler), 99, topology)
	at := serve(t, s)
	dial(t, at, "agent", "outcomes target x count 1 fail 0 mean 1 over 1000")
	want := controller.Outcomes{Replica: "x", Outcomes: control.Outcomes{Attempts: 1, ResponseTime: 1e6, Period: 1e9, InFlight: -1}}
	if events := receive(t, s, 1); events[0] != want {
		t.Errorf("%+v", events)
	}
	dial(t, at, "hello id 1 new 1", "probe").expect(t, "alive")
	if events := receive(t, s, 1); events[0] != (controller.StreamOpened{Stream: 2, Proxy: 1, WithoutTable: true}) {
		t.Errorf("%+v", events)
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
