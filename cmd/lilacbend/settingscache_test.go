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

// keepingFile writes the operator file of a controller that caches its settings. A server that must not answer is a listener of
// the test: a free address may be given to another test, whose server would then be followed.
func keepingFile(t *testing.T, folder string, servers ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "operator.yaml")
	text := "configuration:\n  service: orders\n  folder: " + folder + "\n  servers:\n"
	for _, at := range servers {
		text += fmt.Sprintf("    - {address: '%s'}\n", at)
	}
	write(t, file, []byte(text))
	return file
}

// hello joins as a proxy and waits for the first byte of its table.
func hello(t *testing.T, listen string, proxy int) {
	t.Helper()
	conn := scriptedpeer.DialWhenUp(t, listen)
	conn.Send(fmt.Sprintf("hello id %d site a rps 20 new 1", proxy))
	head := make([]byte, 1)
	if _, err := conn.Reader.Read(head); err != nil || head[0] != '*' {
		t.Errorf("proxy %d: %q %v", proxy, head, err)
	}
}

// All servers are lost, and a controller restarts: it uses the version that was active, knows the proxies of that version, and
// applies the next one when a server is back, without a copy of the one it has.
func TestRestartResumesActiveSettings(t *testing.T) {
	folder, kept := t.TempDir(), filepath.Join(t.TempDir(), "kept")
	settingsFile(t, folder, "orders", `"proxy_count":4`, `"proxy_count":6`)
	writer, follower, at := configservers(t, folder)
	agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
	file := configured(t, map[string]any{"discovery": agent.Address(), "listen": listen, "name": "n7"})
	operator := keepingFile(t, kept, at...)
	first := program(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", operator).until("configuration in force")
	if first.logged("kept configuration") {
		t.Errorf("there was nothing to keep: %s", first.out)
	}
	scriptedpeer.WaitFor(t, "it is not kept", func() bool { _, found, _ := configcache.Load(filewriter.Directory(kept)); return found })
	for _, p := range []*child{follower, writer, first} {
		p.expectExit(syscall.SIGTERM)
	}

	second := program(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", operator).until("the kept configuration is used").until("configuration in force")
	hello(t, listen, 5) // which the governor's own file does not know
	writer = program(t, nil, "configserver", "--name", "s0", "--listen", at[0], "--folder", folder, "--poll", "50ms").until("serving configuration")
	settingsFile(t, folder, "orders", `"proxy_count":4`, `"proxy_count":7`)
	second.until("proxies=7")
	second.signal(syscall.SIGUSR1)
	second.until("configuration.kept.failed=0")
	for _, p := range []*child{second, writer} {
		p.expectExit(syscall.SIGTERM)
	}
	if r, found, err := configcache.Load(filewriter.Directory(kept)); !found || err != nil || !bytes.Contains(r.Settings, []byte(`"proxy_count":7`)) {
		t.Errorf("kept: %+v %v %v", r, found, err)
	}
}

// With any content of the folder a controller serves: with the cached settings if they are complete and its own, otherwise with
// its own file.
func TestCachedSettingsAreUsedOnlyIfValid(t *testing.T) {
	own := configcache.DigestOf(exampleSettings(t))
	more := exampleSettings(t, `"proxy_count":4`, `"proxy_count":6`)
	record := func(service string, start configcache.Digest, raw []byte) []byte {
		file, err := configcache.Encode(configcache.Record{Service: service, Version: revision.Version{Epoch: 5, Revision: 2}, Start: start, Settings: raw})
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	whole := record("orders", own, more)
	for name, c := range map[string]struct {
		file []byte
		says string
		used bool
	}{
		"whole":                  {whole, "the kept configuration is used", true},
		"damaged":                {append(bytes.Clone(whole), ' '), "cached settings file is damaged", false},
		"half":                   {whole[:len(whole)/2], "cached settings file is damaged", false},
		"empty":                  {nil, "cached settings file is damaged", false},
		"of a newer program":     {bytes.Replace(whole, []byte(`"format":1`), []byte(`"format":9`), 1), "cached settings file was written by a newer program", false},
		"of another service":     {record("stock", own, more), "cached settings are of service", false},
		"own file changed since": {record("orders", configcache.DigestOf([]byte(`{}`)), more), "have changed since", false},
		"no settings":            {record("orders", own, []byte(`{}`)), "the kept configuration is not used", false},
		"another admission":      {record("orders", own, exampleSettings(t, `"admit":"fraction"`, `"admit":"silent"`)), "setting domain.admit cannot change", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folder := filepath.Join(t.TempDir(), "kept")
			if err := os.MkdirAll(folder, 0o700); err != nil {
				t.Fatal(err)
			}
			write(t, filepath.Join(folder, "settings"), c.file)
			agent, listen := scriptedpeer.Listen(t), scriptedpeer.FreeAddress(t)
			file := configured(t, map[string]any{"discovery": agent.Address(), "listen": listen, "name": "n7"})
			governor := program(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", keepingFile(t, folder, scriptedpeer.Listen(t).Address())).until("serving").until(c.says)
			hello(t, listen, 3)
			if c.used {
				governor.until("version=5.2")
				hello(t, listen, 5)
			}
			if used := governor.logged("configuration in force"); used != c.used {
				t.Errorf("used %v, want %v: %s", used, c.used, governor.out)
			}
			governor.expectExit(syscall.SIGTERM)
		})
	}
}

// If the previous process still holds the lock of a folder, the next one waits for it.
func TestAcquireFolderRetriesWhileLocked(t *testing.T) {
	folder := filewriter.Directory(filepath.Join(t.TempDir(), "kept"))
	before, err := folder.Acquire("n6")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(inUseTimeout/4, before.Release)
	lock, err := acquireFolder(t.Context(), folder, "n7")
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	var held *filewriter.LockedError
	if _, err := acquireFolder(t.Context(), folder, "n8"); !errors.As(err, &held) || held.Owner == "" {
		t.Errorf("a folder that stays held: %v", err)
	}
	if waited := time.Since(began); waited < inUseTimeout || waited > 2*inUseTimeout {
		t.Errorf("waited for %v, want %v", waited, inUseTimeout)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	began = time.Now()
	if _, err := acquireFolder(ended, folder, "n8"); !errors.As(err, &held) || time.Since(began) > inUseTimeout/2 {
		t.Errorf("told to end: %v after %v", err, time.Since(began))
	}
	lock.Release()
}

// Of two controllers on one folder the second serves without it. A folder that others may write to is not used.
func TestFolderOfAnotherOwnerIsNotUsed(t *testing.T) {
	agent := scriptedpeer.Listen(t)
	begin := func(folder string) *child {
		file := configured(t, map[string]any{"discovery": agent.Address(), "listen": scriptedpeer.FreeAddress(t), "name": "n7"})
		return program(t, []string{"PROXY_CONFIG=" + file}, "serve", "--operator", keepingFile(t, folder, scriptedpeer.Listen(t).Address())).until("serving")
	}
	shared, open := filepath.Join(t.TempDir(), "kept"), filepath.Join(t.TempDir(), "open")
	if err := os.Mkdir(open, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(open, 0o777); err != nil {
		t.Fatal(err)
	}
	first := begin(shared)
	second := begin(shared).until("is neither read nor kept").until("is locked by n7")
	third := begin(open).until("is neither read nor kept").until("directory is writable by other users")
	for _, p := range []*child{first, second, third} {
		p.expectExit(syscall.SIGTERM)
	}
	if strings.Contains(first.out.String(), "neither") {
		t.Errorf("the first one's: %s", first.out)
	}
}
