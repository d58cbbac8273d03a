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

func sampleState(k int) learnedstate.State {
	state := learnedstate.State{Controller: "n0", TakenAt: learnedstate.Timestamp{Wall: 1_700_000_000e9 + int64(k), Boot: "b", Uptime: 5e9}, Revision: int64(k),
		Classes: []string{"read", "order"}, TableCount: 2, AdmissionThreshold: 0.7, MaxSuccessRate: 40, RetriesStopped: true,
		Replicas: []learnedstate.Replica{{ID: "x", Zone: "a", HardwareClass: "m1", StartedAt: 5, State: control.Draining, ListedWeight: 1, Speed: 0.5, SampleCount: 12, PlacementKey: 0.3, Table: 1,
			RemainingEjection: 2e9, EjectionCount: 2, SinceLastSample: 1e9}, {ID: "y", Zone: "b", HardwareClass: "m2", ListedWeight: 1, Speed: 2, SampleCount: 16, PlacementKey: 0.4, Probation: true}},
		BaselineResponseTimes: []learnedstate.ResponseTimes{{HardwareClass: "m1", Times: []float64{0.125, 0.25}}, {Times: []float64{0.15}}},
		RequestRates:          []learnedstate.RequestRate{{Proxy: 1, Class: "read", Rate: 20}, {Proxy: 2, Class: "order", Rate: 0.5}},
		Bindings:              []control.Binding{{Proxy: 1, Table: 1}, {Proxy: 2, Table: 0}}}
	return state
}

func TestStateIsDecodedAsItWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := sampleState(rapid.IntRange(0, 1<<40).Draw(t, "k"))
		for k := range rapid.IntRange(0, 50).Draw(t, "replicas") {
			state.Replicas = append(state.Replicas, learnedstate.Replica{ID: fmt.Sprint("r", k), Zone: rapid.String().Draw(t, "zone"),
				Speed: rapid.Float64().Draw(t, "speed"), SinceLastSample: rapid.Int64().Draw(t, "sinceLastSample"), Probation: rapid.Bool().Draw(t, "probation")})
		}
		raw, err := Encode(state, 7)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(raw); err != nil || got.Number != 7 || got.Format != CurrentFormat || !reflect.DeepEqual(got.State, state) {
			t.Fatalf("decoded generation %d, format %d, error %v:\n%+v\nwant %+v", got.Number, got.Format, err, got.State, state)
		}
		exportData, err := Export(state)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Import(strings.NewReader(string(exportData))); err != nil || !reflect.DeepEqual(got, state) {
			t.Fatalf("imported state, error %v:\n%+v\nwant %+v", err, got, state)
		}
	})
}

// A power failure may leave any prefix of a file, and a failing disk may change any byte. Such a file must never be used.
func TestTornAndChangedFilesAreRefused(t *testing.T) {
	raw, err := Encode(sampleState(1), 3)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range raw {
		if _, err := Decode(raw[:offset]); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNotSnapshot) {
			t.Errorf("only the first %d bytes: error %v, want damaged or not a snapshot", offset, err)
		}
		for _, bits := range []byte{1, 0x80, 0xff} {
			changed := append([]byte(nil), raw...)
			changed[offset] ^= bits
			if _, err := Decode(changed); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNotSnapshot) {
				t.Errorf("byte %d XOR %#x: error %v, want damaged or not a snapshot", offset, bits, err)
			}
		}
	}
	if _, err := Decode(append(raw, 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("one byte appended: error %v, want damaged", err)
	}
}

// fileWithValidChecksums returns a file with a header whose checksums match the given body, which may be invalid.
func fileWithValidChecksums(format uint32, body []byte) []byte {
	file := binary.BigEndian.AppendUint32([]byte(magic), format)
	file = binary.BigEndian.AppendUint32(file, uint32(len(body)))
	file = binary.BigEndian.AppendUint64(file, 1)
	file = binary.BigEndian.AppendUint64(file, xxhash.Sum64(body))
	return append(binary.BigEndian.AppendUint64(file, xxhash.Sum64(file)), body...)
}

func TestCraftedFilesAreRefusedWithoutLargeAllocation(t *testing.T) {
	huge := []byte{0xa1, 0x07, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0}                         // replicas: a list that claims 2^32 elements
	deep := append([]byte{0xa1, 0x07}, []byte(strings.Repeat("\x81", 1<<16))...)     // nested lists
	long := []byte{0xa1, 0x01, 0x7b, 0x0f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff} // a name that claims 2^60 bytes
	twice := []byte{0xa2, 0x05, 0x01, 0x05, 0x02}                                    // a duplicate key
	many := append([]byte{0xa1, 0x07, 0x9a, 0, 3, 0, 0}, make([]byte, 0)...)         // 196,608 replicas without any field
	for k := range 3 << 16 {
		_ = k
		many = append(many, 0xa0)
	}
	for name, body := range map[string][]byte{"huge": huge, "deep": deep, "long": long, "twice": twice, "many": many, "empty": nil, "text": []byte("hello")} {
		var before, after = peakMemory(), uint64(0)
		_, err := Decode(fileWithValidChecksums(CurrentFormat, body))
		if after = peakMemory(); !errors.Is(err, ErrDamaged) || after > before+64<<20 {
			t.Errorf("%s: error %v, want damaged; %d bytes more memory, want at most 64 MiB", name, err, after-before)
		}
	}
	if _, err := Decode(fileWithValidChecksums(CurrentFormat+1, []byte{0xa0})); !errors.Is(err, ErrNewer) || !strings.Contains(err.Error(), "3") {
		t.Errorf("newer format: error %v, want one that names format 3", err)
	}
	if _, err := Decode(fileWithValidChecksums(0, []byte{0xa0})); !errors.Is(err, ErrNotSnapshot) {
		t.Errorf("format 0: error %v, want not a snapshot", err)
	}
	if _, err := Decode(make([]byte, maxFileSize+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("file above the size limit: error %v, want too large", err)
	}
	dir := t.TempDir()
	large, err := os.Create(filepath.Join(dir, fileName(9)))
	if err != nil {
		t.Fatal(err)
	}
	large.Truncate(100 << 30) // a sparse file far above the size limit; nothing of it is read
	large.Close()
	if _, err := Read(filewriter.Directory(dir), fileName(9)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("file of 100 GiB: error %v, want too large", err)
	}
}

// peakMemory returns the peak resident memory of this process, in bytes.
func peakMemory() uint64 {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return uint64(usage.Maxrss) << 10
}

// testdata/format1.lbs and format2.lbs were written by earlier versions of the program and are never regenerated.
func TestFilesOfEachFormatAreDecoded(t *testing.T) {
	for format, want := range map[int]learnedstate.State{1: {Controller: "n0", TakenAt: learnedstate.Timestamp{Wall: 1_700_000_000e9}, Revision: 41, Classes: []string{"read", "order"}, AdmissionThreshold: 0.5,
		Replicas: []learnedstate.Replica{{ID: "x", Zone: "a", HardwareClass: "m1", StartedAt: 5, State: control.Draining, ListedWeight: 1, Speed: 0.5, SampleCount: 12, RemainingEjection: format1EjectionTime, EjectionCount: 2, SinceLastSample: 1e9},
			{ID: "y", Zone: "b", HardwareClass: "m2", ListedWeight: 2, Speed: 2, SampleCount: 16, Probation: true}},
		BaselineResponseTimes: []learnedstate.ResponseTimes{{Times: []float64{0.125}}, {HardwareClass: "m1", Times: []float64{0.25}}},
		RequestRates:          []learnedstate.RequestRate{{Proxy: 3, Class: "read", Rate: 10}, {Proxy: 3, Class: "order", Rate: 10}}}, 2: sampleState(41)} {
		raw, err := os.ReadFile(fmt.Sprintf("testdata/format%d.lbs", format))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(raw)
		if err != nil || got.Number != 12 || got.Format != format || !reflect.DeepEqual(got.State, want) {
			t.Errorf("format %d: decoded generation %d of format %d, error %v\n%+v\nwant %+v", format, got.Number, got.Format, err, got.State, want)
		}
	}
}

// failingStorage is a Storage whose operations return the given errors, and whose Replace waits until unblock is closed.
type failingStorage struct {
	Storage
	replaceError, listError, removeError error
	unblock                              chan struct{}
}

func (s *failingStorage) Replace(name string, data []byte) error {
	if s.unblock != nil {
		<-s.unblock
	}
	if s.replaceError != nil {
		return s.replaceError
	}
	return s.Storage.Replace(name, data)
}

func (s *failingStorage) List() ([]string, error) {
	if s.listError != nil {
		return nil, s.listError
	}
	return s.Storage.List()
}

func (s *failingStorage) Remove(name string) error {
	if s.removeError != nil {
		return s.removeError
	}
	return s.Storage.Remove(name)
}

func TestWriteKeepsTheNewestGenerations(t *testing.T) {
	dir := filewriter.Directory(t.TempDir())
	for k := 1; k <= 6; k++ {
		if written, err := Write(dir, sampleState(k), 3); err != nil || written.Number != uint64(k) {
			t.Fatalf("write %d: generation %+v, error %v", k, written, err)
		}
	}
	want := []string{fileName(4), fileName(5), fileName(6)}
	if got, _ := dir.List(); !reflect.DeepEqual(got, want) {
		t.Errorf("kept %v, want the newest three", got)
	}
	path := func(k uint64) string { return filepath.Join(string(dir), fileName(k)) }
	raw, _ := os.ReadFile(path(6))
	os.WriteFile(path(6), raw[:len(raw)/2], 0o600)                                      // truncated
	os.WriteFile(path(7), fileWithValidChecksums(CurrentFormat+1, []byte{0xa0}), 0o600) // of a newer program
	os.WriteFile(path(8), raw, 0o600)                                                   // a copy under another name
	os.WriteFile(filepath.Join(string(dir), "."+fileName(9)+"123"), raw, 0o600)         // an unfinished write
	newest, err := Latest(dir)
	if err != nil || !newest.Found || newest.Number != 5 || len(newest.Refused) != 3 {
		t.Fatalf("latest generation %d, found %v, refused %v, error %v; want generation 5 and three files refused", newest.Number, newest.Found, newest.Refused, err)
	}
	for k, want := range []error{ErrNotSnapshot, ErrNewer, ErrDamaged} {
		if !errors.Is(newest.Refused[k], want) {
			t.Errorf("refused %v, want %v", newest.Refused[k], want)
		}
	}
	if written, err := Write(dir, sampleState(9), 2); err != nil || written.Number != 9 {
		t.Fatalf("wrote generation %d, error %v; want generation 9", written.Number, err)
	}
	if got, _ := dir.List(); !reflect.DeepEqual(got, []string{fileName(5), fileName(6), fileName(7), fileName(8), fileName(9)}) {
		t.Errorf("kept %v, want two complete generations with the files between them that are damaged or of a newer format", got)
	}
	if _, err = Write(dir, sampleState(10), 1); err != nil {
		t.Fatal(err)
	}
	if got, _ := dir.List(); !reflect.DeepEqual(got, []string{fileName(7), fileName(10)}) {
		t.Errorf("kept %v, want one complete generation and the file of a newer format", got)
	}
}

func TestFailedWriteKeepsTheLastGeneration(t *testing.T) {
	dir := filewriter.Directory(t.TempDir())
	if _, err := Write(dir, sampleState(1), 3); err != nil {
		t.Fatal(err)
	}
	for _, storage := range []*failingStorage{{replaceError: syscall.ENOSPC}, {replaceError: syscall.EIO}, {replaceError: syscall.EROFS}, {replaceError: syscall.EACCES},
		{listError: syscall.EIO}, {listError: fs.ErrNotExist}} {
		storage.Storage = dir
		_, err := Write(storage, sampleState(2), 3)
		if want := errors.Join(storage.replaceError, storage.listError); err == nil || !errors.Is(want, errors.Unwrap(errors.Unwrap(err))) && !strings.Contains(err.Error(), want.Error()) {
			t.Errorf("storage error %v: Write returned %v", want, err)
		}
		if latest, err := Latest(dir); err != nil || !latest.Found || latest.Number != 1 {
			t.Errorf("latest generation %d, error %v; want generation 1", latest.Number, err)
		}
	}
	missing := filewriter.Directory(filepath.Join(string(dir), "none"))
	if _, err := Write(missing, sampleState(1), 3); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("write to a missing folder: error %v", err)
	}
	if _, err := Latest(missing); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("read from a missing folder: error %v", err)
	}
	deviceDirectory := filewriter.Directory("/dev") // /dev/full returns the error of a full disk
	if device, err := os.OpenFile("/dev/full", os.O_WRONLY, 0); err == nil {
		_, err = device.Write([]byte("x"))
		device.Close()
		if !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("error %v from the full device in %s, want no space left", err, deviceDirectory)
		}
	}
}

func runWriter(t *testing.T, storage Storage, reopen func() error) (*Writer, context.CancelFunc) {
	writer := NewWriter(storage, 3, time.Millisecond, reopen, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	go writer.Run(ctx)
	t.Cleanup(func() { stop(); <-writer.Done() })
	return writer, stop
}

func TestSlowDiskBlocksNoSubmitAndGetsTheNewestState(t *testing.T) {
	dir, unblock := filewriter.Directory(t.TempDir()), make(chan struct{})
	writer, stop := runWriter(t, &failingStorage{Storage: dir, unblock: unblock}, nil)
	started := time.Now()
	for n := 1; n <= 1000; n++ {
		writer.Submit(sampleState(n))
	}
	if time.Since(started) > time.Second || writer.Counters.Submitted.Load() != 1000 {
		t.Errorf("%d submits took %v, want 1000 within 1 s", writer.Counters.Submitted.Load(), time.Since(started))
	}
	stop()
	close(unblock)
	<-writer.Done()
	latest, err := Latest(dir)
	if err != nil || !latest.Found || latest.State.Revision != 1000 || writer.Counters.Written.Load()+writer.Counters.Skipped.Load() != 1000 {
		t.Errorf("newest revision %d, %d written, %d skipped, error %v; want revision 1000, and 1000 written or skipped", latest.State.Revision, writer.Counters.Written.Load(), writer.Counters.Skipped.Load(), err)
	}
}

func TestVanishedDirectoryIsReopened(t *testing.T) {
	dir := filewriter.Directory(filepath.Join(t.TempDir(), "s"))
	var mu sync.Mutex
	acquired := 0
	reopen := func() error {
		mu.Lock()
		defer mu.Unlock()
		acquired++
		_, err := dir.Acquire("n0")
		return err
	}
	if reopen() != nil {
		t.Fatal("the directory was not acquired")
	}
	os.RemoveAll(string(dir))
	writer, _ := runWriter(t, dir, reopen)
	writer.Submit(sampleState(1))
	for writer.Counters.Written.Load() == 0 && writer.Counters.Failed.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if latest, _ := Latest(dir); !latest.Found || latest.Number != 1 || acquired != 2 {
		t.Errorf("generation found: %v, directory acquired %d times; want generation 1 and 2 times", latest.Found, acquired)
	}
}

// TestMain runs the tests. If SNAPSHOT_TEST_WRITES names a folder, it writes generations to it until the process is killed.
func TestMain(m *testing.M) {
	if folder := os.Getenv("SNAPSHOT_TEST_WRITES"); folder != "" {
		for k := 1; ; k++ {
			state := sampleState(k)
			for n := range 2000 {
				state.Replicas = append(state.Replicas, learnedstate.Replica{ID: fmt.Sprint("r", n), Speed: float64(k)})
			}
			if _, err := Write(filewriter.Directory(folder), state, 2); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(3)
			}
			fmt.Println(k)
		}
	}
	os.Exit(m.Run())
}

// The writing process is killed at random points. After each kill, the latest generation must be complete, at least as new
// as the last one that the process reported as written, and consist of a single state.
func TestKilledWriterLeavesACompleteGeneration(t *testing.T) {
	dir, killCount := filewriter.Directory(t.TempDir()), 200
	if testing.Short() {
		killCount = 30
	}
	random := rand.New(rand.NewSource(4))
	var last uint64
	for kill := range killCount {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), "SNAPSHOT_TEST_WRITES="+string(dir))
		pipe, err := writer.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := writer.Start(); err != nil {
			t.Fatal(err)
		}
		output := &strings.Builder{}
		firstByte := make([]byte, 1)
		io.ReadFull(pipe, firstByte) // wait for the first completed write
		output.Write(firstByte)
		time.Sleep(time.Duration(random.Int63n(int64(15 * time.Millisecond))))
		writer.Process.Kill()
		io.Copy(output, pipe)
		writer.Wait()
		latest, err := Latest(dir)
		if err != nil || len(latest.Refused) > 0 || !latest.Found && (last > 0 || output.Len() > 0) {
			t.Fatalf("kill %d: found %v, refused %v, error %v", kill, latest.Found, latest.Refused, err)
		}
		if written := uint64(strings.Count(output.String(), "\n")); latest.Found && (latest.Number < last+written || latest.Number > last+written+1) {
			t.Fatalf("kill %d: generation %d, want one of the %d before this process and the %d that it reported, or one more", kill, latest.Number, last, written)
		}
		for _, replica := range latest.State.Replicas[min(2, len(latest.State.Replicas)):] {
			if replica.Speed != float64(latest.State.Revision) {
				t.Fatalf("kill %d: replica of state %v in the generation of state %d", kill, replica.Speed, latest.State.Revision)
			}
		}
		last = latest.Number
	}
	if last < uint64(killCount) {
		t.Errorf("%d generations in %d runs, want at least one per run: processes were killed before their first write", last, killCount)
	}
	if _, err := Write(dir, sampleState(1), 2); err != nil {
		t.Fatal(err)
	}
	if left, _ := dir.List(); len(left) != 2 {
		t.Errorf("files %v, want two generations and no temporary files", left)
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := Encode(sampleState(1), 3)
	f.Add(raw[headerSize:])
	f.Fuzz(func(t *testing.T, body []byte) {
		for format := range uint32(4) { // the checksums match, so that decoding reaches the body
			generation, err := Decode(fileWithValidChecksums(format, body))
			if err == nil {
				if _, err := Encode(generation.State, 1); err != nil && !errors.Is(err, ErrTooLarge) {
					t.Errorf("decoded state cannot be encoded again: %v", err)
				}
			}
		}
	})
}
