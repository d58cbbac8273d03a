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

var errBroken = errors.New("something broke")

func seedsCommands() []*cli.Command {
	var name string
	profile := func() (seeds.Profile, error) {
		p, ok := seeds.Profiles[name]
		if !ok {
			return p, fmt.Errorf("no profile %q: smoke, rules, restart, zones or fleet", name)
		}
		return p, nil
	}
	which := &cli.StringFlag{Name: "profile", Value: "rules", Destination: &name}
	one := func(cmd *cli.Command) (seeds.Profile, int64, error) {
		p, err := profile()
		if err != nil {
			return p, 0, err
		}
		seed, err := strconv.ParseInt(cmd.Args().First(), 10, 64)
		if err != nil {
			return p, 0, fmt.Errorf("name a seed, a whole number: %w", err)
		}
		return p, seed, nil
	}
	show := func(r seeds.Result) {
		for _, f := range r.Script {
			fmt.Println(" ", f)
		}
		for _, b := range r.Breaches {
			fmt.Println("  broken:", b)
		}
		fmt.Printf("seed %d, %d faults, %d broken, trace digest %016x\n", r.Seed, len(r.Script), len(r.Breaches), r.Digest)
	}
	return []*cli.Command{
		{Name: "seeds", Usage: "play scripts of faults drawn from seeds, with the rules checked after each step", Flags: []cli.Flag{which,
			&cli.IntFlag{Name: "count", Value: 100}, &cli.Int64Flag{Name: "first", Value: 1}, &cli.IntFlag{Name: "workers", Value: runtime.GOMAXPROCS(0)}},
			Action: func(_ context.Context, cmd *cli.Command) error {
				p, err := profile()
				if err != nil {
					return err
				}
				digest, broken, began, n := xxhash.New(), 0, time.Now(), cmd.Int("count")
				told := 0
				p.Run(cmd.Int64("first"), n, cmd.Int("workers"), func(r seeds.Result) {
					digest.Write(binary.BigEndian.AppendUint64(nil, r.Digest))
					if len(r.Breaches) > 0 {
						if broken++; broken <= 20 {
							fmt.Printf("seed %d: %v\n", r.Seed, r.Breaches[0])
						}
					}
					if told++; told%max(1, n/10) == 0 {
						fmt.Fprintf(os.Stderr, "%d of %d, %d broken, %.1f a second\n", told, n, broken, float64(told)/time.Since(began).Seconds())
					}
				})
				fmt.Printf("%d seeds, %d broken, trace digest %016x\n", n, broken, digest.Sum64())
				if broken > 0 {
					return errBroken
				}
				return nil
			}},
		{Name: "replay", Usage: "play one seed again: replay SEED", ArgsUsage: "SEED", Flags: []cli.Flag{which, &cli.StringFlag{Name: "trace", Usage: "a file for each step"}},
			Action: func(_ context.Context, cmd *cli.Command) error {
				p, seed, err := one(cmd)
				if err != nil {
					return err
				}
				var trace func(string)
				if at := cmd.String("trace"); at != "" {
					f, err := os.Create(at)
					if err != nil {
						return err
					}
					defer f.Close()
					w := bufio.NewWriter(f)
					defer w.Flush()
					trace = func(line string) { fmt.Fprintln(w, line) }
				}
				r := p.Play(seed, p.Draw(seed), trace)
				if show(r); len(r.Breaches) > 0 {
					return errBroken
				}
				return nil
			}},
		{Name: "script", Usage: "write the script of a seed as a file to be changed and played: script SEED", ArgsUsage: "SEED", Flags: []cli.Flag{which},
			Action: func(_ context.Context, cmd *cli.Command) error {
				p, seed, err := one(cmd)
				if err == nil {
					fmt.Print(seeds.Script{Profile: name, Seed: seed, Faults: p.Draw(seed)})
				}
				return err
			}},
		{Name: "play", Usage: "play a script of one's own: play FILE", ArgsUsage: "FILE",
			Action: func(_ context.Context, cmd *cli.Command) error {
				file := cmd.Args().First()
				if file == "" {
					return errors.New("name the file of a script")
				}
				raw, err := strictyaml.Open(file)
				if err != nil {
					return err
				}
				s, err := seeds.ReadScript(file, raw)
				if err != nil {
					return err
				}
				r := seeds.Profiles[s.Profile].Play(s.Seed, s.Faults, nil)
				if show(r); len(r.Breaches) > 0 {
					return errBroken
				}
				return nil
			}},
		{Name: "shrink", Usage: "find the smallest script of a seed that still breaks the same rule: shrink SEED", ArgsUsage: "SEED", Flags: []cli.Flag{which},
			Action: func(_ context.Context, cmd *cli.Command) error {
				p, seed, err := one(cmd)
				if err != nil {
					return err
				}
				r := p.Shrink(p.Play(seed, p.Draw(seed), nil))
				if show(r); len(r.Breaches) == 0 {
					return nil
				}
				return errBroken
			}},
	}
}
