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
	// overheadTimeout limits the duration of each request.
	overheadTimeout = 10 * time.Second
	// baselineStartDelay is the time that the baseline proxy is given to start listening.
	baselineStartDelay = 300 * time.Millisecond
	// cpuTick is the unit of processor time in /proc.
	cpuTick = 10 * time.Millisecond
	// referenceConcurrency is the number of concurrent requests at which the sidecar's throughput is measured. The request
	// rates of measureRates are fractions of this throughput.
	referenceConcurrency = 100
	// plottedRateDivisor divides the sidecar's throughput to give the request rate of the plot.
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

// overheadCommand returns the command that measures the latency and the processor time that a sidecar adds.
func overheadCommand() *cli.Command {
	var duration time.Duration
	var plotFile string
	return &cli.Command{Name: "overhead", Usage: "measure a sidecar's overhead, compared with direct requests to replicas and with a baseline proxy on httputil",
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Destination: &duration}, &cli.StringFlag{Name: "plot", Destination: &plotFile}},
		Action: func(ctx context.Context, _ *cli.Command) error { return measureOverhead(ctx, duration, plotFile) }}
}

// target is one way to reach the replicas.
type target struct {
	name string
	urls []string
	h2   bool
	pid  int // process ID of the proxy; 0: the target has no proxy
}

const (
	sidecarH1   = "sidecar h1"
	requestPath = "/stock"
)

// measureOverhead measures requests to each target at several concurrencies and at several rates, and plots latencies if
// plotFile is set.
func measureOverhead(ctx context.Context, duration time.Duration, plotFile string) error {
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
	baseline := exec.CommandContext(ctx, filepath.Clean(os.Args[0]), baselineArgs(site, address)...)
	if err := baseline.Start(); err != nil {
		return err
	}
	defer baseline.Wait()
	defer baseline.Process.Kill()
	time.Sleep(baselineStartDelay)
	targets := overheadTargets(site, address, baseline.Process.Pid)
	throughput, err := measureConcurrencies(ctx, targets, duration)
	if err != nil {
		return err
	}
	latencies, err := measureRates(ctx, targets, duration, throughput)
	if err != nil || plotFile == "" {
		return err
	}
	return plotLatencies(plotFile, throughput/plottedRateDivisor, targets, latencies)
}

func baselineArgs(site *installation.Site, address string) []string {
	args := []string{"baseline"}
	for _, replica := range site.Replicas {
		args = append(args, "--to", replica.Addr)
	}
	return append(args, "--listen", address)
}

func overheadTargets(site *installation.Site, baselineAddress string, baselinePid int) []target {
	directURLs := []string{"http://" + site.Replicas[0].Addr + requestPath, "http://" + site.Replicas[1].Addr + requestPath}
	baselineURLs := []string{"http://" + baselineAddress + requestPath}
	sidecarPid := site.PID("sidecar-0")
	return []target{
		{name: "direct h1", urls: directURLs},
		{name: "baseline h1", urls: baselineURLs, pid: baselinePid},
		{name: sidecarH1, urls: []string{"http://" + site.HTTP1Addresses[0] + requestPath}, pid: sidecarPid},
		{name: "baseline h2", urls: baselineURLs, h2: true, pid: baselinePid},
		{name: "sidecar h2", urls: []string{"http://" + site.HTTP2Addresses[0] + requestPath}, h2: true, pid: sidecarPid},
	}
}

// measureConcurrencies sends requests to each target at several concurrencies, and starts a new request as soon as one is
// answered. It returns the sidecar's throughput at referenceConcurrency, in requests per second.
func measureConcurrencies(ctx context.Context, targets []target, duration time.Duration) (throughput float64, err error) {
	for _, t := range targets {
		for _, concurrency := range []int{1, referenceConcurrency, 1000} {
			usedBefore := processorTime(t.pid)
			result, err := load.Run(ctx, load.Job{URLs: t.urls, HTTP2: t.h2, Method: "GET", Concurrency: concurrency, Duration: duration, Timeout: overheadTimeout})
			if err != nil {
				return 0, err
			}
			used := processorTime(t.pid) - usedBefore
			if t.name == sidecarH1 && concurrency == referenceConcurrency {
				throughput = float64(result.Good) / result.Elapsed.Seconds()
			}
			fmt.Printf("%-12s %4d concurrent: %v; CPU %.1f us per request\n", t.name, concurrency, result, float64(used.Microseconds())/float64(max(1, result.Good)))
		}
	}
	return throughput, nil
}

// measureRates sends requests to each target at fractions of the sidecar's throughput, and returns the latencies in
// milliseconds by percentile at the lowest rate.
func measureRates(ctx context.Context, targets []target, duration time.Duration, throughput float64) (map[string]plotter.XYs, error) {
	latencies := map[string]plotter.XYs{}
	for _, t := range targets {
		var result load.Result
		for _, rate := range []float64{throughput / 2, throughput / 4, throughput / plottedRateDivisor} {
			var err error
			result, err = load.Run(ctx, load.Job{URLs: t.urls, HTTP2: t.h2, Method: "GET", Rate: rate, Duration: duration, Timeout: overheadTimeout, Seed: 1})
			if err != nil {
				return nil, err
			}
			fmt.Printf("%-12s %.0f requests/s, %.2f of the sidecar's throughput: %v\n", t.name, rate, rate/throughput, result)
		}
		for _, percentile := range []float64{0, 50, 75, 90, 95, 99, 99.5, 99.9} {
			milliseconds := float64(result.Latencies.ValueAtQuantile(percentile)) / 1000
			latencies[t.name] = append(latencies[t.name], plotter.XY{X: percentile, Y: milliseconds})
		}
	}
	return latencies, nil
}

func plotLatencies(plotFile string, rate float64, targets []target, latencies map[string]plotter.XYs) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("Latency at %.0f requests per second", rate)
	chart.X.Label.Text = "percentile"
	chart.Y.Label.Text = "ms"
	var series []any
	for _, t := range targets {
		series = append(series, t.name, latencies[t.name])
	}
	if err := plotutil.AddLinePoints(chart, series...); err != nil {
		return err
	}
	return chart.Save(16*vg.Centimeter, 10*vg.Centimeter, plotFile)
}
