package weight

import (
	"math"
	"testing"
	"time"
)

func TestRestoreMovesSpeedTowardsListedWeightWithAge(t *testing.T) {
	now := 100 * time.Second
	for _, c := range []struct{ speed, confidence, want float64 }{{0.25, 1, 0.25}, {0.25, 0.5, 0.5}, {0.25, 0.01, 0.986}, {4, 0.5, 2}} {
		e := NewEstimate(now)
		e.Restore(now, Restored{Speed: c.speed, SampleCount: 40, Age: time.Second, Confidence: c.confidence})
		if math.Abs(e.Speed-c.want) > 0.001 || e.Goal != e.Speed || e.LearnedSpeed != e.Speed {
			t.Errorf("speed %v with confidence %v: got speed %v, goal %v, remembered speed %v, want %v",
				c.speed, c.confidence, e.Speed, e.Goal, e.LearnedSpeed, c.want)
		}
		if math.Abs(e.Confidence-maxSampleCount*c.confidence) > 1e-12 || math.Abs(e.SampleCount-40*c.confidence) > 1e-12 {
			t.Errorf("speed %v with confidence %v: got confidence %v, sample count %v", c.speed, c.confidence, e.Confidence, e.SampleCount)
		}
		if e.LastSample != now-time.Second {
			t.Errorf("last sample at %v, want %v", e.LastSample, now-time.Second)
		}
	}
}

func TestObserveHalvesTheConfidence(t *testing.T) {
	e := Estimate{Speed: 1, Confidence: 8}
	e.Observe(2*time.Second, 10)
	if e.Confidence != 4 || e.SampleCount != 10 || e.LastSample != 2*time.Second {
		t.Errorf("after one report: %+v", e)
	}
	e.Observe(3*time.Second, 10)
	if e.Confidence != 2 || e.SampleCount != maxSampleCount {
		t.Errorf("after two reports: %+v", e)
	}
}

func TestRestartDiscardsConfidenceAndKeepsSpeed(t *testing.T) {
	e := Estimate{Speed: 2, Goal: 2, Confidence: 8, SampleCount: 16}
	e.Restart()
	if e != (Estimate{Speed: 2, Goal: 2}) {
		t.Errorf("got %+v", e)
	}
}

func TestEstimateFollowsItsGoal(t *testing.T) {
	for _, c := range []struct {
		name                  string
		sinceLast, sinceKnown time.Duration
		want                  float64 // speed on the way from 1 to the goal of 16
	}{
		{"known for an hour: reaches the goal in settleTime", 4 * time.Second, time.Hour, 16},
		{"known for an hour: half way in half of settleTime", 2 * time.Second, time.Hour, 4},
		{"just known: reaches the goal in minSettleTime", time.Second, 0, 16},
		{"just known: a quarter of the way in a quarter of minSettleTime", time.Second / 4, 0, 2},
		{"known for 16 s: half way in 1 s", time.Second, 16 * time.Second, 4},
		{"first evaluation: reaches the goal", time.Hour, 0, 16},
		{"no time has passed", 0, time.Hour, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEstimate(0)
			e.MoveTowards(16, c.sinceLast, c.sinceKnown)
			if math.Abs(e.Speed-c.want) > 1e-9 || e.Goal != 16 {
				t.Errorf("speed %v, want %v; goal %v", e.Speed, c.want, e.Goal)
			}
		})
	}
}
