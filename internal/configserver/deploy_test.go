package configserver

import (
	"os"
	"strings"
	"testing"

	"lilacbend/internal/operator"
)

// uncommented returns the contents of a file without the prefix "# " on the line that contains marker and on all lines after
// it. marker is a key that is commented out, such as "# follow:".
func uncommented(t *testing.T, file, marker string) []byte {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	before, after, found := strings.Cut(string(raw), marker)
	if !found {
		t.Fatalf("no %q in %s", marker, file)
	}
	return []byte(before + strings.ReplaceAll(strings.TrimPrefix(marker, "# ")+after, "\n# ", "\n"))
}

// The example files under deploy can be read as they are, and so can the sections that are commented out in them, for a
// server that follows others and for a controller that follows configuration servers.
func TestFilesUnderDeployAreUsable(t *testing.T) {
	const file, operatorFile = "../../deploy/configserver.yaml", "../../deploy/operator.yaml"
	options, err := ReadOptions(file)
	if err != nil || options.Folder == "" || options.StateFile == "" || options.MaxConnections != DefaultMaxConnections || options.MaxConcurrentCopies != DefaultMaxConcurrentCopies || options.PollInterval != DefaultPollInterval {
		t.Errorf("%s as a writer's file: options %+v, error %v", file, options, err)
	}
	follower := strings.Replace(string(uncommented(t, file, "# follow:")), "folder:", "# folder:", 1)
	if options, err = ParseOptions(file, []byte(follower)); err != nil || len(options.Upstreams) != 2 {
		t.Errorf("%s with follow instead of folder: options %+v, error %v", file, options, err)
	}
	operatorConfig, err := operator.Parse(operatorFile, uncommented(t, operatorFile, "# configuration:"))
	if err != nil || !operatorConfig.Configuration.Enabled() || len(operatorConfig.Configuration.Servers) != 2 {
		t.Errorf("%s with the configuration section: %+v, error %v", operatorFile, operatorConfig, err)
	}
	if operatorConfig, err = operator.Read(operatorFile); err != nil || operatorConfig.Configuration.Enabled() {
		t.Errorf("%s without the configuration section: %+v, error %v", operatorFile, operatorConfig, err)
	}
}
