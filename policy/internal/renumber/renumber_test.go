package renumber

import "testing"

func TestLookup(t *testing.T) {
	newNumbers := []int{2, -1, 0}
	for _, c := range []struct {
		name   string
		old    int
		want   int
		exists bool
	}{
		{"renumbered", 0, 2, true},
		{"renumbered to 0", 2, 0, true},
		{"removed", 1, 0, false},
		{"old number out of range", 3, 0, false},
		{"negative old number", -1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, exists := Lookup(newNumbers, c.old); got != c.want || exists != c.exists {
				t.Errorf("got %d, %v, want %d, %v", got, exists, c.want, c.exists)
			}
		})
	}
}
