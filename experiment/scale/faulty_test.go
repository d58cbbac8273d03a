package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"lilacbend/experiment/scale/checks"
	"lilacbend/internal/configcache"
	"lilacbend/internal/revision"
)

// The numbers of the faulty controllers. Each of them violates a different rule.
const (
	mixesRevisions  = 0 // applies the routes of the previous revision with the other settings of the new one
	revertsRevision = 2 // returns to the previous revision after 100 ms
	appliesInvalid  = 4 // reads invalid settings from the writer's folder, bypassing the servers, and applies a corrected copy
	ignoresChanges  = 6 // ignores all changes
	stopsHeartbeats = 8 // sends no heartbeats from the first phase on
)

var violatedRules = map[int]checks.Rule{mixesRevisions: checks.NoMixedRevisions, revertsRevision: checks.NoOlderRevision, appliesInvalid: checks.NoRefusedRevision,
	ignoresChanges: checks.NewestAfterFaults, stopsHeartbeats: checks.KeepsServing}

// faultySource passes settings to its controller that differ from the received ones.
type faultySource struct {
	inner  ConfigurationSource
	number int
	shape  ServiceShape
	file   string // path of the file of the service's settings
	apply  Apply
}

func (f *faultySource) Start(apply Apply) {
	f.apply = apply
	f.inner.Start(func(v revision.Version, body []byte, done func(error)) {
		marker := markerOf(body)
		switch {
		case f.number == ignoresChanges:
			done(nil)
			return
		case marker < 2:
		case f.number == mixesRevisions:
			body = mixSettings(encodeSettings(f.shape, marker-1, true), body)
		case f.number == revertsRevision:
			time.AfterFunc(100*time.Millisecond, func() { apply(v, encodeSettings(f.shape, marker-1, true), func(error) {}) })
		}
		apply(v, body, done)
	})
}

func (f *faultySource) Run(ctx context.Context) {
	if f.number == appliesInvalid {
		go f.applyInvalid(ctx)
	}
	f.inner.Run(ctx)
}

// applyInvalid applies corrected copies of the settings that the servers refuse, with the marker of the refused revision.
func (f *faultySource) applyInvalid(ctx context.Context) {
	for last := checks.Marker(0); ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		body, err := os.ReadFile(f.file)
		if _, refused := loadSettings(body, 1); err != nil || refused == nil || markerOf(body) == last {
			continue
		}
		last = markerOf(body)
		f.apply(revision.Version{}, encodeSettings(f.shape, last, true), func(error) {})
	}
}

// mixSettings returns the routes of one settings file with all other settings of another.
func mixSettings(routesFrom, restFrom []byte) []byte {
	var source, target map[string]json.RawMessage
	if json.Unmarshal(routesFrom, &source) != nil || json.Unmarshal(restFrom, &target) != nil {
		return restFrom
	}
	target["lanes"] = source["lanes"]
	raw, _ := json.Marshal(target)
	return raw
}

// launchFaulty runs hosts in this process, and drops the heartbeats of the controller stopsHeartbeats while dropHeartbeats
// is set.
func launchFaulty(newSource NewSource, dropHeartbeats *atomic.Bool) Launch {
	launch := LaunchInProcess(newSource)
	return func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		pid, in, out, wait, err := launch(ctx)
		filtered, writer := io.Pipe()
		go func() {
			decoder, encoder := json.NewDecoder(out), json.NewEncoder(writer)
			for r := (report{}); decoder.Decode(&r) == nil; r = (report{}) {
				if r.Event == nil || r.Event.Controller != stopsHeartbeats || r.Event.Kind != checks.Serving || !dropHeartbeats.Load() {
					encoder.Encode(r)
				}
			}
			writer.Close()
		}()
		return pid, in, filtered, wait, err
	}
}

// Each check must report the controller that violates its rule, and no other controller.
func TestEachCheckReportsItsFaultyController(t *testing.T) {
	t.Parallel()
	runPlan := Plan{Controllers: 10, Services: 5, Replicas: 30, Zones: 2, Regions: 2, Servers: 2, Routes: 20, Tenants: 20, Proxies: 1, ControllersPerHost: 10,
		Seed: 2, PhaseDuration: 3 * time.Second, Faults: []Fault{NoFault}, TimeCompression: 1, ChangesPerDay: 10 * day.Seconds(), InvalidFraction: 0.3,
		BurstChanges: 1, BurstRestarts: 1, RepairTime: time.Second, MaxPropagationDelay: 8 * time.Second, HeartbeatTimeout: 6 * time.Second}
	var dropHeartbeats atomic.Bool
	dir := t.TempDir()
	newSource := func(plan ControllerPlan, storage configcache.Storage) ConfigurationSource {
		if _, faulty := violatedRules[plan.Number]; faulty && plan.Number != stopsHeartbeats {
			file := filepath.Join(dir, "settings", serviceName(plan.Service)+".json")
			return &faultySource{inner: NewWatchSource(plan, storage), number: plan.Number, shape: plan.Shape, file: file}
		}
		return NewWatchSource(plan, storage)
	}
	log := func(string, ...any) { dropHeartbeats.Store(true) } // the first phase begins
	r, err := Run(t.Context(), runPlan, Options{Launch: launchFaulty(newSource, &dropHeartbeats), Serve: ServeInProcess, Dir: dir, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	violations := map[int][]checks.Rule{}
	for _, violation := range r.allViolations {
		violations[violation.Controller] = append(violations[violation.Controller], violation.Rule)
	}
	for number, rule := range violatedRules {
		if !slices.Contains(violations[number], rule) {
			t.Errorf("controller %d: violation not reported: %s", number, rule)
		}
		delete(violations, number)
	}
	if len(violations) > 0 {
		t.Errorf("violations reported of controllers without a fault: %v", slices.Sorted(maps.Keys(violations)))
	}
	var printed bytes.Buffer
	r.Print(&printed)
	if r.FailedChecks == 0 || !bytes.HasSuffix(printed.Bytes(), []byte(r.Summary()+"\n")) {
		t.Errorf("last line of the report is not the summary: %s", printed.String())
	}
}
