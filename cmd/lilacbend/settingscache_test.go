package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/configcache"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/revision"
)

// writeCachingOperatorFile writes the operator file of a controller that follows servers and caches its settings in a
// folder. A test without configuration servers has to pass the address of a listener of its own: a free address may be given
// to another test, whose server the controller would then follow.
func writeCachingOperatorFile(t *testing.T, folder string, servers ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "operator.yaml")
	text := "configuration:\n  service: orders\n  folder: " + folder + "\n  servers:\n"
	for _, address := range servers {
		text += fmt.Sprintf("    - {address: '%s'}\n", address)
	}
	writeFile(t, file, []byte(text))
	return file
}

// joinAsProxy joins as a proxy and waits for the first byte of its table.
func joinAsProxy(t *testing.T, listen string, proxy int) {
	t.Helper()
	conn := scriptedpeer.DialWhenUp(t, listen)
	conn.Send(fmt.Sprintf("hello id %d site a rps 20 new 1", proxy))
	firstByte := make([]byte, 1)
	if _, err := conn.Reader.Read(firstByte); err != nil || firstByte[0] != '*' {
		t.Errorf("proxy %d: first byte of the table is %q, want *; error %v", proxy, firstByte, err)
	}
}

// A controller restarts while no configuration server is reachable. It uses the version that was active, accepts the proxies
// of that version, and applies the next version when a server is back, without fetching the one it has again.
func TestRestartResumesActiveSettings(t *testing.T) {
	folder, cacheFolder := t.TempDir(), filepath.Join(t.TempDir(), "kept")
	writeSettings(t, folder, "orders", `"proxy_count":4`, `"proxy_count":6`)
	writer, follower, servers := startConfigservers(t, folder)
	agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := writeExampleConfiguration(t, map[string]any{"discovery": agent.Address(), "listen": listen, "name": "n7"})
	operatorFile := writeCachingOperatorFile(t, cacheFolder, servers...)
	first := startProgram(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", operatorFile).waitForLog("configuration in force")
	if first.logged("cached configuration") {
		t.Errorf("cached configuration found at the first start: %s", first.log)
	}
	scriptedpeer.WaitFor(t, "the active settings are not cached", func() bool { _, found, _ := configcache.Load(filewriter.Directory(cacheFolder)); return found })
	for _, process := range []*childProcess{follower, writer, first} {
		process.expectExit(syscall.SIGTERM)
	}

	second := startProgram(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", operatorFile).waitForLog("starting with the cached configuration").waitForLog("configuration in force")
	joinAsProxy(t, listen, 5) // a proxy that the controller's configuration file does not allow
	writer = startProgram(t, nil, "configserver", "--name", "s0", "--listen", servers[0], "--folder", folder, "--poll", "50ms").waitForLog("serving configuration")
	writeSettings(t, folder, "orders", `"proxy_count":4`, `"proxy_count":7`)
	second.waitForLog("proxies=7")
	second.signal(syscall.SIGUSR1)
	second.waitForLog("configuration.kept.failed=0")
	for _, process := range []*childProcess{second, writer} {
		process.expectExit(syscall.SIGTERM)
	}
	if record, found, err := configcache.Load(filewriter.Directory(cacheFolder)); !found || err != nil || !bytes.Contains(record.Settings, []byte(`"proxy_count":7`)) {
		t.Errorf("cached record is %+v, found %v, error %v; want settings for 7 proxies", record, found, err)
	}
}

// A controller serves whatever its cache folder contains: with the cached settings if they are complete and belong to it,
// otherwise with the settings in its configuration file.
func TestCachedSettingsAreUsedOnlyIfValid(t *testing.T) {
	own := configcache.DigestOf(exampleSettings(t))
	changed := exampleSettings(t, `"proxy_count":4`, `"proxy_count":6`)
	record := func(service string, start configcache.Digest, raw []byte) []byte {
		file, err := configcache.Encode(configcache.Record{Service: service, Version: revision.Version{Epoch: 5, Revision: 2}, Start: start, Settings: raw})
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	complete := record("orders", own, changed)
	for name, c := range map[string]struct {
		file    []byte
		logText string
		used    bool
	}{
		"complete":                         {complete, "starting with the cached configuration", true},
		"damaged":                          {append(bytes.Clone(complete), ' '), "it is not as it was written", false},
		"truncated":                        {complete[:len(complete)/2], "it is not as it was written", false},
		"empty":                            {nil, "it is not as it was written", false},
		"format of a newer program":        {bytes.Replace(complete, []byte(`"format":1`), []byte(`"format":9`), 1), "a newer program wrote it", false},
		"of another service":               {record("stock", own, changed), "it is of service", false},
		"configuration file changed since": {record("orders", configcache.DigestOf([]byte(`{}`)), changed), "have changed since", false},
		"no settings":                      {record("orders", own, []byte(`{}`)), "cached configuration rejected, starting with", false},
		"another admission":                {record("orders", own, exampleSettings(t, `"admit":"fraction"`, `"admit":"silent"`)), "setting domain.admit cannot change", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folder := filepath.Join(t.TempDir(), "kept")
			if err := os.MkdirAll(folder, 0o700); err != nil {
				t.Fatal(err)
			}
			writeFile(t, filepath.Join(folder, "settings"), c.file)
			agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
			file := writeExampleConfiguration(t, map[string]any{"discovery": agent.Address(), "listen": listen, "name": "n7"})
			controller := startProgram(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", writeCachingOperatorFile(t, folder, scriptedpeer.Listen(t).Address())).waitForLog("controller serving").waitForLog(c.logText)
			joinAsProxy(t, listen, 3)
			if c.used {
				controller.waitForLog("version=5.2")
				joinAsProxy(t, listen, 5)
			}
			if used := controller.logged("configuration in force"); used != c.used {
				t.Errorf("cached settings used: %v, want %v: %s", used, c.used, controller.log)
			}
			controller.expectExit(syscall.SIGTERM)
		})
	}
}

// If the previous process still holds the lock of a folder, its successor waits for the lock, for at most inUseTimeout and
// only until it is told to end.
func TestAcquireFolderRetriesWhileLocked(t *testing.T) {
	folder := filewriter.Directory(filepath.Join(t.TempDir(), "kept"))
	previous, err := folder.Acquire("n6")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(inUseTimeout/4, previous.Release)
	lock, err := acquireFolder(t.Context(), folder, "n7")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	var locked *filewriter.LockedError
	if _, err := acquireFolder(t.Context(), folder, "n8"); !errors.As(err, &locked) || locked.Owner == "" {
		t.Errorf("acquiring a folder that stays locked: %v", err)
	}
	if waited := time.Since(start); waited < inUseTimeout || waited > 2*inUseTimeout {
		t.Errorf("waited for %v, want %v to %v", waited, inUseTimeout, 2*inUseTimeout)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	start = time.Now()
	if _, err := acquireFolder(canceled, folder, "n8"); !errors.As(err, &locked) || time.Since(start) > inUseTimeout/2 {
		t.Errorf("acquiring with a canceled context: %v after %v", err, time.Since(start))
	}
	lock.Release()
}

// If two controllers have the same cache folder, the second one serves without the cache. A folder that others may write to
// is not used.
func TestFolderOfAnotherOwnerIsNotUsed(t *testing.T) {
	agent := scriptedpeer.Listen(t)
	start := func(folder string) *childProcess {
		file := writeExampleConfiguration(t, map[string]any{"discovery": agent.Address(), "listen": scriptedpeer.FreeAddress(t), "name": "n7"})
		return startProgram(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", writeCachingOperatorFile(t, folder, scriptedpeer.Listen(t).Address())).waitForLog("controller serving")
	}
	shared, writable := filepath.Join(t.TempDir(), "kept"), filepath.Join(t.TempDir(), "open")
	if err := os.Mkdir(writable, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(writable, 0o777); err != nil {
		t.Fatal(err)
	}
	first := start(shared)
	second := start(shared).waitForLog("configuration cache disabled").waitForLog("held by n7")
	third := start(writable).waitForLog("configuration cache disabled").waitForLog("others may write to it")
	for _, process := range []*childProcess{first, second, third} {
		process.expectExit(syscall.SIGTERM)
	}
	if strings.Contains(first.log.String(), "disabled") {
		t.Errorf("the first controller serves without its cache: %s", first.log)
	}
}
