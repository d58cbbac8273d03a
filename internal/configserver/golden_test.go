package configserver

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"lilacbend/internal/configclient"
	"lilacbend/internal/golden"
)

const (
	stateFile    = "state.golden"
	goldenFolder = "testdata/folder"
)

// stateFileAfterScan returns the content of the state file of a server that has started with the state file before, if that
// is not nil, and has scanned its folder, if it has one. Its caller must run in a synctest bubble, whose clock determines
// the epoch.
func stateFileAfterScan(t *testing.T, options Options, before []byte) []byte {
	t.Helper()
	options.StateFile = filepath.Join(t.TempDir(), "state.json")
	options.Listen = "127.0.0.1:0"
	options.Log = slog.New(slog.DiscardHandler)
	if before != nil {
		if err := os.WriteFile(options.StateFile, before, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	server, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	defer server.listener.Close()
	server.scan(true)
	server.mu.Lock()
	server.dirty = true
	server.mu.Unlock()
	if err := server.save(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(options.StateFile)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestStateFileMatchesGoldenFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := stateFileAfterScan(t, Options{Name: "s0", Folder: goldenFolder}, nil)
		golden.Compare(t, stateFile, output)
		golden.CheckDetectsChange(t, stateFile, output)
	})
}

func TestStateFileRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := golden.Read(t, stateFile)
		follower := Options{Name: "s1", Upstreams: []configclient.Server{{Address: "127.0.0.1:1", Region: "r0"}}}
		golden.Compare(t, stateFile, stateFileAfterScan(t, follower, stored))
		writer := Options{Name: "s0", Folder: goldenFolder}
		if later := stateFileAfterScan(t, writer, stored); bytes.Equal(later, stored) {
			t.Error("a writer that starts with the state file does not begin a later epoch")
		}
	})
}
