package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configstore"
)

const (
	// statusTimeout limits the time for all servers to return their status.
	statusTimeout = 3 * time.Second
	// maxStatusBody is the maximum size of a status in bytes, enough for 65,536 followers.
	maxStatusBody = 64 << 20
)

var errNoStatusServer = errors.New("no configuration server given: set --server or LILACBEND_CONFIGSERVERS")

// statusCommand returns the command that prints the combined status of configuration servers.
func statusCommand(out io.Writer) *cli.Command {
	var servers []string
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "print the active versions by service and zone, and which controllers lag and for how long: status --server ADDRESS[,ADDRESS...]",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "address of a configuration server; may be repeated", Sources: cli.EnvVars("LILACBEND_CONFIGSERVERS"), Destination: &servers},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &asJSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return printStatus(ctx, out, servers, asJSON)
		},
	}
}

// printStatus prints the combined status of the servers that return one. The error names the servers that do not.
func printStatus(ctx context.Context, out io.Writer, servers []string, asJSON bool) error {
	if len(servers) == 0 {
		return errNoStatusServer
	}
	statuses, failed := fetchStatuses(ctx, servers)
	if len(statuses) == 0 {
		return failed
	}
	summary := configstore.Summarize(statuses)
	if !asJSON {
		printSummary(out, summary)
		return failed
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(summary); err != nil {
		return err
	}
	return failed
}

// fetchStatuses fetches the statuses of all servers concurrently. The error names the servers that failed.
func fetchStatuses(ctx context.Context, servers []string) ([]configapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses := make([]configapi.Status, len(servers))
	errs := make([]error, len(servers))
	var fetches sync.WaitGroup
	for k, address := range servers {
		fetches.Go(func() { statuses[k], errs[k] = fetchStatus(ctx, address) })
	}
	fetches.Wait()
	var fetched []configapi.Status
	var failures []string
	for k, err := range errs {
		if err != nil {
			failures = append(failures, err.Error())
			continue
		}
		fetched = append(fetched, statuses[k])
	}
	if len(failures) > 0 {
		return fetched, errors.New(strings.Join(failures, "; "))
	}
	return fetched, nil
}

func fetchStatus(ctx context.Context, address string) (configapi.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configapi.StatusPath, nil)
	if err != nil {
		return configapi.Status{}, fmt.Errorf("server %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return configapi.Status{}, fmt.Errorf("server %s: %w", address, err)
	}
	defer response.Body.Close()
	var status configapi.Status
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBody)).Decode(&status)
	if err != nil || response.StatusCode != http.StatusOK {
		return configapi.Status{}, fmt.Errorf("server %s answered %s: %w", address, response.Status, err)
	}
	return status, nil
}

func printSummary(out io.Writer, summary configstore.Summary) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "server\tregion\tversion\twriter heard\n")
	for _, server := range summary.Servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%v ago\n", server.Server, server.Region, server.Version, milliseconds(server.AgeMS))
	}
	for _, fault := range summary.Faults {
		fmt.Fprintf(table, "refused: %s\t%s\n", fault.File, fault.Reason)
	}
	fmt.Fprintf(table, "\nservice\tversion\tzone\tin force\tlagging\trefused\n")
	for _, service := range summary.Services {
		printService(table, service)
	}
	for _, lagging := range summary.Lagging {
		fmt.Fprintf(table, "lags: %s\t%s\t%s\thas %s, wants %s\tfor %v\n",
			lagging.Instance, lagging.Service, lagging.Zone, lagging.Active, lagging.Newest, milliseconds(lagging.ForMS))
	}
}

func printService(table io.Writer, service configstore.ServiceSummary) {
	for _, zone := range service.Zones {
		var counts []string
		for _, count := range zone.Active {
			counts = append(counts, fmt.Sprintf("%d at %s", count.Controllers, count.Version))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n",
			service.Service, service.Version, zone.Zone, strings.Join(counts, ", "), zone.Lagging, zone.Rejected)
	}
	if len(service.Zones) == 0 {
		fmt.Fprintf(table, "%s\t%s\t-\tno controllers\t0\t0\n", service.Service, service.Version)
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
