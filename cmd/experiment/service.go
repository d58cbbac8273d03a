package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/experiment/installation"
	"lilacbend/experiment/load"
)

// serviceCommand returns the command that compares the whole product with sidecars that have no controllers and therefore
// weight all replicas equally.
func serviceCommand() *cli.Command {
	var rate float64
	var seed int64
	var budget int
	faults := []string{"none", "silent", "zone-cut", "release", "slow", "collector-lost", "collector-failover", "restart", "restart-state"}
	return &cli.Command{Name: "service", Usage: "run the whole product on loopback through faults, with controllers and without",
		Flags: []cli.Flag{&cli.FloatFlag{Name: "rate", Value: 800, Destination: &rate}, &cli.Int64Flag{Name: "seed", Value: 1, Destination: &seed},
			&cli.StringSliceFlag{Name: "trouble", Value: faults, Destination: &faults},
			&cli.IntFlag{Name: "budget", Usage: "bytes per second from each collector to each controller; 0: no limit", Destination: &budget}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			for _, fault := range faults {
				for _, withControllers := range []bool{false, true} {
					if !withControllers && requiresController(fault) {
						continue
					}
					result, duplicates, err := measureService(ctx, fault, withControllers, rate, seed, budget)
					if err != nil {
						return fmt.Errorf("measuring the service with fault %s: %w", fault, err)
					}
					variant := map[bool]string{false: "equal table", true: "controllers"}[withControllers]
					fmt.Printf("%-14s %-11s %.1f%% answered within the latency budget; %v; payouts that ran more than once %d\n", fault, variant, 100*result.FractionWithin(250*time.Millisecond), result, duplicates)
				}
			}
			return nil
		}}
}

// requiresController reports whether a fault applies only to runs with controllers.
func requiresController(fault string) bool {
	return slices.Contains([]string{"collector-lost", "collector-failover", "restart", "restart-state"}, fault)
}

const (
	serviceRunDuration = 25 * time.Second
	// faultDelay is the time from the start of the load to the fault, which lasts until the end of the run.
	faultDelay = 8 * time.Second
	// restartDelay is how long replicas are unresponsive before the controllers restart.
	restartDelay = 6 * time.Second
	// replacementDelay is how long a replica or a controller is absent while it is replaced.
	replacementDelay = 300 * time.Millisecond
	// warmUpTime is how long a replaced replica is slow.
	warmUpTime = 5 * time.Second
	slowFactor = 5
)

// measureService runs the service through one fault. It returns the result of the load, and the number of idempotency keys
// whose request was executed more than once.
func measureService(ctx context.Context, fault string, withControllers bool, rate float64, seed int64, budget int) (load.Result, int, error) {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return load.Result{}, 0, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	site, err := installation.Start(ctx, installation.Config{Zones: 2, Replicas: 20, ReplicaSlots: 4, Sidecars: 4, Controllers: 2, ServiceTime: 20 * time.Millisecond, SlowFactor: 2,
		Dir: dir, RunControllers: withControllers, KeepState: fault == "restart-state", StandbyCollectors: fault == "collector-failover", ReportBudget: budget, Log: processLog()})
	if err != nil {
		return load.Result{}, 0, err
	}
	defer site.Stop()
	var urls []string
	for _, address := range site.HTTP1Addresses {
		urls = append(urls, "http://"+address+"/stock", "http://"+address+"/payouts")
	}
	injection := time.AfterFunc(faultDelay, func() { injectFault(ctx, site, fault) })
	defer injection.Stop()
	result, err := load.Run(ctx, load.Job{URLs: urls, Method: "GET", Rate: rate, Duration: serviceRunDuration, Timeout: 2 * time.Second, Seed: seed,
		EditRequest: func(number int, request *http.Request) {
			if request.URL.Path == "/payouts" {
				request.Method = http.MethodPost
				request.Header.Set("Key", fmt.Sprint(number))
			}
		}})
	duplicates := 0
	runsByKey := map[string]int{}
	for _, replica := range site.Replicas {
		for key, count := range replica.RunsByKey() {
			runsByKey[key] += count
		}
	}
	for _, runs := range runsByKey {
		if runs > 1 {
			duplicates++
		}
	}
	return result, duplicates, err
}

// injectFault injects a fault that lasts until the end of the run.
func injectFault(ctx context.Context, site *installation.Site, fault string) {
	switch fault {
	case "silent":
		silenceTenth(site)
	case "zone-cut":
		silenceZoneB(site)
	case "slow":
		slowThird(site)
	case "collector-lost", "collector-failover":
		site.Kill("collector-a")
		site.Kill("collector-b")
		slowThird(site)
	case "release":
		replaceThird(site)
	case "restart", "restart-state":
		silenceTenth(site)
		time.Sleep(restartDelay)
		site.Kill("governor-0")
		site.Kill("governor-1")
		time.Sleep(replacementDelay)
		site.StartController(ctx, 0)
		site.StartController(ctx, 1)
	}
}

// silenceTenth makes one in ten replicas accept requests and answer none.
func silenceTenth(site *installation.Site) {
	site.Replicas[3].Unresponsive.Store(true)
	site.Replicas[14].Unresponsive.Store(true)
}

// silenceZoneB makes the replicas of zone b, which are every second one, accept requests and answer none.
func silenceZoneB(site *installation.Site) {
	for k := 1; k < len(site.Replicas); k += 2 {
		site.Replicas[k].Unresponsive.Store(true)
	}
}

// slowThird multiplies the service time of a third of the replicas by slowFactor.
func slowThird(site *installation.Site) {
	for k := 0; k < len(site.Replicas); k += 3 {
		serviceTime := &site.Replicas[k].ServiceTime
		serviceTime.Store(slowFactor * serviceTime.Load())
	}
}

// replaceThird replaces a third of the replicas one after another. Each new replica is slow during its warm-up.
func replaceThird(site *installation.Site) {
	for k := 0; k < len(site.Replicas); k += 3 {
		site.ChangeMember(k, func(m *installation.Member) { m.Phase = "Terminating" })
		time.Sleep(replacementDelay)
		site.ChangeMember(k, func(m *installation.Member) {
			m.Phase = "Ready"
			m.UpSince = time.Now().UnixMilli()
		})
		serviceTime := &site.Replicas[k].ServiceTime
		warmServiceTime := serviceTime.Load()
		serviceTime.Store(slowFactor * warmServiceTime)
		time.AfterFunc(warmUpTime, func() { serviceTime.Store(warmServiceTime) })
	}
}

// processLog returns the destination of the processes' logs: standard error if LAB_LOG is set, else nil.
func processLog() io.Writer {
	if os.Getenv("LAB_LOG") == "" {
		return nil
	}
	return os.Stderr
}
