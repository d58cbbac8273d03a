package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/internal/configclient"
	"lilacbend/internal/configserver"
)

// configserverCommands are the commands that run a configuration server and check its file.
type configserverCommands struct {
	hangups <-chan os.Signal
	out     io.Writer
	file    string
	flags   configserver.Options // take precedence over the file
	follow  []string
}

// configserverCommand returns the command configserver.
func configserverCommand(hangups <-chan os.Signal, out io.Writer) *cli.Command {
	commands := &configserverCommands{hangups: hangups, out: out}
	flags := &commands.flags
	return &cli.Command{
		Name:  "configserver",
		Usage: "serve the configuration of all services to governors",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "the server's file, as YAML; flags go before it", Sources: cli.EnvVars("LILACBEND_CONFIGSERVER"), Destination: &commands.file},
			&cli.StringFlag{Name: "name", Usage: "this server's name", Destination: &flags.Name},
			&cli.StringFlag{Name: "region", Usage: "where it stands", Destination: &flags.Region},
			&cli.StringFlag{Name: "listen", Usage: "where followers connect", Destination: &flags.Listen},
			&cli.StringFlag{Name: "folder", Usage: "the settings, one file a service: makes this the writer", Destination: &flags.Folder},
			&cli.StringSliceFlag{Name: "follow", Usage: "a server to follow, as ADDRESS or ADDRESS=REGION; the writer first", Destination: &commands.follow},
			&cli.StringFlag{Name: "state", Usage: "keeps epoch and copy over restarts", Destination: &flags.StateFile},
			&cli.DurationFlag{Name: "poll", Usage: "how often the folder is looked at", Destination: &flags.PollInterval},
			&cli.IntFlag{Name: "connections", Usage: "at most", Destination: &flags.MaxConnections},
			&cli.IntFlag{Name: "copies", Usage: "whole copies under way at most", Destination: &flags.MaxCopies},
		},
		Action: commands.run,
		Commands: []*cli.Command{
			{Name: "check", Usage: "say whether a server's file and its folder can be used: check FILE", ArgsUsage: "FILE", Action: commands.check},
			statusCommand(out),
		},
	}
}

// options returns the file's options with those of the flags.
func (c *configserverCommands) options() (configserver.Options, error) {
	c.flags.Follow = parseServers(c.follow)
	if c.file == "" {
		return c.flags, nil
	}
	file, err := configserver.ReadFile(c.file)
	return overridden(file, c.flags), err
}

// overridden returns options with those that are set in flags replaced.
func overridden(options, flags configserver.Options) configserver.Options {
	options.Name = or(flags.Name, options.Name)
	options.Region = or(flags.Region, options.Region)
	options.Listen = or(flags.Listen, options.Listen)
	options.Folder = or(flags.Folder, options.Folder)
	options.StateFile = or(flags.StateFile, options.StateFile)
	if len(flags.Follow) > 0 {
		options.Follow = flags.Follow
	}
	if flags.PollInterval > 0 {
		options.PollInterval = flags.PollInterval
	}
	if flags.MaxConnections > 0 {
		options.MaxConnections = flags.MaxConnections
	}
	if flags.MaxCopies > 0 {
		options.MaxCopies = flags.MaxCopies
	}
	return options
}

// parseServers parses servers of the form ADDRESS or ADDRESS=REGION.
func parseServers(texts []string) []configclient.Server {
	var servers []configclient.Server
	for _, text := range texts {
		address, region, _ := strings.Cut(text, "=")
		servers = append(servers, configclient.Server{Address: address, Region: region})
	}
	return servers
}

func (c *configserverCommands) run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("no command %q: configserver --file FILE, configserver check FILE or configserver status", cmd.Args().First())
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE)
	logs := newLogWriter(os.Stderr)
	defer logs.close()
	options.Log = slog.New(slog.NewTextHandler(logs, nil)).With("configserver", options.Name)
	options.Seed = uint64(time.Now().UnixNano())
	server, err := configserver.New(options)
	if err != nil {
		return err
	}
	go rescanOnHangup(ctx, c.hangups, server) // ends with ctx, as the program does
	return server.Run(ctx)
}

func rescanOnHangup(ctx context.Context, hangups <-chan os.Signal, server *configserver.Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			server.Rescan()
		}
	}
}

// check prints what a start with a file would do, or returns what is wrong with the file or its folder.
func (c *configserverCommands) check(_ context.Context, cmd *cli.Command) error {
	c.file = or(cmd.Args().First(), c.file)
	options, err := c.options()
	if err != nil {
		return err
	}
	name := or(options.Name, "it")
	if options.Folder == "" {
		fmt.Fprintf(c.out, "%s would start: %s listens on %s and follows %d servers\n", c.file, name, options.Listen, len(options.Follow))
		return nil
	}
	services, err := configserver.CheckFolder(options.Folder)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s would start: %s listens on %s with the settings of %d services\n", c.file, name, options.Listen, services)
	return nil
}
