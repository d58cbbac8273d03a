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
	endTimeout   = 15 * time.Second // a child may take to end, before it is killed
	tallyTimeout = 30 * time.Second
	reportLine   = 1 << 20
)

// hostProcess is a host of hollow controllers, in its own process or in this one.
type hostProcess struct {
	pid     int
	in      io.WriteCloser
	out     *json.Encoder
	tallies chan hostTally
	ended   chan struct{} // closed when it writes no more and has ended
}

// Launch starts a host and returns its input, its output and a function that waits for its end.
type Launch func(ctx context.Context) (pid int, in io.WriteCloser, out io.Reader, wait func() error, err error)

// LaunchChild starts hosts as processes of this program with a hidden command.
func LaunchChild(arguments ...string) Launch {
	return func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		c := exec.CommandContext(ctx, os.Args[0], arguments...)
		c.Stderr = os.Stderr
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) }
		c.WaitDelay = endTimeout
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

// LaunchHere runs hosts in this process.
func LaunchHere(source SourceOf) Launch {
	return func(ctx context.Context) (int, io.WriteCloser, io.Reader, func() error, error) {
		commands, in := io.Pipe()
		out, reports := io.Pipe()
		ended := make(chan error, 1)
		go func() {
			err := Host(ctx, commands, reports, source)
			reports.Close()
			ended <- err
		}()
		return os.Getpid(), in, out, func() error { return <-ended }, nil
	}
}

// startHost starts a host with a plan. It calls take with each event or fault that the host reports, in order.
func startHost(ctx context.Context, launch Launch, plan HostPlan, take func(report)) (*hostProcess, error) {
	pid, in, out, wait, err := launch(ctx)
	if err != nil {
		return nil, err
	}
	h := &hostProcess{pid: pid, in: in, out: json.NewEncoder(in), tallies: make(chan hostTally, 1), ended: make(chan struct{})}
	go func() {
		defer close(h.ended)
		h.read(out, take)
		if err := wait(); err != nil && ctx.Err() == nil {
			take(report{Fault: fmt.Sprintf("a host ended: %v", err)})
		}
	}()
	return h, h.out.Encode(plan)
}

func (h *hostProcess) read(out io.Reader, take func(report)) {
	decoder := json.NewDecoder(bufio.NewReaderSize(out, reportLine))
	for {
		var r report
		if err := decoder.Decode(&r); err != nil {
			return
		}
		if r.Tally != nil {
			h.tallies <- *r.Tally
			continue
		}
		take(r)
	}
}

func (h *hostProcess) tell(c command) error { return h.out.Encode(c) }

// tally requests the counters.
func (h *hostProcess) tally() (hostTally, error) {
	if err := h.tell(command{Tally: true}); err != nil {
		return hostTally{}, err
	}
	select {
	case t := <-h.tallies:
		return t, nil
	case <-h.ended:
		return hostTally{}, errors.New("a host has ended")
	case <-time.After(tallyTimeout):
		return hostTally{}, errors.New("a host does not answer")
	}
}

// end closes the host's input and waits for its end.
func (h *hostProcess) end() {
	h.in.Close()
	<-h.ended
}
