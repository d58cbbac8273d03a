package scale

import (
	"testing"
	"time"
)

// smallPlan returns the plan of the run in CI: 40 simulated controllers in this process, through all faults.
func smallPlan() Plan {
	return Plan{Controllers: 40, Services: 8, Replicas: 240, Zones: 6, Regions: 4, Servers: 3, Routes: 8 * 10, Tenants: 8 * 20,
		Proxies: 1, ControllersPerHost: 20, Seed: 1, PhaseDuration: 2 * time.Second, Faults: Faults, TimeCompression: 3000, ChangesPerDay: 200, FailuresPerDay: 39,
		RestartsPerDay: 120, InvalidFraction: 0.1, BurstChanges: 20, BurstRestarts: 30, RepairTime: time.Second, MaxPropagationDelay: 18 * time.Second, HeartbeatTimeout: 10 * time.Second}
}

func TestSmallFleetPassesChecksThroughAllFaults(t *testing.T) {
	t.Parallel()
	r, err := Run(t.Context(), smallPlan(), Options{Launch: LaunchInProcess(NewWatchSource), Serve: ServeInProcess, Dir: t.TempDir(), Log: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	r.Print(t.Output())
	if r.FailedChecks > 0 {
		t.Errorf("%d failed checks", r.FailedChecks)
	}
	if r.Changes < 20 || len(r.Phases) != 1+len(Faults) {
		t.Errorf("%d changes in %d phases, want at least 20 changes and all phases", r.Changes, len(r.Phases))
	}
}
