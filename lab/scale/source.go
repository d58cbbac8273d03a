package scale

import (
	"context"
	"fmt"

	"lilacbend/internal/configwatch"
	"lilacbend/internal/revision"
)

// Apply takes settings that have arrived. done is called once, when they are in force or have been refused.
type Apply func(v revision.Version, body []byte, done func(error))

// ConfigurationSource brings the settings of one service.
type ConfigurationSource interface {
	Run(ctx context.Context, apply Apply)
}

// SourceOf makes the configuration source of a governor.
type SourceOf func(plan GovernorPlan) ConfigurationSource

// Watch is the product's client.
func Watch(plan GovernorPlan) ConfigurationSource { return watchSource{plan} }

type watchSource struct{ plan GovernorPlan }

func (s watchSource) Run(ctx context.Context, apply Apply) {
	var w *configwatch.Watcher // offers nothing before it runs
	offer := func(v revision.Version, body []byte) {
		apply(v, body, func(err error) {
			if err != nil {
				w.Refused(v, err)
			} else {
				w.Applied(v)
			}
		})
	}
	w, err := configwatch.New(configwatch.Options{Instance: fmt.Sprintf("governor-%d", s.plan.Number), Service: serviceName(s.plan.Service),
		Region: regionName(s.plan.Region), Zone: zoneName(s.plan.Number % max(1, s.plan.Shape.Zones)), Servers: s.plan.Servers,
		Seed: s.plan.Seed, Offer: offer})
	if err != nil {
		panic(fmt.Sprintf("governor %d: %v", s.plan.Number, err)) // the rig's own plan is wrong
	}
	w.Run(ctx)
}
