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

func stateful(t *testing.T, folder string) configuration {
	c := exampleConfiguration(t, scriptedpeer.FreeAddress(t))
	c.operator = operator.File{State: operator.Retention{Folder: folder, Every: 20 * time.Millisecond, HalfLife: time.Minute, Keep: 2}}
	return c
}

// start serves until stop, which waits for the end.
func start(t *testing.T, c configuration) (out *lines, stop func()) {
	return startWith(t, c, reloader{})
}

func startWith(t *testing.T, c configuration, reload reloader) (out *lines, stop func()) {
	out = &lines{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- serve(ctx, c, reload, slog.New(slog.NewTextHandler(out, nil))) }()
	for range 500 {
		if conn, err := net.Dial("tcp", c.listen); err == nil {
			conn.Close()
			return out, func() {
				begun := time.Now()
				cancel()
				if err := <-ended; err != nil || time.Since(begun) > 700*time.Millisecond {
					t.Errorf("ended after %v: %v", time.Since(begun), err)
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("nobody listens")
	return nil, nil
}

// reports sends outcomes of a replica that answers nothing, until it is ejected.
func reports(t *testing.T, at, sick string, out *lines) {
	pool := resp.NewPool(1 << 20)
	conn, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, says := range []string{"agent site a"} {
		resp.Write(conn, pool, strings.Fields(says)...)
	}
	for range 100 {
		for k := 1; k <= 6; k++ {
			failed := 0
			if fmt.Sprint("box-", k) == sick {
				failed = 10
			}
			resp.Write(conn, pool, strings.Fields(fmt.Sprintf("outcomes site a target box-%d count 10 fail %d mean 100 over 500", k, failed))...)
		}
		time.Sleep(50 * time.Millisecond)
		if out.has("replica " + sick + " ejected") {
			return
		}
	}
	t.Fatal("not called sick: ", out.String())
}

func TestRestartRestoresEjectedReplicas(t *testing.T) {
	c := stateful(t, filepath.Join(t.TempDir(), "state"))
	out, stop := start(t, c)
	reports(t, c.listen, "box-2", out)
	stop()
	if !out.has("no state to begin with") || !out.has("state.failed=0") {
		t.Errorf("first: %s", out)
	}
	c.listen = scriptedpeer.FreeAddress(t)
	out, stop = start(t, c)
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	pool := resp.NewPool(1 << 20)
	resp.Write(conn, pool, strings.Fields("hello id 3 site a rps 20 new 0")...)
	var heard string
	for r := resp.NewReader(conn, pool); !strings.Contains(heard, "box-2:0."); { // let in, with less than the others
		words, err := r.Next()
		if heard += strings.Join(words, " ") + "\n"; err != nil || strings.Count(heard, "\n") > 9 {
			t.Fatalf("told %q %v", heard, err)
		}
	}
	other, end := start(t, func() configuration { second := c; second.listen = scriptedpeer.FreeAddress(t); return second }())
	if end(); !other.has("state is neither read nor kept") || !other.has(fmt.Sprintf("directory is locked by n0, process %d", os.Getpid())) {
		t.Errorf("two on one folder: %s", other)
	}
	if stop(); !out.has("state read") || !out.has("replica box-2 probation by learned state") {
		t.Errorf("second: %s", out)
	}
}

// With any content of the folder a controller serves; it logs the files that it cannot use, and leaves them.
func TestControllerServesWithAnyStateFolder(t *testing.T) {
	whole, _ := snapshot.Encode(learnedstate.State{Controller: "n9", Taken: snapshot.Now()}, 1)
	for name, c := range map[string]struct{ raw, says string }{
		"state-0000000000000001.lbs": {string(whole), `it was written by controller \"n9\", this is \"n0\"`},
		"state-0000000000000002.lbs": {string(whole), "file name does not match generation 1 in the header"},
		"state-0000000000000003.lbs": {"", "magic bytes at the start of the file are missing"},
		"state-0000000000000004.lbs": {string(whole[:60]), "damaged"},
		"unrelated":                  {"x", "no state to begin with"},
	} {
		started := stateful(t, t.TempDir())
		os.Chmod(started.operator.State.Folder, 0o700)
		file := filepath.Join(started.operator.State.Folder, name)
		os.WriteFile(file, []byte(c.raw), 0o600)
		out, stop := start(t, started)
		stop()
		if !out.has(c.says) || c.raw != "x" && !out.has(name) {
			t.Errorf("%s: %s", name, out)
		}
		if left, _ := os.ReadFile(file); name == "unrelated" && string(left) != "x" {
			t.Error("a file that is not ours is touched")
		}
	}
}

// Signals for counters, reload and shutdown during writes: no generation is damaged, and the shutdown is in time.
func TestSignalsDuringSnapshotWrites(t *testing.T) {
	for range 2 {
		c := stateful(t, t.TempDir())
		os.Chmod(c.operator.State.Folder, 0o700)
		c.operator.State.Every = time.Millisecond
		hangups := make(chan os.Signal)
		out, stop := startWith(t, c, reloader{hangups, options{file: "../../example/config.json"}})
		for range 20 {
			syscall.Kill(os.Getpid(), syscall.SIGUSR1)
			hangups <- syscall.SIGHUP
			time.Sleep(25 * time.Millisecond)
		}
		if stop(); !out.has("read again") || !out.has("msg=counters") {
			t.Errorf("%s", out)
		}
		whole, refused, err := snapshot.ReadAll(filewriter.Directory(c.operator.State.Folder))
		if len(whole) != 2 || len(refused) != 0 || err != nil {
			t.Errorf("%d whole, refused %v, %v", len(whole), refused, err)
		}
	}
}

func TestStateCommands(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "s")
	m := learnedstate.State{Controller: "n0", Taken: snapshot.Now(), Classes: []string{"read"}, AdmissionThreshold: 1, Replicas: []learnedstate.Replica{{ID: "box-2", Zone: "a", Speed: 0.5, EjectedFor: 3e9, Ejections: 1}}}
	paper, err := snapshot.Export(m)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "s.json")
	os.WriteFile(file, paper, 0o600)
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
		{"import " + folder, "", "no folder: name one"},
		{"import " + filepath.Join(folder, "lock") + " " + folder, "", "invalid exported state"},
		{"show " + folder, "sick, 3s left", ""},
		{"show " + filepath.Join(folder, "state-0000000000000001.lbs"), "generation 1, format 2", ""},
		{"show --json " + folder, string(paper), ""},
		{"export " + folder, string(paper), ""},
		{"verify " + folder, "whole: 2 generations, the newest 2", ""},
		{"prune --keep 0 " + folder, "", "--keep is 0"},
		{"prune " + folder, "removed 1 files", ""},
		{"verify " + filepath.Join(folder, "state-0000000000000002.lbs"), "is whole: generation 2", ""},
		{"verify " + file, "", "not a controller's state"},
		{"verify", "", "no folder: name one"},
	} {
		out, err := run(strings.Fields(c.args)...)
		if !strings.Contains(out, c.out) || (err != nil) != (c.fail != "") || err != nil && !strings.Contains(err.Error(), c.fail) {
			t.Errorf("%s: %q %v", c.args, out, err)
		}
	}
	os.WriteFile(filepath.Join(folder, "state-0000000000000003.lbs"), []byte("LILACST\nx"), 0o600)
	if _, err := run("verify", folder); err == nil || !strings.Contains(err.Error(), "1 of 2 files refused") {
		t.Errorf("a damaged one: %v", err)
	}
	if out, err := run("export", folder); err != nil || out != string(paper) {
		t.Errorf("the newest whole one: %v", err)
	}
	lock, err := filewriter.Directory(folder).Acquire("n0")
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Release()
	if _, err := run("prune", folder); err == nil || !strings.Contains(err.Error(), "directory is locked by n0") {
		t.Errorf("pruned while held: %v", err)
	}
}
