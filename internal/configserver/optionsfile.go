package configserver

import (
	"net"
	"path/filepath"
	"strings"
	"time"

	"lilacbend/internal/configclient"
	"lilacbend/internal/strictyaml"
)

// Limits of the values in a server's configuration file.
const (
	minPollInterval    = 100 * time.Millisecond
	maxPollInterval    = time.Hour
	maxConnectionLimit = 1 << 20
	maxCopyLimit       = 1 << 14
)

// ReadOptions reads a server's configuration file. Unknown keys are faults, too; the error names file, line and key of each
// fault.
func ReadOptions(file string) (Options, error) {
	raw, err := strictyaml.Open(file)
	if err != nil {
		return Options{}, err
	}
	return ParseOptions(file, raw)
}

// ParseOptions parses the content of a server's configuration file.
func ParseOptions(file string, raw []byte) (Options, error) {
	document, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return Options{}, err
	}
	options := Options{PollInterval: DefaultPollInterval, MaxConnections: DefaultMaxConnections, MaxConcurrentCopies: DefaultMaxConcurrentCopies}
	top.Text("name", &options.Name)
	top.Text("region", &options.Region)
	top.Text("listen", &options.Listen)
	top.Text("folder", &options.Folder)
	top.Text("state", &options.StateFile)
	top.Duration("poll", &options.PollInterval, minPollInterval, maxPollInterval)
	top.Integer("connections", &options.MaxConnections, 1, maxConnectionLimit)
	top.Integer("copies", &options.MaxConcurrentCopies, 1, maxCopyLimit)
	options.Upstreams = configclient.ReadServers(top, "follow")
	if _, _, err := net.SplitHostPort(options.Listen); err != nil {
		top.AddFault("listen", "is %.40q, want an address of host and port", options.Listen)
	}
	switch {
	case options.Folder == "" && !top.Has("follow"):
		top.AddFault("", "lacks folder or follow: a writer reads a folder, any other server follows servers")
	case options.Folder != "" && top.Has("follow"):
		top.AddFault("follow", "is set together with folder: a writer follows no server")
	}
	options.Folder = relativeTo(file, options.Folder)
	options.StateFile = relativeTo(file, options.StateFile)
	top.Done()
	if err := document.Err(); err != nil {
		return Options{}, err
	}
	return options, nil
}

// relativeTo joins path to the folder that contains file, unless path is blank or absolute.
func relativeTo(file, path string) string {
	if strings.TrimSpace(path) == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}
