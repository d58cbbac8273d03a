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

// serviceCommand returns the command that compares the whole product with sidecars that have an equal table and no controller.
func serviceCommand() *cli.Command {
	var rate float64
	var seed int64
	var budget int
	faults := []string{"none", "silent", "zone-cut", "release", "slow", "collector-lost", "collector-failover", "restart", "restart-state"}
	return &cli.Command{Name: "service", Usage: "the whole product on loopback through a trouble, with governors and without",
		Flags: []cli.Flag{&cli.FloatFlag{Name: "rate", Value: 800, Destination: &rate}, &cli.Int64Flag{Name: "seed", Value: 1, Destination: &seed},
			&cli.StringSliceFlag{Name: "trouble", Value: faults, Destination: &faults},
			&cli.IntFlag{Name: "budget", Usage: "bytes a second of each collector to each governor; 0: no limit", Destination: &budget}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			for _, fault := range faults {
				for _, steered := range []bool{false, true} {
					if !steered && onlySteered(fault) {
						continue
					}
					r, twice, err := service(ctx, fault, steered, rate, seed, budget)
					if err != nil {
						return fmt.Errorf("%s: %w", fault, err)
					}
					name := map[bool]string{false: "equal table", true: "governors"}[steered]
					fmt.Printf("%-14s %-11s service %.1f%% in the budget; %v; payouts run twice %d\n", fault, name, 100*r.FractionWithin(250*time.Millisecond), r, twice)
				}
			}
			return nil
		}}
}

// onlySteered reports whether a fault has no meaning without a controller.
func onlySteered(fault string) bool {
	return slices.Contains([]string{"collector-lost", "collector-failover", "restart", "restart-state"}, fault)
}

const (
	serviceSpan = 25 * time.Second
	// faultDelay is when the fault begins. It lasts to the end.
	faultDelay = 8 * time.Second
	// restartDelay is how long replicas are silent before the controllers restart.
	restartDelay = 6 * time.Second
	// replacementInterval is how long a replica or a controller is absent while it is replaced.
	replacementInterval = 300 * time.Millisecond
	// warmUpTime is how long a replaced replica is slow.
	warmUpTime = 5 * time.Second
	slowFactor = 5
)

// service measures the service through one fault. It returns the result of the load, and the number of keys that ran twice.
func service(ctx context.Context, fault string, steered bool, rate float64, seed int64, budget int) (load.Result, int, error) {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return load.Result{}, 0, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s, err := installation.Start(ctx, installation.Config{Zones: 2, Replicas: 20, ReplicaSlots: 4, Sidecars: 4, Controllers: 2, ServiceTime: 20 * time.Millisecond, SlowFactor: 2,
		Dir: dir, Controlled: steered, KeepState: fault == "restart-state", StandbyCollectors: fault == "collector-failover", ReportBudget: budget, Log: logOf()})
	if err != nil {
		return load.Result{}, 0, err
	}
	defer s.Stop()
	var urls []string
	for _, at := range s.HTTP1Addresses {
		urls = append(urls, "http://"+at+"/stock", "http://"+at+"/payouts")
	}
	injection := time.AfterFunc(faultDelay, func() { injectFault(ctx, s, fault) })
	defer injection.Stop()
	r, err := load.Run(ctx, load.Job{URLs: urls, Method: "GET", Rate: rate, Duration: serviceSpan, Timeout: 2 * time.Second, Seed: seed,
		EditRequest: func(k int, q *http.Request) {
			if q.URL.Path == "/payouts" {
				q.Method = http.MethodPost
				q.Header.Set("Key", fmt.Sprint(k))
			}
		}})
	twice := 0
	runs := map[string]int{}
	for _, rep := range s.Replicas {
		for key, n := range rep.RunsByKey() {
			runs[key] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return r, twice, err
}

// injectFault injects a fault until the end of the run.
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
		time.Sleep(replacementInterval)
		site.StartController(ctx, 0)
		site.StartController(ctx, 1)
	}
}

// silenceTenth makes one in ten replicas accept requests and answer none.
func silenceTenth(site *installation.Site) {
	site.Replicas[3].Unresponsive.Store(true)
	site.Replicas[14].Unresponsive.Store(true)
}

// silenceZoneB makes the replicas of zone b, which are every second one, answer no request.
func silenceZoneB(site *installation.Site) {
	for k := 1; k < len(site.Replicas); k += 2 {
		site.Replicas[k].Unresponsive.Store(true)
	}
}

// slowThird makes a third of the replicas slowFactor times as slow.
func slowThird(site *installation.Site) {
	for k := 0; k < len(site.Replicas); k += 3 {
		span := &site.Replicas[k].ServiceTime
		span.Store(slowFactor * span.Load())
	}
}

// replaceThird replaces a third of the replicas one after another. The new ones are slow until they are warmed up.
func replaceThird(site *installation.Site) {
	for k := 0; k < len(site.Replicas); k += 3 {
		site.ChangeMember(k, func(m *installation.Member) { m.Phase = "Terminating" })
		time.Sleep(replacementInterval)
		site.ChangeMember(k, func(m *installation.Member) {
			m.Phase = "Ready"
			m.UpSince = time.Now().UnixMilli()
		})
		span := &site.Replicas[k].ServiceTime
		warm := span.Load()
		span.Store(slowFactor * warm)
		time.AfterFunc(warmUpTime, func() { span.Store(warm) })
	}
}

// logOf returns the destination of the processes' logs, or nil.
func logOf() io.Writer {
	if os.Getenv("LAB_LOG") == "" {
		return nil
	}
	return os.Stderr
}
