package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"sync"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"lilacbend/experiment/emulator"
	"lilacbend/experiment/restart"
)

func restartCommand() *cli.Command {
	return &cli.Command{Name: "restart", Usage: "flows lost and late in the 10 s after a governor's restart, with and without state",
		Flags: []cli.Flag{&cli.IntFlag{Name: "replicas", Value: 30}, &cli.IntFlag{Name: "proxies", Value: 150},
			&cli.IntFlag{Name: "seeds", Value: 8}, &cli.FloatFlag{Name: "load", Value: 0.5, Usage: "of what all replicas can serve when well"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			site := emulator.NewSite(cmd.Int("replicas"), cmd.Int("proxies"), cmd.Float("load"))
			return restartTable(site, cmd.Int("seeds"))
		}}
}

// restartTable prints the mean fraction of requests that were not answered in their latency budget, and its standard error.
func restartTable(site emulator.Site, seeds int) error {
	memories := []restart.StateKind{restart.NoRestart, restart.NoState, restart.KeptState, restart.OldState, restart.WrongState}
	fmt.Printf("%d replicas, %d proxies, load %.2f, %d seeds: percent of the flows of 10 s not answered in their budget (standard error)\n",
		site.Replicas, site.Proxies, site.Load, seeds)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "trouble\t")
	for _, m := range memories {
		fmt.Fprintf(out, "%v\t", m)
	}
	fmt.Fprintln(out, "lost by the restart: with / without\t")
	for _, t := range restart.Scenarios {
		bad, err := restartRow(site, t, memories, seeds)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s\t", t.Name)
		for _, of := range bad {
			mean, spread := meanAndError(of)
			fmt.Fprintf(out, "%.2f (%.2f)\t", 100*mean, 100*spread)
		}
		base, _ := meanAndError(bad[0])
		without, _ := meanAndError(bad[1])
		with, _ := meanAndError(bad[2])
		fmt.Fprintf(out, "%.2f / %.2f\t\n", 100*(with-base), 100*(without-base))
	}
	return out.Flush()
}

// restartRow runs all seeds with each kind of state, as many at once as there are processors.
func restartRow(site emulator.Site, t restart.Scenario, memories []restart.StateKind, seeds int) ([][]float64, error) {
	bad := make([][]float64, len(memories))
	failed := make(chan error, seeds*len(memories))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	for k, m := range memories {
		bad[k] = make([]float64, seeds)
		for seed := range seeds {
			slots <- struct{}{}
			runs.Go(func() {
				defer func() { <-slots }()
				outcome, err := restart.Run(site, t, m, int64(seed+1))
				bad[k][seed] = outcome.BadFraction()
				if err != nil {
					failed <- fmt.Errorf("%s, %v, seed %d: %w", t.Name, m, seed+1, err)
				}
			})
		}
	}
	runs.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return bad, nil
	}
}

// meanAndError returns the mean of values and its standard error.
func meanAndError(values []float64) (mean, standardError float64) {
	count := float64(len(values))
	for _, value := range values {
		mean += value / count
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	deviation := math.Sqrt(squares / math.Max(1, count-1))
	return mean, deviation / math.Sqrt(count)
}
