package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
)

// pointsCommand turns the output of `go test -bench -count N` into the points of the capacity table.
func pointsCommand() *cli.Command {
	return &cli.Command{Name: "points", Usage: "medians of a benchmark's output on standard input, by benchmark and unit",
		Action: func(context.Context, *cli.Command) error {
			results, err := readBenchmarks(os.Stdin)
			if err != nil {
				return err
			}
			for _, r := range results {
				fmt.Printf("%-60s %-12s %12.6g  (%d runs, %.6g to %.6g)\n", r.name, r.unit, median(r.values), len(r.values),
					slices.Min(r.values), slices.Max(r.values))
			}
			return nil
		}}
}

// benchmarkResult holds the values of one unit of one benchmark over all runs.
type benchmarkResult struct {
	name, unit string
	values     []float64
}

// readBenchmarks reads lines of the form `BenchmarkName-8 N value unit value unit ...` in the order of first sight.
func readBenchmarks(r io.Reader) ([]benchmarkResult, error) {
	var all []benchmarkResult
	for lines := bufio.NewScanner(r); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 4 || !strings.HasPrefix(words[0], "Benchmark") {
			continue
		}
		name := words[0]
		if at := strings.LastIndexByte(name, '-'); at > 0 { // the number of processors
			name = name[:at]
		}
		for k := 2; k+1 < len(words); k += 2 {
			value, err := strconv.ParseFloat(words[k], 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", words[0], err)
			}
			at := slices.IndexFunc(all, func(b benchmarkResult) bool { return b.name == name && b.unit == words[k+1] })
			if at < 0 {
				at = len(all)
				all = append(all, benchmarkResult{name: name, unit: words[k+1]})
			}
			all[at].values = append(all[at].values, value)
		}
	}
	return all, nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
