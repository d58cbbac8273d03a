package loadreport

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// One source reports very many keys, all failing and ever new, and claims those of another source as well. All keys of the
// other source are reported all the same within the rounds that a fair share of the budget takes, its failing key among the
// first.
func TestKeysOfOneSourceDoNotDelayOthers(t *testing.T) {
	const (
		flooding, other  SourceID = 1, 2
		messagesPerRound          = 10
		invented                  = 500
		replicas                  = 20
		rounds                    = 2 * replicas / messagesPerRound
	)
	limits := limitsOf(messagesPerRound * messageBytes)
	limits.MaxKeys = 10_000
	a := New(limits, 0)
	var order []string
	reported := map[string]bool{}
	for tick := range int64(rounds) {
		began, now := tick*second, (tick+1)*second
		for k := range replicas {
			a.Add(flooding, keyOf(k), healthy(1), began, now)
		}
		for k := range invented {
			a.Add(flooding, fmt.Sprintf("invented-%d-%d", tick, k), failing(1000), began, now)
		}
		for k := range replicas {
			a.Add(other, keyOf(k), healthy(10), began, now)
		}
		a.Add(other, keyOf(replicas-1), failing(10), began, now)
		for _, report := range round(a, now) {
			for k := range replicas {
				if key := keyOf(k); report.Key == key && !reported[key] {
					reported[key] = true
					order = append(order, key)
				}
			}
		}
	}
	if len(order) != replicas {
		t.Fatalf("%d of %d keys were reported in %d rounds: %v", len(order), replicas, rounds, order)
	}
	// Changed keys take turns with those that were reported the longest time ago.
	if failingKey := keyOf(replicas - 1); !slices.Contains(order[:2], failingKey) {
		t.Errorf("keys %v were reported first, want the failing one among them", order[:2])
	}
}

// The entries of a source are counted until they are removed, so that the record of sources does not grow.
func TestSourcesWithoutEntriesAreForgotten(t *testing.T) {
	a := New(limitsOf(0), 0)
	for k := range 100 {
		now := int64(k) * int64(time.Minute)
		a.Add(SourceID(k), keyOf(k), healthy(1), now, now)
		round(a, now+second)
	}
	round(a, int64(time.Hour)*2)
	if len(a.entries) != 0 || len(a.entriesBySource) != 0 {
		t.Errorf("%d entries of %d sources are held, want none", len(a.entries), len(a.entriesBySource))
	}
}
