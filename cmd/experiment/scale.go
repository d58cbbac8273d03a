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

// hostCommand is the name of the hidden command that a scale run starts to run simulated controllers in other processes.
const hostCommand = "scale-host"

var errFailedChecks = errors.New("checks of the scale run failed")

// scaleCommands returns three commands: one performs a scale run, one fits lines to the reports of scale runs, and a hidden
// one runs a host process of simulated controllers.
func scaleCommands() []*cli.Command {
	var plan scale.Plan
	var reportFile, program string
	var withReal bool
	selectedFaults := faultNames()
	intFlag := func(name, usage string, value int, destination *int) cli.Flag {
		return &cli.IntFlag{Name: name, Usage: usage, Value: value, Destination: destination}
	}
	floatFlag := func(name, usage string, value float64, destination *float64) cli.Flag {
		return &cli.FloatFlag{Name: name, Usage: usage, Value: value, Destination: destination}
	}
	durationFlag := func(name, usage string, value time.Duration, destination *time.Duration) cli.Flag {
		return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Destination: destination}
	}
	flags := []cli.Flag{
		intFlag("governors", "number of simulated controllers", 100, &plan.Controllers),
		intFlag("services", "number of services; 0: in proportion to 290 for 1,600 controllers", 0, &plan.Services),
		intFlag("replicas", "number of replicas of all services; 0: in proportion to 9,500", 0, &plan.Replicas),
		intFlag("routes", "number of routes of all services; 0: in proportion to 14,000", 0, &plan.Routes),
		intFlag("tenants", "number of tenants of all services; 0: in proportion to 74,000", 0, &plan.Tenants),
		intFlag("zones", "number of zones; a service has replicas in at most three", 54, &plan.Zones),
		intFlag("regions", "number of regions that controllers and servers are spread over", 23, &plan.Regions),
		intFlag("servers", "number of configuration servers", 8, &plan.Servers),
		intFlag("proxies", "number of proxies of each simulated controller", 2, &plan.Proxies),
		intFlag("skew", "size of the first service as a multiple of the others; 0: the same size", 0, &plan.Skew),
		intFlag("host-size", "maximum number of simulated controllers in one process", 400, &plan.ControllersPerHost),
		&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &plan.Seed},
		durationFlag("phase", "duration of each phase; a phase has one fault", time.Minute, &plan.PhaseDuration),
		&cli.StringSliceFlag{Name: "fault", Usage: "faults to inject, one after another", Value: selectedFaults, Destination: &selectedFaults},
		floatFlag("factor", "factor by which a day is compressed", 60, &plan.TimeCompression),
		floatFlag("changes", "configuration changes per day; below 0: in proportion to 8,400", -1, &plan.ChangesPerDay),
		floatFlag("failures", "machine failures per day; below 0: in proportion to 39", -1, &plan.FailuresPerDay),
		floatFlag("restarts", "machine restarts per day; below 0: in proportion to 1,200", -1, &plan.RestartsPerDay),
		floatFlag("invalid", "fraction of changes that are invalid", 0.05, &plan.InvalidFraction),
		intFlag("at-once", "configuration changes in a burst", 100, &plan.BurstChanges),
		intFlag("crowd", "restarts within a minute; 0: in proportion to 1,200", 0, &plan.BurstRestarts),
		durationFlag("repair", "time from a failure to the replacement", 5*time.Second, &plan.RepairTime),
		durationFlag("bound", "maximum time until a change is in force at all reachable controllers", 18*time.Second, &plan.MaxPropagationDelay),
		durationFlag("silence", "maximum time without a heartbeat from a controller", 5*time.Second, &plan.HeartbeatTimeout),
		&cli.BoolFlag{Name: "real", Usage: "run real controllers, collectors and sidecars of one service beside the simulated controllers", Value: true, Destination: &withReal},
		&cli.StringFlag{Name: "program", Usage: "path of the product's program, for real processes", Value: siblingProgram(), Destination: &program},
		&cli.StringFlag{Name: "out", Usage: "write the report as JSON to this file", Destination: &reportFile},
	}
	run := func(ctx context.Context, _ *cli.Command) error {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		plan.Faults = nil
		for _, name := range selectedFaults {
			plan.Faults = append(plan.Faults, scale.Fault(name))
		}
		return runScale(ctx, plan, program, withReal, reportFile)
	}
	return []*cli.Command{
		{Name: "scale", Usage: "run many simulated controllers against real configuration servers on loopback, with changes and faults", Flags: flags, Action: run},
		slopesCommand(),
		{Name: hostCommand, Hidden: true, Action: func(ctx context.Context, _ *cli.Command) error {
			signal.Ignore(syscall.SIGINT) // the scale run stops this process by closing its standard input
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

// siblingProgram returns the path of the product's program in the folder of this program.
func siblingProgram() string {
	executable, err := os.Executable()
	if err != nil {
		executable = os.Args[0]
	}
	return filepath.Join(filepath.Dir(executable), "lilacbend")
}

func runScale(ctx context.Context, plan scale.Plan, program string, withReal bool, reportFile string) error {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	options := scale.Options{Launch: scale.LaunchProcess(hostCommand), Serve: scale.ServeProcesses(program, io.Discard), Dir: dir,
		Log: func(format string, args ...any) { fmt.Fprintf(os.Stderr, "experiment: "+format+"\n", args...) }}
	if withReal {
		options.RealService = newRealService(program, dir)
	}
	report, err := scale.Run(ctx, plan, options)
	if err != nil {
		return err
	}
	if err := writeReport(report, os.Stdout, reportFile); err != nil {
		return err
	}
	if report.FailedChecks > 0 {
		return errFailedChecks
	}
	return nil
}

func writeReport(report scale.Report, w io.Writer, reportFile string) error {
	if reportFile != "" {
		raw, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := renameio.WriteFile(reportFile, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	return report.Print(w)
}

// roleOf returns the role of a real process in the report, derived from its name in the installation.
func roleOf(name string) string {
	role, _, _ := strings.Cut(name, "-")
	return "real " + role
}
