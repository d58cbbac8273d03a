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

// The controllers that break rules, each in its own way.
const (
	mixes     = 0 // applies the routes of the previous revision with the rest of the new one
	goesBack  = 2 // returns to the previous revision
	mendsBad  = 4 // reads invalid settings from the writer's folder, past the servers, and changes them so that they start
	staysBack = 6 // ignores all changes
	fallsDumb = 8 // sends no sign of life after a while
)

var wrongs = map[int]checks.Rule{mixes: checks.NoMix, goesBack: checks.NoOlder, mendsBad: checks.NoRefused,
	staysBack: checks.NewestEverywhere, fallsDumb: checks.GoesOn}

// faultySource passes other settings to its controller than those that were received.
type faultySource struct {
	inner  ConfigurationSource
	number int
	shape  ServiceShape
	file   string // of the service's settings
	apply  Apply
}

func (f *faultySource) Start(apply Apply) {
	f.apply = apply
	f.inner.Start(func(v revision.Version, body []byte, done func(error)) {
		marker := markerOf(body)
		switch {
		case f.number == staysBack:
			done(nil)
			return
		case marker < 2:
		case f.number == mixes:
			body = mixed(settingsOf(f.shape, marker-1, true), body)
		case f.number == goesBack:
			time.AfterFunc(100*time.Millisecond, func() { apply(v, settingsOf(f.shape, marker-1, true), func(error) {}) })
		}
		apply(v, body, done)
	})
}

func (f *faultySource) Run(ctx context.Context) {
	if f.number == mendsBad {
		go f.mend(ctx)
	}
	f.inner.Run(ctx)
}

// mend applies what the servers refuse.
func (f *faultySource) mend(ctx context.Context) {
	for last := checks.Marker(0); ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		body, err := os.ReadFile(f.file)
		if _, refused := readSettings(body, 1); err != nil || refused == nil || markerOf(body) == last {
			continue
		}
		last = markerOf(body)
		f.apply(revision.Version{}, settingsOf(f.shape, last, true), func(error) {})
	}
}

// mixed has the routes of one revision and the rest of another.
func mixed(routes, rest []byte) []byte {
	var from, into map[string]json.RawMessage
	if json.Unmarshal(routes, &from) != nil || json.Unmarshal(rest, &into) != nil {
		return rest
	}
	into["lanes"] = from["lanes"]
	raw, _ := json.Marshal(into)
	return raw
}

// launchFaulty runs hosts in this process, and loses the signs of life of one controller on request.
func launchFaulty(source SourceOf, dumb *atomic.Bool) Launch {
	launch := LaunchHere(source)
	return func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		pid, in, out, wait, err := launch(ctx)
		kept, lines := io.Pipe()
		go func() {
			decoder, encoder := json.NewDecoder(out), json.NewEncoder(lines)
			for r := (report{}); decoder.Decode(&r) == nil; r = (report{}) {
				if r.Event == nil || r.Event.Governor != fallsDumb || r.Event.Kind != checks.Serving || !dumb.Load() {
					encoder.Encode(r)
				}
			}
			lines.Close()
		}()
		return pid, in, kept, wait, err
	}
}

// Each check reports the controller that breaks its rule, and no other one.
func TestEveryCheckNoticesItsFaultyGovernor(t *testing.T) {
	t.Parallel()
	plan := Plan{Governors: 10, Services: 5, Replicas: 30, Zones: 2, Regions: 2, Servers: 2, Routes: 20, Tenants: 20, Proxies: 1, HostSize: 10,
		Seed: 2, Phase: 3 * time.Second, Faults: []Fault{NoFault}, Factor: 1, Changes: 10 * day.Seconds(), Invalid: 0.3,
		AtOnce: 1, Crowd: 1, Repair: time.Second, InForce: 8 * time.Second, Silence: 6 * time.Second}
	var dumb atomic.Bool
	dir := t.TempDir()
	source := func(g ControllerPlan, disk configcache.Storage) ConfigurationSource {
		if _, wrong := wrongs[g.Number]; wrong && g.Number != fallsDumb {
			file := filepath.Join(dir, "settings", serviceName(g.Service)+".json")
			return &faultySource{inner: Watch(g, disk), number: g.Number, shape: g.Shape, file: file}
		}
		return Watch(g, disk)
	}
	log := func(string, ...any) { dumb.Store(true) } // the first phase begins
	r, err := Run(t.Context(), plan, Options{Launch: launchFaulty(source, &dumb), Serve: ServeHere, Dir: dir, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	broken := map[int][]checks.Rule{}
	for _, f := range r.failures {
		broken[f.Governor] = append(broken[f.Governor], f.Rule)
	}
	for number, rule := range wrongs {
		if !slices.Contains(broken[number], rule) {
			t.Errorf("governor %d: not noticed: %s", number, rule)
		}
		delete(broken, number)
	}
	if len(broken) > 0 {
		t.Errorf("these did no wrong: %v", slices.Sorted(maps.Keys(broken)))
	}
	var printed bytes.Buffer
	r.Print(&printed)
	if r.FailedChecks == 0 || !bytes.HasSuffix(printed.Bytes(), []byte(r.Verdict()+"\n")) {
		t.Errorf("the last line is not the verdict: %s", printed.String())
	}
}
