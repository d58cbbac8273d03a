package scale

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/prometheus/procfs"
)

// usage is the resource usage of processes since their start, and their current memory.
type usage struct {
	cpuTime  time.Duration
	resident int64 // bytes
	heap     int64 // bytes, if the process reports it
	bytes    int64 // read and written
	messages int64
}

func (u usage) add(other usage) usage {
	return usage{u.cpuTime + other.cpuTime, u.resident + other.resident, u.heap + other.heap, u.bytes + other.bytes, u.messages + other.messages}
}

// errProcessEnded means that a process has ended and its parent has not waited for it yet.
var errProcessEnded = errors.New("already ended")

// processUsage returns the kernel's accounting of a process. Bytes and messages are those of its read and write calls,
// including calls on files and on the log.
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
		return usage{}, errProcessEnded
	}
	io, err := process.IO()
	if err != nil {
		return usage{}, err
	}
	return usage{cpuTime: time.Duration(stat.CPUTime() * float64(time.Second)), resident: int64(stat.ResidentMemory()),
		bytes: int64(io.RChar + io.WChar), messages: int64(io.SyscR + io.SyscW)}, nil
}

// totalUsage returns the sum over processes. Processes that have ended are left out.
func totalUsage(pids []int) (sum usage, err error) {
	for _, pid := range pids {
		one, err := processUsage(pid)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, errProcessEnded) {
			continue
		}
		if err != nil {
			return sum, fmt.Errorf("process %d: %w", pid, err)
		}
		sum = sum.add(one)
	}
	return sum, nil
}

// checkRunning returns an error if a process has ended.
func checkRunning(pids []int) error {
	for _, pid := range pids {
		if _, err := processUsage(pid); err != nil {
			return fmt.Errorf("process %d: %w", pid, err)
		}
	}
	return nil
}

// memoryLimit returns half of the machine's memory, which the processes of a run must not exceed.
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
		return 0, errors.New("kernel does not report the total memory of the machine")
	}
	return int64(*memory.MemTotalBytes / 2), nil
}
