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

// stateOf returns the state file of a server that starts with the state before, if any, and has scanned its folder, if it has
// one. It is for use in a synctest bubble, whose clock sets the epoch.
func stateOf(t *testing.T, o Options, before []byte) []byte {
	t.Helper()
	o.StateFile = filepath.Join(t.TempDir(), "state.json")
	o.Listen = "127.0.0.1:0"
	o.Log = slog.New(slog.DiscardHandler)
	if before != nil {
		if err := os.WriteFile(o.StateFile, before, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	defer s.listener.Close()
	s.scan(true)
	s.mu.Lock()
	s.dirty = true
	s.mu.Unlock()
	if err := s.save(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(o.StateFile)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestStateFileMatchesGoldenFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := stateOf(t, Options{Name: "s0", Folder: goldenFolder}, nil)
		golden.Compare(t, stateFile, output)
		golden.CheckDetectsChange(t, stateFile, output)
	})
}

func TestStateFileRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := golden.Read(t, stateFile)
		follower := Options{Name: "s1", Follow: []configclient.Server{{Address: "127.0.0.1:1", Region: "r0"}}}
		golden.Compare(t, stateFile, stateOf(t, follower, held))
		writer := Options{Name: "s0", Folder: goldenFolder}
		if later := stateOf(t, writer, held); bytes.Equal(later, held) {
			t.Error("a writer that begins with the state does not begin a later epoch")
		}
	})
}
