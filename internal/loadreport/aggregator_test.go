package loadreport

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	second       = int64(time.Second)
	messageBytes = 164 // size of an outcomes message, see docs/CAPACITY.md
)

// limitsOf returns limits with a budget in bytes per second.
func limitsOf(bytesPerSecond int) Limits {
	return Limits{BytesPerSecond: bytesPerSecond, Interval: time.Second, MaxAge: 10 * time.Second, MaxKeys: 1000}
}

// round runs a round in which each report takes messageBytes, and returns its reports.
func round(a *Aggregator, now int64) (reports []Report) {
	a.BeginRound(now)
	for {
		report, ok := a.Next(now)
		if !ok {
			return reports
		}
		reports = append(reports, report)
		a.RecordSent(messageBytes)
	}
}

func keyOf(k int) string { return fmt.Sprintf("replica-%03d", k) }

// healthy returns a sum without failures and with a mean response time of 100 ms.
func healthy(attempts int) Sum {
	return Sum{Attempts: attempts, ResponseMillis: 100 * float64(attempts)}
}

// failing returns a sum of failures only.
func failing(attempts int) Sum { return Sum{Attempts: attempts, Failures: attempts} }

func TestAllSumsAreReportedWithoutABudget(t *testing.T) {
	a := New(limitsOf(0), 0)
	for k := range 100 {
		a.Add(0, keyOf(k), healthy(k+1), 0, second/2)
	}
	reports := round(a, second)
	if len(reports) != 100 {
		t.Fatalf("%d reports, want 100", len(reports))
	}
	for _, r := range reports {
		if r.Period != time.Second || r.Sum.MeanMillis() != 100 {
			t.Errorf("report %+v, want a period of 1 s and a mean of 100 ms", r)
		}
	}
	if more := round(a, 2*second); len(more) != 0 {
		t.Errorf("second round without new outcomes reports %+v, want nothing", more)
	}
}

// For random outcomes, the bytes reported in any period do not exceed the sum of the period's budget, the unused budget of
// one interval and less than one message, and each attempt is either reported exactly once or still pending.
func TestReportsKeepToBudgetWithoutLosingOutcomes(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := limitsOf(100 + random.IntN(5000))
		limits.MaxAge = time.Hour
		a := New(limits, 0)
		keys := 1 + random.IntN(60)
		var added, reported Sum
		var sentBytes []int
		for tick := int64(1); tick <= 120; tick++ {
			now := tick * second
			if tick <= 60 {
				for range random.IntN(200) {
					sum := Sum{Attempts: 1 + random.IntN(3), ResponseMillis: 10}
					if random.IntN(20) == 0 {
						sum.Failures = 1
					}
					added = added.plus(sum)
					a.Add(0, keyOf(random.IntN(keys)), sum, a.RoundStartedAt(), now)
				}
			}
			reports := round(a, now)
			sentBytes = append(sentBytes, len(reports)*messageBytes)
			for _, r := range reports {
				reported = reported.plus(r.Sum)
			}
		}
		for from := range sentBytes {
			total := 0
			for to := from; to < len(sentBytes); to++ {
				total += sentBytes[to]
				if limit := limits.BytesPerSecond*(to-from+2) + messageBytes; total > limit {
					t.Fatalf("seed %d: %d bytes in the seconds %d to %d, want at most %d", seed, total, from, to, limit)
				}
			}
		}
		for _, e := range a.entries {
			reported = reported.plus(e.sum())
		}
		if reported.Attempts != added.Attempts || reported.Failures != added.Failures {
			t.Fatalf("seed %d: sum %+v reported or pending, want %+v", seed, reported, added)
		}
	}
}

// With a budget of two messages per second, a replica that begins to fail is reported in the round after its failures,
// although a hundred other replicas have more attempts.
func TestFailureIsReportedFirst(t *testing.T) {
	a := New(limitsOf(2*messageBytes), 0)
	now := int64(0)
	for range 60 {
		now += second
		for k := range 100 {
			a.Add(0, keyOf(k), healthy(20), a.RoundStartedAt(), now)
		}
		round(a, now)
	}
	now += second
	for k := range 100 {
		a.Add(0, keyOf(k), healthy(20), a.RoundStartedAt(), now)
	}
	a.Add(0, keyOf(63), failing(5), a.RoundStartedAt(), now)
	reports := round(a, now)
	if len(reports) == 0 || reports[0].Key != keyOf(63) || reports[0].Sum.Failures != 5 {
		t.Errorf("reports %+v, want the failures of %s first", reports, keyOf(63))
	}
}

// After a restart of the receiver, sums that were reported to it before are changes again, and the sum with the most
// attempts is reported first.
func TestRestartedReceiverGetsAllSumsAsChanges(t *testing.T) {
	a := New(limitsOf(25*messageBytes), 0)
	known := Sum{Attempts: 30, Failures: 30}
	for tick := int64(1); tick <= 5; tick++ {
		for k := range 20 {
			a.Add(0, keyOf(k), healthy(10), a.RoundStartedAt(), tick*second)
		}
		a.Add(0, keyOf(7), known, a.RoundStartedAt(), tick*second)
		round(a, tick*second)
	}
	a.limits.BytesPerSecond = messageBytes
	for _, restarted := range []bool{false, true} {
		now := a.RoundStartedAt() + second
		for k := range 20 {
			a.Add(0, keyOf(k), healthy(10), a.RoundStartedAt(), now)
		}
		a.Add(0, keyOf(7), known, a.RoundStartedAt(), now)
		if restarted {
			a.ReceiverRestarted()
		}
		reports := round(a, now)
		if first := len(reports) > 0 && reports[0].Key == keyOf(7); first != restarted {
			t.Errorf("receiver restarted: %v; reports %+v, want %s first after a restart only", restarted, reports, keyOf(7))
		}
	}
}

func TestRecoveryIsAChange(t *testing.T) {
	receiver := receiverState{}
	receiver.add(failing(20))
	if receiver.deviation(failing(10)) != 0 {
		t.Error("more failures of a replica known to fail are a change, want none")
	}
	if receiver.deviation(healthy(10)) == 0 {
		t.Error("the first successes of a replica known to fail are no change, want one")
	}
}

func TestHalvedOrDoubledResponseTimeIsAChange(t *testing.T) {
	receiver := receiverState{}
	receiver.add(healthy(20))
	for _, c := range []struct {
		factor  float64
		changed bool
	}{{0.4, true}, {0.6, false}, {1, false}, {1.9, false}, {2, true}, {10, true}} {
		slow := healthy(5)
		slow.ResponseMillis *= c.factor
		if changed := receiver.deviation(slow) > 0; changed != c.changed {
			t.Errorf("responses that take %v times as long: changed %v, want %v", c.factor, changed, c.changed)
		}
	}
}

// A steady failure rate of one in forty attempts is rarely reported as a change.
func TestUsualFailuresAreRarelyAChange(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	a := New(limitsOf(0), 0)
	changed := 0
	for tick := int64(1); tick <= 1000; tick++ {
		sum := healthy(20)
		for range 20 {
			if random.IntN(40) == 0 {
				sum.Failures++
			}
		}
		a.Add(0, "a", sum, a.RoundStartedAt(), tick*second)
		a.BeginRound(tick * second)
		if len(a.changed) > 0 {
			changed++
		}
		a.Next(tick * second)
	}
	if changed > 100 {
		t.Errorf("changes in %d of 1,000 rounds, want at most 100", changed)
	}
}

// During a long outage of all replicas, in which all entries change in each round, each replica is still reported at about
// the rate that the budget allows.
func TestNoKeyIsStarvedWhileAllKeysChange(t *testing.T) {
	const replicas, perRound = 50, 4
	random := rand.New(rand.NewPCG(3, 3))
	a := New(limitsOf(perRound*messageBytes), 0)
	lastReported := map[string]int64{}
	for tick := int64(1); tick <= 300; tick++ {
		now := tick * second
		for k := range replicas {
			sum := Sum{Attempts: 1 + 40*k}
			if random.IntN(2) == 0 {
				sum.Failures = sum.Attempts
			}
			a.Add(0, keyOf(k), sum, a.RoundStartedAt(), now)
		}
		for _, r := range round(a, now) {
			lastReported[r.Key] = tick
		}
		for k := range replicas {
			// Half of the messages are selected by the age of the last report.
			if wait := tick - lastReported[keyOf(k)]; wait > 2*replicas/perRound+2 {
				t.Fatalf("%s was not reported for %d rounds, want at most %d", keyOf(k), wait, 2*replicas/perRound+2)
			}
		}
	}
}

// A receiver that was disconnected gets recent outcomes only, with the period in which they occurred.
func TestOldOutcomesAreNotReported(t *testing.T) {
	a := New(limitsOf(0), 0)
	now := int64(0)
	for range 60 {
		now += second
		a.Add(0, "a", healthy(10), now-second, now)
	}
	a.Add(0, "gone", healthy(10), second, 2*second)
	reports := round(a, now)
	if len(reports) != 1 {
		t.Fatalf("reports %+v, want one", reports)
	}
	r := reports[0]
	if r.Period < 5*time.Second || r.Period > 10*time.Second {
		t.Errorf("report covers %v, want between half of the maximum age and all of it", r.Period)
	}
	if rate := float64(r.Sum.Attempts) / r.Period.Seconds(); rate < 9.9 || rate > 10.1 {
		t.Errorf("%v attempts per second, want 10", rate)
	}
}

// The period of a report is the time in which its attempts occurred, and excludes earlier rounds without attempts.
func TestPeriodExcludesRoundsWithoutAttempts(t *testing.T) {
	a := New(limitsOf(0), 0)
	a.Add(0, "a", healthy(10), a.RoundStartedAt(), second)
	round(a, second)
	for tick := int64(2); tick <= 8; tick++ {
		round(a, tick*second)
	}
	a.Add(0, "a", healthy(10), a.RoundStartedAt(), 9*second)
	if reports := round(a, 9*second); len(reports) != 1 || reports[0].Period != time.Second {
		t.Errorf("reports %+v, want one report with a period of 1 s", reports)
	}
}

func TestEntriesAreLimitedAndRemovedWithoutOutcomes(t *testing.T) {
	limits := limitsOf(0)
	limits.MaxKeys = 10
	a := New(limits, 0)
	for k := range 50 {
		a.Add(0, keyOf(k), healthy(1), 0, second)
	}
	if len(a.entries) != 10 {
		t.Errorf("%d entries, want the limit of 10", len(a.entries))
	}
	round(a, 2*second)
	round(a, 14*second)
	if len(a.entries) != 0 {
		t.Errorf("%d entries of keys without recent outcomes, want 0", len(a.entries))
	}
}

func BenchmarkRoundByReplicas(b *testing.B) {
	for _, replicas := range []int{33, 655, 9500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			limits := limitsOf(2000)
			limits.MaxKeys = replicas
			a := New(limits, 0)
			now := int64(0)
			for b.Loop() {
				now += second
				for k := range replicas {
					a.Add(0, keyOf(k), healthy(3), a.RoundStartedAt(), now)
				}
				round(a, now)
			}
		})
	}
}
