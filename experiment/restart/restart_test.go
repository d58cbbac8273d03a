package restart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilacbend/experiment/emulator"
)

// BenchmarkRestart is one run at the size of a deployment, for profiles.
func BenchmarkRestart(b *testing.B) {
	for range b.N {
		if _, err := Run(emulator.NewSite(120, 1280, 0.5), Scenarios[1], KeptState, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTurns gives the time of turns with snapshots every 5 s and without, by size.
func BenchmarkTurns(b *testing.B) {
	for _, size := range [][2]int{{120, 1280}, {1000, 10000}} {
		for name, every := range map[string]int64{"asked": 5 * second, "not asked": 1 << 60} {
			b.Run(fmt.Sprintf("%dx%d/%s", size[0], size[1], name), func(b *testing.B) {
				for range b.N {
					site := emulator.NewSite(size[0], size[1], 0.05)
					simulation := emulator.New(site, 1)
					began := time.Now()
					simulation.Clock = func() int64 { return int64(time.Since(began)) }
					simulation.Start(nil)
					simulation.Core(0).SetSnapshotPolicy(every, 60*second)
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
