package dispatch

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

func TestUpdateIsAppliedCompletelyOrNotAtAll(t *testing.T) {
	for name, update := range map[string]UpdatePart{
		"traffic class": {Classes: []string{"reads"}, Replace: true, Weights: map[string]float64{"z": 1}},
		"weight":        {Replace: true, Weights: map[string]float64{"z": -1}}, "weight NaN": {Replace: true, Weights: map[string]float64{"z": math.NaN()}},
		"admission": {Replace: true, Settings: []ClassSettings{{-0.5, 1}}, Eject: []string{"a1"}}, "retry policy": {Replace: true, Settings: []ClassSettings{{1, 4}}}, "replica id": {Weights: map[string]float64{"": 1}},
	} {
		d := newDispatcher(t, nil)
		if err := d.Apply(0, update); !errors.Is(err, ErrInvalidUpdate) || strings.Contains(err.Error(), "\n") {
			t.Errorf("invalid %s: error %v, want ErrInvalidUpdate in one line", name, err)
		}
		if n := d.TableSizes(); n["read"] != 4 || n["payout"] != 4 || len(d.ejectedByController) != 0 || d.tables[0].hasSettings {
			t.Errorf("invalid %s: table sizes %v after the update, want no change to tables, ejections and settings", name, n)
		}
	}
	d := newDispatcher(t, nil, retryPolicy(2), UpdatePart{Eject: []string{"a1"}})
	d.Apply(0, UpdatePart{Classes: []string{"order"}, Replace: true, Weights: map[string]float64{"b1": 2}})
	if n := d.TableSizes(); n["order"] != 1 || n["read"] != 4 || d.tables[1].hasSettings || !d.tables[0].hasSettings || !d.ejectedByController["a1"] {
		t.Errorf("full update of class order: table sizes %v, want other tables, settings and the ejection unchanged", n)
	}
}

func TestSetWeightKeepsEndpointsSorted(t *testing.T) {
	var table table
	for _, step := range []struct {
		replica string
		weight  float64
		want    []weightedEndpoint
	}{
		{"b", 1, []weightedEndpoint{{replica: "b", weight: 1}}},
		{"a", 2, []weightedEndpoint{{replica: "a", weight: 2}, {replica: "b", weight: 1}}},
		{"b", 3, []weightedEndpoint{{replica: "a", weight: 2}, {replica: "b", weight: 3}}},
		{"c", 0, []weightedEndpoint{{replica: "a", weight: 2}, {replica: "b", weight: 3}}},
		{"a", 0, []weightedEndpoint{{replica: "b", weight: 3}}},
	} {
		table.setWeight(step.replica, step.weight)
		if !slices.Equal(table.endpoints, step.want) {
			t.Errorf("after setting %s to weight %v: endpoints %v, want %v", step.replica, step.weight, table.endpoints, step.want)
		}
	}
}
