package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/internal/controller"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/operator"
	"lilacbend/internal/snapshot"
)

// lastWrite is how long the last state may take to be written at the end: with the parting of connections and
// of the log it stays within 0.7 s.
const lastWrite = 150 * time.Millisecond

// archive keeps what a governor has learned, as its operator file says; a nil one keeps nothing.
type archive struct {
	name   string
	keeper *snapshot.Writer
	lock   *filewriter.Lock
	stop   context.CancelFunc
	log    *slog.Logger
	read   string // the generation that the start began with
	age    time.Duration
	refuse int // files refused at the start
}

// openArchive holds the folder, tells the core of the newest whole generation that fits, and begins to keep. What
// goes wrong with the folder is logged, and the governor goes on without. The list is the one to start with.
func openArchive(ctx context.Context, r operator.Retention, c *configuration, topology controller.Topology, core *controller.Core, x *eventloop.Exchange, base clock, log *slog.Logger) *archive {
	if r.Folder == "" {
		return nil
	}
	folder := filewriter.Directory(r.Folder)
	lock, err := holdFolder(ctx, folder, or(c.name, "a governor"))
	if err != nil {
		log.Warn("state is neither read nor kept", "folder", r.Folder, "error", err)
		return nil
	}
	a := &archive{name: c.name, lock: lock, log: log}
	a.recall(folder, r, c, topology, x, base)
	core.SetSnapshotPolicy(r.Every.Nanoseconds(), r.HalfLife.Nanoseconds())
	again := func() error { // the folder had vanished, and its lock with it
		lock, err := folder.Acquire(or(c.name, "a governor"))
		if err == nil {
			a.lock.Release()
			a.lock = lock
		}
		return err
	}
	a.keeper = snapshot.NewWriter(folder, r.Keep, r.Every, again, log)
	keeping, stop := context.WithCancel(context.Background())
	a.stop = stop
	go a.keeper.Run(keeping)
	return a
}

func (a *archive) recall(folder filewriter.Directory, r operator.Retention, c *configuration, topology controller.Topology, x *eventloop.Exchange, base clock) {
	g, err := snapshot.Latest(folder)
	if a.refuse = len(g.Refused); err != nil {
		a.log.Warn("state cannot be read", "folder", r.Folder, "error", err)
		return
	}
	for _, f := range g.Refused {
		a.log.Warn("state refused", "file", filepath.Join(r.Folder, f.Name), "error", f.Err)
	}
	if !g.Found {
		a.log.Info("no state to begin with", "folder", r.Folder)
		return
	}
	if g.State.Controller != c.name {
		a.log.Warn("state refused", "file", filepath.Join(r.Folder, g.Name), "error", fmt.Sprintf("it is %q's", g.State.Controller))
		a.refuse++
		return
	}
	age := g.State.Taken.Age(snapshot.Now())
	m, dropped := learnedstate.Fit(g.State, topology.Installation(), age, r.HalfLife.Nanoseconds())
	if m.HasNewerList(c.known.Revision, age) {
		c.known = controller.ListFromSnapshot(m)
	}
	a.read, a.age = g.Name, time.Duration(age)
	x.Publish(controller.SnapshotRestored{Snapshot: learnedstate.NewAgedState(m, base.now(), age, r.HalfLife.Nanoseconds())})
	a.log.Info("state read", "file", g.Name, "age", a.age.Round(time.Millisecond), "weight", fmt.Sprintf("%.2f", learnedstate.Weight(age, r.HalfLife.Nanoseconds())),
		"replicas", len(m.Replicas), "list", c.known.Revision, "unfit", dropped.Replicas, "too_old", dropped.Expired, "usage_dropped", dropped.RequestRates, "groups_changed", dropped.ClassesChanged)
}

// put hands over what was learned.
func (a *archive) put(m *learnedstate.State) {
	if a != nil && m != nil {
		kept := *m
		kept.Controller, kept.Taken = a.name, snapshot.Now()
		a.keeper.Submit(kept)
	}
}

// close writes what was offered last, if the disk takes it soon.
func (a *archive) close() {
	if a == nil {
		return
	}
	a.stop()
	select {
	case <-a.keeper.Done():
		a.lock.Release()
	case <-time.After(lastWrite):
		a.log.Warn("the last state was not written in time")
	}
}

// figures are for the counters.
func (a *archive) figures() slog.Attr {
	if a == nil {
		return slog.Group("state", "on", false)
	}
	t := &a.keeper.Counters
	return slog.Group("state", "on", true, "read", a.read, "age_at_start", a.age.Round(time.Millisecond), "refused", a.refuse,
		"offered", t.Offered.Load(), "written", t.Written.Load(), "bytes", t.Bytes.Load(), "failed", t.Failed.Load(),
		"skipped", t.Skipped.Load(), "generation", t.Generation.Load(), "last_took", time.Duration(t.Duration.Load()))
}

// stateCommand shows, checks and moves what was kept.
func stateCommand(opts *options, out io.Writer) *cli.Command {
	where := func(cmd *cli.Command, k int) (string, error) {
		if at := cmd.Args().Get(k); at != "" {
			return at, nil
		}
		book, err := operator.Read(opts.operator)
		if err == nil && book.State.Folder == "" {
			err = errors.New("no folder: name one, or the operator file that sets state.folder (--operator)")
		}
		return book.State.Folder, err
	}
	newest := func(cmd *cli.Command) (snapshot.Generation, error) {
		at, err := where(cmd, 0)
		if err != nil {
			return snapshot.Generation{}, err
		}
		return readState(at)
	}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "as JSON"}
	return &cli.Command{Name: "state", Usage: "show, check and move what governors have learned", Commands: []*cli.Command{
		{Name: "show", Usage: "show the newest whole generation: show [FOLDER|FILE]", ArgsUsage: "[FOLDER|FILE]", Flags: []cli.Flag{asJSON},
			Action: func(_ context.Context, cmd *cli.Command) error {
				g, err := newest(cmd)
				if err != nil {
					return err
				}
				if cmd.Bool("json") {
					return export(out, g.State)
				}
				return show(out, g)
			}},
		{Name: "verify", Usage: "say whether a file, or all of a folder, is whole: verify [FILE|FOLDER]", ArgsUsage: "[FILE|FOLDER]",
			Action: func(_ context.Context, cmd *cli.Command) error {
				at, err := where(cmd, 0)
				if err != nil {
					return err
				}
				return verify(out, at)
			}},
		{Name: "export", Usage: "write the newest whole generation as JSON: export [FOLDER|FILE]", ArgsUsage: "[FOLDER|FILE]",
			Action: func(_ context.Context, cmd *cli.Command) error {
				g, err := newest(cmd)
				if err != nil {
					return err
				}
				return export(out, g.State)
			}},
		{Name: "import", Usage: "write exported JSON as the next generation: import FILE [FOLDER]", ArgsUsage: "FILE [FOLDER]",
			Action: func(_ context.Context, cmd *cli.Command) error {
				at, err := where(cmd, 1)
				if err != nil {
					return err
				}
				return importState(out, cmd.Args().First(), at)
			}},
		{Name: "prune", Usage: "remove all but the newest generations: prune [--keep N] [FOLDER]", ArgsUsage: "[FOLDER]",
			Flags: []cli.Flag{&cli.IntFlag{Name: "keep", Value: 1, Usage: "whole generations that stay"}},
			Action: func(_ context.Context, cmd *cli.Command) error {
				at, err := where(cmd, 0)
				if err != nil {
					return err
				}
				return prune(out, at, cmd.Int("keep"))
			}},
	}}
}

// readState reads a file, or the newest whole generation of a folder.
func readState(at string) (snapshot.Generation, error) {
	info, err := os.Stat(at)
	if err != nil {
		return snapshot.Generation{}, err
	}
	if !info.IsDir() {
		return snapshot.Read(filewriter.Directory(filepath.Dir(at)), filepath.Base(at))
	}
	g, err := snapshot.Latest(filewriter.Directory(at))
	if err == nil && !g.Found {
		err = fmt.Errorf("%s: no whole generation among %d files", at, len(g.Refused))
		if len(g.Refused) > 0 {
			err = fmt.Errorf("%w: %w", err, g.Refused[0])
		}
	}
	return g.Generation, err
}

func export(out io.Writer, m learnedstate.State) error {
	raw, err := snapshot.Export(m)
	if err == nil {
		_, err = out.Write(raw)
	}
	return err
}

func verify(out io.Writer, at string) error {
	info, err := os.Stat(at)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		g, err := readState(at)
		if err == nil {
			fmt.Fprintf(out, "%s is whole: generation %d, format %d, %d bytes\n", at, g.Number, g.Format, g.Bytes)
		}
		return err
	}
	whole, refused, err := snapshot.ReadAll(filewriter.Directory(at))
	switch {
	case err != nil:
		return err
	case len(refused) > 0:
		return fmt.Errorf("%s: %d of %d files refused, the newest: %w", at, len(refused), len(refused)+len(whole), refused[0])
	case len(whole) == 0:
		return fmt.Errorf("%s: no generation", at)
	}
	fmt.Fprintf(out, "%s is whole: %d generations, the newest %d\n", at, len(whole), whole[0].Number)
	return nil
}

func importState(out io.Writer, from, at string) error {
	if from == "" {
		return errors.New("name the exported file: import FILE [FOLDER]")
	}
	file, err := os.Open(from)
	if err != nil {
		return err
	}
	defer file.Close()
	m, err := snapshot.Import(file)
	if err != nil {
		return fmt.Errorf("%s: %w", from, err)
	}
	lock, err := filewriter.Directory(at).Acquire("import")
	if err != nil {
		return fmt.Errorf("%s: %w: end it first", at, err)
	}
	defer lock.Release()
	g, err := snapshot.Write(filewriter.Directory(at), m, 1<<20)
	if err == nil {
		fmt.Fprintf(out, "%s: generation %d, %d replicas\n", filepath.Join(at, g.Name), g.Number, len(m.Replicas))
	}
	return err
}

func prune(out io.Writer, at string, keep int) error {
	if keep < 1 {
		return fmt.Errorf("--keep is %d, want 1 or more", keep)
	}
	if _, err := os.Stat(at); err != nil {
		return err
	}
	lock, err := filewriter.Directory(at).Acquire("prune")
	if err != nil {
		return fmt.Errorf("%s: %w: a governor prunes its own folder", at, err)
	}
	defer lock.Release()
	removed, err := snapshot.Prune(filewriter.Directory(at), keep)
	fmt.Fprintf(out, "%s: removed %d files\n", at, len(removed))
	return err
}

// show prints a generation for a person; ages are as of now.
func show(out io.Writer, g snapshot.Generation) error {
	m, age := g.State, time.Duration(g.State.Taken.Age(snapshot.Now()))
	fmt.Fprintf(out, "%s: generation %d, format %d, %d bytes\n", g.Name, g.Number, g.Format, g.Bytes)
	fmt.Fprintf(out, "governor %s, taken %s, %v ago; list %d\n", m.Controller, time.Unix(0, m.Taken.Wall).UTC().Format(time.RFC3339), age.Round(time.Second), m.Revision)
	fmt.Fprintf(out, "traffic groups %s; let in %.0f%%; one try only %v; %d tables, %d proxies bound, %d flows of proxies\n\n",
		strings.Join(m.Classes, ", "), 100*m.AdmissionThreshold, m.RetriesStopped, m.Tables, len(m.Bindings), len(m.RequestRates))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "replica\tzone\tkind\tlisted\tverdict\trelapses\tspeed\ttries\tage")
	for _, r := range m.Replicas {
		listed, verdict := [...]string{"ready", "draining", "gone"}[max(0, min(2, int(r.State)))], "well"
		switch {
		case r.EjectedFor > 0:
			verdict = fmt.Sprintf("sick, %v left", time.Duration(r.EjectedFor).Round(100*time.Millisecond))
		case r.Probation:
			verdict = "on trial"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%.0f\t%v\n", r.ID, r.Zone, r.HardwareClass, listed, verdict, r.Ejections, r.Speed, r.SampleCount,
			(age + time.Duration(r.SinceLastSample)).Round(time.Second))
	}
	return w.Flush()
}
