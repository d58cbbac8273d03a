package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/experiment/load"
)

func loadCommand() *cli.Command {
	var job load.Job
	var histogramFile string
	return &cli.Command{Name: "load", Usage: "send requests to loopback addresses, at times drawn from a seed", Flags: []cli.Flag{
		&cli.StringSliceFlag{Name: "url", Required: true, Destination: &job.URLs}, &cli.BoolFlag{Name: "h2", Destination: &job.HTTP2},
		&cli.StringFlag{Name: "method", Value: "GET", Destination: &job.Method}, &cli.FloatFlag{Name: "rate", Value: 100, Destination: &job.Rate},
		&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Destination: &job.Duration}, &cli.DurationFlag{Name: "expiry", Value: 2 * time.Second, Destination: &job.Timeout},
		&cli.Int64Flag{Name: "seed", Value: 1, Destination: &job.Seed}, &cli.StringFlag{Name: "out", Usage: "write a histogram of the latencies to this file", Destination: &histogramFile}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			result, err := load.Run(ctx, job)
			if err != nil {
				return err
			}
			fmt.Println(result)
			for reason, count := range result.Reasons {
				fmt.Printf("  %s: %d\n", reason, count)
			}
			if histogramFile != "" {
				return result.WriteHistogram(histogramFile)
			}
			return nil
		}}
}

// baselineCommand returns the command of the proxy that the sidecar is compared with: a minimal reverse proxy built on
// the standard library.
func baselineCommand() *cli.Command {
	return &cli.Command{Name: "baseline", Hidden: true, Flags: []cli.Flag{&cli.StringFlag{Name: "listen"}, &cli.StringSliceFlag{Name: "to"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			var targets []*url.URL
			for _, address := range cmd.StringSlice("to") {
				targets = append(targets, &url.URL{Scheme: "http", Host: address})
			}
			nextTarget := make(chan int, 1)
			nextTarget <- 0
			proxy := &httputil.ReverseProxy{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Rewrite: func(r *httputil.ProxyRequest) {
				index := <-nextTarget
				nextTarget <- (index + 1) % len(targets)
				r.SetURL(targets[index])
			}}
			server := &http.Server{Addr: cmd.String("listen"), Handler: proxy, Protocols: new(http.Protocols)}
			server.Protocols.SetHTTP1(true)
			server.Protocols.SetUnencryptedHTTP2(true)
			return server.ListenAndServe()
		}}
}
