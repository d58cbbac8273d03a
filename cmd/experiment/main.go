// Command experiment measures the effect of changes to the controller, in virtual time or with processes on loopback. All of
// its results are simulated. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	commands := append(seedsCommands(), restartCommand(), loadCommand(), overheadCommand(), serviceCommand(), baselineCommand(), capacityCommand())
	commands = append(commands, scaleCommands()...)
	root := &cli.Command{Name: "experiment", Usage: "measure the effect of changes to the controller", Commands: commands}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}
