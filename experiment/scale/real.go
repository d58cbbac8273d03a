package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacbend/experiment/scale/checks"
	"lilacbend/internal/configclient"
)

// RealService is one service of real processes beside the hollow controllers.
type RealService interface {
	// Settings returns a revision of its settings, from 0.
	Settings(revision int) []byte
	// Start starts it. Its controllers are in a region and follow servers under the service's name.
	Start(ctx context.Context, name, region string, servers []configclient.Server) error
	// Governors returns the number of its controllers.
	Governors() int
	// ActiveSince returns at how many controllers settings have become active since a time.
	ActiveSince(at time.Time) int
	// Processes returns the processes of each role.
	Processes() map[string][]int
	// Stop ends all processes and waits for them.
	Stop()
}

const (
	realName  = "real"
	realEvery = 5 * time.Second // from a change of the real service's settings to the next one
	realPoll  = 10 * time.Millisecond
)

// startReal starts the real service, if there is one, in the writer's region.
func (r *scaleRun) startReal(ctx context.Context) error {
	if r.real == nil {
		return nil
	}
	if err := r.servers.publishAs(realName, r.real.Settings(0)); err != nil {
		return err
	}
	return r.real.Start(ctx, realName, regionName(0), r.network.addresses(0))
}

// changeReal changes the real service's settings again and again for a phase, one change at a time, and measures how long
// each takes to all of its governors. That one takes longer than the bound is a failed check.
func (r *scaleRun) changeReal(ctx context.Context, until time.Duration, delays *hdrhistogram.Histogram) error {
	for r.real != nil && !r.writerDown.Load() && r.tracker.since() < until && ctx.Err() == nil {
		r.realRevision++
		published := time.Now()
		if err := r.servers.publishAs(realName, r.real.Settings(r.realRevision)); err != nil {
			return err
		}
		if r.awaitReal(ctx, published) {
			record(delays, time.Since(published))
		} else if ctx.Err() == nil {
			r.realFailures = append(r.realFailures, checks.Failure{Rule: checks.InForceInTime, At: r.tracker.since(), Governor: -1,
				Detail: fmt.Sprintf("settings %d of the real service", r.realRevision)})
		}
		r.until(ctx, min(until, published.Add(realEvery).Sub(r.tracker.start)))
	}
	return nil
}

func (r *scaleRun) awaitReal(ctx context.Context, published time.Time) bool {
	for ctx.Err() == nil && time.Since(published) < r.plan.InForce {
		if r.real.ActiveSince(published) == r.real.Governors() {
			return true
		}
		time.Sleep(realPoll)
	}
	return false
}
