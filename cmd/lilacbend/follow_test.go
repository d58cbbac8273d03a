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

// exampleSettings returns the example's settings as a server sends them, with changes: pairs of a text and its replacement.
func exampleSettings(t testing.TB, changes ...string) []byte {
	t.Helper()
	raw, err := json.Marshal(example(t)["settings"])
	if err != nil {
		t.Fatal(err)
	}
	for k := 0; k+1 < len(changes); k += 2 {
		changed := bytes.Replace(raw, []byte(changes[k]), []byte(changes[k+1]), 1)
		if bytes.Equal(raw, changed) {
			t.Fatalf("no %s in the example", changes[k])
		}
		raw = changed
	}
	return raw
}

// settingsFile writes the example's settings with changes into a folder, atomically.
func settingsFile(t testing.TB, folder, service string, changes ...string) {
	t.Helper()
	replace(t.(*testing.T), filepath.Join(folder, service+".json"), exampleSettings(t, changes...))
}

// configservers starts a writer and a server that follows it.
func configservers(t *testing.T, folder string) (writer, follower *child, at []string) {
	t.Helper()
	at = []string{scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t)}
	writer = program(t, nil, "configserver", "--name", "s0", "--region", "r0", "--listen", at[0], "--folder", folder, "--poll", "50ms").until("serving configuration")
	follower = program(t, nil, "configserver", "--name", "s1", "--region", "r1", "--listen", at[1], "--follow", at[0]+"=r0").until("serving configuration")
	return writer, follower, at
}

func operatorFile(t *testing.T, at []string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "operator.yaml")
	write(t, file, fmt.Appendf(nil, "configuration:\n  service: orders\n  region: r1\n  zone: a\n  servers:\n    - {address: '%s', region: r0}\n    - {address: '%s', region: r1}\n", at[0], at[1]))
	return file
}

// status runs the command as an operator does.
func status(t *testing.T, at []string) (s configstore.Summary) {
	t.Helper()
	var out bytes.Buffer
	c := configserverCommand(nil, &out)
	if err := c.Run(context.Background(), []string{"configserver", "status", "--json", "--server", strings.Join(at, ",")}); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(out.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// A change of a file becomes active at a running controller: a joined proxy stays, the next one may have a number that only the
// new settings allow, and rejected settings are logged with their key.
func TestChangeOfFolderReachesRunningController(t *testing.T) {
	folder := t.TempDir()
	settingsFile(t, folder, "orders")
	settingsFile(t, folder, "stock")
	writer, follower, at := configservers(t, folder)
	agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := configured(t, map[string]any{"discovery": agent.Address(), "listen": listen, "name": "n7"})
	governor := program(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", operatorFile(t, at)).until("configuration in force")
	first := scriptedpeer.DialWhenUp(t, listen)
	first.SendRaw("*9\r\n$5\r\nhello\r\n$2\r\nid\r\n$1\r\n3\r\n$4\r\nsite\r\n$1\r\na\r\n$3\r\nrps\r\n$2\r\n20\r\n$3\r\nnew\r\n$1\r\n1\r\n")
	governor.until("version=")

	settingsFile(t, folder, "orders", `"proxy_count":4`, `"proxy_count":5`, `"zones":["a","b"]`, `"zones":["b","a","c"]`)
	governor.until("proxies=5")
	second := scriptedpeer.DialWhenUp(t, listen)
	second.SendRaw("*9\r\n$5\r\nhello\r\n$2\r\nid\r\n$1\r\n4\r\n$4\r\nsite\r\n$1\r\nc\r\n$3\r\nrps\r\n$2\r\n20\r\n$3\r\nnew\r\n$1\r\n1\r\n")
	head := make([]byte, 1)
	for _, conn := range []*scriptedpeer.Conn{first, second} { // both get their table
		if _, err := conn.Reader.Read(head); err != nil || head[0] != '*' {
			t.Errorf("%q %v", head, err)
		}
	}

	settingsFile(t, folder, "orders", `"push_rate":1200`, `"push_rate":-1`)
	writer.until("setting domain.push_rate=-1 is not above 0")
	settingsFile(t, folder, "orders", `"admit":"fraction"`, `"admit":"silent"`) // well for a start, but not for who runs
	governor.until("setting domain.admit cannot change while the controller runs")
	scriptedpeer.WaitFor(t, "the refusal is not known to the servers", func() bool {
		s := status(t, at)
		return len(s.Lagging) == 1 && s.Lagging[0].Instance == "n7" && s.Lagging[0].Rejected == s.Services[0].Version
	})
	settingsFile(t, folder, "orders", `"proxy_count":4`, `"proxy_count":6`)
	governor.until("proxies=6")
	scriptedpeer.WaitFor(t, "somebody lags", func() bool {
		s := status(t, at)
		return len(s.Lagging) == 0 && len(s.Services) == 2 && len(s.Services[0].Zones) == 1 && s.Services[0].Zones[0].Active[0].Controllers == 1
	})
	governor.signal(syscall.SIGUSR1)
	governor.until("configuration.changes=3").until("configuration.refused=1")
	for _, p := range []*child{governor, follower, writer} {
		p.expectExit(syscall.SIGTERM)
	}
}

// Without the section a controller follows no configuration, and logs nothing about it.
func TestWithoutSectionNothingIsFollowed(t *testing.T) {
	agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := configured(t, map[string]any{"discovery": agent.Address(), "listen": listen})
	governor := run(t, file).until("serving")
	governor.signal(syscall.SIGUSR1)
	governor.until("counters")
	if governor.logged("configuration") {
		t.Errorf("the log: %s", governor.out)
	}
	governor.expectExit(syscall.SIGTERM)
}

func TestConfigserverCommands(t *testing.T) {
	folder := t.TempDir()
	settingsFile(t, folder, "orders")
	file := filepath.Join(t.TempDir(), "s0.yaml")
	write(t, file, []byte("name: s0\nlisten: 127.0.0.1:7000\nfolder: "+folder+"\n"))
	command := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := configserverCommand(nil, &out)
		returnUsageErrors(c)
		err := c.Run(context.Background(), append([]string{"configserver"}, args...))
		return out.String(), err
	}
	if out, err := command("check", file); err != nil || !strings.Contains(out, "the settings of 1 services") {
		t.Errorf("%s %v", out, err)
	}
	settingsFile(t, folder, "stock", `"slo_ms"`, `"slo"`)
	for says, args := range map[string][]string{
		"file stock.json: setting lanes.0.slo_ms is missing": {"check", file},
		"no such file":              {"check", file + ".none"},
		"neither a folder nor":      {"--listen", "127.0.0.1:0"},
		"both a folder and":         {"--listen", "127.0.0.1:0", "--folder", folder, "--follow", "127.0.0.1:1"},
		"cannot listen":             {"--listen", "nowhere", "--folder", folder},
		"no command \"strat\"":      {"strat"},
		"no server is named":        {"status"},
		"server 127.0.0.1:1: ":      {"status", "--server", "127.0.0.1:1"},
		"flag provided but not def": {"status", "--sever", "127.0.0.1:1"},
	} {
		if _, err := command(args...); err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", args, err)
		}
	}
	if err := os.Remove(filepath.Join(folder, "stock.json")); err != nil {
		t.Fatal(err)
	}
	writer, follower, at := configservers(t, folder)
	var out bytes.Buffer
	c := configserverCommand(nil, &out)
	if err := c.Run(context.Background(), []string{"configserver", "status", "--server", strings.Join(at, ",")}); err != nil ||
		!strings.Contains(out.String(), "orders") || !strings.Contains(out.String(), "nobody") {
		t.Errorf("%s %v", out.String(), err)
	}
	settingsFile(t, folder, "orders", `"proxy_count":4`, `"proxy_count":5`)
	writer.signal(syscall.SIGHUP)
	writer.until("configuration changed")
	for _, p := range []*child{follower, writer} {
		p.expectExit(syscall.SIGTERM)
	}
}
