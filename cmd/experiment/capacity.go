package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/google/renameio/v2"
	"github.com/urfave/cli/v3"

	"lilacbend/internal/capacity"
)

// capacityCommand returns the command that prints the tables of docs/CAPACITY.md, or writes them into the page.
func capacityCommand() *cli.Command {
	var page string
	return &cli.Command{Name: "capacity", Usage: "print the resource usage of each role at the target size, computed from internal/capacity/table",
		Flags:    []cli.Flag{&cli.StringFlag{Name: "write", Usage: "replace the generated sections of `FILE`", Destination: &page}},
		Commands: []*cli.Command{pointsCommand()},
		Action: func(context.Context, *cli.Command) error {
			table, err := capacity.Default()
			if err != nil {
				return err
			}
			model, err := capacity.NewModel(table)
			if err != nil {
				return err
			}
			sections, err := model.Sections()
			if err != nil {
				return err
			}
			if page != "" {
				return replaceSections(page, sections)
			}
			for _, name := range slices.Sorted(maps.Keys(sections)) {
				fmt.Printf("## %s\n\n%s\n", name, sections[name])
			}
			return nil
		}}
}

// replaceSections replaces the generated sections of a page. On an error the page stays unchanged.
func replaceSections(page string, sections map[string]string) error {
	raw, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := capacity.Replace(string(raw), sections)
	if err != nil {
		return fmt.Errorf("replacing the sections of %s: %w", page, err)
	}
	return renameio.WriteFile(page, []byte(text), 0o644)
}
