// Command lilacbend runs a controller (an operator's "governor"), a sidecar, a collector or a configuration server.
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
	// SIGHUP is caught first of all, as by default it ends a program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command(hangups).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lilacbend:", err)
		os.Exit(1)
	}
}

// commands are the root command and those that have no file of their own.
type commands struct {
	options options
	hangups <-chan os.Signal
}

// command returns the command line.
func command(hangups <-chan os.Signal) *cli.Command {
	c := &commands{hangups: hangups}
	root := &cli.Command{
		Name:   "lilacbend",
		Usage:  "a governor that tells proxies where flows go",
		Flags:  c.flags(),
		Action: c.serve,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run a governor (also what happens without a command)", Action: c.serve},
			{Name: "check", Usage: "say whether a configuration would start: check [FILE]", ArgsUsage: "[FILE]", Action: c.check},
			stateCommand(&c.options, os.Stdout),
			sidecarCommand(hangups),
			collectorCommand(),
			configserverCommand(hangups, os.Stdout),
			{Name: "version", Usage: "say what was built", Action: printVersion},
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
		flag("config", "PROXY_CONFIG", "the configuration, as JSON", &c.options.file),
		flag("name", "PROXY_NAME", "this governor's name, before the configuration's", &c.options.name),
		flag("listen", "PROXY_LISTEN", "where proxies and collectors connect", &c.options.listen),
		flag("operator", "LILACBEND_OPERATOR", "what this installation switches on, as YAML; without it nothing", &c.options.operator),
		flag("discovery", "PROXY_DISCOVERY", "where the list of replicas is", &c.options.discovery),
	}
}

// serve runs a controller until ctx ends.
func (c *commands) serve(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("no command %q: serve, check, state, sidecar, collector, configserver or version", cmd.Args().First())
	}
	configuration, err := readConfiguration(c.options)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // the program goes on if nobody reads its log any more
	logs := newLogWriter(os.Stderr)
	defer logs.close()
	log := slog.New(slog.NewTextHandler(logs, nil)).With("governor", configuration.name)
	return serve(ctx, configuration, reloader{hangups: c.hangups, options: c.options}, log)
}

// check prints what a start with a configuration would do, or returns what is wrong with it.
func (c *commands) check(_ context.Context, cmd *cli.Command) error {
	c.options.file = or(cmd.Args().First(), c.options.file)
	configuration, err := readConfiguration(c.options)
	if err != nil {
		return err
	}
	state := configuration.operator.State
	if state.Folder != "" {
		fmt.Printf("%s: state is kept in %s every %v, %d generations\n", c.options.operator, state.Folder, state.Every, state.Keep)
	}
	following := configuration.operator.Configuration
	if following.On() {
		fmt.Printf("%s: the settings of %s are followed at %d servers\n", c.options.operator, following.Service, len(following.Servers))
	}
	fmt.Printf("%s would start: %s listens on %s, discovery at %s, %d replicas known, %d proxies, %d traffic groups\n",
		c.options.file, or(configuration.name, "it"), configuration.listen, configuration.discovery,
		len(configuration.known.Members), configuration.settings.Proxies, len(configuration.names.Classes))
	return nil
}

func printVersion(context.Context, *cli.Command) error {
	fmt.Println(version())
	return nil
}

// returnUsageErrors makes a command and its subcommands return errors of usage, which are printed in one line, without help.
func returnUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, subcommand := range command.Commands {
		returnUsageErrors(subcommand)
	}
}

// version returns the module's version, the compiler's, and the revision that was built.
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
