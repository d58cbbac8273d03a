package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/internal/controlclient"
	"lilacbend/internal/sidecar"
)

// sidecarCommand runs a sidecar, or checks its file.
func sidecarCommand(hangups <-chan os.Signal) *cli.Command {
	var file string
	config := &cli.StringFlag{Name: "manifest", Usage: "the sidecar's file, as YAML", Sources: cli.EnvVars("LILACBEND_SIDECAR"), Destination: &file}
	return &cli.Command{Name: "sidecar", Usage: "forward the flows of a client process as governors say", Flags: []cli.Flag{config},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("no command %q: sidecar --manifest FILE, or sidecar check FILE", cmd.Args().First())
			}
			m, err := readManifest(file)
			if err != nil {
				return err
			}
			signal.Ignore(syscall.SIGPIPE)
			book := newLogbook(os.Stderr)
			defer book.close()
			log := slog.New(slog.NewTextHandler(book, nil)).With("sidecar", m.Name)
			s, err := sidecar.New(m, log)
			if err != nil {
				return err
			}
			go rereadManifest(ctx, file, s, hangups, log)
			return s.Run(ctx)
		},
		Commands: []*cli.Command{{Name: "check", Usage: "say whether a sidecar's file would start: check FILE", ArgsUsage: "FILE",
			Action: func(_ context.Context, cmd *cli.Command) error {
				m, err := readManifest(or(cmd.Args().First(), file))
				if err == nil {
					fmt.Printf("%s would start: %s, proxy %d of zone %s, HTTP/1.1 on %s, HTTP/2 on %s, %d traffic groups, %d rules, %d governors\n",
						m.File, m.Name, m.ProxyID, m.Zone, or(m.HTTP1, "nothing"), or(m.HTTP2, "nothing"), len(m.Dispatch.Classes), len(m.Rules), len(m.Controllers))
				}
				return err
			}}},
	}
}

func readManifest(file string) (sidecar.Config, error) {
	if file == "" {
		return sidecar.Config{}, errors.New("no file is named: --manifest or LILACBEND_SIDECAR")
	}
	return sidecar.Read(file)
}

// rereadManifest takes the file over once more at each SIGHUP; one that cannot be used changes nothing, and is said once.
func rereadManifest(ctx context.Context, file string, s *sidecar.Sidecar, hangups <-chan os.Signal, log *slog.Logger) {
	reloadOnHangup(ctx, hangups, func(signalled bool) error {
		m, err := readManifest(file)
		var waits []string
		if err == nil {
			waits, err = s.Reload(m)
		}
		switch {
		case err != nil && signalled:
			log.Error("the new file cannot be used, the old one goes on", "error", err, "again_every", rereadLimit)
		case err != nil:
		case len(waits) > 0:
			log.Warn("rules taken over, some of the file waits for the next start", "fields", waits)
		default:
			log.Info("rules taken over", "rules", len(m.Rules))
		}
		return err
	})
}

// collectorCommand runs the collector of a zone.
func collectorCommand() *cli.Command {
	c := &controlclient.Collector{}
	var listen string
	return &cli.Command{Name: "collector", Usage: "sum what a zone's sidecars met, and tell governors",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "zone", Usage: "whose sidecars", Required: true, Destination: &c.Zone},
			&cli.StringFlag{Name: "listen", Usage: "where sidecars connect, as host:port", Required: true, Destination: &listen},
			&cli.StringSliceFlag{Name: "governor", Usage: "whom to tell, as host:port; any number", Required: true, Destination: &c.Controllers},
			&cli.DurationFlag{Name: "every", Value: time.Second, Usage: "between two tellings", Destination: &c.Interval},
			&cli.IntFlag{Name: "budget", Usage: "bytes a second, of reports to each governor; 0: no limit", Destination: &c.Budget},
			&cli.IntFlag{Name: "sidecars", Value: 10000, Usage: "at the most", Destination: &c.MaxSidecars},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if c.Interval < 50*time.Millisecond || c.MaxSidecars < 1 {
				return fmt.Errorf("--every is %v, want 50ms or more; --sidecars is %d, want 1 or more", c.Interval, c.MaxSidecars)
			}
			if c.Budget < 0 {
				return fmt.Errorf("--budget is %d, want bytes a second, or 0 for no limit", c.Budget)
			}
			for _, g := range c.Controllers {
				if _, _, err := net.SplitHostPort(g); err != nil {
					return fmt.Errorf("--governor: %w", err)
				}
			}
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return fmt.Errorf("--listen: %w", err)
			}
			book := newLogbook(os.Stderr)
			defer book.close()
			c.Log = slog.New(slog.NewTextHandler(book, nil)).With("collector", c.Zone)
			c.Log.Info("collector serves", "listen", listen, "governors", c.Controllers)
			c.Serve(ctx, l)
			c.Log.Info("collector ends", "heard", c.Received.Load(), "told", c.Reported.Load(), "skipped", c.Skipped.Load())
			return nil
		}}
}
