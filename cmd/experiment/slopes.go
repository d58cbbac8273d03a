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

// slopesCommand fits scale runs of several sizes, for the capacity page.
func slopesCommand() *cli.Command {
	var row capacity.Measurement // what all have in common
	var table bool
	text := func(name, usage string, into *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Destination: into}
	}
	return &cli.Command{Name: "slopes", Usage: "fit the quiet phases of scale runs over their governors: slopes FILE...", ArgsUsage: "FILE...",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "table", Usage: "write rows for the capacity page's scale.yaml", Destination: &table},
			text("command", "of the runs", &row.Command), text("commit", "that was run", &row.Commit),
			text("machine", "by its name in the table", &row.Machine), text("date", "of the runs", &row.Date)},
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
				m.Command, m.Commit, m.Machine, m.Date = row.Command, row.Commit, row.Machine, row.Date
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
