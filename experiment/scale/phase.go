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

// phaseSpan is a phase's time, and what had been spent at its start and its end.
type phaseSpan struct {
	fault          Fault
	from, to       time.Duration
	settled        time.Duration
	cut, restarted int
	before, after  map[string]usage
	real           *hdrhistogram.Histogram // delays of changes to all real governors
}

// The roles of a run beside the real ones.
const (
	roleHollow  = "hollow governor"
	roleServer  = "configuration server"
	roleRig     = "rig: links and discovery's stand-in"
	discoveryOf = roleHollow + ", of which discovery"
)

// readings reads what each role has spent since its start.
func (r *scaleRun) readings() (map[string]usage, error) {
	if err := allRun(r.pids()); err != nil {
		return nil, err
	}
	all := map[string]usage{}
	var pids []int
	hollow := usage{}
	for _, h := range r.hosts {
		pids = append(pids, h.pid)
		t, err := h.tally()
		if err != nil {
			return nil, err
		}
		hollow.messages += t.Messages
		hollow.heap += int64(t.Heap)
	}
	of := map[string][]int{roleRig: {os.Getpid()}}
	if r.real != nil {
		maps.Copy(of, r.real.Processes())
	}
	for role, pids := range of {
		sum, err := processesUsage(pids)
		if err != nil {
			return nil, err
		}
		all[role] = sum
	}
	processes, err := processesUsage(pids)
	if err != nil {
		return nil, err
	}
	discovery := usage{}
	for _, a := range r.agents {
		discovery.bytes += a.bytes.Load()
		discovery.messages += a.answers.Load()
	}
	hollow.processor, hollow.resident = processes.processor, processes.resident
	hollow.bytes = discovery.bytes + carried(r.network.governors)
	all[roleHollow], all[discoveryOf] = hollow, discovery
	for k := range r.plan.Servers {
		server, err := r.servers.usage(k)
		if err != nil {
			return nil, err
		}
		server.bytes = r.network.served(k)
		all[oneServer(k)] = server
		all[roleServer] = all[roleServer].plus(server)
	}
	return all, nil
}

func oneServer(k int) string { return fmt.Sprintf("%s %d", roleServer, k) }

// counts returns how many of a role there are.
func (r *scaleRun) count(role string) int {
	switch role {
	case roleHollow, discoveryOf:
		return r.plan.Governors
	case roleServer:
		return r.plan.Servers
	case roleRig:
		return 1
	}
	if r.real == nil {
		return 0
	}
	return len(r.real.Processes()[role])
}

// endPhase ends a phase.
func (r *scaleRun) endPhase(span phaseSpan, faultEnd time.Duration) (phaseSpan, error) {
	span.to = r.tracker.since()
	if faultEnd > 0 {
		span.settled = span.to - faultEnd
	}
	var err error
	span.after, err = r.readings()
	return span, err
}

// phase injects one fault beside the background, ends it, and waits until all serve the newest versions.
func (r *scaleRun) phase(ctx context.Context, fault Fault) (span phaseSpan, err error) {
	span = phaseSpan{fault: fault, real: newDelays()}
	if span.before, err = r.readings(); err != nil {
		return span, err
	}
	span.from = r.tracker.since()
	actions := r.plan.background(r.random)
	end, err := r.injectFault(ctx, fault, &span)
	if err != nil {
		return span, fmt.Errorf("%s: %w", fault, err)
	}
	realEnded := make(chan error, 1)
	go func() { realEnded <- r.changeReal(ctx, span.from+r.plan.Phase, span.real) }()
	for _, a := range actions {
		if !r.until(ctx, span.from+a.at) {
			return span, ctx.Err()
		}
		if err := r.perform(ctx, a, &span); err != nil {
			return span, fmt.Errorf("%s: %w", fault, err)
		}
	}
	if !r.until(ctx, span.from+r.plan.Phase) {
		return span, ctx.Err()
	}
	if err := <-realEnded; err != nil {
		return span, fmt.Errorf("the real service: %w", err)
	}
	if err := end(); err != nil {
		return span, fmt.Errorf("the end of %s: %w", fault, err)
	}
	faultEnd := r.tracker.since()
	r.repairs.Wait()
	r.settle(ctx, r.plan.InForce+time.Second) // who holds an older one then fails the checks
	if ctx.Err() != nil {
		return span, ctx.Err()
	}
	return r.endPhase(span, faultEnd)
}

// until waits until a time of the run.
func (r *scaleRun) until(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(at - r.tracker.since()):
		return true
	}
}

// injectFault begins a fault, and returns a function that ends it.
func (r *scaleRun) injectFault(ctx context.Context, fault Fault, span *phaseSpan) (end func() error, err error) {
	none := func() error { return nil }
	victim := r.plan.Servers - 1 // never the writer
	switch fault {
	case ServerKilled:
		return func() error { return r.servers.revive(ctx, victim) }, r.servers.kill(victim)
	case WriterKilled: // nothing can be published until it is back
		r.writerDown.Store(true)
		revive := func() error {
			err := r.servers.revive(ctx, 0)
			r.writerDown.Store(false)
			return err
		}
		return revive, r.servers.kill(0)
	case RegionCut:
		return r.cut(r.plan.cutRegions(), span), nil
	case ManyRestarts:
		return none, r.restartMany(ctx, span)
	case ManyChanges:
		return none, r.burst()
	}
	return none, nil
}

// cut cuts regions off from all others, and returns a function that connects them again.
func (r *scaleRun) cut(regions []int, span *phaseSpan) (heal func() error) {
	var links []*link
	for _, region := range regions {
		links = append(links, r.network.across(region)...)
	}
	var inside []int
	for _, g := range r.governors {
		if slices.Contains(regions, g.Region) {
			inside = append(inside, g.Number)
		}
	}
	span.cut = len(inside)
	for _, l := range links {
		l.cut()
	}
	for _, number := range inside {
		r.tracker.recordOwn(checks.Event{Kind: checks.Cut, Governor: number})
	}
	return func() error {
		for _, number := range inside {
			r.tracker.recordOwn(checks.Event{Kind: checks.Healed, Governor: number})
		}
		for _, l := range links {
			l.heal()
		}
		return nil
	}
}

// restartMany restarts many controllers, evenly over a minute or over the phase.
func (r *scaleRun) restartMany(ctx context.Context, span *phaseSpan) error {
	each := min(restartsSpan, r.plan.Phase) / time.Duration(r.plan.Crowd)
	drawn := make([]int, r.plan.Crowd)
	for k := range drawn {
		drawn[k] = r.random.IntN(r.plan.Governors)
	}
	span.restarted += len(drawn)
	from := r.tracker.since()
	r.repairs.Go(func() {
		for k, number := range drawn {
			if !r.until(ctx, from+time.Duration(k)*each) {
				return
			}
			r.restart(number)
		}
	})
	return nil
}

// burst publishes many changes at once, each for another service while there are enough.
func (r *scaleRun) burst() error {
	order := r.random.Perm(r.plan.Services)
	for k := range r.plan.AtOnce {
		if err := r.publish(order[k%len(order)], true); err != nil {
			return err
		}
	}
	return nil
}

func (r *scaleRun) restart(number int) {
	r.hostOf[number].tell(command{Stop: []int{number}, Start: []int{number}}) // a host that has ended has said so
}

var errNoAction = errors.New("no such action")

// perform performs one action of the background.
func (r *scaleRun) perform(ctx context.Context, a action, span *phaseSpan) error {
	number := int(a.draw % uint64(r.plan.Governors))
	service := int(a.draw % uint64(r.plan.Services))
	replica := int(a.draw / uint64(r.plan.Services) % uint64(r.plan.shape(service).Replicas))
	switch a.kind {
	case publishChange:
		return r.publish(service, true)
	case publishInvalid: // not where the one before it may still be on its way
		if !r.tracker.settled(service) {
			return nil
		}
		return r.publish(service, false)
	case restartGovernor:
		span.restarted++
		r.restart(number)
	case failGovernor:
		span.restarted++
		r.hostOf[number].tell(command{Stop: []int{number}})
		r.later(ctx, r.plan.Repair, func() { r.hostOf[number].tell(command{Start: []int{number}}) })
	case restartReplica:
		r.change(service, replica, "Terminating")
		step := r.plan.Repair / replaceSteps
		r.later(ctx, step, func() { r.change(service, replica, "Gone") })
		r.later(ctx, 2*step, func() { r.change(service, replica, "Ready") })
	case failReplica:
		r.change(service, replica, "Gone")
		r.later(ctx, r.plan.Repair, func() { r.change(service, replica, "Ready") })
	default:
		return errNoAction
	}
	return nil
}

func (r *scaleRun) later(ctx context.Context, pause time.Duration, do func()) {
	at := r.tracker.since() + pause
	r.repairs.Go(func() {
		if r.until(ctx, at) {
			do()
		}
	})
}

// change changes a replica in discovery's list.
func (r *scaleRun) change(service, replica int, phase string) {
	at := r.tracker.since()
	marker := r.agents[service].change(replica, phase)
	r.tracker.add(checks.Event{Kind: checks.Published, At: at, Service: service, Subject: checks.ReplicaList, Marker: marker, Valid: true})
}

// evaluate checks the rules, and returns the report.
func (r *scaleRun) evaluate(out Report, phases []phaseSpan) (Report, error) {
	end := r.tracker.since()
	events, faults := r.tracker.all()
	if len(faults) > 0 {
		return out, fmt.Errorf("%d faults of hosts, the first: %s", len(faults), faults[0])
	}
	verdict := checks.Judge(events, end, checks.Bounds{InForce: r.plan.InForce, Silence: r.plan.Silence})
	verdict.Failures = append(verdict.Failures, r.realFailures...)
	for _, span := range phases {
		out.Phases = append(out.Phases, r.phaseReport(span, verdict))
	}
	first, last := phases[0].after, phases[len(phases)-1].after
	out.Governor = spent(first[roleHollow], last[roleHollow], r.plan.Governors, phases[len(phases)-1].to-phases[0].to)
	out.Seconds = end.Seconds()
	r.tracker.mu.Lock()
	out.PeakMB = float64(r.peak) / (1 << 20)
	r.tracker.mu.Unlock()
	out.judged(verdict, phases[0].to)
	return out, nil
}

func (r *scaleRun) phaseReport(span phaseSpan, verdict checks.Verdict) PhaseReport {
	p := PhaseReport{Fault: span.fault, Seconds: (span.to - span.from).Seconds(), Settled: span.settled.Seconds(),
		Cut: span.cut, Restarted: span.restarted}
	report := func(role string, count int) RoleReport {
		return RoleReport{Role: role, Count: count, Spent: spent(span.before[role], span.after[role], count, span.to-span.from)}
	}
	for k := range r.plan.Servers {
		p.Servers = append(p.Servers, report(oneServer(k), 1))
	}
	for _, role := range slices.Sorted(maps.Keys(span.after)) {
		if count := r.count(role); count > 0 {
			p.Roles = append(p.Roles, report(role, count))
		}
	}
	from := span.from
	if span.before == nil { // what all start with was published before they did
		from = 0
	}
	for _, subject := range []checks.Subject{checks.Configuration, checks.ReplicaList} {
		p.Delays = append(p.Delays, subjectDelays(verdict.Changes, subject, from, span.to))
	}
	if span.real != nil && span.real.TotalCount() > 0 {
		p.Delays = append(p.Delays, SubjectDelay{Subject: "real governors' configuration", Changes: int(span.real.TotalCount()), AtAll: delaysOf(span.real)})
	}
	return p
}
