package configserver

import (
	"net"
	"path/filepath"
	"strings"
	"time"

	"lilacbend/internal/configclient"
	"lilacbend/internal/strictyaml"
)

// Bounds of what a server's file may say.
const (
	pollLeast, pollMost = 100 * time.Millisecond, time.Hour
	connectionsMost     = 1 << 20
	copiesMost          = 1 << 14
)

// ReadFile reads the file of a server, strictly. The error names file, line and key of all that is wrong.
func ReadFile(file string) (Options, error) {
	raw, err := strictyaml.Open(file)
	if err != nil {
		return Options{}, err
	}
	return ParseFile(file, raw)
}

// ParseFile reads the bytes of a server's file.
func ParseFile(file string, raw []byte) (Options, error) {
	f, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return Options{}, err
	}
	o := Options{PollEvery: PollUsual, Connections: ConnectionsUsual, Copies: CopiesUsual}
	top.Text("name", &o.Name)
	top.Text("region", &o.Region)
	top.Text("listen", &o.Listen)
	top.Text("folder", &o.Folder)
	top.Text("state", &o.StateFile)
	top.Duration("poll", &o.PollEvery, pollLeast, pollMost)
	top.Whole("connections", &o.Connections, 1, connectionsMost)
	top.Whole("copies", &o.Copies, 1, copiesMost)
	o.Follow = configclient.ReadServers(top, "follow")
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		top.Fault("listen", "is %.40q, want an address of host and port", o.Listen)
	}
	switch {
	case o.Folder == "" && !top.Has("follow"):
		top.Fault("", "lacks folder or follow: a writer reads a folder, all others follow servers")
	case o.Folder != "" && top.Has("follow"):
		top.Fault("follow", "is given beside folder: a writer follows nobody")
	}
	o.Folder, o.StateFile = beside(file, o.Folder), beside(file, o.StateFile)
	top.Done()
	if err := f.Err(); err != nil {
		return Options{}, err
	}
	return o, nil
}

// beside has a relative path begin at the folder of a file.
func beside(file, path string) string {
	if strings.TrimSpace(path) == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}
