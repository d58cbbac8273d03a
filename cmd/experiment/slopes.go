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

// slopesCommand returns the command that fits scale runs of several sizes, for the capacity page.
func slopesCommand() *cli.Command {
	var common capacity.Measurement // fields of all measurements
	var table bool
	text := func(name, usage string, destination *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Destination: destination}
	}
	return &cli.Command{Name: "slopes", Usage: "fit the quiet phases of scale runs over their governors: slopes FILE...", ArgsUsage: "FILE...",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "table", Usage: "write rows for the capacity page's scale.yaml", Destination: &table},
			text("command", "of the runs", &common.Command), text("commit", "that was run", &common.Commit),
			text("machine", "by its name in the table", &common.Machine), text("date", "of the runs", &common.Date)},
		Action: func(_ context.Context, cmd *cli.Command) error {
			reports, err := readReports(cmd.Args().Slice())
			if err != nil {
				return err
			}
			measurements, err := scale.Measurements(reports)
			if err != nil {
				return err
			}
			if !table {
				return scale.PrintSlopes(os.Stdout, measurements)
			}
			for k := range measurements {
				m := &measurements[k]
				m.Command = common.Command
				m.Commit = common.Commit
				m.Machine = common.Machine
				m.Date = common.Date
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
		var r scale.Report
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}
