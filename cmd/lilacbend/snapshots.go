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

// finalSnapshotTimeout limits the time for writing the last snapshot at shutdown. Together with the shutdown of connections
// and of the log it stays below 0.7 s, after which SIGKILL may follow SIGTERM.
const finalSnapshotTimeout = 150 * time.Millisecond

// snapshotKeeper keeps learned state over restarts, in the folder that the operator file names. A nil keeper stores nothing.
type snapshotKeeper struct {
	name      string // of the controller
	retention operator.Retention
	folder    filewriter.Directory
	writer    *snapshot.Writer
	lock      *filewriter.Lock
	stop      context.CancelFunc
	log       *slog.Logger

	generation string        // file name of the generation that was restored; empty: none
	age        time.Duration // of the restored generation at the start
	refused    int           // files that were rejected at the start
}

// openSnapshotKeeper acquires the lock of the folder for learned state. It returns nil if the operator file names no such
// folder. If the lock cannot be acquired, it logs the error and returns nil.
func openSnapshotKeeper(ctx context.Context, retention operator.Retention, name string, log *slog.Logger) *snapshotKeeper {
	if retention.Folder == "" {
		return nil
	}
	folder := filewriter.Directory(retention.Folder)
	lock, err := acquireFolder(ctx, folder, firstNonEmpty(name, unnamedOwner))
	if err != nil {
		log.Warn("learned state disabled, its folder cannot be acquired", "folder", retention.Folder, "error", err)
		return nil
	}
	return &snapshotKeeper{name: name, retention: retention, folder: folder, lock: lock, log: log}
}

// restoredState is the list of replicas and the learned state that a controller starts with.
type restoredState struct {
	list  controller.ReplicaList
	state *learnedstate.AgedState // nil: none
}

// restore returns the state and the list to start with from the newest complete generation. If no generation is usable, it
// logs that and returns known, the list of replicas in the configuration file, without learned state.
func (k *snapshotKeeper) restore(known controller.ReplicaList, topology controller.Topology, base clock) restoredState {
	unrestored := restoredState{list: known}
	latest, err := snapshot.Latest(k.folder)
	k.refused = len(latest.Refused)
	if err != nil {
		k.log.Warn("learned state cannot be read", "folder", k.retention.Folder, "error", err)
		return unrestored
	}
	for _, refused := range latest.Refused {
		k.logRefused(refused.Name, refused.Err)
	}
	if !latest.Found {
		k.log.Info("no learned state found, starting without it", "folder", k.retention.Folder)
		return unrestored
	}
	if latest.State.Controller != k.name {
		k.logRefused(latest.Name, fmt.Sprintf("written by controller %q, this controller is %q", latest.State.Controller, k.name))
		k.refused++
		return unrestored
	}
	return k.restoreGeneration(latest.Generation, known, topology, base)
}

// logRefused logs that a state file is rejected. The reason is an error or a text.
func (k *snapshotKeeper) logRefused(name string, reason any) {
	k.log.Warn("learned state file rejected", "file", filepath.Join(k.retention.Folder, name), "error", reason)
}

// restoreGeneration returns the state of a generation, restricted to the topology, and the newer one of its list and known,
// the list of replicas in the configuration file.
func (k *snapshotKeeper) restoreGeneration(generation snapshot.Generation, known controller.ReplicaList, topology controller.Topology, base clock) restoredState {
	halfLife := k.retention.HalfLife.Nanoseconds()
	age := generation.State.TakenAt.Age(snapshot.Now())
	restricted, dropped := learnedstate.Restrict(generation.State, topology.Installation(), age, halfLife)
	list := known
	if restricted.HasNewerEndpointList(known.Revision, age) {
		list = controller.ListFromSnapshot(restricted)
	}
	k.generation = generation.Name
	k.age = time.Duration(age)
	k.log.Info("learned state restored",
		"file", generation.Name,
		"age", k.age.Round(time.Millisecond),
		"weight", fmt.Sprintf("%.2f", learnedstate.Weight(age, halfLife)),
		"replicas", len(restricted.Replicas),
		"list", list.Revision,
		"unfit", dropped.InvalidReplicas,
		"too_old", dropped.ExpiredReplicas,
		"usage_dropped", dropped.RequestRates,
		"groups_changed", dropped.ClassesChanged)
	aged := learnedstate.NewAgedState(restricted, base.now(), age, halfLife)
	return restoredState{list: list, state: aged}
}

// start starts the goroutine that writes submitted snapshots.
func (k *snapshotKeeper) start() {
	k.writer = snapshot.NewWriter(k.folder, k.retention.Keep, k.retention.Every, k.reacquire, k.log)
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	go k.writer.Run(ctx)
}

// reacquire acquires the lock again after the folder was removed together with its lock file.
func (k *snapshotKeeper) reacquire() error {
	lock, err := k.folder.Acquire(firstNonEmpty(k.name, unnamedOwner))
	if err != nil {
		return err
	}
	k.lock.Release()
	k.lock = lock
	return nil
}

// submit passes learned state, if there is any, to the writer.
func (k *snapshotKeeper) submit(state *learnedstate.State) {
	if k == nil || state == nil {
		return
	}
	submitted := *state
	submitted.Controller = k.name
	submitted.TakenAt = snapshot.Now()
	k.writer.Submit(submitted)
}

// close blocks until the last submitted state is written, for at most finalSnapshotTimeout.
func (k *snapshotKeeper) close() {
	if k == nil {
		return
	}
	k.stop()
	select {
	case <-k.writer.Done():
		k.lock.Release()
	case <-time.After(finalSnapshotTimeout):
		k.log.Warn("final snapshot not written within the shutdown timeout")
	}
}

// counters returns the counters of restoring and writing learned state.
func (k *snapshotKeeper) counters() slog.Attr {
	if k == nil {
		return slog.Group("state", "on", false)
	}
	c := &k.writer.Counters
	return slog.Group("state", "on", true, "read", k.generation, "age_at_start", k.age.Round(time.Millisecond), "refused", k.refused,
		"offered", c.Submitted.Load(), "written", c.Written.Load(), "bytes", c.BytesWritten.Load(), "failed", c.Failed.Load(),
		"skipped", c.Skipped.Load(), "generation", c.LastGeneration.Load(), "last_took", time.Duration(c.LastWriteDuration.Load()))
}
