package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
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

func loadCommand() *cli.Command {
	var j load.Job
	var out string
	return &cli.Command{Name: "load", Usage: "send flows to addresses of loopback, by times drawn from a seed", Flags: []cli.Flag{
		&cli.StringSliceFlag{Name: "url", Required: true, Destination: &j.URLs}, &cli.BoolFlag{Name: "h2", Destination: &j.H2},
		&cli.StringFlag{Name: "method", Value: "GET", Destination: &j.Method}, &cli.FloatFlag{Name: "rate", Value: 100, Destination: &j.Rate},
		&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Destination: &j.Span}, &cli.DurationFlag{Name: "expiry", Value: 2 * time.Second, Destination: &j.Expiry},
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
				return r.Write(out)
			}
			return nil
		}}
}

// baselineCommand is what the sidecar is measured against: twenty lines on the standard library.
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

// cpu is the processor time that a process has used.
func cpu(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	words := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.Atoi(words[11])
	system, _ := strconv.Atoi(words[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// overheadCommand measures what a sidecar adds.
func overheadCommand() *cli.Command {
	var span time.Duration
	var out string
	return &cli.Command{Name: "overhead", Usage: "what a sidecar adds, against replicas reached directly and against a baseline on httputil",
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Destination: &span}, &cli.StringFlag{Name: "plot", Destination: &out}},
		Action: func(ctx context.Context, _ *cli.Command) error { return overhead(ctx, span, out) }}
}

func overhead(ctx context.Context, span time.Duration, out string) error {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s, err := installation.Start(ctx, installation.Shape{Zones: 1, Replicas: 2, Sidecars: 1, Dir: dir})
	if err != nil {
		return err
	}
	defer s.Stop()
	at, args := installation.Free(), []string{"baseline"}
	for _, r := range s.Replicas {
		args = append(args, "--to", r.Addr)
	}
	base := exec.CommandContext(ctx, filepath.Clean(os.Args[0]), append(args, "--listen", at)...)
	if err := base.Start(); err != nil {
		return err
	}
	defer base.Wait()
	defer base.Process.Kill()
	time.Sleep(300 * time.Millisecond)
	type way struct {
		name string
		url  []string
		h2   bool
		pid  int
	}
	direct := []string{"http://" + s.Replicas[0].Addr + "/stock", "http://" + s.Replicas[1].Addr + "/stock"}
	pid := s.Pid("sidecar-0")
	ways := []way{{"direct h1", direct, false, 0}, {"baseline h1", []string{"http://" + at + "/stock"}, false, base.Process.Pid}, {"sidecar h1", []string{"http://" + s.H1s[0] + "/stock"}, false, pid},
		{"baseline h2", []string{"http://" + at + "/stock"}, true, base.Process.Pid}, {"sidecar h2", []string{"http://" + s.H2s[0] + "/stock"}, true, pid}}
	lines, most := map[string]plotter.XYs{}, 0.0
	for _, w := range ways {
		for _, flying := range []int{1, 100, 1000} {
			before := cpu(w.pid)
			r, err := load.Run(ctx, load.Job{URLs: w.url, H2: w.h2, Method: "GET", Flying: flying, Span: span, Expiry: 10 * time.Second})
			if err != nil {
				return err
			}
			used := cpu(w.pid) - before
			if w.name == "sidecar h1" && flying == 100 {
				most = float64(r.Good) / r.Took.Seconds()
			}
			fmt.Printf("%-12s %4d at once: %v; CPU %.1f us a flow\n", w.name, flying, r, float64(used.Microseconds())/float64(max(1, r.Good)))
		}
	}
	for _, w := range ways {
		var r load.Result
		for _, rate := range []float64{most / 2, most / 4, most / 8} { // the last is drawn
			if r, err = load.Run(ctx, load.Job{URLs: w.url, H2: w.h2, Method: "GET", Rate: rate, Span: span, Expiry: 10 * time.Second, Seed: 1}); err != nil {
				return err
			}
			fmt.Printf("%-12s %.0f a second, %.2f of the sidecar's most here: %v\n", w.name, rate, rate/most, r)
		}
		for _, p := range []float64{0, 50, 75, 90, 95, 99, 99.5, 99.9} {
			lines[w.name] = append(lines[w.name], plotter.XY{X: p, Y: float64(r.Times.ValueAtQuantile(p)) / 1000})
		}
	}
	if out == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("Time of an answer at %.0f flows a second", most/8), "percentile", "ms"
	var all []any
	for _, w := range ways {
		all = append(all, w.name, lines[w.name])
	}
	if err := plotutil.AddLinePoints(p, all...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, out)
}
