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

// serviceCommand measures the whole product against sidecars with an equal table and no governor.
func serviceCommand() *cli.Command {
	var rate float64
	var seed int64
	var budget int
	troubles := []string{"none", "silent", "zone-cut", "release", "slow", "collector-lost", "collector-failover", "restart", "restart-state"}
	return &cli.Command{Name: "service", Usage: "the whole product on loopback through a trouble, with governors and without",
		Flags: []cli.Flag{&cli.FloatFlag{Name: "rate", Value: 800, Destination: &rate}, &cli.Int64Flag{Name: "seed", Value: 1, Destination: &seed},
			&cli.StringSliceFlag{Name: "trouble", Value: troubles, Destination: &troubles},
			&cli.IntFlag{Name: "budget", Usage: "bytes a second of each collector to each governor; 0: no limit", Destination: &budget}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			for _, trouble := range troubles {
				for _, steered := range []bool{false, true} {
					if !steered && onlySteered(trouble) {
						continue
					}
					r, twice, err := service(ctx, trouble, steered, rate, seed, budget)
					if err != nil {
						return fmt.Errorf("%s: %w", trouble, err)
					}
					name := map[bool]string{false: "equal table", true: "governors"}[steered]
					fmt.Printf("%-14s %-11s service %.1f%% in the budget; %v; payouts run twice %d\n", trouble, name, 100*r.Within(250*time.Millisecond), r, twice)
				}
			}
			return nil
		}}
}

// onlySteered says whether a trouble means nothing where there is no governor.
func onlySteered(trouble string) bool {
	return slices.Contains([]string{"collector-lost", "collector-failover", "restart", "restart-state"}, trouble)
}

const serviceSpan, hurtAfter = 25 * time.Second, 8 * time.Second

// service plays one trouble: it begins after 8 s and lasts to the end.
func service(ctx context.Context, trouble string, steered bool, rate float64, seed int64, budget int) (load.Result, int, error) {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return load.Result{}, 0, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s, err := installation.Start(ctx, installation.Shape{Zones: 2, Replicas: 20, Places: 4, Sidecars: 4, Governors: 2, Span: 20 * time.Millisecond, Slow: 2,
		Dir: dir, Steered: steered, State: trouble == "restart-state", Standby: trouble == "collector-failover", ReportBudget: budget, Log: logOf()})
	if err != nil {
		return load.Result{}, 0, err
	}
	defer s.Stop()
	var urls []string
	for _, at := range s.H1s {
		urls = append(urls, "http://"+at+"/stock", "http://"+at+"/payouts")
	}
	hurt := time.AfterFunc(hurtAfter, func() { inflict(ctx, s, trouble) })
	defer hurt.Stop()
	r, err := load.Run(ctx, load.Job{URLs: urls, Method: "GET", Rate: rate, Span: serviceSpan, Expiry: 2 * time.Second, Seed: seed,
		Each: func(k int, q *http.Request) {
			if q.URL.Path == "/payouts" {
				q.Method = http.MethodPost
				q.Header.Set("Key", fmt.Sprint(k))
			}
		}})
	twice := 0
	runs := map[string]int{}
	for _, rep := range s.Replicas {
		for key, n := range rep.Runs() {
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

func inflict(ctx context.Context, s *installation.Site, trouble string) {
	switch trouble {
	case "silent": // one in ten takes flows and answers none
		s.Replicas[3].Silent.Store(true)
		s.Replicas[14].Silent.Store(true)
	case "zone-cut": // the replicas of zone b answer nobody
		for k, r := range s.Replicas {
			if k%2 == 1 {
				r.Silent.Store(true)
			}
		}
	case "slow": // a third answers all, five times slower
		for k := 0; k < len(s.Replicas); k += 3 {
			s.Replicas[k].Span.Store(5 * s.Replicas[k].Span.Load())
		}
	case "collector-lost", "collector-failover": // the collector that each zone reports to is killed just before
		s.Kill("collector-a")
		s.Kill("collector-b")
		inflict(ctx, s, "slow")
	case "release": // a third is replaced, one after the other, and comes back cold: five times slower for 5 s
		for k := 0; k < len(s.Replicas); k += 3 {
			s.Change(k, func(m *installation.Member) { m.Phase = "Terminating" })
			time.Sleep(300 * time.Millisecond)
			s.Change(k, func(m *installation.Member) { m.Phase, m.UpSince = "Ready", time.Now().UnixMilli() })
			r, span := s.Replicas[k], s.Replicas[k].Span.Load()
			r.Span.Store(5 * span)
			time.AfterFunc(5*time.Second, func() { r.Span.Store(span) })
		}
	case "restart", "restart-state": // one in ten is silent since before, and both governors die
		s.Replicas[3].Silent.Store(true)
		s.Replicas[14].Silent.Store(true)
		time.Sleep(6 * time.Second)
		s.Kill("governor-0")
		s.Kill("governor-1")
		time.Sleep(300 * time.Millisecond)
		s.Governor(ctx, 0)
		s.Governor(ctx, 1)
	}
}

// logOf is where the processes' logs go, if anywhere.
func logOf() io.Writer {
	if os.Getenv("LAB_LOG") == "" {
		return nil
	}
	return os.Stderr
}
