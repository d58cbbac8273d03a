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

// hostArgument has the test's own program be a host.
const hostArgument = "scale-host-of-test"

func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == hostArgument {
		if err := Host(context.Background(), os.Stdin, os.Stdout, Watch); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// An interrupt in the middle of a phase ends the run, and no process of it is left.
func TestAnInterruptEndsAllProcesses(t *testing.T) {
	t.Parallel()
	plan := small()
	plan.Phase, plan.Faults = time.Minute, []Fault{ManyRestarts}
	ctx, interrupt := context.WithCancel(t.Context())
	var pids []int
	launch := func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		pid, in, out, wait, err := LaunchChild(hostArgument)(ctx)
		pids = append(pids, pid)
		return pid, in, out, wait, err
	}
	log := func(string, ...any) { time.AfterFunc(300*time.Millisecond, interrupt) }
	if _, err := Run(ctx, plan, Options{Launch: launch, Serve: ServeHere, Dir: t.TempDir(), Log: log}); !errors.Is(err, context.Canceled) {
		t.Errorf("the run ended by %v", err)
	}
	if len(pids) != 2 {
		t.Errorf("%d processes", len(pids))
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is left: %v", pid, err)
		}
	}
}

// A plan that the machine's limits or its own figures do not allow is refused before anything starts.
func TestPlansThatCannotBe(t *testing.T) {
	for name, change := range map[string]func(p *Plan){
		"no governor":            func(p *Plan) { p.Governors = 0 },
		"more services":          func(p *Plan) { p.Services = 41 },
		"no such fault":          func(p *Plan) { p.Faults = []Fault{"flood"} },
		"one server to be lost":  func(p *Plan) { p.Servers = 1 },
		"one region to be cut":   func(p *Plan) { p.Regions = 1 },
		"too many descriptors":   func(p *Plan) { p.Governors, p.Replicas = 1<<24, 1<<24 },
		"too much skew":          func(p *Plan) { p.Skew = 1000 },
		"no service's replica":   func(p *Plan) { p.Replicas = 7 },
		"hosts without governor": func(p *Plan) { p.HostSize = 0 },
	} {
		plan := small()
		change(&plan)
		launch := func(context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
			t.Errorf("%s: a host is started", name)
			return 0, nil, nil, nil, errors.New("not in this test")
		}
		if _, err := Run(t.Context(), plan, Options{Launch: launch, Serve: ServeHere, Dir: t.TempDir(), Log: t.Logf}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// All services together have what the plan says, and a skewed one is so many times as large as the others.
func TestShapesOfServices(t *testing.T) {
	for _, skew := range []int{0, 1, 20} {
		plan := Plan{Governors: 1600, Zones: 54, Regions: 23, Servers: 8, Proxies: 2, HostSize: 400, Skew: skew}
		plan.Fill()
		if err := plan.Check(); err != nil {
			t.Fatal(err)
		}
		var sum ServiceShape
		for service := range plan.Services {
			s := plan.shape(service)
			sum.Governors += s.Governors
			sum.Replicas += s.Replicas
			sum.Routes += s.Routes
			sum.Tenants += s.Tenants
		}
		if sum.Governors != 1600 || sum.Replicas != 9500 || sum.Routes != 14_000 || sum.Tenants != 74_000 {
			t.Errorf("skew %d: %+v in all", skew, sum)
		}
		first, other := plan.shape(0), plan.shape(1)
		if times := float64(first.Tenants) / float64(other.Tenants); times < 0.9*float64(max(1, skew)) || times > 1.1*float64(max(1, skew)) {
			t.Errorf("skew %d: %d tenants and %d", skew, first.Tenants, other.Tenants)
		}
	}
}
