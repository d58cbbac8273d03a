package scale

import (
	"testing"
	"time"
)

// small is the run of CI: 40 hollow controllers in this process through all faults.
func small() Plan {
	return Plan{Governors: 40, Services: 8, Replicas: 240, Zones: 6, Regions: 4, Servers: 3, Routes: 8 * 10, Tenants: 8 * 20,
		Proxies: 1, HostSize: 20, Seed: 1, Phase: 2 * time.Second, Faults: Faults, Factor: 3000, Changes: 200, Failures: 39,
		Restarts: 120, Invalid: 0.1, AtOnce: 20, Crowd: 30, Repair: time.Second, InForce: 18 * time.Second, Silence: 10 * time.Second}
}

func TestASmallFleetThroughEveryFault(t *testing.T) {
	t.Parallel()
	r, err := Run(t.Context(), small(), Options{Launch: LaunchHere(Watch), Serve: ServeHere, Dir: t.TempDir(), Log: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	r.Print(t.Output())
	if r.FailedChecks > 0 {
		t.Errorf("%d failed checks", r.FailedChecks)
	}
	if r.Changes < 20 || len(r.Phases) != 1+len(Faults) {
		t.Errorf("%d changes in %d phases", r.Changes, len(r.Phases))
	}
}
