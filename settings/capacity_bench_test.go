package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
)

// channelLimit is the channel limit of a large fleet, in lines.
const channelLimit = 49200

// BenchmarkSettingsByClasses measures the bytes of the settings and the time to read and check them: the slope of docs/CAPACITY.md
// for a configuration. The classes are those of the example, repeated under other names.
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
					b.Fatal(len(names.Classes), err)
				}
			}
			b.ReportMetric(float64(len(raw)), "B/settings")
		})
	}
}

func settingsWithClasses(b *testing.B, classes int) []byte {
	file, err := os.ReadFile("../example/config.json")
	if err != nil {
		b.Fatal(err)
	}
	var example struct{ Settings map[string]any }
	if err := json.Unmarshal(file, &example); err != nil {
		b.Fatal(err)
	}
	lanes := example.Settings["lanes"].([]any)
	all := make([]any, classes)
	for k := range all {
		lane := map[string]any{}
		for name, value := range lanes[k%len(lanes)].(map[string]any) {
			lane[name] = value
		}
		lane["name"] = fmt.Sprintf("%v-%05d", lane["name"], k)
		all[k] = lane
	}
	example.Settings["lanes"] = all
	domain := example.Settings["domain"].(map[string]any)
	domain["pending_max"] = channelLimit                               // two messages of a table tell of each class
	for _, name := range []string{"write_classes", "class_own_zone"} { // one figure a class
		flags := make([]any, classes)
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
