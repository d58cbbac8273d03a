package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"lilacbend/control"
	"lilacbend/internal/configapi"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/golden"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/revision"
	"lilacbend/internal/snapshot"
)

const (
	exportFile = "state-export.golden"
	statusFile = "configserver-status.golden"
)

// outputOf runs a command of the program and returns its output.
func outputOf(t *testing.T, command func(out io.Writer) *cli.Command, args ...string) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := command(&out).Run(context.Background(), args); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func newStateCommand(out io.Writer) *cli.Command { return stateCommand(&options{}, out) }

func newConfigserverCommand(out io.Writer) *cli.Command { return configserverCommand(nil, out) }

// goldenState has a non-zero value in every exported field.
func goldenState() learnedstate.State {
	return learnedstate.State{
		Controller: "n7", TakenAt: learnedstate.Timestamp{Wall: 1_700_000_000_000_000_041, Boot: "5f0c", Uptime: 5_000_000_003}, Revision: 905,
		Classes: []string{"lookup", "order"}, TableCount: 3, AdmissionThreshold: 0.7, MaxSuccessRate: 40.25, RetriesStopped: true,
		Replicas: []learnedstate.Replica{
			{ID: "s-1", Zone: "a", HardwareClass: "m1", StartedAt: 1_699_999_000_000_000_000, State: control.Draining, ListedWeight: 1.5, Speed: 0.5, SampleCount: 12,
				PlacementKey: 0.3, Table: 1, RemainingEjection: 2_000_000_000, Probation: true, EjectionCount: 2, SinceLastSample: 1_000_000_000},
			{ID: "s-2", Zone: "b", HardwareClass: "m2", ListedWeight: 1, Speed: 2.125, SampleCount: 16, PlacementKey: 0.4},
		},
		BaselineResponseTimes: []learnedstate.ResponseTimes{{HardwareClass: "m1", Times: []float64{0.125, 0.25}}, {Times: []float64{0.15}}},
		RequestRates:          []learnedstate.RequestRate{{Proxy: 1, Class: "lookup", Rate: 20}, {Proxy: 2, Class: "order", Rate: 0.5}},
		Bindings:              []control.Binding{{Proxy: 1, Table: 1}, {Proxy: 2, Table: 0}},
	}
}

func TestStateExportMatchesGoldenFile(t *testing.T) {
	folder := t.TempDir()
	if _, err := snapshot.Write(filewriter.Directory(folder), goldenState(), 1); err != nil {
		t.Fatal(err)
	}
	for _, subcommand := range [][]string{{"export"}, {"show", "--json"}} {
		t.Run(strings.Join(subcommand, " "), func(t *testing.T) {
			output := outputOf(t, newStateCommand, append(append([]string{"state"}, subcommand...), folder)...)
			golden.Compare(t, exportFile, output)
			golden.CheckDetectsChange(t, exportFile, output)
		})
	}
}

func TestStateExportRoundTrip(t *testing.T) {
	folder := t.TempDir()
	outputOf(t, newStateCommand, "state", "import", "testdata/"+exportFile, folder)
	golden.Compare(t, exportFile, outputOf(t, newStateCommand, "state", "export", folder))
}

// goldenStatuses returns the statuses of a writer and of its follower. Controllers are in two zones; one lags, one has
// rejected the newest version, and one is known to both servers.
func goldenStatuses() []configapi.Status {
	version := func(number uint64) revision.Version { return revision.Version{Epoch: 7, Revision: number} }
	history := func(extraMS int64) []configapi.Published {
		return []configapi.Published{{Version: version(29), AgoMS: 90_000 + extraMS}, {Version: version(30), AgoMS: 60_000 + extraMS}, {Version: version(31), AgoMS: 1500 + extraMS}}
	}
	return []configapi.Status{
		{Server: "s0", Region: "r0", Writer: true, Version: version(32), Faults: []configapi.Fault{{File: "stock.json", Reason: "unexpected end"}},
			Services: []configapi.ServiceStatus{{Name: "orders", Version: version(31), Bytes: 905, History: history(0)}, {Name: "stock", Version: version(28), Bytes: 17}},
			Watchers: []configapi.Watcher{
				{Instance: "s1", Region: "r1", Active: version(32), LastSeenMS: 3},
				{Instance: "n1", Service: "orders", Zone: "a", Region: "r0", Active: version(31), LastSeenMS: 40},
				{Instance: "n2", Service: "orders", Zone: "a", Region: "r0", Active: version(30), LastSeenMS: 50},
				{Instance: "n3", Service: "orders", Zone: "b", Region: "r1", Active: version(29), LastSeenMS: 70_000},
			},
			Counters: configapi.Counters{Requests: 1, Copies: 2}},
		{Server: "s1", Region: "r1", Version: version(31), WriterAgeMS: 12, Faults: []configapi.Fault{},
			Services: []configapi.ServiceStatus{{Name: "orders", Version: version(31), Bytes: 905, History: history(-20)}},
			Watchers: []configapi.Watcher{{Instance: "n3", Service: "orders", Zone: "b", Region: "r1", Active: version(29), Rejected: version(31), LastSeenMS: 30}}},
	}
}

func TestConfigserverStatusMatchesGoldenFile(t *testing.T) {
	var addresses []string
	for _, status := range goldenStatuses() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != "/status" {
				t.Errorf("request is %s %s, want GET /status", r.Method, r.URL)
			}
			json.NewEncoder(w).Encode(status)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	output := outputOf(t, newConfigserverCommand, "configserver", "status", "--json", "--server", strings.Join(addresses, ","))
	golden.Compare(t, statusFile, output)
	golden.CheckDetectsChange(t, statusFile, output)
}
