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
	"lilacbend/internal/configcache"
	"lilacbend/internal/controller"
	"lilacbend/internal/discovery"
	"lilacbend/internal/operator"
	"lilacbend/settings"
)

// options are set by flags and the environment. They take precedence over the configuration file.
type options struct {
	name      string
	listen    string
	discovery string
	file      string // path of the configuration file
	operator  string // path of the operator file
}

// configuration is the content of the configuration file and of the operator file, with the options applied.
type configuration struct {
	name        string
	listen      string // host:port
	discovery   string // host:port
	seed        uint64
	memory      int64 // bytes
	descriptors int
	known       controller.ReplicaList // the replicas to start with
	names       settings.Names
	settings    control.Settings
	digest      configcache.Digest // of the settings in the file
	operator    operator.File
}

// configurationFile is the JSON document in the configuration file.
type configurationFile struct {
	Name      string
	Listen    string
	Discovery string
	Seed      string
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

var errNoConfiguration = errors.New("no configuration file given: set PROXY_CONFIG or --config")

// readConfiguration reads the configuration file and the operator file. Errors name the file and the cause.
func readConfiguration(opts options) (configuration, error) {
	if opts.file == "" {
		return configuration{}, errNoConfiguration
	}
	raw, err := os.ReadFile(opts.file)
	if err != nil {
		return configuration{}, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := parseConfiguration(raw, opts)
	if err != nil {
		return configuration{}, fmt.Errorf("configuration %s: %w", opts.file, err)
	}
	c.operator, err = operator.Read(opts.operator)
	if err != nil {
		return configuration{}, fmt.Errorf("operator file %w", err)
	}
	return c, nil
}

// parseConfiguration decodes and checks the configuration. The error names the first key that is missing or invalid.
func parseConfiguration(raw []byte, opts options) (configuration, error) {
	var file configurationFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return configuration{}, fmt.Errorf("not readable as JSON: %w", err)
	}
	c := configuration{
		name:      firstNonEmpty(opts.name, file.Name),
		listen:    firstNonEmpty(opts.listen, file.Listen),
		discovery: firstNonEmpty(opts.discovery, file.Discovery),
	}
	for _, decode := range []func(*configuration, configurationFile) error{
		checkAddresses, decodeSeed, decodeLimits, requireSections, decodeKnown, decodeSettings,
	} {
		if err := decode(&c, file); err != nil {
			return configuration{}, err
		}
	}
	return c, nil
}

func checkAddresses(c *configuration, _ configurationFile) error {
	for _, address := range []struct{ key, value string }{{"listen", c.listen}, {"discovery", c.discovery}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return fmt.Errorf("%s=%q is not an address of the form host:port", address.key, address.value)
		}
	}
	return nil
}

func decodeSeed(c *configuration, file configurationFile) error {
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed=%q is not a hexadecimal number", file.Seed)
	}
	c.seed = seed
	return nil
}

func decodeLimits(c *configuration, file configurationFile) error {
	if file.Limits.MemoryMB <= 0 || file.Limits.Sockets <= 0 {
		return errors.New("limits.memory_mb or limits.sockets is missing or not above 0")
	}
	c.memory = int64(file.Limits.MemoryMB * (1 << 20))
	c.descriptors = int(file.Limits.Sockets)
	return nil
}

func requireSections(_ *configuration, file configurationFile) error {
	if len(file.Known) == 0 || len(file.Settings) == 0 {
		return errors.New("known or settings is missing")
	}
	return nil
}

// decodeKnown decodes the list of replicas to start with. The list counts as complete even if the file marks it as
// incomplete.
func decodeKnown(c *configuration, file configurationFile) error {
	known, err := discovery.Parse(file.Known)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	known.Complete = true
	c.known = known
	return nil
}

// decodeSettings decodes the settings. Decoding needs the seed, so decodeSeed has to be called first.
func decodeSettings(c *configuration, file configurationFile) (err error) {
	c.names, c.settings, err = settings.Load(file.Settings, c.seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.digest = configcache.DigestOf(file.Settings)
	return nil
}

// changesAtRestart returns the names of the parts of a new configuration that differ from the current one and take effect
// only after a restart.
func (c configuration) changesAtRestart(next configuration) []string {
	next.settings.Seed = c.settings.Seed // the seed differs at each start
	var parts []string
	if c.listen != next.listen {
		parts = append(parts, "listen")
	}
	if c.memory != next.memory || c.descriptors != next.descriptors {
		parts = append(parts, "limits")
	}
	if !reflect.DeepEqual(c.settings, next.settings) || !reflect.DeepEqual(c.names, next.names) {
		parts = append(parts, "settings")
	}
	return append(parts, c.operator.ChangedSections(next.operator)...)
}

// firstNonEmpty returns the first string, or the second if the first is empty.
func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
