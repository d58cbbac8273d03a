package policy

import (
	"cmp"
	"slices"
	"time"

	"lilacbend/control"
	"lilacbend/policy/admission"
	"lilacbend/policy/binding"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/outlier"
	"lilacbend/policy/placement"
	"lilacbend/policy/slowstart"
	"lilacbend/policy/update"
	"lilacbend/policy/weight"
)

// planner is the component that holds the status of all replicas and bound proxies. It makes no decisions itself: package
// placement assigns replicas to tables, package weight compares them with each other, and packages outlier and slowstart sum
// up the fleet's failures and load.
type planner struct {
	*sharedState
	statuses        map[uint32]replicaStatus
	proxies         []placement.Proxy // those that are bound, by ascending ID
	demand          demandSummary
	placer          *placement.Placer
	baselines       *weight.Baselines
	planIsCurrent   bool // no input has changed since the last plan
	unejectTogether bool // see slowstart.Recovery.UnejectTogether
}

func newPlanner(shared *sharedState) *planner {
	return &planner{
		sharedState: shared,
		statuses:    map[uint32]replicaStatus{},
		placer:      placement.New(),
		baselines:   weight.NewBaselines(),
	}
}

func (p *planner) handle(m message) {
	switch n := m.(type) {
	case tickStarted:
		p.evaluateFleet()
	case streamClosed:
		p.removeProxy(n.Proxy)
	case replicaStatus:
		p.statuses[n.Replica] = n
	case demandSummary:
		p.demand = n
	case replicaEvicted:
		delete(p.statuses, n.replica)
		p.placer.RemoveReplica(n.replica)
	case proxyBound:
		p.setProxy(n.proxy)
	case replicaRestored:
		p.placer.RememberTable(n.Replica, n.Table)
	case fleetRestored:
		p.restore(n.FleetRestored)
	case placementDue:
		if !p.planIsCurrent {
			p.place()
		}
		p.planIsCurrent = true
		return
	default:
		unexpected(p, m)
	}
	p.planIsCurrent = false
}

func (p *planner) restore(fleet control.FleetRestored) {
	p.placer.RememberTableCount(fleet.TableCount)
	for class, baselines := range fleet.BaselineResponseTimes {
		p.baselines.Restore(class, baselines, fleet.Confidence)
	}
}

// evaluateFleet compares the replicas with each other. It sends each replica the values that it is compared with, and the
// fleet's load to admission. All sums are taken over the replicas by ascending ID, as floating-point sums depend on their
// order.
func (p *planner) evaluateFleet() {
	ids := ordered.Keys(p.statuses)
	window := p.serviceWindow(ids)
	recovery := p.recovery(ids, window)
	p.unejectTogether = recovery.UnejectTogether
	replicas := p.weightInputs(ids)
	estimator := weight.NewEstimator(p.baselines, p.HardwareClasses, replicas)
	p.baselines.Sample(time.Duration(p.now), estimator) // before the goals are computed, which use this sample as well
	for k, id := range ids {
		status := p.statuses[id]
		p.enqueue(status.queue, replicaEvaluation{
			health:       healthBaseline(status.HardwareClass, window, estimator),
			weightGoal:   estimator.Goal(replicas[k]),
			lostFraction: recovery.LostFraction,
		})
	}
	p.enqueue(admissionComponent, loadOfFleet(window, estimator))
}

// healthBaseline returns the values that the health of a replica of a hardware class is compared with.
func healthBaseline(hardwareClass int, window *outlier.FleetWindow, estimator *weight.Estimator) outlier.Fleet {
	return outlier.Fleet{
		FailureRate:      window.FailureRate(),
		PeerSuccesses:    estimator.PeerSuccesses(hardwareClass),
		SlowResponseTime: estimator.SlowResponseTime(hardwareClass),
	}
}

// loadOfFleet sums up the load of the replicas in service for admission.
func loadOfFleet(window *outlier.FleetWindow, estimator *weight.Estimator) fleetLoad {
	return fleetLoad{
		AttemptRate:          window.Attempts * float64(time.Second) / float64(outlier.EvaluationPeriod),
		FailureRate:          window.FailureRate(),
		TypicalFailureRate:   window.TypicalFailureRate(),
		ResponseTime:         estimator.FleetResponseTime(),
		ServingReplicas:      window.Replicas,
		BaselineResponseTime: estimator.FastestBaseline(),
	}
}

// serviceWindow sums the attempts at the replicas in service.
func (p *planner) serviceWindow(ids []uint32) *outlier.FleetWindow {
	window := &outlier.FleetWindow{}
	for _, id := range ids {
		status := p.statuses[id]
		if status.inService() && !p.placer.Excluded(id) {
			window.Add(status.window)
		}
	}
	return window
}

// recovery returns how replicas that warm up are treated; it depends on the load of all replicas and the fraction of lost
// requests.
func (p *planner) recovery(ids []uint32, window *outlier.FleetWindow) slowstart.Recovery {
	fleet := slowstart.NewFleet(p.OverloadMultiple)
	for _, id := range ids {
		fleet.Add(p.statuses[id].slowStartLoad())
	}
	return fleet.Recovery(window.FailureRate(), p.demand.FailedFraction)
}

// weightInputs returns the inputs of package weight for the replicas, in the order of ids.
func (p *planner) weightInputs(ids []uint32) []weight.Replica {
	replicas := make([]weight.Replica, len(ids))
	for k, id := range ids {
		replicas[k] = p.statuses[id].weightInput()
	}
	return replicas
}

// inService reports whether a replica gets requests in proportion to its weight. Only the failures of such replicas count as
// failures of the fleet.
func (s replicaStatus) inService() bool {
	return s.State == control.Ready && !s.ejected && !s.heldBack && !s.onProbation
}

func (s replicaStatus) weightInput() weight.Replica {
	return weight.Replica{
		HardwareClass: s.HardwareClass,
		ListedWeight:  s.Weight,
		Attempts:      s.window.Attempts,
		Failures:      s.window.Failures,
		ResponseTime:  s.window.ResponseTime,
		Healthy:       s.inService() && !s.warmingUp,
		LearnedSpeed:  s.learnedSpeed,
		Confidence:    s.confidence,
	}
}

func (s replicaStatus) slowStartLoad() slowstart.Load {
	return slowstart.Load{
		ListedWeight:     s.Weight,
		CapacityFraction: s.capacityFraction,
		Attempts:         s.window.Attempts,
		Failures:         s.window.Failures,
		Ready:            s.State == control.Ready,
		WarmingUp:        s.warmingUp,
	}
}

// place computes the target tables and sends them to binding and the update. Each newly excluded replica is ejected at the
// proxies, whatever the reason for its exclusion. These ejections are enqueued first, as no other message may delay them.
func (p *planner) place() {
	plan, ok := p.placer.Place(placement.Input{
		Now:      time.Duration(p.now),
		Settings: p.Settings,
		Replicas: p.placementInputs(),
		Proxies:  p.proxies,
		Demand: placement.Demand{
			Period:         admission.DemandWindow,
			Requests:       p.demand.Requests,
			LatestRequests: p.demand.LatestRequests,
		},
	})
	if !ok {
		return
	}
	for _, id := range plan.NewlyExcluded {
		p.enqueue(pacingComponent, replicaExcluded{id})
	}
	p.enqueue(pacingComponent, p.warming())
	p.enqueue(bindingComponent, tablesAssigned{plan.ServingTable})
	p.enqueue(updateComponent, targetTables{Weights: endpointWeights(plan), Ejected: plan.Excluded})
}

// placementInputs returns all replicas as inputs of placement, by ascending ID.
func (p *planner) placementInputs() []placement.Replica {
	ids := ordered.Keys(p.statuses)
	replicas := make([]placement.Replica, len(ids))
	for k, id := range ids {
		s := p.statuses[id]
		replicas[k] = placement.Replica{
			ID:            id,
			Zone:          s.Zone,
			HardwareClass: s.HardwareClass,
			Ready:         s.State == control.Ready,
			ListedWeight:  s.Weight,
			AssignmentKey: s.placementKey,
			Weight:        s.weight,
			Capacity:      s.capacity,
			Penalty:       s.penalty,
			WarmingUp:     s.warmingUp,
			HeldBack:      s.heldBack,
			Ejected:       s.ejected,
		}
	}
	return replicas
}

func endpointWeights(plan placement.Plan) map[update.Endpoint]float64 {
	weights := map[update.Endpoint]float64{}
	for table, endpoints := range plan.Endpoints {
		for _, endpoint := range endpoints {
			weights[update.Endpoint{Table: table, Replica: endpoint.Replica}] = endpoint.Weight
		}
	}
	return weights
}

func (p *planner) warming() warmingReplicas {
	warming := warmingReplicas{Replicas: map[uint32]bool{}, UnejectTogether: p.unejectTogether}
	for id, status := range p.statuses {
		if status.warmingUp {
			warming.Replicas[id] = true
		}
	}
	return warming
}

// findProxy returns the index of a proxy in proxies, or the index to insert it at and false.
func (p *planner) findProxy(id int) (int, bool) {
	return slices.BinarySearchFunc(p.proxies, id, func(proxy placement.Proxy, id int) int {
		return cmp.Compare(proxy.ID, id)
	})
}

func (p *planner) setProxy(bound binding.Proxy) {
	proxy := placement.Proxy{ID: bound.Proxy, Table: bound.Table, Rate: bound.ForecastRate, ConnectedAt: bound.ConnectedAt}
	k, ok := p.findProxy(bound.Proxy)
	if !ok {
		p.proxies = slices.Insert(p.proxies, k, proxy)
	}
	p.proxies[k] = proxy
}

func (p *planner) removeProxy(id int) {
	if k, ok := p.findProxy(id); ok {
		p.proxies = slices.Delete(p.proxies, k, k+1)
	}
}

// tableCountFor returns the number of tables that a controller started with these settings would create.
func (p *planner) tableCountFor(settings control.Settings) int {
	return placement.TableCount(settings, len(p.statuses))
}
