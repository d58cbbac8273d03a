package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacbend/experiment/scale/checks"
	"lilacbend/internal/configclient"
)

// RealService is one service that runs as processes of the product, next to the simulated controllers.
type RealService interface {
	// Settings returns the service's settings at the given revision. Revisions start at 0.
	Settings(revision int) []byte
	// Start starts the service in the given region. Its controllers watch the settings of the service called name at the
	// given configuration servers.
	Start(ctx context.Context, name, region string, servers []configclient.Server) error
	// Controllers returns the number of the service's controllers.
	Controllers() int
	// ActiveSince returns the number of controllers at which new settings have become active since the given time.
	ActiveSince(at time.Time) int
	// Processes returns the process IDs of each role.
	Processes() map[string][]int
	// Stop ends all processes and waits for them.
	Stop()
}

const (
	realServiceName    = "real"
	realChangeInterval = 5 * time.Second // time between two changes of the settings
	realPollInterval   = 10 * time.Millisecond
)

// startRealService starts the real service, if there is one, in the writer's region.
func (r *scaleRun) startRealService(ctx context.Context) error {
	if r.realService == nil {
		return nil
	}
	if err := r.servers.publishAs(realServiceName, r.realService.Settings(0)); err != nil {
		return err
	}
	return r.realService.Start(ctx, realServiceName, regionName(0), r.network.serverAddresses(0))
}

// changeRealSettings changes the settings of the real service every realChangeInterval for a phase, one change at a time. It
// records the time until each change is active at all controllers of the service, and a violation if that exceeds the bound.
func (r *scaleRun) changeRealSettings(ctx context.Context, until time.Duration, delays *hdrhistogram.Histogram) error {
	for r.realService != nil && !r.writerDown.Load() && r.tracker.elapsed() < until && ctx.Err() == nil {
		r.realRevision++
		published := time.Now()
		if err := r.servers.publishAs(realServiceName, r.realService.Settings(r.realRevision)); err != nil {
			return err
		}
		if r.waitRealActive(ctx, published) {
			recordDelay(delays, time.Since(published))
		} else if ctx.Err() == nil {
			r.realViolations = append(r.realViolations, checks.Violation{Rule: checks.InForceWithinBound, At: r.tracker.elapsed(), Controller: -1,
				Detail: fmt.Sprintf("settings revision %d of the real service", r.realRevision)})
		}
		r.waitUntil(ctx, min(until, published.Add(realChangeInterval).Sub(r.tracker.start)))
	}
	return nil
}

// waitRealActive waits until the settings that were published at the given time are active at all controllers of the real
// service. It reports false if that takes longer than the bound.
func (r *scaleRun) waitRealActive(ctx context.Context, published time.Time) bool {
	for ctx.Err() == nil && time.Since(published) < r.plan.MaxPropagationDelay {
		if r.realService.ActiveSince(published) == r.realService.Controllers() {
			return true
		}
		time.Sleep(realPollInterval)
	}
	return false
}
