package sidecar

import (
	"context"

	"lilacbend/internal/controller"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/proxy"
)

// lockedDispatcher gives the clients of controllers and collectors access to the proxy's dispatcher under the proxy's lock.
type lockedDispatcher struct{ proxy *proxy.Proxy }

// Apply implements controlclient.Dispatcher.
func (l lockedDispatcher) Apply(updates []dispatch.UpdatePart) (err error) {
	l.proxy.WithDispatcher(func(now int64, d *dispatch.Dispatcher) { err = d.Apply(now, updates...) })
	return err
}

// HasTables implements controlclient.Dispatcher.
func (l lockedDispatcher) HasTables() (hasTables bool) {
	l.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { hasTables = d.HasTables() })
	return hasTables
}

// TakeDemand implements controlclient.Dispatcher.
func (l lockedDispatcher) TakeDemand() (demand []dispatch.Demand) {
	l.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { demand = d.TakeDemand() })
	return demand
}

// TakeOutcomes returns the outcomes of attempts by replica since the last call.
func (l lockedDispatcher) TakeOutcomes() (outcomes map[string]*dispatch.OutcomeSum) {
	l.proxy.WithDispatcher(func(_ int64, d *dispatch.Dispatcher) { outcomes = d.TakeOutcomes() })
	return outcomes
}

// updateEndpoints applies an endpoint list to the dispatcher. Until a controller has sent a table, all endpoints have the
// same weight, so that a sidecar that starts while no controller is reachable can serve.
func (s *Sidecar) updateEndpoints(complete bool, endpoints map[string]dispatch.Endpoint) {
	s.proxy.WithDispatcher(func(now int64, d *dispatch.Dispatcher) {
		d.UpdateEndpoints(complete, endpoints)
		d.UseEqualWeights(now)
	})
}

// followDiscovery applies the endpoint lists received from discovery until ctx is canceled.
func (s *Sidecar) followDiscovery(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.discoveryEvents.Ready():
		}
		for _, event := range s.discoveryEvents.Drain() {
			if list, ok := event.(controller.ReplicaList); ok {
				s.updateEndpoints(list.Complete, usableEndpoints(list))
			}
		}
	}
}

// usableEndpoints returns the endpoints of a list without those that are marked as unusable.
func usableEndpoints(list controller.ReplicaList) map[string]dispatch.Endpoint {
	endpoints := map[string]dispatch.Endpoint{}
	for _, member := range list.Members {
		if !member.StateUnreadable {
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
