// Command lilacbend is the governor on real sockets.
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
	hangups := make(chan os.Signal, 1) // from the first line: by itself SIGHUP ends a program
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command(hangups).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lilacbend:", err)
		os.Exit(1)
	}
}

func command(hangups <-chan os.Signal) *cli.Command {
	var opts options
	flag := func(name, env, usage string, into *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(env), Destination: into}
	}
	flags := []cli.Flag{
		flag("config", "PROXY_CONFIG", "the configuration, as JSON", &opts.file),
		flag("name", "PROXY_NAME", "this governor's name, before the configuration's", &opts.name),
		flag("listen", "PROXY_LISTEN", "where proxies and collectors connect", &opts.listen),
		flag("operator", "LILACBEND_OPERATOR", "what this installation switches on, as YAML; without it nothing", &opts.operator),
		flag("discovery", "PROXY_DISCOVERY", "where the list of replicas is", &opts.discovery),
	}
	run := func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return fmt.Errorf("no command %q: serve, check, state, sidecar, collector, configserver or version", cmd.Args().First())
		}
		c, err := readConfiguration(opts)
		if err != nil {
			return err
		}
		signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
		book := newLogbook(os.Stderr)
		err = serve(ctx, c, reloader{hangups, opts}, slog.New(slog.NewTextHandler(book, nil)).With("governor", c.name))
		book.close()
		return err
	}
	root := &cli.Command{
		Name:   "lilacbend",
		Usage:  "a governor that tells proxies where flows go",
		Flags:  flags,
		Action: run,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run a governor (also what happens without a command)", Action: run},
			{Name: "check", Usage: "say whether a configuration would start: check [FILE]", ArgsUsage: "[FILE]",
				Action: func(_ context.Context, cmd *cli.Command) error {
					opts.file = or(cmd.Args().First(), opts.file)
					c, err := readConfiguration(opts)
					if err == nil {
						if c.operator.State.Folder != "" {
							fmt.Printf("%s: state is kept in %s every %v, %d generations\n", opts.operator, c.operator.State.Folder, c.operator.State.Every, c.operator.State.Keep)
						}
						if follows := c.operator.Configuration; follows.On() {
							fmt.Printf("%s: the settings of %s are followed at %d servers\n", opts.operator, follows.Service, len(follows.Servers))
						}
						fmt.Printf("%s would start: %s listens on %s, discovery at %s, %d replicas known, %d proxies, "+
							"%d traffic groups\n", opts.file, or(c.name, "it"), c.listen, c.discovery, len(c.known.Members),
							c.settings.Proxies, len(c.names.Classes))
					}
					return err
				}},
			stateCommand(&opts, os.Stdout),
			sidecarCommand(hangups),
			collectorCommand(),
			configserverCommand(hangups, os.Stdout),
			{Name: "version", Usage: "say what was built", Action: func(context.Context, *cli.Command) error {
				fmt.Println(version())
				return nil
			}},
		},
	}
	oneLine(root)
	return root
}

// oneLine has each command say what is wrong in one line, without a page of help.
func oneLine(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, in := range c.Commands {
		oneLine(in)
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lilacbend, built without modules"
	}
	text := "lilacbend " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
			text += " " + s.Key + "=" + s.Value
		}
	}
	return text
}
