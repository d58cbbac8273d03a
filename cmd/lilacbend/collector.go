package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/internal/controlclient"
)

// minReportInterval is the shortest interval between two reports of a collector.
const minReportInterval = 50 * time.Millisecond

// collectorCommand returns the command that runs the collector of a zone.
func collectorCommand() *cli.Command {
	collector := &controlclient.Collector{}
	var listen string
	return &cli.Command{
		Name:  "collector",
		Usage: "aggregate the request outcomes that a zone's sidecars report, and send them to controllers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "zone", Usage: "zone of the sidecars", Required: true, Destination: &collector.Zone},
			&cli.StringFlag{Name: "listen", Usage: "address on which sidecars connect, as host:port", Required: true, Destination: &listen},
			&cli.StringSliceFlag{Name: "governor", Usage: "address of a controller, as host:port; may be repeated", Required: true, Destination: &collector.Controllers},
			&cli.DurationFlag{Name: "every", Value: time.Second, Usage: "interval between two reports", Destination: &collector.Interval},
			&cli.IntFlag{Name: "budget", Usage: "limit of the reports to each controller, in bytes per second; 0: no limit", Destination: &collector.BytesPerSecond},
			&cli.IntFlag{Name: "sidecars", Value: 10000, Usage: "maximum number of connected sidecars", Destination: &collector.MaxSidecars},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			err := checkCollector(collector)
			if err != nil {
				return err
			}
			return runCollector(ctx, collector, listen)
		},
	}
}

// checkCollector returns an error that names the flag of the command that is invalid.
func checkCollector(collector *controlclient.Collector) error {
	if collector.Interval < minReportInterval || collector.MaxSidecars < 1 {
		return fmt.Errorf("--every is %v, want %v or more; --sidecars is %d, want 1 or more", collector.Interval, minReportInterval, collector.MaxSidecars)
	}
	if collector.BytesPerSecond < 0 {
		return fmt.Errorf("--budget is %d, want bytes per second, or 0 for no limit", collector.BytesPerSecond)
	}
	for _, address := range collector.Controllers {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("--governor: %w", err)
		}
	}
	return nil
}

func runCollector(ctx context.Context, collector *controlclient.Collector, listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	logs := newLogWriter(os.Stderr)
	defer logs.close()
	collector.Log = slog.New(slog.NewTextHandler(logs, nil)).With("collector", collector.Zone)
	collector.Log.Info("collector serving", "listen", listen, "governors", collector.Controllers)
	collector.Serve(ctx, listener)
	collector.Log.Info("collector stopped", "heard", collector.Received.Load(), "told", collector.Reported.Load(), "skipped", collector.Skipped.Load(), "held_back", collector.HeldBack.Load())
	return nil
}
