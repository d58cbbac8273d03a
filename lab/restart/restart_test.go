package restart

import (
	"testing"

	"lilacbend/lab/emulator"
)

// One run at the size of a deployment: the cost of turns, for profiles.
func BenchmarkRestart(b *testing.B) {
	for range b.N {
		if _, err := Run(emulator.NewSite(120, 1280, 0.5), Troubles[1], Kept, 1); err != nil {
			b.Fatal(err)
		}
	}
}
