package ratelimit

import (
	"testing"
	"time"
)

func TestNamesAreLimitedWithinAPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	names := Names{Max: 2, Period: time.Minute}
	for _, c := range []struct {
		name string
		want bool
	}{{"a", true}, {"b", true}, {"c", false}, {"a", true}, {"b", true}} {
		if got := names.Admit(c.name, now); got != c.want {
			t.Errorf("name %s admitted: %v, want %v", c.name, got, c.want)
		}
	}
	if !names.Admit("c", now.Add(time.Minute)) {
		t.Error("another name is not admitted in the next period")
	}
	forever := Names{Max: 1}
	if !forever.Admit("a", now) || forever.Admit("b", now.Add(24*time.Hour)) {
		t.Error("without a period the first name has to stay the only one")
	}
}
