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
	return &cli.Command{Name: "restart", Usage: "measure requests lost or late in the 10 s after a controller restart, with and without saved state",
		Flags: []cli.Flag{&cli.IntFlag{Name: "replicas", Value: 30}, &cli.IntFlag{Name: "proxies", Value: 150},
			&cli.IntFlag{Name: "seeds", Value: 8}, &cli.FloatFlag{Name: "load", Value: 0.5, Usage: "load as a fraction of the capacity of all replicas when healthy"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			site := emulator.NewSite(cmd.Int("replicas"), cmd.Int("proxies"), cmd.Float("load"))
			return printRestartTable(site, cmd.Int("seeds"))
		}}
}

// printRestartTable prints, by scenario and kind of state, the mean percentage of requests that were not answered within
// their latency budget, and its standard error.
func printRestartTable(site emulator.Site, seeds int) error {
	stateKinds := []restart.StateKind{restart.NoRestart, restart.NoState, restart.KeptState, restart.OldState, restart.WrongState}
	fmt.Printf("%d replicas, %d proxies, load %.2f, %d seeds: percentage of the requests in 10 s not answered within their latency budget (standard error)\n",
		site.Replicas, site.Proxies, site.Load, seeds)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "scenario\t")
	for _, kind := range stateKinds {
		fmt.Fprintf(table, "%v\t", kind)
	}
	fmt.Fprintln(table, "added by the restart: with / without state\t")
	for _, scenario := range restart.Scenarios {
		missedFractions, err := runScenario(site, scenario, stateKinds, seeds)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t", scenario.Name)
		for _, fractions := range missedFractions {
			mean, standardError := meanAndError(fractions)
			fmt.Fprintf(table, "%.2f (%.2f)\t", 100*mean, 100*standardError)
		}
		noRestart, _ := meanAndError(missedFractions[0])
		noState, _ := meanAndError(missedFractions[1])
		keptState, _ := meanAndError(missedFractions[2])
		fmt.Fprintf(table, "%.2f / %.2f\t\n", 100*(keptState-noRestart), 100*(noState-noRestart))
	}
	return table.Flush()
}

// runScenario runs a scenario for all seeds with each kind of state, as many runs in parallel as there are processors. It
// returns the fractions of requests not answered within their latency budget, by kind of state and seed.
func runScenario(site emulator.Site, scenario restart.Scenario, stateKinds []restart.StateKind, seeds int) ([][]float64, error) {
	missedFractions := make([][]float64, len(stateKinds))
	errs := make(chan error, seeds*len(stateKinds))
	runSlots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	for k, kind := range stateKinds {
		missedFractions[k] = make([]float64, seeds)
		for seed := range seeds {
			runSlots <- struct{}{}
			runs.Go(func() {
				defer func() { <-runSlots }()
				outcome, err := restart.Run(site, scenario, kind, int64(seed+1))
				missedFractions[k][seed] = outcome.BadFraction()
				if err != nil {
					errs <- fmt.Errorf("scenario %s, %v, seed %d: %w", scenario.Name, kind, seed+1, err)
				}
			})
		}
	}
	runs.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return missedFractions, nil
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
