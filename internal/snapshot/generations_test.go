package snapshot

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"lilacbend/control"
	"lilacbend/internal/filewriter"
	"lilacbend/internal/learnedstate"
)

func sample(k int) learnedstate.State {
	m := learnedstate.State{Controller: "n0", Taken: learnedstate.Timestamp{Wall: 1_700_000_000e9 + int64(k), Boot: "b", Up: 5e9}, Revision: int64(k),
		Classes: []string{"read", "order"}, Tables: 2, AdmissionThreshold: 0.7, MaxSuccessRate: 40, RetriesStopped: true,
		Replicas: []learnedstate.Replica{{ID: "x", Zone: "a", HardwareClass: "m1", UpSince: 5, State: control.Draining, Weight: 1, Speed: 0.5, SampleCount: 12, PlacementKey: 0.3, Table: 1,
			EjectedFor: 2e9, Ejections: 2, SinceLastSample: 1e9}, {ID: "y", Zone: "b", HardwareClass: "m2", Weight: 1, Speed: 2, SampleCount: 16, PlacementKey: 0.4, Probation: true}},
		BaselineResponseTimes: []learnedstate.ResponseTimes{{HardwareClass: "m1", Times: []float64{0.125, 0.25}}, {Times: []float64{0.15}}},
		RequestRates:          []learnedstate.RequestRate{{Proxy: 1, Class: "read", Rate: 20}, {Proxy: 2, Class: "order", Rate: 0.5}},
		Bindings:              []control.Binding{{Proxy: 1, Table: 1}, {Proxy: 2, Table: 0}}}
	return m
}

func TestStateIsDecodedAsItWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := sample(rapid.IntRange(0, 1<<40).Draw(t, "k"))
		for k := range rapid.IntRange(0, 50).Draw(t, "replicas") {
			m.Replicas = append(m.Replicas, learnedstate.Replica{ID: fmt.Sprint("r", k), Zone: rapid.String().Draw(t, "zone"),
				Speed: rapid.Float64().Draw(t, "speed"), SinceLastSample: rapid.Int64().Draw(t, "idle"), Probation: rapid.Bool().Draw(t, "trial")})
		}
		raw, err := Encode(m, 7)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(raw); err != nil || got.Number != 7 || got.Format != Format || !reflect.DeepEqual(got.State, m) {
			t.Fatalf("generation %d, format %d, %v:\n%+v\n%+v", got.Number, got.Format, err, got.State, m)
		}
		paper, err := Export(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Import(strings.NewReader(string(paper))); err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%v:\n%+v\n%+v", err, got, m)
		}
	})
}

// A power cut may leave any prefix, and a failing disk may change any byte. Neither is ever used.
func TestTornAndChangedFilesAreRefused(t *testing.T) {
	raw, err := Encode(sample(1), 3)
	if err != nil {
		t.Fatal(err)
	}
	for n := range raw {
		if _, err := Decode(raw[:n]); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNotSnapshot) {
			t.Errorf("the first %d bytes: %v", n, err)
		}
		for _, bits := range []byte{1, 0x80, 0xff} {
			bad := append([]byte(nil), raw...)
			bad[n] ^= bits
			if _, err := Decode(bad); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNotSnapshot) {
				t.Errorf("byte %d ^ %#x: %v", n, bits, err)
			}
		}
	}
	if _, err := Decode(append(raw, 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("a byte more: %v", err)
	}
}

// forge returns a file whose checksums match, whatever its body is.
func forge(format uint32, body []byte) []byte {
	head := binary.BigEndian.AppendUint32([]byte(magic), format)
	head = binary.BigEndian.AppendUint32(head, uint32(len(body)))
	head = binary.BigEndian.AppendUint64(head, 1)
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(body))
	return append(binary.BigEndian.AppendUint64(head, xxhash.Sum64(head)), body...)
}

func TestCraftedFilesAllocateNothing(t *testing.T) {
	huge := []byte{0xa1, 0x07, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0}                         // replicas: a list of 2^32
	deep := append([]byte{0xa1, 0x07}, []byte(strings.Repeat("\x81", 1<<16))...)     // lists in lists
	long := []byte{0xa1, 0x01, 0x7b, 0x0f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff} // a name of 2^60 bytes
	twice := []byte{0xa2, 0x05, 0x01, 0x05, 0x02}                                    // a key given twice
	many := append([]byte{0xa1, 0x07, 0x9a, 0, 3, 0, 0}, make([]byte, 0)...)         // 196,608 replicas, none there
	for k := range 3 << 16 {
		_ = k
		many = append(many, 0xa0)
	}
	for name, body := range map[string][]byte{"huge": huge, "deep": deep, "long": long, "twice": twice, "many": many, "empty": nil, "text": []byte("hello")} {
		var before, after = heap(), uint64(0)
		_, err := Decode(forge(Format, body))
		if after = heap(); !errors.Is(err, ErrDamaged) || after > before+64<<20 {
			t.Errorf("%s: %v, %d bytes", name, err, after-before)
		}
	}
	if _, err := Decode(forge(Format+1, []byte{0xa0})); !errors.Is(err, ErrNewer) || !strings.Contains(err.Error(), "3") {
		t.Errorf("a newer format: %v", err)
	}
	if _, err := Decode(forge(0, []byte{0xa0})); !errors.Is(err, ErrNotSnapshot) {
		t.Errorf("format 0: %v", err)
	}
	if _, err := Decode(make([]byte, maxFileSize+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a large one: %v", err)
	}
	dir := t.TempDir()
	large, err := os.Create(filepath.Join(dir, fileName(9)))
	if err != nil {
		t.Fatal(err)
	}
	large.Truncate(100 << 30) // a hundred times the usual, and more; nothing of it is read
	large.Close()
	if _, err := Read(filewriter.Directory(dir), fileName(9)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a file of 100 GiB: %v", err)
	}
}

func heap() uint64 {
	var s syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &s)
	return uint64(s.Maxrss) << 10
}

// The files are as programs wrote them: testdata/format1.lbs and format2.lbs are never written anew.
func TestFilesOfEachFormatAreDecoded(t *testing.T) {
	for format, want := range map[int]learnedstate.State{1: {Controller: "n0", Taken: learnedstate.Timestamp{Wall: 1_700_000_000e9}, Revision: 41, Classes: []string{"read", "order"}, AdmissionThreshold: 0.5,
		Replicas: []learnedstate.Replica{{ID: "x", Zone: "a", HardwareClass: "m1", UpSince: 5, State: control.Draining, Weight: 1, Speed: 0.5, SampleCount: 12, EjectedFor: format1Ejection, Ejections: 2, SinceLastSample: 1e9},
			{ID: "y", Zone: "b", HardwareClass: "m2", Weight: 2, Speed: 2, SampleCount: 16, Probation: true}},
		BaselineResponseTimes: []learnedstate.ResponseTimes{{Times: []float64{0.125}}, {HardwareClass: "m1", Times: []float64{0.25}}},
		RequestRates:          []learnedstate.RequestRate{{Proxy: 3, Class: "read", Rate: 10}, {Proxy: 3, Class: "order", Rate: 10}}}, 2: sample(41)} {
		raw, err := os.ReadFile(fmt.Sprintf("testdata/format%d.lbs", format))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(raw)
		if err != nil || got.Number != 12 || got.Format != format || !reflect.DeepEqual(got.State, want) {
			t.Errorf("format %d: generation %d of %d, %v\n%+v\n%+v", format, got.Number, got.Format, err, got.State, want)
		}
	}
}

// failingStorage is a directory whose disk fails as it says.
type failingStorage struct {
	Storage
	replace, list, remove error
	slow                  chan struct{}
}

func (b *failingStorage) Replace(name string, data []byte) error {
	if b.slow != nil {
		<-b.slow
	}
	if b.replace != nil {
		return b.replace
	}
	return b.Storage.Replace(name, data)
}

func (b *failingStorage) List() ([]string, error) {
	if b.list != nil {
		return nil, b.list
	}
	return b.Storage.List()
}

func (b *failingStorage) Remove(name string) error {
	if b.remove != nil {
		return b.remove
	}
	return b.Storage.Remove(name)
}

func TestWriteKeepsTheNewestGenerations(t *testing.T) {
	dir := filewriter.Directory(t.TempDir())
	for k := 1; k <= 6; k++ {
		if g, err := Write(dir, sample(k), 3); err != nil || g.Number != uint64(k) {
			t.Fatalf("%d: %+v %v", k, g, err)
		}
	}
	want := []string{fileName(4), fileName(5), fileName(6)}
	if got, _ := dir.List(); !reflect.DeepEqual(got, want) {
		t.Errorf("kept %v", got)
	}
	path := func(k uint64) string { return filepath.Join(string(dir), fileName(k)) }
	raw, _ := os.ReadFile(path(6))
	os.WriteFile(path(6), raw[:len(raw)/2], 0o600)                              // torn
	os.WriteFile(path(7), forge(Format+1, []byte{0xa0}), 0o600)                 // of a newer program
	os.WriteFile(path(8), raw, 0o600)                                           // a copy under another name
	os.WriteFile(filepath.Join(string(dir), "."+fileName(9)+"123"), raw, 0o600) // an unfinished write
	newest, err := Latest(dir)
	if err != nil || !newest.Found || newest.Number != 5 || len(newest.Refused) != 3 {
		t.Fatalf("%d %v %v %v", newest.Number, newest.Found, newest.Refused, err)
	}
	for k, e := range []error{ErrNotSnapshot, ErrNewer, ErrDamaged} {
		if !errors.Is(newest.Refused[k], e) {
			t.Errorf("refused %v, want %v", newest.Refused[k], e)
		}
	}
	if g, err := Write(dir, sample(9), 2); err != nil || g.Number != 9 {
		t.Fatalf("%d %v", g.Number, err)
	}
	if got, _ := dir.List(); !reflect.DeepEqual(got, []string{fileName(5), fileName(6), fileName(7), fileName(8), fileName(9)}) {
		t.Errorf("two complete ones, what is newer and what is damaged among them: %v", got)
	}
	if _, err = Write(dir, sample(10), 1); err != nil {
		t.Fatal(err)
	}
	if got, _ := dir.List(); !reflect.DeepEqual(got, []string{fileName(7), fileName(10)}) {
		t.Errorf("one, and what is newer: %v", got)
	}
}

func TestFailingDiskLeavesTheLastGeneration(t *testing.T) {
	dir := filewriter.Directory(t.TempDir())
	if _, err := Write(dir, sample(1), 3); err != nil {
		t.Fatal(err)
	}
	for _, d := range []*failingStorage{{replace: syscall.ENOSPC}, {replace: syscall.EIO}, {replace: syscall.EROFS}, {replace: syscall.EACCES},
		{list: syscall.EIO}, {list: fs.ErrNotExist}} {
		d.Storage = dir
		_, err := Write(d, sample(2), 3)
		if want := errors.Join(d.replace, d.list); err == nil || !errors.Is(want, errors.Unwrap(errors.Unwrap(err))) && !strings.Contains(err.Error(), want.Error()) {
			t.Errorf("%v: %v", want, err)
		}
		if g, err := Latest(dir); err != nil || !g.Found || g.Number != 1 {
			t.Errorf("left %d: %v", g.Number, err)
		}
	}
	gone := filewriter.Directory(filepath.Join(string(dir), "none"))
	if _, err := Write(gone, sample(1), 3); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no folder: %v", err)
	}
	if _, err := Latest(gone); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no folder: %v", err)
	}
	full := filewriter.Directory("/dev") // a real disk's error for no space
	if n, err := os.OpenFile("/dev/full", os.O_WRONLY, 0); err == nil {
		_, err = n.Write([]byte("x"))
		n.Close()
		if !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%v on %s", err, full)
		}
	}
}

func runWriter(t *testing.T, d Storage, again func() error) (*Writer, context.CancelFunc) {
	k := NewWriter(d, 3, time.Millisecond, again, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	go k.Run(ctx)
	t.Cleanup(func() { stop(); <-k.Done() })
	return k, stop
}

func TestSlowDiskHoldsUpNobodyAndGetsTheNewest(t *testing.T) {
	dir, slow := filewriter.Directory(t.TempDir()), make(chan struct{})
	k, stop := runWriter(t, &failingStorage{Storage: dir, slow: slow}, nil)
	begun := time.Now()
	for n := 1; n <= 1000; n++ {
		k.Submit(sample(n))
	}
	if time.Since(begun) > time.Second || k.Counters.Offered.Load() != 1000 {
		t.Errorf("%d offers took %v", k.Counters.Offered.Load(), time.Since(begun))
	}
	stop()
	close(slow)
	<-k.Done()
	g, err := Latest(dir)
	if err != nil || !g.Found || g.State.Revision != 1000 || k.Counters.Written.Load()+k.Counters.Skipped.Load() != 1000 {
		t.Errorf("the newest is %d, %d written, %d skipped: %v", g.State.Revision, k.Counters.Written.Load(), k.Counters.Skipped.Load(), err)
	}
}

func TestVanishedDirectoryIsReopened(t *testing.T) {
	dir := filewriter.Directory(filepath.Join(t.TempDir(), "s"))
	var mu sync.Mutex
	taken := 0
	again := func() error {
		mu.Lock()
		defer mu.Unlock()
		taken++
		_, err := dir.Acquire("n0")
		return err
	}
	if again() != nil {
		t.Fatal("not taken")
	}
	os.RemoveAll(string(dir))
	k, _ := runWriter(t, dir, again)
	k.Submit(sample(1))
	for k.Counters.Written.Load() == 0 && k.Counters.Failed.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if g, _ := Latest(dir); !g.Found || g.Number != 1 || taken != 2 {
		t.Errorf("found %v, acquired %d times", g.Found, taken)
	}
}

// TestMain writes without end when asked to, for the test that kills it.
func TestMain(m *testing.M) {
	if at := os.Getenv("SNAPSHOT_TEST_WRITES"); at != "" {
		for k := 1; ; k++ {
			big := sample(k)
			for n := range 2000 {
				big.Replicas = append(big.Replicas, learnedstate.Replica{ID: fmt.Sprint("r", n), Speed: float64(k)})
			}
			if _, err := Write(filewriter.Directory(at), big, 2); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(3)
			}
			fmt.Println(k)
		}
	}
	os.Exit(m.Run())
}

// The process is killed at random points of its writes. Each time a complete generation is found, never older than the last one
// that was reported as written, and all of one state.
func TestKilledWriterLeavesACompleteGeneration(t *testing.T) {
	dir, kills := filewriter.Directory(t.TempDir()), 200
	if testing.Short() {
		kills = 30
	}
	chance := rand.New(rand.NewSource(4))
	var last uint64
	for kill := range kills {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), "SNAPSHOT_TEST_WRITES="+string(dir))
		pipe, err := writer.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := writer.Start(); err != nil {
			t.Fatal(err)
		}
		said := &strings.Builder{}
		first := make([]byte, 1)
		io.ReadFull(pipe, first) // it writes
		said.Write(first)
		time.Sleep(time.Duration(chance.Int63n(int64(15 * time.Millisecond))))
		writer.Process.Kill()
		io.Copy(said, pipe)
		writer.Wait()
		g, err := Latest(dir)
		if err != nil || len(g.Refused) > 0 || !g.Found && (last > 0 || said.Len() > 0) {
			t.Fatalf("kill %d: found %v, refused %v, %v", kill, g.Found, g.Refused, err)
		}
		if written := uint64(strings.Count(said.String(), "\n")); g.Found && (g.Number < last+written || g.Number > last+written+1) {
			t.Fatalf("kill %d: generation %d after %d and %d more", kill, g.Number, last, written)
		}
		for _, r := range g.State.Replicas[min(2, len(g.State.Replicas)):] {
			if r.Speed != float64(g.State.Revision) {
				t.Fatalf("kill %d: %v of another state than %d", kill, r.Speed, g.State.Revision)
			}
		}
		last = g.Number
	}
	if last < uint64(kills) {
		t.Errorf("%d generations in %d runs: the kills came before the writes", last, kills)
	}
	if _, err := Write(dir, sample(1), 2); err != nil {
		t.Fatal(err)
	}
	if left, _ := dir.List(); len(left) != 2 {
		t.Errorf("left over: %v", left)
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := Encode(sample(1), 3)
	f.Add(raw[headerSize:])
	f.Fuzz(func(t *testing.T, body []byte) {
		for format := range uint32(4) { // the checksums match, so that the body is decoded
			generation, err := Decode(forge(format, body))
			if err == nil {
				if _, err := Encode(generation.State, 1); err != nil && !errors.Is(err, ErrTooLarge) {
					t.Errorf("read, but not to be written: %v", err)
				}
			}
		}
	})
}
