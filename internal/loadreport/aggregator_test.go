package loadreport

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	second       = int64(time.Second)
	messageBytes = 164 // an outcomes message, docs/CAPACITY.md
)

func limitsOf(bytesPerSecond int) Limits {
	return Limits{BytesPerSecond: bytesPerSecond, Interval: time.Second, MaxAge: 10 * time.Second, MaxKeys: 1000}
}

// round runs a round in which each report takes the same bytes.
func round(a *Aggregator, now int64) (reports []Report) {
	a.Begin(now)
	for {
		report, ok := a.Next(now)
		if !ok {
			return reports
		}
		reports = append(reports, report)
		a.Spent(messageBytes)
	}
}

func keyOf(k int) string { return fmt.Sprintf("replica-%03d", k) }

// healthy is a sum without failures.
func healthy(attempts int) Sum {
	return Sum{Attempts: attempts, ResponseMillis: 100 * float64(attempts)}
}

func failing(attempts int) Sum { return Sum{Attempts: attempts, Failures: attempts} }

func TestWithoutABudgetAllIsReported(t *testing.T) {
	a := New(limitsOf(0), 0)
	for k := range 100 {
		a.Add(keyOf(k), healthy(k+1), 0, second/2)
	}
	reports := round(a, second)
	if len(reports) != 100 {
		t.Fatalf("%d reports, want 100", len(reports))
	}
	for _, r := range reports {
		if r.Period != time.Second || r.Sum.MeanMillis() != 100 {
			t.Errorf("%+v, want the period of the round and a mean of 100 ms", r)
		}
	}
	if more := round(a, 2*second); len(more) != 0 {
		t.Errorf("reported twice: %+v", more)
	}
}

// Whatever comes, reports keep to the budget over any period, the saved budget of one interval and part of one message aside; and
// every attempt is reported once, or has expired.
func TestReportsKeepToTheBudgetAndLoseNothing(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := limitsOf(100 + random.IntN(5000))
		limits.MaxAge = time.Hour
		a := New(limits, 0)
		keys := 1 + random.IntN(60)
		var added, reported Sum
		var spent []int
		for tick := int64(1); tick <= 120; tick++ {
			now := tick * second
			if tick <= 60 {
				for range random.IntN(200) {
					sum := Sum{Attempts: 1 + random.IntN(3), ResponseMillis: 10}
					if random.IntN(20) == 0 {
						sum.Failures = 1
					}
					added = added.plus(sum)
					a.Add(keyOf(random.IntN(keys)), sum, a.Began(), now)
				}
			}
			reports := round(a, now)
			spent = append(spent, len(reports)*messageBytes)
			for _, r := range reports {
				reported = reported.plus(r.Sum)
			}
		}
		for from := range spent {
			total := 0
			for to := from; to < len(spent); to++ {
				total += spent[to]
				if most := limits.BytesPerSecond*(to-from+2) + messageBytes; total > most {
					t.Fatalf("seed %d: %d bytes in the seconds %d to %d, want %d at the most", seed, total, from, to, most)
				}
			}
		}
		for _, e := range a.entries {
			reported = reported.plus(e.sum())
		}
		if reported.Attempts != added.Attempts || reported.Failures != added.Failures {
			t.Fatalf("seed %d: %+v reported or pending, want %+v", seed, reported, added)
		}
	}
}

// Within a budget of two messages a second, a replica that begins to fail is reported in the round in which that is known, although
// a hundred others have more attempts.
func TestFailureIsReportedFirst(t *testing.T) {
	a := New(limitsOf(2*messageBytes), 0)
	now := int64(0)
	for range 60 {
		now += second
		for k := range 100 {
			a.Add(keyOf(k), healthy(20), a.Began(), now)
		}
		round(a, now)
	}
	now += second
	for k := range 100 {
		a.Add(keyOf(k), healthy(20), a.Began(), now)
	}
	a.Add(keyOf(63), failing(5), a.Began(), now)
	reports := round(a, now)
	if len(reports) == 0 || reports[0].Key != keyOf(63) || reports[0].Sum.Failures != 5 {
		t.Errorf("%+v, want the failures of %s first", reports, keyOf(63))
	}
}

// What was reported to a receiver before its restart is a change to it, and what concerns most attempts comes first.
func TestRestartedReceiverKnowsNothing(t *testing.T) {
	a := New(limitsOf(25*messageBytes), 0)
	known := Sum{Attempts: 30, Failures: 30}
	for tick := int64(1); tick <= 5; tick++ {
		for k := range 20 {
			a.Add(keyOf(k), healthy(10), a.Began(), tick*second)
		}
		a.Add(keyOf(7), known, a.Began(), tick*second)
		round(a, tick*second)
	}
	a.limits.BytesPerSecond = messageBytes
	for _, restarted := range []bool{false, true} {
		now := a.Began() + second
		for k := range 20 {
			a.Add(keyOf(k), healthy(10), a.Began(), now)
		}
		a.Add(keyOf(7), known, a.Began(), now)
		if restarted {
			a.ReceiverRestarted()
		}
		reports := round(a, now)
		if first := len(reports) > 0 && reports[0].Key == keyOf(7); first != restarted {
			t.Errorf("started anew %v: %+v", restarted, reports)
		}
	}
}

func TestRecoveryIsAChange(t *testing.T) {
	k := receiverState{}
	k.add(failing(20))
	if k.deviation(failing(10)) != 0 {
		t.Error("more failures of a replica that is known to fail are a change")
	}
	if k.deviation(healthy(10)) == 0 {
		t.Error("the first successes of a replica that is known to fail are no change")
	}
}

func TestSlowAnswersAreAChange(t *testing.T) {
	k := receiverState{}
	k.add(healthy(20))
	for _, c := range []struct {
		factor  float64
		changed bool
	}{{0.4, true}, {0.6, false}, {1, false}, {1.9, false}, {2, true}, {10, true}} {
		slow := healthy(5)
		slow.ResponseMillis *= c.factor
		if changed := k.deviation(slow) > 0; changed != c.changed {
			t.Errorf("answers that take %v times as long: changed: %v, want %v", c.factor, changed, c.changed)
		}
	}
}

// One attempt in forty that fails, as on a healthy day, is hardly ever a change.
func TestNoiseIsNoChange(t *testing.T) {
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
		a.Add("a", sum, a.Began(), tick*second)
		a.Begin(tick * second)
		if len(a.changed) > 0 {
			changed++
		}
		a.Next(tick * second)
	}
	if changed > 100 {
		t.Errorf("changes in %d of 1,000 rounds, want 100 at the most", changed)
	}
}

// Where everything fails for long, and all entries change in every round, no replica waits much longer than the budget makes all wait.
func TestNoKeyWaitsForever(t *testing.T) {
	const replicas, perRound = 50, 4
	random := rand.New(rand.NewPCG(3, 3))
	a := New(limitsOf(perRound*messageBytes), 0)
	last := map[string]int64{}
	for tick := int64(1); tick <= 300; tick++ {
		now := tick * second
		for k := range replicas {
			sum := Sum{Attempts: 1 + 40*k}
			if random.IntN(2) == 0 {
				sum.Failures = sum.Attempts
			}
			a.Add(keyOf(k), sum, a.Began(), now)
		}
		for _, r := range round(a, now) {
			last[r.Key] = tick
		}
		for k := range replicas {
			// Half of the messages go round by the time of the last report.
			if wait := tick - last[keyOf(k)]; wait > 2*replicas/perRound+2 {
				t.Fatalf("%s was not reported for %d rounds", keyOf(k), wait)
			}
		}
	}
}

// A receiver that was absent gets recent outcomes alone, with the period in which they came.
func TestOldOutcomesAreNotReported(t *testing.T) {
	a := New(limitsOf(0), 0)
	now := int64(0)
	for range 60 {
		now += second
		a.Add("a", healthy(10), now-second, now)
	}
	a.Add("gone", healthy(10), second, 2*second)
	reports := round(a, now)
	if len(reports) != 1 {
		t.Fatalf("%+v, want one report", reports)
	}
	r := reports[0]
	if r.Period < 5*time.Second || r.Period > 10*time.Second {
		t.Errorf("outcomes of %v, want between half of the longest age and all of it", r.Period)
	}
	if rate := float64(r.Sum.Attempts) / r.Period.Seconds(); rate < 9.9 || rate > 10.1 {
		t.Errorf("%v attempts a second, want 10", rate)
	}
}

// The period of a report is the time in which its attempts came, not that of a round without any.
func TestPeriodBeginsWithTheAttempts(t *testing.T) {
	a := New(limitsOf(0), 0)
	a.Add("a", healthy(10), a.Began(), second)
	round(a, second)
	for tick := int64(2); tick <= 8; tick++ {
		round(a, tick*second)
	}
	a.Add("a", healthy(10), a.Began(), 9*second)
	if reports := round(a, 9*second); len(reports) != 1 || reports[0].Period != time.Second {
		t.Errorf("%+v, want a period of one second", reports)
	}
}

func TestMemoryIsFreedWithoutOutcomes(t *testing.T) {
	limits := limitsOf(0)
	limits.MaxKeys = 10
	a := New(limits, 0)
	for k := range 50 {
		a.Add(keyOf(k), healthy(1), 0, second)
	}
	if len(a.entries) != 10 {
		t.Errorf("%d entries, want 10", len(a.entries))
	}
	round(a, 2*second)
	round(a, 14*second)
	if len(a.entries) != 0 {
		t.Errorf("%d entries of keys that are gone", len(a.entries))
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
					a.Add(keyOf(k), healthy(3), a.Began(), now)
				}
				round(a, now)
			}
		})
	}
}
