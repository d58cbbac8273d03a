package main

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"lilacbend/internal/controller"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/operator"
	"lilacbend/internal/snapshot"
)

// finalSnapshotTimeout is how long the last snapshot may take to be written. With the shutdown of connections and of the log it
// stays within 0.7 s.
const finalSnapshotTimeout = 150 * time.Millisecond

// snapshotKeeper keeps learned state over restarts, in the folder that the operator file names. A nil one keeps nothing.
type snapshotKeeper struct {
	name      string // of the controller
	retention operator.Retention
	folder    filewriter.Directory
	writer    *snapshot.Writer
	lock      *filewriter.Lock
	stop      context.CancelFunc
	log       *slog.Logger

	generation string // from which the state was restored; empty: none
	age        time.Duration
	refused    int // files at the start
}

// openSnapshotKeeper acquires the folder. It returns nil if none is named, or if it cannot be acquired, which is logged.
func openSnapshotKeeper(ctx context.Context, retention operator.Retention, name string, log *slog.Logger) *snapshotKeeper {
	if retention.Folder == "" {
		return nil
	}
	folder := filewriter.Directory(retention.Folder)
	lock, err := acquireFolder(ctx, folder, or(name, unnamedOwner))
	if err != nil {
		log.Warn("state is neither read nor kept", "folder", retention.Folder, "error", err)
		return nil
	}
	return &snapshotKeeper{name: name, retention: retention, folder: folder, lock: lock, log: log}
}

// restoredState is what a controller starts with.
type restoredState struct {
	list  controller.ReplicaList
	state *learnedstate.AgedState // nil: none
}

// restore reads the newest complete generation. Without a usable one, which is logged, the list is the known one.
func (k *snapshotKeeper) restore(known controller.ReplicaList, topology controller.Topology, base clock) restoredState {
	nothing := restoredState{list: known}
	latest, err := snapshot.Latest(k.folder)
	k.refused = len(latest.Refused)
	if err != nil {
		k.log.Warn("state cannot be read", "folder", k.retention.Folder, "error", err)
		return nothing
	}
	for _, refused := range latest.Refused {
		k.logRefused(refused.Name, refused.Err)
	}
	if !latest.Found {
		k.log.Info("no state to begin with", "folder", k.retention.Folder)
		return nothing
	}
	if latest.State.Controller != k.name {
		k.logRefused(latest.Name, fmt.Sprintf("it was written by controller %q, this is %q", latest.State.Controller, k.name))
		k.refused++
		return nothing
	}
	return k.restoreGeneration(latest.Generation, known, topology, base)
}

// logRefused logs that a file is not used. The reason is an error or a text.
func (k *snapshotKeeper) logRefused(name string, reason any) {
	k.log.Warn("state refused", "file", filepath.Join(k.retention.Folder, name), "error", reason)
}

// restoreGeneration returns the state of a generation, fitted to the topology, and its list if that is newer than the known one.
func (k *snapshotKeeper) restoreGeneration(generation snapshot.Generation, known controller.ReplicaList, topology controller.Topology, base clock) restoredState {
	halfLife := k.retention.HalfLife.Nanoseconds()
	age := generation.State.Taken.Age(snapshot.Now())
	fitted, dropped := learnedstate.Fit(generation.State, topology.Installation(), age, halfLife)
	list := known
	if fitted.HasNewerList(known.Revision, age) {
		list = controller.ListFromSnapshot(fitted)
	}
	k.generation = generation.Name
	k.age = time.Duration(age)
	k.log.Info("state read",
		"file", generation.Name,
		"age", k.age.Round(time.Millisecond),
		"weight", fmt.Sprintf("%.2f", learnedstate.Weight(age, halfLife)),
		"replicas", len(fitted.Replicas),
		"list", list.Revision,
		"unfit", dropped.Replicas,
		"too_old", dropped.Expired,
		"usage_dropped", dropped.RequestRates,
		"groups_changed", dropped.ClassesChanged)
	aged := learnedstate.NewAgedState(fitted, base.now(), age, halfLife)
	return restoredState{list: list, state: aged}
}

// start starts to write submitted snapshots.
func (k *snapshotKeeper) start() {
	k.writer = snapshot.NewWriter(k.folder, k.retention.Keep, k.retention.Every, k.reacquire, k.log)
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	go k.writer.Run(ctx)
}

// reacquire replaces the lock after the folder had vanished, and the lock with it.
func (k *snapshotKeeper) reacquire() error {
	lock, err := k.folder.Acquire(or(k.name, unnamedOwner))
	if err != nil {
		return err
	}
	k.lock.Release()
	k.lock = lock
	return nil
}

// submit hands learned state, if any, to the writer.
func (k *snapshotKeeper) submit(state *learnedstate.State) {
	if k == nil || state == nil {
		return
	}
	submitted := *state
	submitted.Controller = k.name
	submitted.Taken = snapshot.Now()
	k.writer.Submit(submitted)
}

// close waits until the last submitted state is written, at most for finalSnapshotTimeout.
func (k *snapshotKeeper) close() {
	if k == nil {
		return
	}
	k.stop()
	select {
	case <-k.writer.Done():
		k.lock.Release()
	case <-time.After(finalSnapshotTimeout):
		k.log.Warn("the last state was not written in time")
	}
}

// counters returns the counters of reading and writing.
func (k *snapshotKeeper) counters() slog.Attr {
	if k == nil {
		return slog.Group("state", "on", false)
	}
	c := &k.writer.Counters
	return slog.Group("state", "on", true, "read", k.generation, "age_at_start", k.age.Round(time.Millisecond), "refused", k.refused,
		"offered", c.Offered.Load(), "written", c.Written.Load(), "bytes", c.Bytes.Load(), "failed", c.Failed.Load(),
		"skipped", c.Skipped.Load(), "generation", c.Generation.Load(), "last_took", time.Duration(c.Duration.Load()))
}
