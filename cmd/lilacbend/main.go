// Command lilacbend runs a controller (called "governor" in flags, counters and files), a sidecar, a collector or a
// configuration server.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	// SIGHUP is caught before anything else, as its default action terminates the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command(hangups).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lilacbend:", err)
		os.Exit(1)
	}
}

// commands implements the actions of the root command and of "serve" and "check".
type commands struct {
	options options
	hangups <-chan os.Signal
}

// command returns the root command of the program.
func command(hangups <-chan os.Signal) *cli.Command {
	c := &commands{hangups: hangups}
	root := &cli.Command{
		Name:   "lilacbend",
		Usage:  "control plane that sends tables of weighted endpoints, admission rates and retry policies to proxies",
		Flags:  c.flags(),
		Action: c.serve,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run a controller (the default command)", Action: c.serve},
			{Name: "check", Usage: "check that a controller can start with a configuration: check [FILE]", ArgsUsage: "[FILE]", Action: c.check},
			stateCommand(&c.options, os.Stdout),
			sidecarCommand(hangups),
			collectorCommand(),
			configserverCommand(hangups, os.Stdout),
			{Name: "version", Usage: "print the version of the program", Action: printVersion},
		},
	}
	returnUsageErrors(root)
	return root
}

func (c *commands) flags() []cli.Flag {
	flag := func(name, env, usage string, destination *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(env), Destination: destination}
	}
	return []cli.Flag{
		flag("config", "PROXY_CONFIG", "path of the configuration file, as JSON", &c.options.file),
		flag("name", "PROXY_NAME", "name of this controller; takes precedence over the configuration", &c.options.name),
		flag("listen", "PROXY_LISTEN", "address on which proxies and collectors connect, as host:port", &c.options.listen),
		flag("operator", "LILACBEND_OPERATOR", "path of the operator file, which enables optional features, as YAML", &c.options.operator),
		flag("discovery", "PROXY_DISCOVERY", "address of the service discovery, as host:port", &c.options.discovery),
	}
}

// serve runs a controller until ctx ends.
func (c *commands) serve(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("unknown command %q: want serve, check, state, sidecar, collector, configserver or version", cmd.Args().First())
	}
	configuration, err := readConfiguration(c.options)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // the program keeps running when the reader of its log has exited
	logs := newLogWriter(os.Stderr)
	defer logs.close()
	log := slog.New(slog.NewTextHandler(logs, nil)).With("governor", configuration.name)
	return serve(ctx, configuration, reloader{hangups: c.hangups, options: c.options}, log)
}

// check prints what a controller started with the configuration would do. It returns an error if the configuration is
// invalid.
func (c *commands) check(_ context.Context, cmd *cli.Command) error {
	c.options.file = firstNonEmpty(cmd.Args().First(), c.options.file)
	configuration, err := readConfiguration(c.options)
	if err != nil {
		return err
	}
	state := configuration.operator.State
	if state.Folder != "" {
		fmt.Printf("%s: learned state is saved to %s every %v, with %d generations kept\n", c.options.operator, state.Folder, state.Every, state.Keep)
	}
	following := configuration.operator.Configuration
	if following.Enabled() {
		fmt.Printf("%s: settings of service %s are followed at %d configuration servers\n", c.options.operator, following.Service, len(following.Servers))
	}
	fmt.Printf("%s would start: %s listens on %s, discovery at %s, %d replicas known, %d proxies, %d traffic classes\n",
		c.options.file, firstNonEmpty(configuration.name, "it"), configuration.listen, configuration.discovery,
		len(configuration.known.Members), configuration.settings.Proxies, len(configuration.names.Classes))
	return nil
}

func printVersion(context.Context, *cli.Command) error {
	fmt.Println(version())
	return nil
}

// returnUsageErrors makes a command and its subcommands return usage errors, so that they are printed in one line, without
// the help text.
func returnUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, subcommand := range command.Commands {
		returnUsageErrors(subcommand)
	}
}

// version returns the version of the module, the version of the compiler, and the revision of the source.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lilacbend, built without modules"
	}
	text := "lilacbend " + info.Main.Version + " " + info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" {
			text += " " + setting.Key + "=" + setting.Value
		}
	}
	return text
}
