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
	settleInterval       = 50 * time.Millisecond
	memoryInterval       = time.Second
	replacementSteps     = 5 // each step of a replica's replacement takes the repair time divided by this number
	startTimeout         = 2 * time.Minute
	restartBurstDuration = time.Minute // or the duration of the phase if that is shorter
)

// scaleRun is a run in progress.
type scaleRun struct {
	plan             Plan
	tracker          *tracker
	servers          *servers
	network          *network
	agents           []*discoveryAgent
	hosts            []*hostProcess
	hostByController map[int]*hostProcess
	controllers      []ControllerPlan
	lastMarkers      []checks.Marker // markers of the last published settings, by service
	random           *rand.Rand
	peakMemory       int64 // bytes; guarded by tracker.mu

	writerDown atomic.Bool // while set, nothing is published

	realService    RealService // may be nil
	realRevision   int
	realViolations []checks.Violation

	repairs sync.WaitGroup
}

// Options are the parts of a run that depend on the caller.
type Options struct {
	Launch      Launch
	Serve       ServerLaunch
	Dir         string      // folder for the servers' files
	RealService RealService // may be nil
	Log         func(format string, args ...any)
}

// Run runs a plan and checks the rules. An error means that the run itself failed; the report counts the violated rules.
func Run(ctx context.Context, plan Plan, options Options) (Report, error) {
	plan.Fill()
	if err := plan.Check(); err != nil {
		return Report{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &scaleRun{plan: plan, tracker: newTracker(), hostByController: map[int]*hostProcess{}, controllers: plan.controllers(),
		lastMarkers: make([]checks.Marker, plan.Services), random: rand.New(rand.NewPCG(plan.Seed, 1)), realService: options.RealService}
	defer r.close()
	out := Report{Plan: plan}
	startPhase, err := r.startAll(ctx, options)
	if err != nil {
		return out, err
	}
	out.Hosts = len(r.hosts)
	memoryError := make(chan error, 1)
	go r.watchMemory(ctx, stop, memoryError)
	phases := []phaseSpan{startPhase}
	for _, fault := range plan.Faults {
		options.Log("%s", fault)
		span, err := r.runPhase(ctx, fault)
		if err != nil {
			return out, errors.Join(err, receivedError(memoryError))
		}
		phases = append(phases, span)
	}
	r.repairs.Wait()
	return r.evaluate(out, phases)
}

// receivedError returns the error in a channel, or nil if there is none yet.
func receivedError(c <-chan error) error {
	select {
	case err := <-c:
		return err
	default:
		return nil
	}
}

// startAll starts all parts of the run. The start of the controllers, all at once, is the first phase.
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
	if err := r.servers.start(ctx, func(from, to int) string { return r.network.serverLinks[from][to].address() }); err != nil {
		return span, err
	}
	if err := r.startRealService(ctx); err != nil {
		return span, err
	}
	span = phaseSpan{fault: "start", from: r.tracker.elapsed()}
	if err := r.startHosts(ctx, options.Launch); err != nil {
		return span, err
	}
	if !r.waitSettled(ctx, startTimeout) {
		return span, errors.Join(ctx.Err(), fmt.Errorf("%d controllers do not run or do not serve the newest revisions after the start timeout", r.tracker.countBehind(r.plan.Controllers)))
	}
	return r.endPhase(span, 0)
}

// publishInitial starts the discovery agents, and publishes the first replica list and settings of all services.
func (r *scaleRun) publishInitial() error {
	for service := range r.plan.Services {
		a, err := newDiscoveryAgent(r.plan.shape(service), service)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		r.tracker.recordNow(checks.Event{Kind: checks.Published, Service: service, Subject: checks.ReplicaList, Marker: 1, Valid: true})
		if err := r.publish(service, true); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts the hosts of the simulated controllers.
func (r *scaleRun) startHosts(ctx context.Context, launch Launch) error {
	for k := range r.controllers {
		controller := &r.controllers[k]
		controller.Discovery = r.agents[controller.Service].address()
		controller.Servers = r.network.serverAddresses(controller.Region)
	}
	for chunk := range slices.Chunk(r.controllers, r.plan.ControllersPerHost) {
		h, err := startHost(ctx, launch, HostPlan{Controllers: chunk}, r.tracker.recordReport)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		for _, controller := range chunk {
			r.hostByController[controller.Number] = h
		}
	}
	return nil
}

// close ends all processes, connections and listeners of the run.
func (r *scaleRun) close() {
	for _, h := range r.hosts {
		h.close()
	}
	if r.realService != nil {
		r.realService.Stop()
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

// publish publishes the next revision of a service's settings, unless the writer is down.
func (r *scaleRun) publish(service int, valid bool) error {
	if r.writerDown.Load() {
		return nil
	}
	r.lastMarkers[service]++
	marker := r.lastMarkers[service]
	r.tracker.recordNow(checks.Event{Kind: checks.Published, Service: service, Subject: checks.Configuration, Marker: marker, Valid: valid})
	return r.servers.publish(service, encodeSettings(r.plan.shape(service), marker, valid))
}

// waitSettled waits until all controllers serve the newest revisions, and reports false after the timeout.
func (r *scaleRun) waitSettled(ctx context.Context, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); ctx.Err() == nil; time.Sleep(settleInterval) {
		if r.tracker.countBehind(r.plan.Controllers) == 0 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
	return false
}

// pids returns the process IDs of the run.
func (r *scaleRun) pids() (pids []int) {
	pids = append(pids, os.Getpid())
	pids = append(pids, r.servers.pids()...)
	for _, h := range r.hosts {
		pids = append(pids, h.pid)
	}
	if r.realService != nil {
		for _, processes := range r.realService.Processes() {
			pids = append(pids, processes...)
		}
	}
	slices.Sort(pids)
	return slices.Compact(pids)
}

// watchMemory ends a run whose processes use more than half of the machine's memory.
func (r *scaleRun) watchMemory(ctx context.Context, stop context.CancelFunc, exceeded chan<- error) {
	limit, err := memoryLimit()
	for err == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(memoryInterval):
		}
		var sum usage
		if sum, err = totalUsage(r.pids()); err == nil && sum.resident > limit {
			err = fmt.Errorf("processes of the run use %d MB, more than half of the machine's memory", sum.resident>>20)
		}
		r.tracker.mu.Lock()
		r.peakMemory = max(r.peakMemory, sum.resident)
		r.tracker.mu.Unlock()
	}
	exceeded <- err
	stop()
}
