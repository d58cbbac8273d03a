package restart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilacbend/experiment/emulator"
)

// BenchmarkRestart runs one restart at the size of a real deployment, for profiles.
func BenchmarkRestart(b *testing.B) {
	for range b.N {
		if _, err := Run(emulator.NewSite(120, 1280, 0.5), Scenarios[1], KeptState, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTurns reports the duration of turns by the size of the installation, with snapshots every 5 s and without.
func BenchmarkTurns(b *testing.B) {
	for _, size := range [][2]int{{120, 1280}, {1000, 10000}} {
		for name, interval := range map[string]int64{"snapshots": 5 * second, "no snapshots": 1 << 60} {
			b.Run(fmt.Sprintf("%dx%d/%s", size[0], size[1], name), func(b *testing.B) {
				for range b.N {
					site := emulator.NewSite(size[0], size[1], 0.05)
					simulation := emulator.New(site, 1)
					start := time.Now()
					simulation.Clock = func() int64 { return int64(time.Since(start)) }
					simulation.Start(nil)
					simulation.Core(0).SetSnapshotPolicy(interval, 60*second)
					simulation.Run(5500 * second / 1000)
					simulation.TurnTimes = simulation.TurnTimes[:0]
					simulation.Run(16 * second)
					slices.Sort(simulation.TurnTimes)
					n := len(simulation.TurnTimes)
					b.ReportMetric(float64(simulation.TurnTimes[n/2])/1e6, "p50-ms")
					b.ReportMetric(float64(simulation.TurnTimes[n*99/100])/1e6, "p99-ms")
					b.ReportMetric(float64(simulation.TurnTimes[n-1])/1e6, "max-ms")
				}
			})
		}
	}
}
