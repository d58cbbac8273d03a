package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/control"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
	"lilacbend/internal/operator"
	"lilacbend/internal/snapshot"
)

// importKeep is the number of generations that an import keeps. It is large enough to keep all, so that an import prunes
// nothing.
const importKeep = 1 << 20

// Errors of the state commands for missing arguments.
var (
	errNoFolder     = errors.New("no folder given: name one, or an operator file that sets state.folder (--operator)")
	errNoImportFile = errors.New("no exported file given: import FILE [FOLDER]")
)

// stateCommands implements the actions of the commands that show, verify, export, import and prune snapshots of learned
// state.
type stateCommands struct {
	options *options
	out     io.Writer
}

// stateCommand returns the command "state".
func stateCommand(opts *options, out io.Writer) *cli.Command {
	commands := &stateCommands{options: opts, out: out}
	return &cli.Command{
		Name:  "state",
		Usage: "show, verify, export, import and prune snapshots of controllers' learned state",
		Commands: []*cli.Command{
			{
				Name:      "show",
				Usage:     "print the newest intact generation: show [FOLDER|FILE]",
				ArgsUsage: "[FOLDER|FILE]",
				Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
				Action:    commands.show,
			},
			{
				Name:      "verify",
				Usage:     "check that a file, or each file of a folder, is intact: verify [FILE|FOLDER]",
				ArgsUsage: "[FILE|FOLDER]",
				Action:    commands.verify,
			},
			{
				Name:      "export",
				Usage:     "export the newest intact generation as JSON: export [FOLDER|FILE]",
				ArgsUsage: "[FOLDER|FILE]",
				Action:    commands.export,
			},
			{
				Name:      "import",
				Usage:     "write an exported JSON file as the next generation: import FILE [FOLDER]",
				ArgsUsage: "FILE [FOLDER]",
				Action:    commands.importState,
			},
			{
				Name:      "prune",
				Usage:     "remove all but the newest generations: prune [--keep N] [FOLDER]",
				ArgsUsage: "[FOLDER]",
				Flags:     []cli.Flag{&cli.IntFlag{Name: "keep", Value: 1, Usage: "number of intact generations to keep"}},
				Action:    commands.prune,
			},
		},
	}
}

// path returns the command-line argument at a position. If there is none, it returns the state folder that the operator file
// names.
func (s *stateCommands) path(cmd *cli.Command, position int) (string, error) {
	argument := cmd.Args().Get(position)
	if argument != "" {
		return argument, nil
	}
	file, err := operator.Read(s.options.operator)
	if err != nil {
		return "", err
	}
	if file.State.Folder == "" {
		return "", errNoFolder
	}
	return file.State.Folder, nil
}

// readSelectedGeneration reads a snapshot generation from the file or folder in the first command-line argument. Without
// arguments, it reads from the state folder that the operator file names.
func (s *stateCommands) readSelectedGeneration(cmd *cli.Command) (snapshot.Generation, error) {
	path, err := s.path(cmd, 0)
	if err != nil {
		return snapshot.Generation{}, err
	}
	return readGeneration(path)
}

// readGeneration reads a generation. path is either the file of the generation, or a folder whose newest complete generation
// is read.
func readGeneration(path string) (snapshot.Generation, error) {
	info, err := os.Stat(path)
	if err != nil {
		return snapshot.Generation{}, err
	}
	if !info.IsDir() {
		return snapshot.Read(filewriter.Directory(filepath.Dir(path)), filepath.Base(path))
	}
	latest, err := snapshot.Latest(filewriter.Directory(path))
	if err != nil {
		return latest.Generation, err
	}
	if latest.Found {
		return latest.Generation, nil
	}
	err = fmt.Errorf("%s: no intact generation among %d files", path, len(latest.Refused))
	if len(latest.Refused) > 0 {
		err = fmt.Errorf("%w: %w", err, latest.Refused[0])
	}
	return latest.Generation, err
}

func (s *stateCommands) show(_ context.Context, cmd *cli.Command) error {
	generation, err := s.readSelectedGeneration(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return s.writeExport(generation.State)
	}
	return printGeneration(s.out, generation)
}

func (s *stateCommands) export(_ context.Context, cmd *cli.Command) error {
	generation, err := s.readSelectedGeneration(cmd)
	if err != nil {
		return err
	}
	return s.writeExport(generation.State)
}

func (s *stateCommands) writeExport(state learnedstate.State) error {
	raw, err := snapshot.Export(state)
	if err != nil {
		return err
	}
	_, err = s.out.Write(raw)
	return err
}

func (s *stateCommands) verify(_ context.Context, cmd *cli.Command) error {
	path, err := s.path(cmd, 0)
	if err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() {
		return s.verifyFolder(path)
	}
	generation, err := readGeneration(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s is intact: generation %d, format %d, %d bytes\n", path, generation.Number, generation.Format, generation.Size)
	return nil
}

func (s *stateCommands) verifyFolder(path string) error {
	complete, refused, err := snapshot.ReadAll(filewriter.Directory(path))
	switch {
	case err != nil:
		return err
	case len(refused) > 0:
		return fmt.Errorf("%s: %d of %d files rejected, the newest: %w", path, len(refused), len(refused)+len(complete), refused[0])
	case len(complete) == 0:
		return fmt.Errorf("%s: the folder has no generation", path)
	}
	fmt.Fprintf(s.out, "%s is intact: %d generations, the newest %d\n", path, len(complete), complete[0].Number)
	return nil
}

func (s *stateCommands) importState(_ context.Context, cmd *cli.Command) error {
	folder, err := s.path(cmd, 1)
	if err != nil {
		return err
	}
	source := cmd.Args().First()
	if source == "" {
		return errNoImportFile
	}
	state, err := readExport(source)
	if err != nil {
		return err
	}
	lock, err := filewriter.Directory(folder).Acquire("import")
	if err != nil {
		return fmt.Errorf("%s: %w: stop the process that uses the folder first", folder, err)
	}
	defer lock.Release()
	generation, err := snapshot.Write(filewriter.Directory(folder), state, importKeep)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: generation %d, %d replicas\n", filepath.Join(folder, generation.Name), generation.Number, len(state.Replicas))
	return nil
}

// readExport reads a file that the command "export" has written.
func readExport(path string) (learnedstate.State, error) {
	file, err := os.Open(path)
	if err != nil {
		return learnedstate.State{}, err
	}
	defer file.Close()
	state, err := snapshot.Import(file)
	if err != nil {
		return learnedstate.State{}, fmt.Errorf("%s: %w", path, err)
	}
	return state, nil
}

func (s *stateCommands) prune(_ context.Context, cmd *cli.Command) error {
	folder, err := s.path(cmd, 0)
	if err != nil {
		return err
	}
	keep := cmd.Int("keep")
	if keep < 1 {
		return fmt.Errorf("--keep is %d, want 1 or more", keep)
	}
	if _, err := os.Stat(folder); err != nil {
		return err
	}
	lock, err := filewriter.Directory(folder).Acquire("prune")
	if err != nil {
		return fmt.Errorf("%s: %w: a running controller prunes its own folder", folder, err)
	}
	defer lock.Release()
	removed, err := snapshot.Prune(filewriter.Directory(folder), keep)
	fmt.Fprintf(s.out, "%s: removed %d files\n", folder, len(removed))
	return err
}

// printGeneration prints a generation as a table. Ages are relative to the current time.
func printGeneration(out io.Writer, generation snapshot.Generation) error {
	state := generation.State
	age := time.Duration(state.TakenAt.Age(snapshot.Now()))
	fmt.Fprintf(out, "%s: generation %d, format %d, %d bytes\n", generation.Name, generation.Number, generation.Format, generation.Size)
	fmt.Fprintf(out, "controller %s, taken %s, %v ago; list revision %d\n",
		state.Controller, time.Unix(0, state.TakenAt.Wall).UTC().Format(time.RFC3339), age.Round(time.Second), state.Revision)
	fmt.Fprintf(out, "traffic classes %s; admission threshold %.0f%%; retries stopped %v; %d tables, %d proxies bound, %d request rates of proxies\n\n",
		strings.Join(state.Classes, ", "), 100*state.AdmissionThreshold, state.RetriesStopped, state.TableCount, len(state.Bindings), len(state.RequestRates))
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "replica\tzone\tkind\tlisted\tverdict\trelapses\tspeed\ttries\tage")
	for _, replica := range state.Replicas {
		sampleAge := age + time.Duration(replica.SinceLastSample)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%.0f\t%v\n",
			replica.ID, replica.Zone, replica.HardwareClass, listedState(replica.State), healthState(replica),
			replica.EjectionCount, replica.Speed, replica.SampleCount, sampleAge.Round(time.Second))
	}
	return table.Flush()
}

// listedState returns the name of a replica's state in the endpoint list. A state out of range has the name of the nearest
// one.
func listedState(state control.State) string {
	words := [...]string{control.Ready: "ready", control.Draining: "draining", control.Gone: "gone"}
	return words[max(0, min(len(words)-1, int(state)))]
}

// healthState returns a replica's health as the table shows it: ejected ("sick"), on probation ("on trial") or "well".
func healthState(replica learnedstate.Replica) string {
	switch {
	case replica.RemainingEjection > 0:
		return fmt.Sprintf("sick, %v left", time.Duration(replica.RemainingEjection).Round(100*time.Millisecond))
	case replica.Probation:
		return "on trial"
	}
	return "well"
}
