package sidecar

import (
	"context"

	"lilacbend/internal/controller"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/proxy"
)

// controlTarget is the dispatcher as controlclient sees it.
type controlTarget struct{ proxy *proxy.Proxy }

// Apply implements controlclient.Dispatcher.
func (t controlTarget) Apply(parts []dispatch.Update) (err error) {
	t.proxy.WithDispatcher(func(now int64, d *dispatch.Dispatcher) { err = d.Apply(now, parts...) })
	return err
}

// HasTables implements controlclient.Dispatcher.
func (t controlTarget) HasTables() (has bool) {
	t.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { has = d.HasTables() })
	return has
}

// TakeDemand implements controlclient.Dispatcher.
func (t controlTarget) TakeDemand() (demand []dispatch.Demand) {
	t.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { demand = d.TakeDemand() })
	return demand
}

// TakeOutcomes returns the outcomes of attempts by replica since the last call.
func (t controlTarget) TakeOutcomes() (outcomes map[string]*dispatch.Outcomes) {
	t.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { outcomes = d.TakeOutcomes() })
	return outcomes
}

// updateEndpoints takes over an endpoint list. While no controller has sent a table, all endpoints have the same weight:
// a sidecar that starts while controllers are away serves.
func (s *Sidecar) updateEndpoints(complete bool, endpoints map[string]dispatch.Endpoint) {
	s.proxy.WithDispatcher(func(now int64, d *dispatch.Dispatcher) {
		d.UpdateEndpoints(complete, endpoints)
		d.UseEqualWeights(now)
	})
}

// followDiscovery takes over the endpoint lists of discovery until ctx ends.
func (s *Sidecar) followDiscovery(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.discovery.Ready():
		}
		for _, event := range s.discovery.Drain() {
			if list, ok := event.(controller.ReplicaList); ok {
				s.updateEndpoints(list.Complete, usableEndpoints(list))
			}
		}
	}
}

// usableEndpoints returns the endpoints of a list, without those that cannot be used.
func usableEndpoints(list controller.ReplicaList) map[string]dispatch.Endpoint {
	endpoints := map[string]dispatch.Endpoint{}
	for _, member := range list.Members {
		if !member.Unusable {
			endpoints[member.ID] = dispatch.Endpoint{
				Zone:    member.Zone,
				Cell:    member.Cell,
				Address: member.Address,
				State:   member.State,
			}
		}
	}
	return endpoints
}
