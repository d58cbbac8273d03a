package scale

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/prometheus/procfs"
)

// usage is what processes have spent since their start, and their current memory.
type usage struct {
	processor time.Duration
	resident  int64 // bytes
	heap      int64 // bytes, where the process tells
	bytes     int64 // both ways
	messages  int64
}

func (u usage) plus(o usage) usage {
	return usage{u.processor + o.processor, u.resident + o.resident, u.heap + o.heap, u.bytes + o.bytes, u.messages + o.messages}
}

// errEnded reports that a process has ended and was not waited for yet.
var errEnded = errors.New("it has ended")

// processUsage reads the kernel's account of a process. Its bytes and messages are those of its read and write calls,
// files and log included.
func processUsage(pid int) (usage, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return usage{}, err
	}
	stat, err := process.Stat()
	if err != nil {
		return usage{}, err
	}
	if stat.State == "Z" {
		return usage{}, errEnded
	}
	io, err := process.IO()
	if err != nil {
		return usage{}, err
	}
	return usage{processor: time.Duration(stat.CPUTime() * float64(time.Second)), resident: int64(stat.ResidentMemory()),
		bytes: int64(io.RChar + io.WChar), messages: int64(io.SyscR + io.SyscW)}, nil
}

// processesUsage sums over processes; one that has ended counts as nothing.
func processesUsage(pids []int) (sum usage, err error) {
	for _, pid := range pids {
		u, err := processUsage(pid)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, errEnded) {
			continue
		}
		if err != nil {
			return sum, fmt.Errorf("process %d: %w", pid, err)
		}
		sum = sum.plus(u)
	}
	return sum, nil
}

// allRun returns an error if one of some processes has ended.
func allRun(pids []int) error {
	for _, pid := range pids {
		if _, err := processUsage(pid); err != nil {
			return fmt.Errorf("process %d: %w", pid, err)
		}
	}
	return nil
}

// memoryLimit returns half of the machine's memory, below which a run must stay.
func memoryLimit() (int64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	memory, err := fs.Meminfo()
	if err != nil {
		return 0, err
	}
	if memory.MemTotalBytes == nil {
		return 0, errors.New("the machine does not say how much memory it has")
	}
	return int64(*memory.MemTotalBytes / 2), nil
}
