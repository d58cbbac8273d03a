package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/experiment/scale/checks"
)

const (
	settleInterval = 50 * time.Millisecond
	memoryInterval = time.Second
	replaceSteps   = 5 // of a repair: each step of a replica's replacement
	startTimeout   = 2 * time.Minute
	restartsSpan   = time.Minute // the crowd restarts within it, or within the phase if that is shorter
)

// scaleRun is a run in progress.
type scaleRun struct {
	plan      Plan
	tracker   *tracker
	servers   *servers
	network   *network
	agents    []*agent
	hosts     []*hostProcess
	hostOf    map[int]*hostProcess
	governors []ControllerPlan
	markers   []checks.Marker // the last published, by service
	random    *rand.Rand
	peak      int64

	writerDown atomic.Bool // nothing is published

	real         RealService // may be nil
	realRevision int
	realFailures []checks.Failure

	repairs sync.WaitGroup
}

// Options are the parts of a run.
type Options struct {
	Launch Launch
	Serve  ServerLaunch
	Dir    string      // for the servers' files
	Real   RealService // may be nil
	Log    func(format string, args ...any)
}

// Run runs a plan and checks the rules. An error is a failure of the run itself; broken rules are counted in the report.
func Run(ctx context.Context, plan Plan, options Options) (Report, error) {
	plan.Fill()
	if err := plan.Check(); err != nil {
		return Report{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &scaleRun{plan: plan, tracker: newTracker(), hostOf: map[int]*hostProcess{}, governors: plan.governors(),
		markers: make([]checks.Marker, plan.Services), random: rand.New(rand.NewPCG(plan.Seed, 1)), real: options.Real}
	defer r.close()
	out := Report{Plan: plan}
	begun, err := r.startAll(ctx, options)
	if err != nil {
		return out, err
	}
	out.Hosts = len(r.hosts)
	overMemory := make(chan error, 1)
	go r.watchMemory(ctx, stop, overMemory)
	phases := []phaseSpan{begun}
	for _, fault := range plan.Faults {
		options.Log("%s", fault)
		span, err := r.phase(ctx, fault)
		if err != nil {
			return out, errors.Join(err, drained(overMemory))
		}
		phases = append(phases, span)
	}
	r.repairs.Wait()
	return r.evaluate(out, phases)
}

func drained(c <-chan error) error {
	select {
	case err := <-c:
		return err
	default:
		return nil
	}
}

// startAll starts everything at once, which is a phase of its own.
func (r *scaleRun) startAll(ctx context.Context, options Options) (span phaseSpan, err error) {
	if r.servers, err = newServers(r.plan, options.Serve, options.Dir); err != nil {
		return span, err
	}
	if r.network, err = newNetwork(r.plan, r.servers.addresses); err != nil {
		return span, err
	}
	if err := r.publishInitial(); err != nil {
		return span, err
	}
	if err := r.servers.start(ctx, func(from, to int) string { return r.network.servers[from][to].address() }); err != nil {
		return span, err
	}
	if err := r.startReal(ctx); err != nil {
		return span, err
	}
	span = phaseSpan{fault: "start", from: r.tracker.since()}
	if err := r.startHosts(ctx, options.Launch); err != nil {
		return span, err
	}
	if !r.settle(ctx, startTimeout) {
		return span, errors.Join(ctx.Err(), fmt.Errorf("%d governors do not start", r.tracker.countBehind(r.plan.Governors)))
	}
	return r.endPhase(span, 0)
}

// publishInitial starts discovery's agents and publishes the first settings of all services.
func (r *scaleRun) publishInitial() error {
	for service := range r.plan.Services {
		a, err := newAgent(r.plan.shape(service), service)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		r.tracker.recordOwn(checks.Event{Kind: checks.Published, Service: service, Subject: checks.ReplicaList, Marker: 1, Valid: true})
		if err := r.publish(service, true); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts the hollow controllers, of which many share a process.
func (r *scaleRun) startHosts(ctx context.Context, launch Launch) error {
	for k := range r.governors {
		g := &r.governors[k]
		g.Discovery = r.agents[g.Service].address()
		g.Servers = r.network.addresses(g.Region)
	}
	for part := range slices.Chunk(r.governors, r.plan.HostSize) {
		h, err := startHost(ctx, launch, HostPlan{Governors: part}, r.tracker.record)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		for _, g := range part {
			r.hostOf[g.Number] = h
		}
	}
	return nil
}

func (r *scaleRun) close() {
	for _, h := range r.hosts {
		h.end()
	}
	if r.real != nil {
		r.real.Stop()
	}
	if r.servers != nil {
		r.servers.stop()
	}
	if r.network != nil {
		r.network.close()
	}
	for _, a := range r.agents {
		a.listener.Close()
	}
}

// publish publishes the next revision of a service's settings.
func (r *scaleRun) publish(service int, valid bool) error {
	if r.writerDown.Load() {
		return nil
	}
	r.markers[service]++
	marker := r.markers[service]
	r.tracker.recordOwn(checks.Event{Kind: checks.Published, Service: service, Subject: checks.Configuration, Marker: marker, Valid: valid})
	return r.servers.publish(service, settingsOf(r.plan.shape(service), marker, valid))
}

// settle waits until all controllers serve the newest versions, at most for a time.
func (r *scaleRun) settle(ctx context.Context, bound time.Duration) bool {
	for end := time.Now().Add(bound); ctx.Err() == nil; time.Sleep(settleInterval) {
		if r.tracker.countBehind(r.plan.Governors) == 0 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
	return false
}

func (r *scaleRun) pids() (pids []int) {
	pids = append(pids, os.Getpid())
	pids = append(pids, r.servers.pids()...)
	for _, h := range r.hosts {
		pids = append(pids, h.pid)
	}
	if r.real != nil {
		for _, of := range r.real.Processes() {
			pids = append(pids, of...)
		}
	}
	slices.Sort(pids)
	return slices.Compact(pids)
}

// watchMemory ends a run that uses more than half of the machine's memory.
func (r *scaleRun) watchMemory(ctx context.Context, stop context.CancelFunc, over chan<- error) {
	limit, err := memoryLimit()
	for err == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(memoryInterval):
		}
		var sum usage
		if sum, err = processesUsage(r.pids()); err == nil && sum.resident > limit {
			err = fmt.Errorf("%d MB are held, over half of the machine's memory", sum.resident>>20)
		}
		r.tracker.mu.Lock()
		r.peak = max(r.peak, sum.resident)
		r.tracker.mu.Unlock()
	}
	over <- err
	stop()
}
