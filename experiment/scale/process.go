package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

const (
	terminationTimeout = 15 * time.Second // time from SIGTERM to SIGKILL
	countersTimeout    = 30 * time.Second // longest time for a host to report its counters
	reportBufferSize   = 1 << 20          // bytes
)

// hostProcess is a host of simulated controllers, in its own process or in this one.
type hostProcess struct {
	pid      int
	in       io.WriteCloser
	out      *json.Encoder
	counters chan hostCounters
	ended    chan struct{} // closed after the last report, when the host has ended
}

// Launch starts a host and returns its process ID, its input, its output and a function that waits for its end.
type Launch func(ctx context.Context) (pid int, in io.WriteCloser, out io.Reader, wait func() error, err error)

// LaunchProcess starts hosts as processes of this program, with the arguments of its hidden command.
func LaunchProcess(arguments ...string) Launch {
	return func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		c := exec.CommandContext(ctx, os.Args[0], arguments...)
		c.Stderr = os.Stderr
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) }
		c.WaitDelay = terminationTimeout
		in, err := c.StdinPipe()
		if err != nil {
			return 0, nil, nil, nil, err
		}
		out, err := c.StdoutPipe()
		if err != nil {
			return 0, nil, nil, nil, err
		}
		if err := c.Start(); err != nil {
			return 0, nil, nil, nil, err
		}
		return c.Process.Pid, in, out, c.Wait, nil
	}
}

// LaunchInProcess runs hosts in this process.
func LaunchInProcess(newSource NewSource) Launch {
	return func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		commands, in := io.Pipe()
		out, reports := io.Pipe()
		ended := make(chan error, 1)
		go func() {
			err := Host(ctx, commands, reports, newSource)
			reports.Close()
			ended <- err
		}()
		return os.Getpid(), in, out, func() error { return <-ended }, nil
	}
}

// startHost starts a host with a plan. It calls handle with each event or error that the host reports, in order.
func startHost(ctx context.Context, launch Launch, plan HostPlan, handle func(report)) (*hostProcess, error) {
	pid, in, out, wait, err := launch(ctx)
	if err != nil {
		return nil, err
	}
	h := &hostProcess{pid: pid, in: in, out: json.NewEncoder(in), counters: make(chan hostCounters, 1), ended: make(chan struct{})}
	go func() {
		defer close(h.ended)
		h.readReports(out, handle)
		if err := wait(); err != nil && ctx.Err() == nil {
			handle(report{Error: fmt.Sprintf("host process ended: %v", err)})
		}
	}()
	return h, h.out.Encode(plan)
}

func (h *hostProcess) readReports(out io.Reader, handle func(report)) {
	decoder := json.NewDecoder(bufio.NewReaderSize(out, reportBufferSize))
	for {
		var r report
		if err := decoder.Decode(&r); err != nil {
			return
		}
		if r.Counters != nil {
			h.counters <- *r.Counters
			continue
		}
		handle(r)
	}
}

func (h *hostProcess) send(c command) error { return h.out.Encode(c) }

// readCounters requests the counters and waits for them.
func (h *hostProcess) readCounters() (hostCounters, error) {
	if err := h.send(command{Counters: true}); err != nil {
		return hostCounters{}, err
	}
	select {
	case counters := <-h.counters:
		return counters, nil
	case <-h.ended:
		return hostCounters{}, errors.New("host process ended before it reported its counters")
	case <-time.After(countersTimeout):
		return hostCounters{}, errors.New("host process did not report its counters before the timeout")
	}
}

// close closes the host's input and waits for the host to end.
func (h *hostProcess) close() {
	h.in.Close()
	<-h.ended
}
