package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
)

// channelLimit is the channel limit of a large fleet, in cost units.
const channelLimit = 49200

// BenchmarkSettingsByClasses measures the size of settings in bytes and the time to parse and check them, for several
// numbers of traffic classes. docs/CAPACITY.md describes the growth of a configuration by these results. The classes are
// those of the example, repeated under other names.
func BenchmarkSettingsByClasses(b *testing.B) {
	for _, classes := range []int{3, 48, 960, 14000} {
		b.Run(fmt.Sprintf("classes=%d", classes), func(b *testing.B) {
			raw := settingsWithClasses(b, classes)
			for b.Loop() {
				values, err := ParseJSON(raw)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := values.Decode(1); err != nil {
					b.Fatal(err)
				}
				if names, err := values.Names(); err != nil || len(names.Classes) != classes {
					b.Fatalf("got %d class names, error %v, want %d names", len(names.Classes), err, classes)
				}
			}
			b.ReportMetric(float64(len(raw)), "B/settings")
		})
	}
}

// settingsWithClasses returns the settings of the example as JSON, with a number of traffic classes.
func settingsWithClasses(b *testing.B, classCount int) []byte {
	file, err := os.ReadFile("../example/config.json")
	if err != nil {
		b.Fatal(err)
	}
	var example struct{ Settings map[string]any }
	if err := json.Unmarshal(file, &example); err != nil {
		b.Fatal(err)
	}
	exampleClasses := example.Settings["lanes"].([]any)
	repeated := make([]any, classCount)
	for k := range repeated {
		class := map[string]any{}
		for name, value := range exampleClasses[k%len(exampleClasses)].(map[string]any) {
			class[name] = value
		}
		class["name"] = fmt.Sprintf("%v-%05d", class["name"], k)
		repeated[k] = class
	}
	example.Settings["lanes"] = repeated
	domain := example.Settings["domain"].(map[string]any)
	// The channel limit is large enough for two messages of a table with the admission rates of all classes.
	domain["pending_max"] = channelLimit
	for _, name := range []string{"write_classes", "class_own_zone"} { // settings with one value for each class
		flags := make([]any, classCount)
		for k := range flags {
			flags[k] = false
		}
		domain[name] = flags
	}
	raw, err := json.Marshal(example.Settings)
	if err != nil {
		b.Fatal(err)
	}
	return raw
}
