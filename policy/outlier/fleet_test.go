package outlier

import "testing"

func TestTypicalFailureRateExcludesHighestFailureRates(t *testing.T) {
	for _, c := range []struct {
		name                          string
		windows                       []Window
		attempts, rate, typical, size float64
	}{
		{"no replicas", nil, 0, 0, 0, 0},
		{"no attempts", []Window{{}}, 0, 0, 0, 1},
		{"one of four replicas fails: typical rate is 0", []Window{{Attempts: 10, Failures: 10}, {Attempts: 10}, {Attempts: 10}, {Attempts: 10}}, 40, 0.25, 0, 4},
		{"all replicas have the same failure rate", []Window{{Attempts: 10, Failures: 5}, {Attempts: 10, Failures: 5}}, 20, 0.5, 0.5, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f FleetWindow
			for _, w := range c.windows {
				f.Add(w)
			}
			if f.Attempts != c.attempts || f.FailureRate() != c.rate || f.TypicalFailureRate() != c.typical || f.Replicas != c.size {
				t.Errorf("attempts %v, failure rate %v, typical failure rate %v, replicas %v, want %v, %v, %v, %v",
					f.Attempts, f.FailureRate(), f.TypicalFailureRate(), f.Replicas, c.attempts, c.rate, c.typical, c.size)
			}
		})
	}
}
