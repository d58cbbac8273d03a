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
	errBroken       = errors.New("something broke")
	errNoScriptFile = errors.New("name the file of a script")
)

const (
	// maxPrintedSeeds is how many seeds that broke a rule are printed.
	maxPrintedSeeds = 20
	// progressReports is how often a run reports its progress.
	progressReports = 10
)

// seedCommands are the commands that run scripts of faults.
type seedCommands struct{ profile string }

// seedsCommands returns the commands that run scripts of faults.
func seedsCommands() []*cli.Command {
	c := &seedCommands{}
	profile := &cli.StringFlag{Name: "profile", Value: "rules", Destination: &c.profile}
	return []*cli.Command{
		{
			Name:  "seeds",
			Usage: "play scripts of faults drawn from seeds, with the rules checked after each step",
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
			Usage:     "play one seed again: replay SEED",
			ArgsUsage: "SEED",
			Flags:     []cli.Flag{profile, &cli.StringFlag{Name: "trace", Usage: "a file for each step"}},
			Action:    c.replay,
		},
		{
			Name:      "script",
			Usage:     "write the script of a seed as a file to be changed and played: script SEED",
			ArgsUsage: "SEED",
			Flags:     []cli.Flag{profile},
			Action:    c.printScript,
		},
		{
			Name:      "play",
			Usage:     "play a script of one's own: play FILE",
			ArgsUsage: "FILE",
			Action:    playScript,
		},
		{
			Name:      "shrink",
			Usage:     "find the smallest script of a seed that still breaks the same rule: shrink SEED",
			ArgsUsage: "SEED",
			Flags:     []cli.Flag{profile},
			Action:    c.shrink,
		},
	}
}

func (c *seedCommands) selectedProfile() (seeds.Profile, error) {
	profile, ok := seeds.Profiles[c.profile]
	if !ok {
		return seeds.Profile{}, fmt.Errorf("no profile %q: smoke, rules, restart, zones or fleet", c.profile)
	}
	return profile, nil
}

// profileAndSeed returns the selected profile and the seed that the first argument names.
func (c *seedCommands) profileAndSeed(cmd *cli.Command) (seeds.Profile, int64, error) {
	profile, err := c.selectedProfile()
	if err != nil {
		return seeds.Profile{}, 0, err
	}
	seed, err := strconv.ParseInt(cmd.Args().First(), 10, 64)
	if err != nil {
		return seeds.Profile{}, 0, fmt.Errorf("name a seed, a whole number: %w", err)
	}
	return profile, seed, nil
}

// printResult prints the script and what it broke. It returns errBroken if it broke something.
func printResult(result seeds.Result) error {
	for _, fault := range result.Script {
		fmt.Println(" ", fault)
	}
	for _, breach := range result.Violations {
		fmt.Println("  broken:", breach)
	}
	fmt.Printf("seed %d, %d faults, %d broken, trace digest %016x\n", result.Seed, len(result.Script), len(result.Violations), result.Digest)
	if len(result.Violations) > 0 {
		return errBroken
	}
	return nil
}

func (c *seedCommands) runSeeds(_ context.Context, cmd *cli.Command) error {
	profile, err := c.selectedProfile()
	if err != nil {
		return err
	}
	count := cmd.Int("count")
	digest := xxhash.New()
	broken := 0
	finished := 0
	start := time.Now()
	profile.Run(cmd.Int64("first"), count, cmd.Int("workers"), func(result seeds.Result) {
		digest.Write(binary.BigEndian.AppendUint64(nil, result.Digest))
		if len(result.Violations) > 0 {
			broken++
			if broken <= maxPrintedSeeds {
				fmt.Printf("seed %d: %v\n", result.Seed, result.Violations[0])
			}
		}
		finished++
		if finished%max(1, count/progressReports) == 0 {
			rate := float64(finished) / time.Since(start).Seconds()
			fmt.Fprintf(os.Stderr, "%d of %d, %d broken, %.1f a second\n", finished, count, broken, rate)
		}
	})
	fmt.Printf("%d seeds, %d broken, trace digest %016x\n", count, broken, digest.Sum64())
	if broken > 0 {
		return errBroken
	}
	return nil
}

func (c *seedCommands) replay(_ context.Context, cmd *cli.Command) error {
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

func (c *seedCommands) printScript(_ context.Context, cmd *cli.Command) error {
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

func (c *seedCommands) shrink(_ context.Context, cmd *cli.Command) error {
	profile, seed, err := c.profileAndSeed(cmd)
	if err != nil {
		return err
	}
	return printResult(profile.Shrink(profile.Play(seed, profile.RandomFaults(seed), nil)))
}
