package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	"lilacbend/control"
	"lilacbend/internal/discovery"
	"lilacbend/internal/governor"
	"lilacbend/internal/operator"
	"lilacbend/settings"
)

// charter is what one governor is told before it starts.
type charter struct {
	name, listen, discovery string
	seed                    uint64
	memory                  int64 // bytes
	descriptors             int
	known                   governor.Listing
	names                   settings.Names
	provision               control.Provision
	rules                   operator.Rulebook
}

// differs names what a new configuration says otherwise and only the next start takes over.
func (c charter) differs(n charter) (fields []string) {
	n.provision.Seed = c.provision.Seed // new with each start
	for _, f := range []struct {
		name string
		same bool
	}{{"listen", c.listen == n.listen}, {"limits", c.memory == n.memory && c.descriptors == n.descriptors},
		{"settings", reflect.DeepEqual(c.provision, n.provision) && reflect.DeepEqual(c.names, n.names)}} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return append(fields, c.rules.Differs(n.rules)...)
}

// told is what the command line and the environment say; what is set there goes before the file.
type told struct{ name, listen, discovery, file, operator string }

// reload says when the configuration is to be read again, and where it is.
type reload struct {
	asked <-chan os.Signal
	told  told
}

// read reads the configuration again: what it says of discovery now goes before what was told at the start.
func (r reload) read() (c charter, err error) {
	defer func() {
		if v := recover(); v != nil { // a file of no use is no reason to end
			err = fmt.Errorf("panic: %v", v)
		}
	}()
	t := r.told
	t.discovery = ""
	return readCharter(t)
}

func readCharter(t told) (charter, error) {
	if t.file == "" {
		return charter{}, errors.New("no configuration is named: PROXY_CONFIG or --config")
	}
	raw, err := os.ReadFile(t.file)
	if err != nil {
		return charter{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseCharter(raw, t)
	if err != nil {
		return charter{}, fmt.Errorf("configuration %s: %w", t.file, err)
	}
	if c.rules, err = operator.Read(t.operator); err != nil {
		return charter{}, fmt.Errorf("operator file %w", err)
	}
	return c, nil
}

func parseCharter(raw []byte, t told) (charter, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64 `json:"sockets"`
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return charter{}, fmt.Errorf("not readable as JSON: %w", err)
	}
	c := charter{name: or(t.name, file.Name), listen: or(t.listen, file.Listen),
		discovery: or(t.discovery, file.Discovery)}
	for _, a := range [][2]string{{"listen", c.listen}, {"discovery", c.discovery}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return charter{}, fmt.Errorf("%s=%q is no address of host and port", a[0], a[1])
		}
	}
	var err error
	if c.seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return charter{}, fmt.Errorf("seed=%q is not a hexadecimal number", file.Seed)
	}
	if file.Limits.MemoryMB <= 0 || file.Limits.Sockets <= 0 {
		return charter{}, errors.New("limits.memory_mb or limits.sockets is missing or not above 0")
	}
	c.memory, c.descriptors = int64(file.Limits.MemoryMB*(1<<20)), int(file.Limits.Sockets)
	if len(file.Known) == 0 || len(file.Settings) == 0 {
		return charter{}, errors.New("known or settings is missing")
	}
	if c.known, err = discovery.Parse(file.Known); err != nil {
		return charter{}, fmt.Errorf("known: %w", err)
	}
	values, err := settings.ParseJSON(file.Settings)
	if err != nil {
		return charter{}, fmt.Errorf("settings: %w", err)
	}
	if c.provision, err = values.Decode(c.seed); err != nil {
		return charter{}, fmt.Errorf("settings: %w", err)
	}
	if c.names, err = values.Names(); err != nil {
		return charter{}, fmt.Errorf("settings: %w", err)
	}
	c.provision.Kinds++          // one more for kinds that the settings do not name
	c.provision.HostHolds = true // the core does, by the channel's account
	c.known.Whole = true
	return c, nil
}

func or(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
