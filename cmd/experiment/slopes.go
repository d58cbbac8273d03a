package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"lilacbend/experiment/scale"
	"lilacbend/internal/capacity"
)

// slopesCommand returns the command that fits lines to the results of scale runs of several sizes, for the capacity page.
func slopesCommand() *cli.Command {
	var common capacity.Measurement // values that all measurements share
	var asTable bool
	stringFlag := func(name, usage string, destination *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Destination: destination}
	}
	return &cli.Command{Name: "slopes", Usage: "fit lines over the number of controllers to the phases without a fault of scale runs: slopes FILE...", ArgsUsage: "FILE...",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "table", Usage: "print measurements for internal/capacity/table/scale.yaml", Destination: &asTable},
			stringFlag("command", "command of the runs", &common.Command), stringFlag("commit", "commit of the program that was run", &common.Commit),
			stringFlag("machine", "machine of the runs, by its name in the capacity table", &common.Machine), stringFlag("date", "date of the runs", &common.Date)},
		Action: func(_ context.Context, cmd *cli.Command) error {
			reports, err := readReports(cmd.Args().Slice())
			if err != nil {
				return err
			}
			measurements, err := scale.Measurements(reports)
			if err != nil {
				return err
			}
			if !asTable {
				return scale.PrintSlopes(os.Stdout, measurements)
			}
			for k := range measurements {
				measurement := &measurements[k]
				measurement.Command = common.Command
				measurement.Commit = common.Commit
				measurement.Machine = common.Machine
				measurement.Date = common.Date
			}
			return yaml.NewEncoder(os.Stdout).Encode(map[string]any{"measurements": measurements})
		}}
}

func readReports(files []string) (reports []scale.Report, err error) {
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var report scale.Report
		if err := json.Unmarshal(raw, &report); err != nil {
			return nil, fmt.Errorf("decoding report %s: %w", file, err)
		}
		reports = append(reports, report)
	}
	return reports, nil
}
