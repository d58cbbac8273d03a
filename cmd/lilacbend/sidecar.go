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

var errNoManifest = errors.New("no manifest given: set --manifest or LILACBEND_SIDECAR")

// sidecarCommands implements the actions of the commands that run a sidecar and check its manifest.
type sidecarCommands struct {
	hangups <-chan os.Signal
	file    string // path of the manifest
}

// sidecarCommand returns the command "sidecar".
func sidecarCommand(hangups <-chan os.Signal) *cli.Command {
	commands := &sidecarCommands{hangups: hangups}
	return &cli.Command{
		Name:  "sidecar",
		Usage: "proxy the requests of a client process by the tables and policies of controllers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "manifest", Usage: "path of the sidecar's manifest, as YAML", Sources: cli.EnvVars("LILACBEND_SIDECAR"), Destination: &commands.file},
		},
		Action: commands.run,
		Commands: []*cli.Command{
			{Name: "check", Usage: "check that a sidecar can start with a manifest: check FILE", ArgsUsage: "FILE", Action: commands.check},
		},
	}
}

func (c *sidecarCommands) run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("unknown command %q: want sidecar --manifest FILE or sidecar check FILE", cmd.Args().First())
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
	go reloadManifest(ctx, c.file, s, c.hangups, log) // not waited for: it returns when ctx ends, and the program exits then
	return s.Run(ctx)
}

func (c *sidecarCommands) check(_ context.Context, cmd *cli.Command) error {
	config, err := readManifest(firstNonEmpty(cmd.Args().First(), c.file))
	if err != nil {
		return err
	}
	fmt.Printf("%s would start: %s, proxy %d of zone %s, HTTP/1.1 on %s, HTTP/2 on %s, %d traffic classes, %d rules, %d controllers\n",
		config.File, config.Name, config.ProxyID, config.Zone, firstNonEmpty(config.HTTP1, "nothing"), firstNonEmpty(config.HTTP2, "nothing"),
		len(config.Dispatch.Classes), len(config.Rules), len(config.Controllers))
	return nil
}

func readManifest(file string) (sidecar.Config, error) {
	if file == "" {
		return sidecar.Config{}, errNoManifest
	}
	return sidecar.Read(file)
}

// reloadManifest reloads the manifest at each SIGHUP. If the new manifest cannot be used, the sidecar keeps the current one,
// and the failure is logged once for each signal, not at each retry.
func reloadManifest(ctx context.Context, file string, s *sidecar.Sidecar, hangups <-chan os.Signal, log *slog.Logger) {
	reloadOnHangup(ctx, hangups, func(signalled bool) error {
		config, err := readManifest(file)
		var atRestart []string
		if err == nil {
			atRestart, err = s.Reload(config)
		}
		switch {
		case err != nil && signalled:
			log.Error("manifest reload failed, keeping the current manifest", "error", err, "again_every", rereadLimit)
		case err != nil:
		case len(atRestart) > 0:
			log.Warn("manifest rules reloaded, other changes require a restart", "fields", atRestart)
		default:
			log.Info("manifest rules reloaded", "rules", len(config.Rules))
		}
		return err
	})
}
