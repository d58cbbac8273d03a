package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"github.com/urfave/cli/v3"

	"lilacbend/experiment/scale"
)

// hostCommand is the hidden command with which a scale run starts its processes.
const hostCommand = "scale-host"

var errFailedChecks = errors.New("checks failed")

// scaleCommands returns the command of a scale run, and the hidden one of a process with many hollow controllers.
func scaleCommands() []*cli.Command {
	var p scale.Plan
	var out, program string
	var withReal bool
	names := faultNames()
	count := func(name, usage string, value int, destination *int) cli.Flag {
		return &cli.IntFlag{Name: name, Usage: usage, Value: value, Destination: destination}
	}
	perDay := func(name, usage string, value float64, destination *float64) cli.Flag {
		return &cli.FloatFlag{Name: name, Usage: usage, Value: value, Destination: destination}
	}
	span := func(name, usage string, value time.Duration, destination *time.Duration) cli.Flag {
		return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Destination: destination}
	}
	flags := []cli.Flag{
		count("governors", "hollow ones", 100, &p.Controllers),
		count("services", "0: in proportion to 290 for 1,600 governors", 0, &p.Services),
		count("replicas", "0: in proportion to 9,500", 0, &p.Replicas),
		count("routes", "of all services; 0: in proportion to 14,000", 0, &p.Routes),
		count("tenants", "of all services; 0: in proportion to 74,000", 0, &p.Tenants),
		count("zones", "a service has replicas in three of them at most", 54, &p.Zones),
		count("regions", "over which governors and servers are spread", 23, &p.Regions),
		count("servers", "of configuration", 8, &p.Servers),
		count("proxies", "of each hollow governor", 2, &p.Proxies),
		count("skew", "times the size of the others that the first service has; 0: the same", 0, &p.Skew),
		count("host-size", "hollow governors of one process, at most", 400, &p.ControllersPerHost),
		&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &p.Seed},
		span("phase", "how long each fault lasts", time.Minute, &p.PhaseDuration),
		&cli.StringSliceFlag{Name: "fault", Usage: "played one after the other", Value: names, Destination: &names},
		perDay("factor", "by which a day is compressed", 60, &p.TimeCompression),
		perDay("changes", "of configuration, a day; below 0: in proportion to 8,400", -1, &p.ChangesPerDay),
		perDay("failures", "of machines, a day; below 0: in proportion to 39", -1, &p.FailuresPerDay),
		perDay("restarts", "of machines, a day; below 0: in proportion to 1,200", -1, &p.RestartsPerDay),
		perDay("invalid", "share of changes that are not valid", 0.05, &p.InvalidFraction),
		count("at-once", "changes in a burst", 100, &p.BurstChanges),
		count("crowd", "restarts within a minute; 0: in proportion to 1,200", 0, &p.BurstRestarts),
		span("repair", "until what failed is replaced", 5*time.Second, &p.RepairTime),
		span("bound", "in which a change has to be in force at all that are reachable", 18*time.Second, &p.MaxPropagationDelay),
		span("silence", "without a sign of life, at most", 5*time.Second, &p.HeartbeatTimeout),
		&cli.BoolFlag{Name: "real", Usage: "run real governors, collectors and sidecars of one service beside the hollow ones", Value: true, Destination: &withReal},
		&cli.StringFlag{Name: "program", Usage: "the product's program, for real processes", Value: programBeside(), Destination: &program},
		&cli.StringFlag{Name: "out", Usage: "file for the report as JSON", Destination: &out},
	}
	run := func(ctx context.Context, _ *cli.Command) error {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		p.Faults = nil
		for _, name := range names {
			p.Faults = append(p.Faults, scale.Fault(name))
		}
		return runScale(ctx, p, program, withReal, out)
	}
	return []*cli.Command{
		{Name: "scale", Usage: "many hollow governors and real servers on loopback, through changes and faults", Flags: flags, Action: run},
		slopesCommand(),
		{Name: hostCommand, Hidden: true, Action: func(ctx context.Context, _ *cli.Command) error {
			signal.Ignore(syscall.SIGINT) // the run ends it by closing its input
			return scale.Host(ctx, os.Stdin, os.Stdout, scale.NewWatchSource)
		}},
	}
}

func faultNames() (names []string) {
	for _, f := range scale.Faults {
		names = append(names, string(f))
	}
	return names
}

// programBeside returns the path of the product's program in the folder of this one.
func programBeside() string {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	return filepath.Join(filepath.Dir(self), "lilacbend")
}

func runScale(ctx context.Context, p scale.Plan, program string, withReal bool, out string) error {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	options := scale.Options{Launch: scale.LaunchProcess(hostCommand), Serve: scale.ServeProcesses(program, io.Discard), Dir: dir,
		Log: func(format string, args ...any) { fmt.Fprintf(os.Stderr, "lab: "+format+"\n", args...) }}
	if withReal {
		options.RealService = newRealService(program, dir)
	}
	r, err := scale.Run(ctx, p, options)
	if err != nil {
		return err
	}
	if err := writeReport(r, os.Stdout, out); err != nil {
		return err
	}
	if r.FailedChecks > 0 {
		return errFailedChecks
	}
	return nil
}

func writeReport(r scale.Report, w io.Writer, out string) error {
	if out != "" {
		raw, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := renameio.WriteFile(out, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	return r.Print(w)
}

// roleOf returns the role of a process from its name in an installation.
func roleOf(name string) string {
	role, _, _ := strings.Cut(name, "-")
	return "real " + role
}
