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

// configserverCommands implements the actions of the commands that run a configuration server and check its options file.
type configserverCommands struct {
	hangups <-chan os.Signal
	out     io.Writer
	file    string
	flags   configserver.Options // take precedence over the file
	follow  []string             // values of the flag --follow
}

// configserverCommand returns the command "configserver".
func configserverCommand(hangups <-chan os.Signal, out io.Writer) *cli.Command {
	commands := &configserverCommands{hangups: hangups, out: out}
	flags := &commands.flags
	return &cli.Command{
		Name:  "configserver",
		Usage: "serve the configuration of all services to controllers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "options of the server, as a YAML file; flags take precedence", Sources: cli.EnvVars("LILACBEND_CONFIGSERVER"), Destination: &commands.file},
			&cli.StringFlag{Name: "name", Usage: "name of this server", Destination: &flags.Name},
			&cli.StringFlag{Name: "region", Usage: "region of this server", Destination: &flags.Region},
			&cli.StringFlag{Name: "listen", Usage: "address on which followers connect, as host:port", Destination: &flags.Listen},
			&cli.StringFlag{Name: "folder", Usage: "folder with one settings file for each service; makes this server the writer", Destination: &flags.Folder},
			&cli.StringSliceFlag{Name: "follow", Usage: "server to follow, as ADDRESS or ADDRESS=REGION; may be repeated, the writer first", Destination: &commands.follow},
			&cli.StringFlag{Name: "state", Usage: "file that keeps the epoch and the copy of the configuration over restarts", Destination: &flags.StateFile},
			&cli.DurationFlag{Name: "poll", Usage: "interval between two scans of the folder", Destination: &flags.PollInterval},
			&cli.IntFlag{Name: "connections", Usage: "maximum number of open connections", Destination: &flags.MaxConnections},
			&cli.IntFlag{Name: "copies", Usage: "maximum number of complete copies being sent", Destination: &flags.MaxConcurrentCopies},
		},
		Action: commands.run,
		Commands: []*cli.Command{
			{Name: "check", Usage: "check that a server's file and its folder are valid: check FILE", ArgsUsage: "FILE", Action: commands.check},
			statusCommand(out),
		},
	}
}

// options returns the options of the file, replaced by those that flags set.
func (c *configserverCommands) options() (configserver.Options, error) {
	c.flags.Upstreams = parseServers(c.follow)
	if c.file == "" {
		return c.flags, nil
	}
	file, err := configserver.ReadOptions(c.file)
	return overridden(file, c.flags), err
}

// overridden returns options, with each one that is set in flags replaced by its value there.
func overridden(options, flags configserver.Options) configserver.Options {
	options.Name = firstNonEmpty(flags.Name, options.Name)
	options.Region = firstNonEmpty(flags.Region, options.Region)
	options.Listen = firstNonEmpty(flags.Listen, options.Listen)
	options.Folder = firstNonEmpty(flags.Folder, options.Folder)
	options.StateFile = firstNonEmpty(flags.StateFile, options.StateFile)
	if len(flags.Upstreams) > 0 {
		options.Upstreams = flags.Upstreams
	}
	if flags.PollInterval > 0 {
		options.PollInterval = flags.PollInterval
	}
	if flags.MaxConnections > 0 {
		options.MaxConnections = flags.MaxConnections
	}
	if flags.MaxConcurrentCopies > 0 {
		options.MaxConcurrentCopies = flags.MaxConcurrentCopies
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
		return fmt.Errorf("unknown command %q: want configserver --file FILE, configserver check FILE or configserver status", cmd.Args().First())
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
	go rescanOnHangup(ctx, c.hangups, server) // not waited for: it returns when ctx ends, and the program exits then
	return server.Run(ctx)
}

// rescanOnHangup makes the server scan its folder at each hangup signal, until ctx ends.
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

// check prints what a server started with the options file would do. It returns an error if the options or a settings file
// in the server's folder is invalid.
func (c *configserverCommands) check(_ context.Context, cmd *cli.Command) error {
	c.file = firstNonEmpty(cmd.Args().First(), c.file)
	options, err := c.options()
	if err != nil {
		return err
	}
	name := firstNonEmpty(options.Name, "it")
	if options.Folder == "" {
		fmt.Fprintf(c.out, "%s would start: %s listens on %s and follows %d servers\n", c.file, name, options.Listen, len(options.Upstreams))
		return nil
	}
	services, err := configserver.CheckFolder(options.Folder)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s would start: %s listens on %s with the settings of %d services\n", c.file, name, options.Listen, services)
	return nil
}
