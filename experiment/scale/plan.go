// Package scale runs many simulated controllers, which share processes, against real configuration servers on loopback, with
// changes and faults. It measures the resource usage of each role and the time until changes are in force. It is not part of
// the product.
package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// The full size of an installation, for which the product is built. Plan.Fill sets missing values in proportion to it.
const (
	fullControllers    = 1600
	fullServices       = 290
	fullReplicas       = 9500
	fullRoutes         = 14_000
	fullTenants        = 74_000
	fullBurstRestarts  = 1200
	fullChanges        = 8400.0 // changes of configuration per day
	fullFailures       = 39.0   // failures of machines per day
	fullRestarts       = 1200.0 // restarts of machines per day
	maxZonesPerService = 3
	day                = 24 * time.Hour
)

// Fault is the fault that is injected in a phase.
type Fault string

// The faults of phases. Changes, failures and restarts at the background rates occur in each phase as well.
const (
	NoFault           Fault = "quiet"
	ServerKilled      Fault = "server-killed"
	WriterKilled      Fault = "writer-killed"
	RegionPartitioned Fault = "region-cut"
	RestartBurst      Fault = "restarts"
	ChangeBurst       Fault = "burst"
)

// Faults are all faults, in the default order of a run.
var Faults = []Fault{NoFault, ServerKilled, WriterKilled, RegionPartitioned, RestartBurst, ChangeBurst}

// Plan describes one run. Fill replaces 0 in Services, Replicas, Routes, Tenants and BurstRestarts by a count in proportion
// to Controllers.
type Plan struct {
	Controllers        int `json:"governors"`
	Services           int `json:"services"`
	Replicas           int `json:"replicas"`
	Zones              int `json:"zones"`
	Regions            int `json:"regions"`
	Servers            int `json:"servers"`
	Routes             int `json:"routes"`
	Tenants            int `json:"tenants"`
	Proxies            int `json:"proxies"`   // proxies of each controller
	ControllersPerHost int `json:"host_size"` // maximum number of controllers that share a host process
	Skew               int `json:"skew"`      // size of the first service as a multiple of the others; 0: the same size

	Seed            uint64        `json:"seed"`
	PhaseDuration   time.Duration `json:"phase"` // duration of each fault
	Faults          []Fault       `json:"faults"`
	TimeCompression float64       `json:"factor"`   // a day of background actions takes 24 h divided by this factor
	ChangesPerDay   float64       `json:"changes"`  // changes of configuration; a rate below 0: in proportion to Controllers
	FailuresPerDay  float64       `json:"failures"` // failures of machines, each with a controller or a replica
	RestartsPerDay  float64       `json:"restarts"` // restarts of machines
	InvalidFraction float64       `json:"invalid"`  // fraction of the changes that are not valid
	BurstChanges    int           `json:"at_once"`  // changes published at once
	BurstRestarts   int           `json:"crowd"`    // restarts within restartBurstDuration

	RepairTime time.Duration `json:"repair"` // time from a failure to the replacement

	MaxPropagationDelay time.Duration `json:"in_force"` // this and HeartbeatTimeout are the bounds of the checks
	HeartbeatTimeout    time.Duration `json:"silence"`
}

// proportional returns the share of a full-size count for a number of controllers, at least 1.
func proportional(full, controllers int) int {
	return max(1, (full*controllers+fullControllers/2)/fullControllers)
}

// Fill sets missing values (counts of 0, rates below 0) in proportion to the number of controllers.
func (p *Plan) Fill() {
	fill := func(field *int, full int) {
		if *field == 0 {
			*field = proportional(full, p.Controllers)
		}
	}
	fill(&p.Services, fullServices)
	fill(&p.Replicas, fullReplicas)
	fill(&p.Routes, fullRoutes)
	fill(&p.Tenants, fullTenants)
	fill(&p.BurstRestarts, fullBurstRestarts)
	rate := func(field *float64, full float64) {
		if *field < 0 {
			*field = full * float64(p.Controllers) / fullControllers
		}
	}
	rate(&p.ChangesPerDay, fullChanges)
	rate(&p.FailuresPerDay, fullFailures)
	rate(&p.RestartsPerDay, fullRestarts)
}

// Check returns an error if a plan is invalid, or if it needs more file descriptors than this process may open.
func (p Plan) Check() error {
	for _, f := range p.Faults {
		if !slices.Contains(Faults, f) {
			return fmt.Errorf("unknown fault %q, want one of %v", f, Faults)
		}
	}
	switch {
	case p.Controllers < 1 || p.Services < 1 || p.Services > p.Controllers:
		return errors.New("plan needs at least one service, and one controller for each service")
	case p.Replicas < p.Services || p.Zones < 1 || p.Regions < 1 || p.ControllersPerHost < 1:
		return errors.New("plan needs at least one replica for each service, one zone, one region and one controller for each host")
	case p.Servers < 1 || slices.Contains(p.Faults, ServerKilled) && p.Servers < 2:
		return errors.New("plan needs at least one server, and two servers to kill one of them")
	case slices.Contains(p.Faults, RegionPartitioned) && (p.Regions < 2 || p.Servers < 2):
		return errors.New("plan needs at least two regions and two servers to partition a region")
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if needed := p.descriptors(); needed > limit.Cur {
		return fmt.Errorf("plan needs %d file descriptors, and the limit of the process is %d", needed, limit.Cur)
	}
	if count := len(p.controllers()); count != p.Controllers {
		return fmt.Errorf("plan has %d services, which need %d controllers with this skew", p.Services, count)
	}
	return nil
}

// descriptors returns an upper bound of the file descriptors of one process. This process needs the most: both ends of a
// link and one end of a discovery connection for each controller.
func (p Plan) descriptors() uint64 {
	return uint64(100 + 4*p.Controllers + p.Services + p.Servers*(p.Regions+p.Servers))
}

// controllerRegion returns the region of the k-th controller of a service.
func (p Plan) controllerRegion(service, k int) int { return (service + k) % p.Regions }

// partitionedRegions returns the regions that are partitioned: that of the last server, and one without a server if there
// is any.
func (p Plan) partitionedRegions() []int {
	var withServer []int
	for server := range p.Servers {
		withServer = append(withServer, p.serverRegion(server))
	}
	partitioned := []int{withServer[p.Servers-1]}
	for region := range p.Regions {
		if !slices.Contains(withServer, region) {
			return append(partitioned, region)
		}
	}
	return partitioned
}

// serverRegion returns the region of a server; the writer is in region 0.
func (p Plan) serverRegion(server int) int { return server * p.Regions / p.Servers }

// shape returns the size of one service.
func (p Plan) shape(service int) ServiceShape {
	firstShares := max(1, p.Skew)
	totalShares := p.Services - 1 + firstShares
	from, to := firstShares+service-1, firstShares+service
	if service == 0 {
		from = 0
	}
	share := func(all int) int { return max(1, all*to/totalShares-all*from/totalShares) }
	return ServiceShape{Controllers: share(p.Controllers), Replicas: share(p.Replicas), Zones: min(maxZonesPerService, p.Zones),
		Routes: share(p.Routes), Tenants: share(p.Tenants), Proxies: p.Proxies}
}

// A controller that is partitioned for a phase must send a heartbeat within it, so it sends several per phase, and at
// least one per second.
const (
	heartbeatsPerPhase   = 8
	maxHeartbeatInterval = time.Second
)

func (p Plan) heartbeatInterval() time.Duration {
	return min(maxHeartbeatInterval, p.PhaseDuration/heartbeatsPerPhase)
}

// controllers returns the plans of all controllers, without the addresses of their peers.
func (p Plan) controllers() []ControllerPlan {
	var all []ControllerPlan
	for service := range p.Services {
		shape := p.shape(service)
		for k := range shape.Controllers {
			all = append(all, ControllerPlan{Number: len(all), Service: service, Region: p.controllerRegion(service, k), Shape: shape,
				Seed: p.Seed ^ uint64(len(all)+1)*0x9e3779b97f4a7c15, HeartbeatInterval: p.heartbeatInterval()})
		}
	}
	return all
}

// actionKind is the kind of a background action.
type actionKind int

const (
	publishChange actionKind = iota
	publishInvalid
	restartController
	failController
	restartReplica
	failReplica
)

// action is one background action, at a time since the start of the phase. The random number selects the service, the
// controller or the replica.
type action struct {
	at     time.Duration
	kind   actionKind
	random uint64
}

// backgroundActions returns random actions for a phase, at the daily rates multiplied by the time compression.
func (p Plan) backgroundActions(random *rand.Rand) []action {
	var all []action
	add := func(perDay float64, kind func() actionKind) {
		perSecond := perDay * p.TimeCompression / day.Seconds()
		if perSecond <= 0 {
			return
		}
		for at := random.ExpFloat64() / perSecond; at < p.PhaseDuration.Seconds(); at += random.ExpFloat64() / perSecond {
			all = append(all, action{time.Duration(at * float64(time.Second)), kind(), random.Uint64()})
		}
	}
	controllerOrReplica := func(controller, replica actionKind) func() actionKind {
		return func() actionKind {
			if random.IntN(p.Controllers+p.Replicas) < p.Controllers {
				return controller
			}
			return replica
		}
	}
	add(p.ChangesPerDay, func() actionKind {
		if random.Float64() < p.InvalidFraction {
			return publishInvalid
		}
		return publishChange
	})
	add(p.FailuresPerDay, controllerOrReplica(failController, failReplica))
	add(p.RestartsPerDay, controllerOrReplica(restartController, restartReplica))
	slices.SortStableFunc(all, func(a, b action) int { return int(a.at - b.at) })
	return all
}
