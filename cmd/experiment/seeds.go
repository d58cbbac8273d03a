package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/urfave/cli/v3"

	"lilacbend/experiment/seeds"
	"lilacbend/internal/strictyaml"
)

var (
	errRulesViolated = errors.New("protocol rules violated")
	errNoScriptFile  = errors.New("script file argument is missing")
)

const (
	// maxPrintedViolations is the number of seeds with violations whose first violation is printed.
	maxPrintedViolations = 20
	// progressReportCount is the number of progress reports of a run.
	progressReportCount = 10
)

// seedActions holds the flag that the commands of fault scripts share. Its methods are the actions of these commands.
type seedActions struct{ profile string }

// seedsCommands returns the commands that draw, run and shrink fault scripts.
func seedsCommands() []*cli.Command {
	c := &seedActions{}
	profile := &cli.StringFlag{Name: "profile", Value: "rules", Destination: &c.profile}
	return []*cli.Command{
		{
			Name:  "seeds",
			Usage: "run fault scripts drawn from seeds, and check the rules after each step",
			Flags: []cli.Flag{
				profile,
				&cli.IntFlag{Name: "count", Value: 100},
				&cli.Int64Flag{Name: "first", Value: 1},
				&cli.IntFlag{Name: "workers", Value: runtime.GOMAXPROCS(0)},
			},
			Action: c.runSeeds,
		},
		{
			Name:      "replay",
			Usage:     "run the fault script of one seed again: replay SEED",
			ArgsUsage: "SEED",
			Flags:     []cli.Flag{profile, &cli.StringFlag{Name: "trace", Usage: "write each step to this file"}},
			Action:    c.replay,
		},
		{
			Name:      "script",
			Usage:     "print the fault script of a seed, to be edited and run with play: script SEED",
			ArgsUsage: "SEED",
			Flags:     []cli.Flag{profile},
			Action:    c.printScript,
		},
		{
			Name:      "play",
			Usage:     "run the fault script of a file: play FILE",
			ArgsUsage: "FILE",
			Action:    playScript,
		},
		{
			Name:      "shrink",
			Usage:     "find the smallest fault script of a seed that still violates the same rule: shrink SEED",
			ArgsUsage: "SEED",
			Flags:     []cli.Flag{profile},
			Action:    c.shrink,
		},
	}
}

func (c *seedActions) selectedProfile() (seeds.Profile, error) {
	profile, ok := seeds.Profiles[c.profile]
	if !ok {
		return seeds.Profile{}, fmt.Errorf("unknown profile %q, want smoke, rules, restart, zones or fleet", c.profile)
	}
	return profile, nil
}

// profileAndSeed returns the selected profile and the seed that the first argument names.
func (c *seedActions) profileAndSeed(cmd *cli.Command) (seeds.Profile, int64, error) {
	profile, err := c.selectedProfile()
	if err != nil {
		return seeds.Profile{}, 0, err
	}
	seed, err := strconv.ParseInt(cmd.Args().First(), 10, 64)
	if err != nil {
		return seeds.Profile{}, 0, fmt.Errorf("seed argument is not an integer: %w", err)
	}
	return profile, seed, nil
}

// printResult prints the script and the violations of a result. It returns errRulesViolated if there are any.
func printResult(result seeds.Result) error {
	for _, fault := range result.Script {
		fmt.Println(" ", fault)
	}
	for _, violation := range result.Violations {
		fmt.Println("  violation:", violation)
	}
	fmt.Printf("seed %d, %d faults, %d violations, trace digest %016x\n", result.Seed, len(result.Script), len(result.Violations), result.Digest)
	if len(result.Violations) > 0 {
		return errRulesViolated
	}
	return nil
}

func (c *seedActions) runSeeds(_ context.Context, cmd *cli.Command) error {
	profile, err := c.selectedProfile()
	if err != nil {
		return err
	}
	count := cmd.Int("count")
	digest := xxhash.New()
	violatingSeeds := 0
	finished := 0
	start := time.Now()
	profile.Run(cmd.Int64("first"), count, cmd.Int("workers"), func(result seeds.Result) {
		digest.Write(binary.BigEndian.AppendUint64(nil, result.Digest))
		if len(result.Violations) > 0 {
			violatingSeeds++
			if violatingSeeds <= maxPrintedViolations {
				fmt.Printf("seed %d: %v\n", result.Seed, result.Violations[0])
			}
		}
		finished++
		if finished%max(1, count/progressReportCount) == 0 {
			rate := float64(finished) / time.Since(start).Seconds()
			fmt.Fprintf(os.Stderr, "%d of %d seeds, %d with violations, %.1f seeds/s\n", finished, count, violatingSeeds, rate)
		}
	})
	fmt.Printf("%d seeds, %d with violations, trace digest %016x\n", count, violatingSeeds, digest.Sum64())
	if violatingSeeds > 0 {
		return errRulesViolated
	}
	return nil
}

func (c *seedActions) replay(_ context.Context, cmd *cli.Command) error {
	profile, seed, err := c.profileAndSeed(cmd)
	if err != nil {
		return err
	}
	file := cmd.String("trace")
	if file == "" {
		return printResult(profile.Play(seed, profile.RandomFaults(seed), nil))
	}
	trace, err := os.Create(file)
	if err != nil {
		return err
	}
	defer trace.Close()
	buffered := bufio.NewWriter(trace)
	defer buffered.Flush()
	return printResult(profile.Play(seed, profile.RandomFaults(seed), func(line string) { fmt.Fprintln(buffered, line) }))
}

func (c *seedActions) printScript(_ context.Context, cmd *cli.Command) error {
	profile, seed, err := c.profileAndSeed(cmd)
	if err != nil {
		return err
	}
	fmt.Print(seeds.Script{Profile: c.profile, Seed: seed, Faults: profile.RandomFaults(seed)})
	return nil
}

func playScript(_ context.Context, cmd *cli.Command) error {
	file := cmd.Args().First()
	if file == "" {
		return errNoScriptFile
	}
	raw, err := strictyaml.Open(file)
	if err != nil {
		return err
	}
	script, err := seeds.ReadScript(file, raw)
	if err != nil {
		return err
	}
	return printResult(seeds.Profiles[script.Profile].Play(script.Seed, script.Faults, nil))
}

func (c *seedActions) shrink(_ context.Context, cmd *cli.Command) error {
	profile, seed, err := c.profileAndSeed(cmd)
	if err != nil {
		return err
	}
	return printResult(profile.Shrink(profile.Play(seed, profile.RandomFaults(seed), nil)))
}
