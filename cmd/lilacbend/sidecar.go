package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"lilacbend/internal/sidecar"
)

var errNoManifest = errors.New("no file is named: --manifest or LILACBEND_SIDECAR")

// sidecarCommands are the commands that run a sidecar and check its file.
type sidecarCommands struct {
	hangups <-chan os.Signal
	file    string
}

// sidecarCommand returns the command sidecar.
func sidecarCommand(hangups <-chan os.Signal) *cli.Command {
	commands := &sidecarCommands{hangups: hangups}
	return &cli.Command{
		Name:  "sidecar",
		Usage: "forward the flows of a client process as governors say",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "manifest", Usage: "the sidecar's file, as YAML", Sources: cli.EnvVars("LILACBEND_SIDECAR"), Destination: &commands.file},
		},
		Action: commands.run,
		Commands: []*cli.Command{
			{Name: "check", Usage: "say whether a sidecar's file would start: check FILE", ArgsUsage: "FILE", Action: commands.check},
		},
	}
}

func (c *sidecarCommands) run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("no command %q: sidecar --manifest FILE, or sidecar check FILE", cmd.Args().First())
	}
	config, err := readManifest(c.file)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE)
	logs := newLogWriter(os.Stderr)
	defer logs.close()
	log := slog.New(slog.NewTextHandler(logs, nil)).With("sidecar", config.Name)
	s, err := sidecar.New(config, log)
	if err != nil {
		return err
	}
	go reloadManifest(ctx, c.file, s, c.hangups, log) // ends with ctx, as the program does
	return s.Run(ctx)
}

func (c *sidecarCommands) check(_ context.Context, cmd *cli.Command) error {
	config, err := readManifest(or(cmd.Args().First(), c.file))
	if err != nil {
		return err
	}
	fmt.Printf("%s would start: %s, proxy %d of zone %s, HTTP/1.1 on %s, HTTP/2 on %s, %d traffic groups, %d rules, %d governors\n",
		config.File, config.Name, config.ProxyID, config.Zone, or(config.HTTP1, "nothing"), or(config.HTTP2, "nothing"),
		len(config.Dispatch.Classes), len(config.Rules), len(config.Controllers))
	return nil
}

func readManifest(file string) (sidecar.Config, error) {
	if file == "" {
		return sidecar.Config{}, errNoManifest
	}
	return sidecar.Read(file)
}

// reloadManifest reads the file again at each SIGHUP. One that cannot be used changes nothing, and is logged once.
func reloadManifest(ctx context.Context, file string, s *sidecar.Sidecar, hangups <-chan os.Signal, log *slog.Logger) {
	reloadOnHangup(ctx, hangups, func(signalled bool) error {
		config, err := readManifest(file)
		var atRestart []string
		if err == nil {
			atRestart, err = s.Reload(config)
		}
		switch {
		case err != nil && signalled:
			log.Error("the new file cannot be used, the old one goes on", "error", err, "again_every", rereadLimit)
		case err != nil:
		case len(atRestart) > 0:
			log.Warn("rules taken over, some of the file waits for the next start", "fields", atRestart)
		default:
			log.Info("rules taken over", "rules", len(config.Rules))
		}
		return err
	})
}
