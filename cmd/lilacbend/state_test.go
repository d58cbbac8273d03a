package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/operator"
	"lilacbend/internal/resp"
	"lilacbend/internal/snapshot"
)

// configurationWithState returns the example's configuration with snapshots of learned state in a folder every 20 ms.
func configurationWithState(t *testing.T, folder string) configuration {
	c := exampleConfiguration(t, scriptedpeer.FreeAddress(t))
	c.operator = operator.File{State: operator.Retention{Folder: folder, Every: 20 * time.Millisecond, HalfLife: time.Minute, Keep: 2}}
	return c
}

// startServe runs serve until stop is called. stop returns when serve has returned.
func startServe(t *testing.T, c configuration) (log *scriptedpeer.LogBuffer, stop func()) {
	return startServeWithReload(t, c, reloader{})
}

// startServeWithReload is startServe with a reloader.
func startServeWithReload(t *testing.T, c configuration, reload reloader) (log *scriptedpeer.LogBuffer, stop func()) {
	log = &scriptedpeer.LogBuffer{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- serve(ctx, c, reload, slog.New(slog.NewTextHandler(log, nil))) }()
	for range 500 {
		if conn, err := net.Dial("tcp", c.listen); err == nil {
			conn.Close()
			return log, func() {
				start := time.Now()
				cancel()
				if err := <-ended; err != nil || time.Since(start) > 700*time.Millisecond {
					t.Errorf("serve returned after %v: %v", time.Since(start), err)
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no listener on %s", c.listen)
	return nil, nil
}

// reportFailuresUntilEjected reports outcomes as a collector, in which all requests to one replica fail, until that replica
// is ejected.
func reportFailuresUntilEjected(t *testing.T, address, failing string, log *scriptedpeer.LogBuffer) {
	pool := resp.NewPool(1 << 20)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, message := range []string{"agent site a"} {
		resp.Write(conn, pool, strings.Fields(message)...)
	}
	for range 100 {
		for k := 1; k <= 6; k++ {
			failed := 0
			if fmt.Sprint("box-", k) == failing {
				failed = 10
			}
			resp.Write(conn, pool, strings.Fields(fmt.Sprintf("outcomes site a target box-%d count 10 fail %d mean 100 over 500", k, failed))...)
		}
		time.Sleep(50 * time.Millisecond)
		if log.Contains("replica " + failing + " ejected") {
			return
		}
	}
	t.Fatalf("replica %s was not ejected: %s", failing, log.String())
}

func TestRestartRestoresEjectedReplicas(t *testing.T) {
	c := configurationWithState(t, filepath.Join(t.TempDir(), "state"))
	log, stop := startServe(t, c)
	reportFailuresUntilEjected(t, c.listen, "box-2", log)
	stop()
	if !log.Contains("no learned state found") || !log.Contains("state.failed=0") {
		t.Errorf("log of the first controller: %s", log)
	}
	c.listen = scriptedpeer.FreeAddress(t)
	log, stop = startServe(t, c)
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	pool := resp.NewPool(1 << 20)
	resp.Write(conn, pool, strings.Fields("hello id 3 site a rps 20 new 0")...)
	var received string
	for r := resp.NewReader(conn, pool); !strings.Contains(received, "box-2:0."); { // bound to the proxy with a weight below 1
		words, err := r.Next()
		if received += strings.Join(words, " ") + "\n"; err != nil || strings.Count(received, "\n") > 9 {
			t.Fatalf("received %q without a weight of box-2 below 1, error %v", received, err)
		}
	}
	secondLog, stopSecond := startServe(t, func() configuration {
		configuration := c
		configuration.listen = scriptedpeer.FreeAddress(t)
		return configuration
	}())
	if stopSecond(); !secondLog.Contains("learned state disabled, its folder cannot be acquired") || !secondLog.Contains(fmt.Sprintf("directory is locked by n0, process %d", os.Getpid())) {
		t.Errorf("log of a second controller on the same folder: %s", secondLog)
	}
	if stop(); !log.Contains("learned state restored") || !log.Contains("replica box-2 probation from learned state") {
		t.Errorf("log of the restarted controller: %s", log)
	}
}

// A controller serves whatever its state folder contains. It logs the files that it cannot use and leaves them unchanged.
func TestControllerServesWithAnyStateFolder(t *testing.T) {
	encoded, _ := snapshot.Encode(learnedstate.State{Controller: "n9", TakenAt: snapshot.Now()}, 1)
	for name, c := range map[string]struct{ raw, logText string }{
		"state-0000000000000001.lbs": {string(encoded), `written by controller \"n9\", this controller is \"n0\"`},
		"state-0000000000000002.lbs": {string(encoded), "file name does not match generation 1 in the header"},
		"state-0000000000000003.lbs": {"", "magic bytes at the start of the file are missing"},
		"state-0000000000000004.lbs": {string(encoded[:60]), "damaged"},
		"unrelated":                  {"x", "no learned state found"},
	} {
		configuration := configurationWithState(t, t.TempDir())
		os.Chmod(configuration.operator.State.Folder, 0o700)
		file := filepath.Join(configuration.operator.State.Folder, name)
		os.WriteFile(file, []byte(c.raw), 0o600)
		log, stop := startServe(t, configuration)
		stop()
		if !log.Contains(c.logText) || c.raw != "x" && !log.Contains(name) {
			t.Errorf("folder with %s: the log does not contain %q: %s", name, c.logText, log)
		}
		if remaining, _ := os.ReadFile(file); name == "unrelated" && string(remaining) != "x" {
			t.Error("an unrelated file in the state folder was changed")
		}
	}
}

// Signals that request counters, a reload and the shutdown arrive while snapshots are written: no generation is damaged, and
// the shutdown is in time.
func TestSignalsDuringSnapshotWrites(t *testing.T) {
	for range 2 {
		c := configurationWithState(t, t.TempDir())
		os.Chmod(c.operator.State.Folder, 0o700)
		c.operator.State.Every = time.Millisecond
		hangups := make(chan os.Signal)
		log, stop := startServeWithReload(t, c, reloader{hangups, options{file: "../../example/config.json"}})
		for range 20 {
			syscall.Kill(os.Getpid(), syscall.SIGUSR1)
			hangups <- syscall.SIGHUP
			time.Sleep(25 * time.Millisecond)
		}
		if stop(); !log.Contains("configuration reloaded") || !log.Contains("msg=counters") {
			t.Errorf("no reload or no counters in the log: %s", log)
		}
		complete, refused, err := snapshot.ReadAll(filewriter.Directory(c.operator.State.Folder))
		if len(complete) != 2 || len(refused) != 0 || err != nil {
			t.Errorf("%d complete generations, want 2; refused %v, error %v", len(complete), refused, err)
		}
	}
}

func TestStateCommands(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "s")
	state := learnedstate.State{Controller: "n0", TakenAt: snapshot.Now(), Classes: []string{"read"}, AdmissionThreshold: 1, Replicas: []learnedstate.Replica{{ID: "box-2", Zone: "a", Speed: 0.5, RemainingEjection: 3e9, EjectionCount: 1}}}
	exported, err := snapshot.Export(state)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "s.json")
	os.WriteFile(file, exported, 0o600)
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := stateCommand(&options{}, &out)
		err := cmd.Run(context.Background(), append([]string{"state"}, args...))
		return out.String(), err
	}
	for _, c := range []struct {
		args      string
		out, fail string
	}{
		{"show " + folder, "", "no such file"},
		{"import " + file + " " + folder, "generation 1, 1 replicas", ""},
		{"import " + file + " " + folder, "generation 2, 1 replicas", ""},
		{"import " + folder, "", "no folder given: name one"},
		{"import " + filepath.Join(folder, "lock") + " " + folder, "", "invalid exported state"},
		{"show " + folder, "sick, 3s left", ""},
		{"show " + filepath.Join(folder, "state-0000000000000001.lbs"), "generation 1, format 2", ""},
		{"show --json " + folder, string(exported), ""},
		{"export " + folder, string(exported), ""},
		{"verify " + folder, "intact: 2 generations, the newest 2", ""},
		{"prune --keep 0 " + folder, "", "--keep is 0"},
		{"prune " + folder, "removed 1 files", ""},
		{"verify " + filepath.Join(folder, "state-0000000000000002.lbs"), "is intact: generation 2", ""},
		{"verify " + file, "", "not a controller's state"},
		{"verify", "", "no folder given: name one"},
	} {
		out, err := run(strings.Fields(c.args)...)
		if !strings.Contains(out, c.out) || (err != nil) != (c.fail != "") || err != nil && !strings.Contains(err.Error(), c.fail) {
			t.Errorf("%s: output %q, error %v, want %q and %q", c.args, out, err, c.out, c.fail)
		}
	}
	os.WriteFile(filepath.Join(folder, "state-0000000000000003.lbs"), []byte("LILACST\nx"), 0o600)
	if _, err := run("verify", folder); err == nil || !strings.Contains(err.Error(), "1 of 2 files rejected") {
		t.Errorf("verify of a folder with a damaged generation: %v", err)
	}
	if out, err := run("export", folder); err != nil || out != string(exported) {
		t.Errorf("export is not the newest intact generation: error %v, output %q", err, out)
	}
	lock, err := filewriter.Directory(folder).Acquire("n0")
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Release()
	if _, err := run("prune", folder); err == nil || !strings.Contains(err.Error(), "directory is locked by n0") {
		t.Errorf("prune of a folder in use: %v", err)
	}
}
