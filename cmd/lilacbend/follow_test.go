package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/configstore"
)

// exampleSettings returns the example's settings as JSON with replacements, which are pairs of an old and a new text.
func exampleSettings(t testing.TB, changes ...string) []byte {
	t.Helper()
	raw, err := json.Marshal(exampleFile(t)["settings"])
	if err != nil {
		t.Fatal(err)
	}
	for k := 0; k+1 < len(changes); k += 2 {
		changed := bytes.Replace(raw, []byte(changes[k]), []byte(changes[k+1]), 1)
		if bytes.Equal(raw, changed) {
			t.Fatalf("the example does not contain %s", changes[k])
		}
		raw = changed
	}
	return raw
}

// writeSettings atomically writes the settings file of a service: the example's settings with replacements.
func writeSettings(t testing.TB, folder, service string, changes ...string) {
	t.Helper()
	replaceFile(t.(*testing.T), filepath.Join(folder, service+".json"), exampleSettings(t, changes...))
}

// startConfigservers starts two configuration servers, a writer and a follower of it.
func startConfigservers(t *testing.T, folder string) (writer, follower *childProcess, addresses []string) {
	t.Helper()
	addresses = []string{scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t)}
	writer = startProgram(t, nil, "configserver", "--name", "s0", "--region", "r0", "--listen", addresses[0], "--folder", folder, "--poll", "50ms").waitForLog("serving configuration")
	follower = startProgram(t, nil, "configserver", "--name", "s1", "--region", "r1", "--listen", addresses[1], "--follow", addresses[0]+"=r0").waitForLog("serving configuration")
	return writer, follower, addresses
}

// writeOperatorFile writes the operator file of a controller that follows two configuration servers.
func writeOperatorFile(t *testing.T, servers []string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "operator.yaml")
	writeFile(t, file, fmt.Appendf(nil, "configuration:\n  service: orders\n  region: r1\n  zone: a\n  servers:\n    - {address: '%s', region: r0}\n    - {address: '%s', region: r1}\n", servers[0], servers[1]))
	return file
}

// readStatus returns what the command "configserver status" prints for the servers.
func readStatus(t *testing.T, servers []string) (summary configstore.Summary) {
	t.Helper()
	var out bytes.Buffer
	command := configserverCommand(nil, &out)
	if err := command.Run(context.Background(), []string{"configserver", "status", "--json", "--server", strings.Join(servers, ",")}); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(out.Bytes(), &summary); err != nil {
		t.Fatal(err)
	}
	return summary
}

// A changed settings file takes effect in a running controller: a joined proxy stays connected, a new proxy may have an ID
// that only the new settings allow, and rejected settings are logged with their key.
func TestChangedSettingsReachRunningController(t *testing.T) {
	folder := t.TempDir()
	writeSettings(t, folder, "orders")
	writeSettings(t, folder, "stock")
	writer, follower, servers := startConfigservers(t, folder)
	agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := writeExampleConfiguration(t, map[string]any{"discovery": agent.Address(), "listen": listen, "name": "n7"})
	controller := startProgram(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", writeOperatorFile(t, servers)).waitForLog("configuration in force")
	first := scriptedpeer.DialWhenUp(t, listen)
	first.SendRaw("*9\r\n$5\r\nhello\r\n$2\r\nid\r\n$1\r\n3\r\n$4\r\nsite\r\n$1\r\na\r\n$3\r\nrps\r\n$2\r\n20\r\n$3\r\nnew\r\n$1\r\n1\r\n")
	controller.waitForLog("version=")

	writeSettings(t, folder, "orders", `"proxy_count":4`, `"proxy_count":5`, `"zones":["a","b"]`, `"zones":["b","a","c"]`)
	controller.waitForLog("proxies=5")
	second := scriptedpeer.DialWhenUp(t, listen)
	second.SendRaw("*9\r\n$5\r\nhello\r\n$2\r\nid\r\n$1\r\n4\r\n$4\r\nsite\r\n$1\r\nc\r\n$3\r\nrps\r\n$2\r\n20\r\n$3\r\nnew\r\n$1\r\n1\r\n")
	firstByte := make([]byte, 1)
	for _, conn := range []*scriptedpeer.Conn{first, second} { // both receive their table
		if _, err := conn.Reader.Read(firstByte); err != nil || firstByte[0] != '*' {
			t.Errorf("first byte of the table is %q, want *; error %v", firstByte, err)
		}
	}

	writeSettings(t, folder, "orders", `"push_rate":1200`, `"push_rate":-1`)
	writer.waitForLog("setting domain.push_rate=-1 is not above 0")
	writeSettings(t, folder, "orders", `"admit":"fraction"`, `"admit":"silent"`) // valid at a start, but cannot change while the controller runs
	controller.waitForLog("setting domain.admit cannot change while the controller runs")
	scriptedpeer.WaitFor(t, "the servers' status does not show the rejected version", func() bool {
		s := readStatus(t, servers)
		return len(s.Lagging) == 1 && s.Lagging[0].Instance == "n7" && s.Lagging[0].Rejected == s.Services[0].Version
	})
	writeSettings(t, folder, "orders", `"proxy_count":4`, `"proxy_count":6`)
	controller.waitForLog("proxies=6")
	scriptedpeer.WaitFor(t, "the servers' status does not show the controller as up to date", func() bool {
		s := readStatus(t, servers)
		return len(s.Lagging) == 0 && len(s.Services) == 2 && len(s.Services[0].Zones) == 1 && s.Services[0].Zones[0].Active[0].Controllers == 1
	})
	controller.signal(syscall.SIGUSR1)
	controller.waitForLog("configuration.changes=3").waitForLog("configuration.refused=1")
	for _, process := range []*childProcess{controller, follower, writer} {
		process.expectExit(syscall.SIGTERM)
	}
}

// Without the section "configuration" in the operator file, a controller follows no configuration servers and logs nothing
// about them.
func TestNothingIsFollowedWithoutConfigurationSection(t *testing.T) {
	agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := writeExampleConfiguration(t, map[string]any{"discovery": agent.Address(), "listen": listen})
	controller := startController(t, file).waitForLog("controller serving")
	controller.signal(syscall.SIGUSR1)
	controller.waitForLog("counters")
	if controller.logged("configuration") {
		t.Errorf("the log mentions a configuration: %s", controller.log)
	}
	controller.expectExit(syscall.SIGTERM)
}

func TestConfigserverCommands(t *testing.T) {
	folder := t.TempDir()
	writeSettings(t, folder, "orders")
	file := filepath.Join(t.TempDir(), "s0.yaml")
	writeFile(t, file, []byte("name: s0\nlisten: 127.0.0.1:7000\nfolder: "+folder+"\n"))
	command := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := configserverCommand(nil, &out)
		returnUsageErrors(c)
		err := c.Run(context.Background(), append([]string{"configserver"}, args...))
		return out.String(), err
	}
	if out, err := command("check", file); err != nil || !strings.Contains(out, "the settings of 1 services") {
		t.Errorf("check printed %s, error %v", out, err)
	}
	writeSettings(t, folder, "stock", `"slo_ms"`, `"slo"`)
	for want, args := range map[string][]string{
		"file stock.json: setting lanes.0.slo_ms is missing": {"check", file},
		"no such file":                  {"check", file + ".none"},
		"neither a folder nor":          {"--listen", "127.0.0.1:0"},
		"both a folder and":             {"--listen", "127.0.0.1:0", "--folder", folder, "--follow", "127.0.0.1:1"},
		"cannot listen":                 {"--listen", "nowhere", "--folder", folder},
		"unknown command \"strat\"":     {"strat"},
		"no configuration server given": {"status"},
		"server 127.0.0.1:1: ":          {"status", "--server", "127.0.0.1:1"},
		"flag provided but not def":     {"status", "--sever", "127.0.0.1:1"},
	} {
		if _, err := command(args...); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: error %v, want one line with %q", args, err, want)
		}
	}
	if err := os.Remove(filepath.Join(folder, "stock.json")); err != nil {
		t.Fatal(err)
	}
	writer, follower, servers := startConfigservers(t, folder)
	var out bytes.Buffer
	statusCommand := configserverCommand(nil, &out)
	if err := statusCommand.Run(context.Background(), []string{"configserver", "status", "--server", strings.Join(servers, ",")}); err != nil ||
		!strings.Contains(out.String(), "orders") || !strings.Contains(out.String(), "no controllers") {
		t.Errorf("status printed %s, error %v", out.String(), err)
	}
	writeSettings(t, folder, "orders", `"proxy_count":4`, `"proxy_count":5`)
	writer.signal(syscall.SIGHUP)
	writer.waitForLog("configuration changed")
	for _, process := range []*childProcess{follower, writer} {
		process.expectExit(syscall.SIGTERM)
	}
}
