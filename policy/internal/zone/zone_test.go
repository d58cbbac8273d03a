package zone

import "testing"

func TestRows(t *testing.T) {
	for _, c := range []struct{ zones, tables, want int }{{0, 4, 1}, {3, 6, 3}, {5, 2, 2}, {-1, 1, 1}} {
		if got := Stride(c.zones, c.tables); got != c.want {
			t.Errorf("%d zones, %d tables: got %d, want %d", c.zones, c.tables, got, c.want)
		}
	}
}

func TestLeastLoadedStaysInTheZone(t *testing.T) {
	load := []float64{5, 0, 3, 1, 3, 9} // two zones: tables 0, 2, 4 and 1, 3, 5
	for _, c := range []struct {
		name              string
		zone, zones, want int
	}{
		{"the first of two tables with equal load", 0, 2, 2},
		{"another zone", 1, 2, 1},
		{"a zone number above the number of tables", 7, 6, 1},
		{"no zones", 4, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := LeastLoaded(c.zone, c.zones, load); got != c.want {
				t.Errorf("got table %d, want %d", got, c.want)
			}
		})
	}
}
