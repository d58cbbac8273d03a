package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lilacbend/experiment/installation"
	"lilacbend/experiment/load"
)

const (
	// overheadExpiry is how long a request may take.
	overheadExpiry = 10 * time.Second
	// baselineStartDelay is how long the baseline may take to listen.
	baselineStartDelay = 300 * time.Millisecond
	// cpuTick is the unit of processor time in /proc.
	cpuTick = 10 * time.Millisecond
	// referenceConcurrency is the number of requests at once whose throughput sets the rates of the second part.
	referenceConcurrency = 100
	// plottedRateDivisor divides the sidecar's throughput, which gives the rate of the plot.
	plottedRateDivisor = 8
)

// processorTime returns the processor time that a process has used.
func processorTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	afterName := string(raw[strings.LastIndexByte(string(raw), ')')+1:])
	words := strings.Fields(afterName)
	user, _ := strconv.Atoi(words[11])
	system, _ := strconv.Atoi(words[12])
	return time.Duration(user+system) * cpuTick
}

// overheadCommand returns the command that measures what a sidecar adds.
func overheadCommand() *cli.Command {
	var span time.Duration
	var out string
	return &cli.Command{Name: "overhead", Usage: "what a sidecar adds, against replicas reached directly and against a baseline on httputil",
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Destination: &span}, &cli.StringFlag{Name: "plot", Destination: &out}},
		Action: func(ctx context.Context, _ *cli.Command) error { return measureOverhead(ctx, span, out) }}
}

// target is one way to reach the replicas.
type target struct {
	name string
	urls []string
	h2   bool
	pid  int // of the proxy; 0: none
}

const (
	sidecarH1 = "sidecar h1"
	path      = "/stock"
)

// measureOverhead measures each target at several concurrencies and at several rates, and plots response times if out is set.
func measureOverhead(ctx context.Context, span time.Duration, out string) error {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	site, err := installation.Start(ctx, installation.Config{Zones: 1, Replicas: 2, Sidecars: 1, Dir: dir})
	if err != nil {
		return err
	}
	defer site.Stop()
	address := installation.FreeAddress()
	baseline := exec.CommandContext(ctx, filepath.Clean(os.Args[0]), baselineArguments(site, address)...)
	if err := baseline.Start(); err != nil {
		return err
	}
	defer baseline.Wait()
	defer baseline.Process.Kill()
	time.Sleep(baselineStartDelay)
	targets := overheadTargets(site, address, baseline.Process.Pid)
	throughput, err := measureConcurrencies(ctx, targets, span)
	if err != nil {
		return err
	}
	lines, err := measureRates(ctx, targets, span, throughput)
	if err != nil || out == "" {
		return err
	}
	return plotResponseTimes(out, throughput/plottedRateDivisor, targets, lines)
}

func baselineArguments(site *installation.Site, address string) []string {
	arguments := []string{"baseline"}
	for _, replica := range site.Replicas {
		arguments = append(arguments, "--to", replica.Addr)
	}
	return append(arguments, "--listen", address)
}

func overheadTargets(site *installation.Site, baseline string, baselinePid int) []target {
	direct := []string{"http://" + site.Replicas[0].Addr + path, "http://" + site.Replicas[1].Addr + path}
	baselineURLs := []string{"http://" + baseline + path}
	sidecarPid := site.PID("sidecar-0")
	return []target{
		{name: "direct h1", urls: direct},
		{name: "baseline h1", urls: baselineURLs, pid: baselinePid},
		{name: sidecarH1, urls: []string{"http://" + site.HTTP1Addresses[0] + path}, pid: sidecarPid},
		{name: "baseline h2", urls: baselineURLs, h2: true, pid: baselinePid},
		{name: "sidecar h2", urls: []string{"http://" + site.HTTP2Addresses[0] + path}, h2: true, pid: sidecarPid},
	}
}

// measureConcurrencies sends requests to each target as fast as it answers, and returns the sidecar's throughput a second at
// referenceConcurrency.
func measureConcurrencies(ctx context.Context, targets []target, span time.Duration) (throughput float64, err error) {
	for _, t := range targets {
		for _, concurrency := range []int{1, referenceConcurrency, 1000} {
			before := processorTime(t.pid)
			result, err := load.Run(ctx, load.Job{URLs: t.urls, HTTP2: t.h2, Method: "GET", Concurrency: concurrency, Duration: span, Timeout: overheadExpiry})
			if err != nil {
				return 0, err
			}
			used := processorTime(t.pid) - before
			if t.name == sidecarH1 && concurrency == referenceConcurrency {
				throughput = float64(result.Good) / result.Elapsed.Seconds()
			}
			fmt.Printf("%-12s %4d at once: %v; CPU %.1f us a flow\n", t.name, concurrency, result, float64(used.Microseconds())/float64(max(1, result.Good)))
		}
	}
	return throughput, nil
}

// measureRates sends requests to each target at fractions of the sidecar's throughput, and returns the response times in
// milliseconds by percentile at the lowest rate.
func measureRates(ctx context.Context, targets []target, span time.Duration, throughput float64) (map[string]plotter.XYs, error) {
	lines := map[string]plotter.XYs{}
	for _, t := range targets {
		var result load.Result
		for _, rate := range []float64{throughput / 2, throughput / 4, throughput / plottedRateDivisor} {
			var err error
			result, err = load.Run(ctx, load.Job{URLs: t.urls, HTTP2: t.h2, Method: "GET", Rate: rate, Duration: span, Timeout: overheadExpiry, Seed: 1})
			if err != nil {
				return nil, err
			}
			fmt.Printf("%-12s %.0f a second, %.2f of the sidecar's most here: %v\n", t.name, rate, rate/throughput, result)
		}
		for _, percentile := range []float64{0, 50, 75, 90, 95, 99, 99.5, 99.9} {
			milliseconds := float64(result.Latencies.ValueAtQuantile(percentile)) / 1000
			lines[t.name] = append(lines[t.name], plotter.XY{X: percentile, Y: milliseconds})
		}
	}
	return lines, nil
}

func plotResponseTimes(out string, rate float64, targets []target, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Time of an answer at %.0f flows a second", rate)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	var series []any
	for _, t := range targets {
		series = append(series, t.name, lines[t.name])
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, out)
}
