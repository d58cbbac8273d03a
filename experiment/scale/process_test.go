package scale

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"testing"
	"time"
)

// hostArgument makes the test binary run as a host.
const hostArgument = "scale-host-of-test"

func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == hostArgument {
		if err := Host(context.Background(), os.Stdin, os.Stdout, NewWatchSource); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// An interrupt in the middle of a phase must end the run and all its processes.
func TestInterruptEndsAllProcesses(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.PhaseDuration, plan.Faults = time.Minute, []Fault{RestartBurst}
	ctx, interrupt := context.WithCancel(t.Context())
	var pids []int
	launch := func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		pid, in, out, wait, err := LaunchProcess(hostArgument)(ctx)
		pids = append(pids, pid)
		return pid, in, out, wait, err
	}
	log := func(string, ...any) { time.AfterFunc(300*time.Millisecond, interrupt) }
	if _, err := Run(ctx, plan, Options{Launch: launch, Serve: ServeInProcess, Dir: t.TempDir(), Log: log}); !errors.Is(err, context.Canceled) {
		t.Errorf("run ended with %v, want context.Canceled", err)
	}
	if len(pids) != 2 {
		t.Errorf("started %d host processes, want 2", len(pids))
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d still exists: %v", pid, err)
		}
	}
}

// A plan with invalid values, or one that exceeds the limits of the machine, must be refused before any process starts.
func TestInvalidPlansAreRefused(t *testing.T) {
	for name, change := range map[string]func(p *Plan){
		"no controller":                  func(p *Plan) { p.Controllers = 0 },
		"more services than controllers": func(p *Plan) { p.Services = 41 },
		"unknown fault":                  func(p *Plan) { p.Faults = []Fault{"flood"} },
		"kill of the only server":        func(p *Plan) { p.Servers = 1 },
		"partition of the only region":   func(p *Plan) { p.Regions = 1 },
		"too many file descriptors":      func(p *Plan) { p.Controllers, p.Replicas = 1<<24, 1<<24 },
		"too much skew":                  func(p *Plan) { p.Skew = 1000 },
		"service without replica":        func(p *Plan) { p.Replicas = 7 },
		"hosts without controller":       func(p *Plan) { p.ControllersPerHost = 0 },
	} {
		plan := smallPlan()
		change(&plan)
		launch := func(context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
			t.Errorf("%s: host started", name)
			return 0, nil, nil, nil, errors.New("hosts must not be started in this test")
		}
		if _, err := Run(t.Context(), plan, Options{Launch: launch, Serve: ServeInProcess, Dir: t.TempDir(), Log: t.Logf}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// The sizes of all services must add up to those of the plan, and the first service must be larger than the others by the
// factor skew.
func TestServiceShapesAddUpToPlan(t *testing.T) {
	for _, skew := range []int{0, 1, 20} {
		plan := Plan{Controllers: 1600, Zones: 54, Regions: 23, Servers: 8, Proxies: 2, ControllersPerHost: 400, Skew: skew}
		plan.Fill()
		if err := plan.Check(); err != nil {
			t.Fatal(err)
		}
		var sum ServiceShape
		for service := range plan.Services {
			s := plan.shape(service)
			sum.Controllers += s.Controllers
			sum.Replicas += s.Replicas
			sum.Routes += s.Routes
			sum.Tenants += s.Tenants
		}
		if sum.Controllers != 1600 || sum.Replicas != 9500 || sum.Routes != 14_000 || sum.Tenants != 74_000 {
			t.Errorf("skew %d: sum of the shapes %+v", skew, sum)
		}
		first, other := plan.shape(0), plan.shape(1)
		if times := float64(first.Tenants) / float64(other.Tenants); times < 0.9*float64(max(1, skew)) || times > 1.1*float64(max(1, skew)) {
			t.Errorf("skew %d: first service has %d tenants, the second %d", skew, first.Tenants, other.Tenants)
		}
	}
}
