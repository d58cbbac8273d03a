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

// pointsCommand returns the command that prints the median of each benchmark and unit in the output of `go test -bench
// -count N`. The capacity table uses these medians as points.
func pointsCommand() *cli.Command {
	return &cli.Command{Name: "points", Usage: "print the medians of the benchmark output on standard input, by benchmark and unit",
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

// readBenchmarks parses lines of the form `BenchmarkName-8 N value unit value unit ...`. The results are in the order in
// which their benchmarks and units first appear.
func readBenchmarks(output io.Reader) ([]benchmarkResult, error) {
	var results []benchmarkResult
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := trimProcessorCount(fields[0])
		for k := 2; k+1 < len(fields); k += 2 {
			value, err := strconv.ParseFloat(fields[k], 64)
			if err != nil {
				return nil, fmt.Errorf("parsing the output of %s: %w", fields[0], err)
			}
			results = addValue(results, name, fields[k+1], value)
		}
	}
	return results, nil
}

// trimProcessorCount returns the name of a benchmark without the processor count at its end.
func trimProcessorCount(name string) string {
	end := strings.LastIndexByte(name, '-')
	if end <= 0 {
		return name
	}
	return name[:end]
}

// addValue adds a value to the result of its benchmark and unit.
func addValue(results []benchmarkResult, name, unit string, value float64) []benchmarkResult {
	index := slices.IndexFunc(results, func(r benchmarkResult) bool { return r.name == name && r.unit == unit })
	if index < 0 {
		index = len(results)
		results = append(results, benchmarkResult{name: name, unit: unit})
	}
	results[index].values = append(results[index].values, value)
	return results
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
