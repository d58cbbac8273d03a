// Package scale runs many hollow controllers, which share processes, against real configuration servers on loopback,
// with changes and faults, and measures what each role spends and how long changes take. It is no part of the product.
package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// The size that the product is built for; what a plan leaves out keeps its proportions.
const (
	fullGovernors = 1600
	fullServices  = 290
	fullReplicas  = 9500
	fullRoutes    = 14_000
	fullTenants   = 74_000
	fullCrowd     = 1200
	fullChanges   = 8400.0 // a day, as the next two
	fullFailures  = 39.0
	fullRestarts  = 1200.0
	zonesEach     = 3 // of one service
	day           = 24 * time.Hour
)

// Fault is the fault of a phase.
type Fault string

// The faults of phases. Each phase has the background rates of changes, failures and restarts, too.
const (
	NoFault      Fault = "quiet"
	ServerKilled Fault = "server-killed"
	WriterKilled Fault = "writer-killed"
	RegionCut    Fault = "region-cut"
	ManyRestarts Fault = "restarts"
	ManyChanges  Fault = "burst"
)

// Faults are all faults, in the order of a run.
var Faults = []Fault{NoFault, ServerKilled, WriterKilled, RegionCut, ManyRestarts, ManyChanges}

// Plan describes one run.
type Plan struct {
	Governors int `json:"governors"`
	Services  int `json:"services"` // 0: in proportion, as for the following ones
	Replicas  int `json:"replicas"`
	Zones     int `json:"zones"`
	Regions   int `json:"regions"`
	Servers   int `json:"servers"`
	Routes    int `json:"routes"`
	Tenants   int `json:"tenants"`
	Proxies   int `json:"proxies"`   // of each governor
	HostSize  int `json:"host_size"` // most governors of one process
	Skew      int `json:"skew"`      // times the size of the others that the first service has; 0: the same

	Seed     uint64        `json:"seed"`
	Phase    time.Duration `json:"phase"` // how long each fault lasts
	Faults   []Fault       `json:"faults"`
	Factor   float64       `json:"factor"`   // by which a day is compressed; rates below 0 are in proportion
	Changes  float64       `json:"changes"`  // of configuration, a day
	Failures float64       `json:"failures"` // of machines, a day: a governor or a replica each
	Restarts float64       `json:"restarts"` // a day, of the same
	Invalid  float64       `json:"invalid"`  // share of changes that are not valid
	AtOnce   int           `json:"at_once"`  // changes in a burst
	Crowd    int           `json:"crowd"`    // restarts within a minute

	Repair time.Duration `json:"repair"` // until what failed is replaced

	InForce time.Duration `json:"in_force"` // bound of the checks
	Silence time.Duration `json:"silence"`
}

// proportion is a part of the full size, at least 1.
func proportion(full, governors int) int {
	return max(1, (full*governors+fullGovernors/2)/fullGovernors)
}

// Fill sets what a plan leaves out (counts of 0, rates below 0) in proportion to the number of controllers.
func (p *Plan) Fill() {
	fill := func(into *int, full int) {
		if *into == 0 {
			*into = proportion(full, p.Governors)
		}
	}
	fill(&p.Services, fullServices)
	fill(&p.Replicas, fullReplicas)
	fill(&p.Routes, fullRoutes)
	fill(&p.Tenants, fullTenants)
	fill(&p.Crowd, fullCrowd)
	rate := func(into *float64, full float64) {
		if *into < 0 {
			*into = full * float64(p.Governors) / fullGovernors
		}
	}
	rate(&p.Changes, fullChanges)
	rate(&p.Failures, fullFailures)
	rate(&p.Restarts, fullRestarts)
}

// Check returns what is wrong with a plan, or with this machine's limits for it.
func (p Plan) Check() error {
	for _, f := range p.Faults {
		if !slices.Contains(Faults, f) {
			return fmt.Errorf("no fault %q: %v", f, Faults)
		}
	}
	switch {
	case p.Governors < 1 || p.Services < 1 || p.Services > p.Governors:
		return errors.New("at least a governor, and a governor for each service")
	case p.Replicas < p.Services || p.Zones < 1 || p.Regions < 1 || p.HostSize < 1:
		return errors.New("at least a replica for each service, a zone, a region and a governor in each process")
	case p.Servers < 1 || slices.Contains(p.Faults, ServerKilled) && p.Servers < 2:
		return errors.New("at least a server, and two for one to be killed")
	case slices.Contains(p.Faults, RegionCut) && (p.Regions < 2 || p.Servers < 2):
		return errors.New("at least two regions and two servers for one to be cut off")
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if needs := p.descriptors(); needs > limit.Cur {
		return fmt.Errorf("needs %d descriptors, and %d are allowed", needs, limit.Cur)
	}
	if has := len(p.governors()); has != p.Governors {
		return fmt.Errorf("%d services of this skew need %d governors", p.Services, has)
	}
	return nil
}

// descriptors returns how many one process needs at most: this one has both ends of a link and the end of an agent for each
// controller.
func (p Plan) descriptors() uint64 {
	return uint64(100 + 4*p.Governors + p.Services + p.Servers*(p.Regions+p.Servers))
}

// region returns the region of a service's controller.
func (p Plan) region(service, k int) int { return (service + k) % p.Regions }

// cutRegions returns the regions that are cut off: the last server's, and one without a server if there is any.
func (p Plan) cutRegions() []int {
	var served []int
	for server := range p.Servers {
		served = append(served, p.serverRegion(server))
	}
	cut := []int{served[p.Servers-1]}
	for region := range p.Regions {
		if !slices.Contains(served, region) {
			return append(cut, region)
		}
	}
	return cut
}

// serverRegion returns the region of a server; the writer is in region 0.
func (p Plan) serverRegion(server int) int { return server * p.Regions / p.Servers }

// shape returns the size of one service.
func (p Plan) shape(service int) ServiceShape {
	first := max(1, p.Skew)
	parts := p.Services - 1 + first
	from, to := first+service-1, first+service
	if service == 0 {
		from = 0
	}
	share := func(all int) int { return max(1, all*to/parts-all*from/parts) }
	return ServiceShape{Governors: share(p.Governors), Replicas: share(p.Replicas), Zones: min(zonesEach, p.Zones),
		Routes: share(p.Routes), Tenants: share(p.Tenants), Proxies: p.Proxies}
}

// A governor that is cut off for a phase has to give a sign of life in it, so it gives several, and one a second at least.
const (
	signsAPhase  = 8
	signInterval = time.Second
)

func (p Plan) signEvery() time.Duration { return min(signInterval, p.Phase/signsAPhase) }

// governors returns the controllers and their places, without addresses.
func (p Plan) governors() []ControllerPlan {
	var all []ControllerPlan
	for service := range p.Services {
		shape := p.shape(service)
		for k := range shape.Governors {
			all = append(all, ControllerPlan{Number: len(all), Service: service, Region: p.region(service, k), Shape: shape,
				Seed: p.Seed ^ uint64(len(all)+1)*0x9e3779b97f4a7c15, SignEvery: p.signEvery()})
		}
	}
	return all
}

// actionKind is something that the background does.
type actionKind int

const (
	publishChange actionKind = iota
	publishInvalid
	restartGovernor
	failGovernor
	restartReplica
	failReplica
)

// action is one of them, at a time since the phase began; Draw picks who is concerned.
type action struct {
	at   time.Duration
	kind actionKind
	draw uint64
}

// background draws the actions of a phase, by the day's rates and the factor.
func (p Plan) background(random *rand.Rand) []action {
	var all []action
	add := func(aDay float64, kind func() actionKind) {
		perSecond := aDay * p.Factor / day.Seconds()
		if perSecond <= 0 {
			return
		}
		for at := random.ExpFloat64() / perSecond; at < p.Phase.Seconds(); at += random.ExpFloat64() / perSecond {
			all = append(all, action{time.Duration(at * float64(time.Second)), kind(), random.Uint64()})
		}
	}
	either := func(governor, replica actionKind) func() actionKind {
		return func() actionKind {
			if random.IntN(p.Governors+p.Replicas) < p.Governors {
				return governor
			}
			return replica
		}
	}
	add(p.Changes, func() actionKind {
		if random.Float64() < p.Invalid {
			return publishInvalid
		}
		return publishChange
	})
	add(p.Failures, either(failGovernor, failReplica))
	add(p.Restarts, either(restartGovernor, restartReplica))
	slices.SortStableFunc(all, func(a, b action) int { return int(a.at - b.at) })
	return all
}
