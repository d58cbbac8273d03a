package scale

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacbend/experiment/scale/checks"
)

// phaseSpan has the times of a phase, and the resource usage of each role at its start and at its end.
type phaseSpan struct {
	fault                   Fault
	from, to                time.Duration
	settleTime              time.Duration
	partitioned, restarted  int
	usageBefore, usageAfter map[string]usage
	realDelays              *hdrhistogram.Histogram // time until a change was in force at all controllers of the real service
}

// The roles of a run, besides those of the real service. Reports contain these values, and Measurements finds roles in saved
// reports by them.
const (
	roleSimulated = "hollow governor"
	roleServer    = "configuration server"
	roleHarness   = "rig: links and discovery's stand-in"
	roleDiscovery = roleSimulated + ", of which discovery"
)

// usageByRole returns the resource usage of each role since its start.
func (r *scaleRun) usageByRole() (map[string]usage, error) {
	if err := checkRunning(r.pids()); err != nil {
		return nil, err
	}
	byRole := map[string]usage{}
	var hostPIDs []int
	simulated := usage{}
	for _, h := range r.hosts {
		hostPIDs = append(hostPIDs, h.pid)
		counters, err := h.readCounters()
		if err != nil {
			return nil, err
		}
		simulated.messages += counters.Messages
		simulated.heap += int64(counters.Heap)
	}
	pidsByRole := map[string][]int{roleHarness: {os.Getpid()}}
	if r.realService != nil {
		maps.Copy(pidsByRole, r.realService.Processes())
	}
	for role, pids := range pidsByRole {
		sum, err := totalUsage(pids)
		if err != nil {
			return nil, err
		}
		byRole[role] = sum
	}
	processes, err := totalUsage(hostPIDs)
	if err != nil {
		return nil, err
	}
	discovery := usage{}
	for _, a := range r.agents {
		discovery.bytes += a.bytes.Load()
		discovery.messages += a.responses.Load()
	}
	simulated.cpuTime, simulated.resident = processes.cpuTime, processes.resident
	simulated.bytes = discovery.bytes + linkBytes(r.network.controllerLinks)
	byRole[roleSimulated], byRole[roleDiscovery] = simulated, discovery
	for k := range r.plan.Servers {
		server, err := r.servers.usage(k)
		if err != nil {
			return nil, err
		}
		server.bytes = r.network.serverBytes(k)
		byRole[serverRole(k)] = server
		byRole[roleServer] = byRole[roleServer].add(server)
	}
	return byRole, nil
}

// serverRole returns the role of a single server.
func serverRole(k int) string { return fmt.Sprintf("%s %d", roleServer, k) }

// countOfRole returns the number of controllers or processes of a role.
func (r *scaleRun) countOfRole(role string) int {
	switch role {
	case roleSimulated, roleDiscovery:
		return r.plan.Controllers
	case roleServer:
		return r.plan.Servers
	case roleHarness:
		return 1
	}
	if r.realService == nil {
		return 0
	}
	return len(r.realService.Processes()[role])
}

// endPhase records the end of a phase and the resource usage at that time. A faultEnd of 0 means that no settle
// time is recorded.
func (r *scaleRun) endPhase(span phaseSpan, faultEnd time.Duration) (phaseSpan, error) {
	span.to = r.tracker.elapsed()
	if faultEnd > 0 {
		span.settleTime = span.to - faultEnd
	}
	var err error
	span.usageAfter, err = r.usageByRole()
	return span, err
}

// runPhase injects one fault while background actions run, ends it, and waits until all controllers serve the newest
// revisions.
func (r *scaleRun) runPhase(ctx context.Context, fault Fault) (span phaseSpan, err error) {
	span = phaseSpan{fault: fault, realDelays: newDelayHistogram()}
	if span.usageBefore, err = r.usageByRole(); err != nil {
		return span, err
	}
	span.from = r.tracker.elapsed()
	actions := r.plan.backgroundActions(r.random)
	endFault, err := r.injectFault(ctx, fault, &span)
	if err != nil {
		return span, fmt.Errorf("injecting fault %s: %w", fault, err)
	}
	realChangesDone := make(chan error, 1)
	go func() { realChangesDone <- r.changeRealSettings(ctx, span.from+r.plan.PhaseDuration, span.realDelays) }()
	for _, background := range actions {
		if !r.waitUntil(ctx, span.from+background.at) {
			return span, ctx.Err()
		}
		if err := r.perform(ctx, background, &span); err != nil {
			return span, fmt.Errorf("background action during fault %s: %w", fault, err)
		}
	}
	if !r.waitUntil(ctx, span.from+r.plan.PhaseDuration) {
		return span, ctx.Err()
	}
	if err := <-realChangesDone; err != nil {
		return span, fmt.Errorf("changing settings of the real service: %w", err)
	}
	if err := endFault(); err != nil {
		return span, fmt.Errorf("ending fault %s: %w", fault, err)
	}
	faultEnd := r.tracker.elapsed()
	r.repairs.Wait()
	// The checks fail for a controller that still serves an older revision after this wait.
	r.waitSettled(ctx, r.plan.MaxPropagationDelay+time.Second)
	if ctx.Err() != nil {
		return span, ctx.Err()
	}
	return r.endPhase(span, faultEnd)
}

// waitUntil waits until a time since the start of the run, and reports false if ctx is done first.
func (r *scaleRun) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(at - r.tracker.elapsed()):
		return true
	}
}

// injectFault starts a fault, and returns a function that ends it.
func (r *scaleRun) injectFault(ctx context.Context, fault Fault, span *phaseSpan) (endFault func() error, err error) {
	noAction := func() error { return nil }
	victim := r.plan.Servers - 1 // never the writer
	switch fault {
	case ServerKilled:
		return func() error { return r.servers.startServer(ctx, victim) }, r.servers.kill(victim)
	case WriterKilled: // nothing can be published until the writer is restarted
		r.writerDown.Store(true)
		restartWriter := func() error {
			err := r.servers.startServer(ctx, 0)
			r.writerDown.Store(false)
			return err
		}
		return restartWriter, r.servers.kill(0)
	case RegionPartitioned:
		return r.partition(r.plan.partitionedRegions(), span), nil
	case RestartBurst:
		return noAction, r.restartMany(ctx, span)
	case ChangeBurst:
		return noAction, r.publishBurst()
	}
	return noAction, nil
}

// partition disconnects regions from all others, and returns a function that connects them again.
func (r *scaleRun) partition(regions []int, span *phaseSpan) (heal func() error) {
	var links []*link
	for _, region := range regions {
		links = append(links, r.network.linksAcross(region)...)
	}
	var partitioned []int
	for _, controller := range r.controllers {
		if slices.Contains(regions, controller.Region) {
			partitioned = append(partitioned, controller.Number)
		}
	}
	span.partitioned = len(partitioned)
	for _, l := range links {
		l.partition()
	}
	for _, number := range partitioned {
		r.tracker.recordNow(checks.Event{Kind: checks.Partitioned, Controller: number})
	}
	return func() error {
		for _, number := range partitioned {
			r.tracker.recordNow(checks.Event{Kind: checks.Healed, Controller: number})
		}
		for _, l := range links {
			l.heal()
		}
		return nil
	}
}

// restartMany restarts random controllers at regular intervals, over restartBurstDuration or over the phase if that is
// shorter.
func (r *scaleRun) restartMany(ctx context.Context, span *phaseSpan) error {
	interval := min(restartBurstDuration, r.plan.PhaseDuration) / time.Duration(r.plan.BurstRestarts)
	numbers := make([]int, r.plan.BurstRestarts)
	for k := range numbers {
		numbers[k] = r.random.IntN(r.plan.Controllers)
	}
	span.restarted += len(numbers)
	from := r.tracker.elapsed()
	r.repairs.Go(func() {
		for k, number := range numbers {
			if !r.waitUntil(ctx, from+time.Duration(k)*interval) {
				return
			}
			r.restart(number)
		}
	})
	return nil
}

// publishBurst publishes many changes at once. They are for different services, unless there are more changes than services.
func (r *scaleRun) publishBurst() error {
	order := r.random.Perm(r.plan.Services)
	for k := range r.plan.BurstChanges {
		if err := r.publish(order[k%len(order)], true); err != nil {
			return err
		}
	}
	return nil
}

// restart restarts a controller.
func (r *scaleRun) restart(number int) {
	// The command fails only if the host has ended, which startHost reports.
	r.hostByController[number].send(command{Stop: []int{number}, Start: []int{number}})
}

var errUnknownAction = errors.New("unknown background action")

// perform performs one background action.
func (r *scaleRun) perform(ctx context.Context, a action, span *phaseSpan) error {
	number := int(a.random % uint64(r.plan.Controllers))
	service := int(a.random % uint64(r.plan.Services))
	replica := int(a.random / uint64(r.plan.Services) % uint64(r.plan.shape(service).Replicas))
	switch a.kind {
	case publishChange:
		return r.publish(service, true)
	case publishInvalid: // published only if the previous revision is in force everywhere
		if !r.tracker.serviceSettled(service) {
			return nil
		}
		return r.publish(service, false)
	case restartController:
		span.restarted++
		r.restart(number)
	case failController:
		span.restarted++
		r.hostByController[number].send(command{Stop: []int{number}})
		r.schedule(ctx, r.plan.RepairTime, func() { r.hostByController[number].send(command{Start: []int{number}}) })
	case restartReplica:
		r.changeReplica(service, replica, "Terminating")
		step := r.plan.RepairTime / replacementSteps
		r.schedule(ctx, step, func() { r.changeReplica(service, replica, "Gone") })
		r.schedule(ctx, 2*step, func() { r.changeReplica(service, replica, "Ready") })
	case failReplica:
		r.changeReplica(service, replica, "Gone")
		r.schedule(ctx, r.plan.RepairTime, func() { r.changeReplica(service, replica, "Ready") })
	default:
		return errUnknownAction
	}
	return nil
}

// schedule runs a task after a delay, unless ctx is done first.
func (r *scaleRun) schedule(ctx context.Context, delay time.Duration, task func()) {
	at := r.tracker.elapsed() + delay
	r.repairs.Go(func() {
		if r.waitUntil(ctx, at) {
			task()
		}
	})
}

// changeReplica sets the phase of a replica in discovery's list, and records the publication.
func (r *scaleRun) changeReplica(service, replica int, phase string) {
	at := r.tracker.elapsed()
	marker := r.agents[service].change(replica, phase)
	r.tracker.add(checks.Event{Kind: checks.Published, At: at, Service: service, Subject: checks.ReplicaList, Marker: marker, Valid: true})
}

// evaluate checks the rules, and completes the report.
func (r *scaleRun) evaluate(out Report, phases []phaseSpan) (Report, error) {
	end := r.tracker.elapsed()
	events, hostErrors := r.tracker.snapshot()
	if len(hostErrors) > 0 {
		return out, fmt.Errorf("host processes reported %d errors, the first: %s", len(hostErrors), hostErrors[0])
	}
	result := checks.Check(events, end, checks.Bounds{MaxPropagationDelay: r.plan.MaxPropagationDelay, HeartbeatTimeout: r.plan.HeartbeatTimeout})
	result.Violations = append(result.Violations, r.realViolations...)
	for _, span := range phases {
		out.Phases = append(out.Phases, r.phaseReport(span, result))
	}
	first, last := phases[0].usageAfter, phases[len(phases)-1].usageAfter
	out.PerController = resourceUsage(first[roleSimulated], last[roleSimulated], r.plan.Controllers, phases[len(phases)-1].to-phases[0].to)
	out.Seconds = end.Seconds()
	r.tracker.mu.Lock()
	out.PeakMB = float64(r.peakMemory) / (1 << 20)
	r.tracker.mu.Unlock()
	out.setResult(result, phases[0].to)
	return out, nil
}

// phaseReport returns the report of one phase.
func (r *scaleRun) phaseReport(span phaseSpan, result checks.Result) PhaseReport {
	phase := PhaseReport{Fault: span.fault, Seconds: (span.to - span.from).Seconds(), SettleSeconds: span.settleTime.Seconds(),
		Partitioned: span.partitioned, Restarted: span.restarted}
	report := func(role string, count int) RoleReport {
		return RoleReport{Role: role, Count: count, ResourceUsage: resourceUsage(span.usageBefore[role], span.usageAfter[role], count, span.to-span.from)}
	}
	for k := range r.plan.Servers {
		phase.Servers = append(phase.Servers, report(serverRole(k), 1))
	}
	for _, role := range slices.Sorted(maps.Keys(span.usageAfter)) {
		if count := r.countOfRole(role); count > 0 {
			phase.Roles = append(phase.Roles, report(role, count))
		}
	}
	from := span.from
	if span.usageBefore == nil { // in the start phase: the initial revisions were published before the hosts were started
		from = 0
	}
	for _, subject := range []checks.Subject{checks.Configuration, checks.ReplicaList} {
		phase.Delays = append(phase.Delays, subjectDelays(result.Changes, subject, from, span.to))
	}
	if span.realDelays != nil && span.realDelays.TotalCount() > 0 {
		phase.Delays = append(phase.Delays, SubjectDelay{Subject: "configuration of the real service", Changes: int(span.realDelays.TotalCount()), AllControllers: summarizeDelays(span.realDelays)})
	}
	return phase
}
