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
	var j load.Job
	var out string
	return &cli.Command{Name: "load", Usage: "send flows to addresses of loopback, by times drawn from a seed", Flags: []cli.Flag{
		&cli.StringSliceFlag{Name: "url", Required: true, Destination: &j.URLs}, &cli.BoolFlag{Name: "h2", Destination: &j.HTTP2},
		&cli.StringFlag{Name: "method", Value: "GET", Destination: &j.Method}, &cli.FloatFlag{Name: "rate", Value: 100, Destination: &j.Rate},
		&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Destination: &j.Duration}, &cli.DurationFlag{Name: "expiry", Value: 2 * time.Second, Destination: &j.Timeout},
		&cli.Int64Flag{Name: "seed", Value: 1, Destination: &j.Seed}, &cli.StringFlag{Name: "out", Usage: "histogram file", Destination: &out}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			r, err := load.Run(ctx, j)
			if err != nil {
				return err
			}
			fmt.Println(r)
			for reason, n := range r.Reasons {
				fmt.Printf("  %s: %d\n", reason, n)
			}
			if out != "" {
				return r.WriteHistogram(out)
			}
			return nil
		}}
}

// baselineCommand returns the proxy with which the sidecar is compared: a minimal one on the standard library.
func baselineCommand() *cli.Command {
	return &cli.Command{Name: "baseline", Hidden: true, Flags: []cli.Flag{&cli.StringFlag{Name: "listen"}, &cli.StringSliceFlag{Name: "to"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			var to []*url.URL
			for _, at := range cmd.StringSlice("to") {
				to = append(to, &url.URL{Scheme: "http", Host: at})
			}
			next := make(chan int, 1)
			next <- 0
			proxy := &httputil.ReverseProxy{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Rewrite: func(r *httputil.ProxyRequest) {
				k := <-next
				next <- (k + 1) % len(to)
				r.SetURL(to[k])
			}}
			s := &http.Server{Addr: cmd.String("listen"), Handler: proxy, Protocols: new(http.Protocols)}
			s.Protocols.SetHTTP1(true)
			s.Protocols.SetUnencryptedHTTP2(true)
			return s.ListenAndServe()
		}}
}
