package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/configserver"
	"lilacbend/internal/configstore"
)

const (
	// statusMost is how long a server may take to say what it knows.
	statusMost = 3 * time.Second
	// statusBody is the largest status that is read: that of 65,536 followers.
	statusBody = 64 << 20
)

// configserverCommand runs a configuration server, checks its file, or asks several what they know.
func configserverCommand(hangups <-chan os.Signal, out io.Writer) *cli.Command {
	var o configserver.Options
	var file string
	var follow []string
	flags := []cli.Flag{
		&cli.StringFlag{Name: "file", Usage: "the server's file, as YAML; flags go before it", Sources: cli.EnvVars("LILACBEND_CONFIGSERVER"), Destination: &file},
		&cli.StringFlag{Name: "name", Usage: "this server's name", Destination: &o.Name},
		&cli.StringFlag{Name: "region", Usage: "where it stands", Destination: &o.Region},
		&cli.StringFlag{Name: "listen", Usage: "where followers connect", Destination: &o.Listen},
		&cli.StringFlag{Name: "folder", Usage: "the settings, one file a service: makes this the writer", Destination: &o.Folder},
		&cli.StringSliceFlag{Name: "follow", Usage: "a server to follow, as ADDRESS or ADDRESS=REGION; the writer first", Destination: &follow},
		&cli.StringFlag{Name: "state", Usage: "keeps epoch and copy over restarts", Destination: &o.StateFile},
		&cli.DurationFlag{Name: "poll", Usage: "how often the folder is looked at", Destination: &o.PollInterval},
		&cli.IntFlag{Name: "connections", Usage: "at most", Destination: &o.MaxConnections},
		&cli.IntFlag{Name: "copies", Usage: "whole copies under way at most", Destination: &o.MaxCopies},
	}
	read := func() (configserver.Options, error) {
		o.Follow = serversOf(follow)
		if file == "" {
			return o, nil
		}
		from, err := configserver.ReadFile(file)
		return overlaid(from, o), err
	}
	return &cli.Command{Name: "configserver", Usage: "serve the configuration of all services to governors", Flags: flags,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("no command %q: configserver --file FILE, configserver check FILE or configserver status", cmd.Args().First())
			}
			options, err := read()
			if err != nil {
				return err
			}
			return runConfigserver(ctx, options, hangups)
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "say whether a server's file and its folder can be used: check FILE", ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					file = or(cmd.Args().First(), file)
					options, err := read()
					if err != nil {
						return err
					}
					return checkConfigserver(out, file, options)
				}},
			statusCommand(out),
		}}
}

// overlaid sets what is given over what a file says.
func overlaid(from, given configserver.Options) configserver.Options {
	from.Name, from.Region, from.Listen = or(given.Name, from.Name), or(given.Region, from.Region), or(given.Listen, from.Listen)
	from.Folder, from.StateFile = or(given.Folder, from.Folder), or(given.StateFile, from.StateFile)
	if len(given.Follow) > 0 {
		from.Follow = given.Follow
	}
	if given.PollInterval > 0 {
		from.PollInterval = given.PollInterval
	}
	if given.MaxConnections > 0 {
		from.MaxConnections = given.MaxConnections
	}
	if given.MaxCopies > 0 {
		from.MaxCopies = given.MaxCopies
	}
	return from
}

// serversOf reads ADDRESS=REGION.
func serversOf(all []string) (servers []configclient.Server) {
	for _, text := range all {
		address, region, _ := strings.Cut(text, "=")
		servers = append(servers, configclient.Server{Address: address, Region: region})
	}
	return servers
}

func runConfigserver(ctx context.Context, o configserver.Options, hangups <-chan os.Signal) error {
	signal.Ignore(syscall.SIGPIPE)
	book := newLogbook(os.Stderr)
	defer book.close()
	o.Log = slog.New(slog.NewTextHandler(book, nil)).With("configserver", o.Name)
	o.Seed = uint64(time.Now().UnixNano())
	s, err := configserver.New(o)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				s.Rescan()
			}
		}
	}()
	return s.Run(ctx)
}

// checkConfigserver says whether a folder can be used.
func checkConfigserver(out io.Writer, file string, o configserver.Options) error {
	if o.Folder == "" {
		fmt.Fprintf(out, "%s would start: %s listens on %s and follows %d servers\n", file, or(o.Name, "it"), o.Listen, len(o.Follow))
		return nil
	}
	services, err := configserver.CheckFolder(o.Folder)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s would start: %s listens on %s with the settings of %d services\n", file, or(o.Name, "it"), o.Listen, services)
	return nil
}

func statusCommand(out io.Writer) *cli.Command {
	var servers []string
	var asJSON bool
	return &cli.Command{Name: "status", Usage: "say by service and zone what is in force, who lags and for how long: status --server ADDRESS[,ADDRESS...]",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "a server to ask", Sources: cli.EnvVars("LILACBEND_CONFIGSERVERS"), Destination: &servers},
			&cli.BoolFlag{Name: "json", Usage: "as JSON", Destination: &asJSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if len(servers) == 0 {
				return errors.New("no server is named: --server or LILACBEND_CONFIGSERVERS")
			}
			all, failed := askAll(ctx, servers)
			if len(all) == 0 {
				return failed
			}
			summary := configstore.Summarize(all)
			if asJSON {
				encoder := json.NewEncoder(out)
				encoder.SetIndent("", "  ")
				if err := encoder.Encode(summary); err != nil {
					return err
				}
			} else {
				printSummary(out, summary)
			}
			return failed
		}}
}

// askAll asks servers for their status at once. The error names those that did not say.
func askAll(ctx context.Context, servers []string) ([]configapi.Status, error) {
	ctx, done := context.WithTimeout(ctx, statusMost)
	defer done()
	statuses, errs := make([]configapi.Status, len(servers)), make([]error, len(servers))
	var all sync.WaitGroup
	for k, address := range servers {
		all.Go(func() { statuses[k], errs[k] = askStatus(ctx, address) })
	}
	all.Wait()
	var said []configapi.Status
	var silent []string
	for k := range servers {
		if errs[k] == nil {
			said = append(said, statuses[k])
		} else {
			silent = append(silent, errs[k].Error())
		}
	}
	if len(silent) > 0 {
		return said, errors.New(strings.Join(silent, "; "))
	}
	return said, nil
}

func askStatus(ctx context.Context, address string) (status configapi.Status, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configapi.StatusPath, nil)
	if err != nil {
		return status, fmt.Errorf("server %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, fmt.Errorf("server %s: %w", address, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, statusBody)).Decode(&status); err != nil || response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("server %s answered %s: %w", address, response.Status, err)
	}
	return status, nil
}

func printSummary(out io.Writer, s configstore.Summary) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "server\tregion\tversion\twriter heard\n")
	for _, server := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v ago\n", server.Server, server.Region, server.Version, time.Duration(server.AgeMS)*time.Millisecond)
	}
	for _, fault := range s.Faults {
		fmt.Fprintf(w, "refused: %s\t%s\n", fault.File, fault.Reason)
	}
	fmt.Fprintf(w, "\nservice\tversion\tzone\tin force\tlagging\trefused\n")
	for _, service := range s.Services {
		for _, zone := range service.Zones {
			var counts []string
			for _, c := range zone.Active {
				counts = append(counts, fmt.Sprintf("%d at %s", c.Controllers, c.Version))
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", service.Service, service.Version, zone.Zone, strings.Join(counts, ", "), zone.Lagging, zone.Rejected)
		}
		if len(service.Zones) == 0 {
			fmt.Fprintf(w, "%s\t%s\t-\tnobody\t0\t0\n", service.Service, service.Version)
		}
	}
	for _, l := range s.Lagging {
		fmt.Fprintf(w, "lags: %s\t%s\t%s\thas %s, wants %s\tfor %v\n", l.Instance, l.Service, l.Zone, l.Active, l.Newest, time.Duration(l.ForMS)*time.Millisecond)
	}
}
