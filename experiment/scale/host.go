package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"

	"lilacbend/experiment/scale/checks"
)

// HostPlan is the first line that a host process reads: its simulated controllers.
type HostPlan struct {
	Controllers []ControllerPlan `json:"governors"`
}

// command is a line that a host process reads after its plan: the controllers to stop and to start, and whether to report
// the counters.
type command struct {
	Stop     []int `json:"stop,omitempty"`
	Start    []int `json:"start,omitempty"`
	Counters bool  `json:"tally,omitempty"`
}

// report is a line that a host process writes.
type report struct {
	Event    *checks.Event `json:"event,omitempty"`
	Counters *hostCounters `json:"tally,omitempty"`
	Error    string        `json:"fault,omitempty"`
}

// hostCounters are the counters of a host process since its start.
type hostCounters struct {
	Messages int64  `json:"messages"` // received and sent by all its controllers
	Turns    int64  `json:"turns"`
	Heap     uint64 `json:"heap"` // bytes in use
}

// host runs simulated controllers until its input ends.
type host struct {
	plans     map[int]ControllerPlan
	storages  map[int]*memoryStorage // the disks of the controllers' machines
	newSource NewSource
	counters  messageCounters

	mu         sync.Mutex
	out        *json.Encoder
	running    map[int]runningController
	goroutines sync.WaitGroup
}

// runningController is an incarnation of a controller that runs.
type runningController struct {
	stop context.CancelFunc
	done chan struct{}
}

// Host reads a plan and commands from in, runs the controllers and writes reports to out, until in ends or ctx is done.
func Host(ctx context.Context, in io.Reader, out io.Writer, newSource NewSource) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	decoder := json.NewDecoder(bufio.NewReader(in))
	var plan HostPlan
	if err := decoder.Decode(&plan); err != nil {
		return fmt.Errorf("reading host plan: %w", err)
	}
	h := &host{plans: map[int]ControllerPlan{}, storages: map[int]*memoryStorage{}, newSource: newSource, out: json.NewEncoder(out), running: map[int]runningController{}}
	var numbers []int
	for _, controller := range plan.Controllers {
		h.plans[controller.Number] = controller
		h.storages[controller.Number] = newMemoryStorage()
		numbers = append(numbers, controller.Number)
	}
	defer h.goroutines.Wait()
	defer stop()
	h.start(ctx, numbers)
	for {
		var c command
		if err := decoder.Decode(&c); errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		} else if err != nil {
			return err
		}
		h.stop(c.Stop)
		h.start(ctx, c.Start)
		if c.Counters {
			h.writeCounters()
		}
	}
}

func (h *host) write(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out.Encode(r) // a write fails only if the reader has ended; the input then ends too, and so does this host
}

func (h *host) start(ctx context.Context, numbers []int) {
	for _, number := range numbers {
		plan, known := h.plans[number]
		if _, running := h.running[number]; running || !known {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		current := runningController{stop, make(chan struct{})}
		h.running[number] = current
		simulated := &simulatedController{plan: plan, emit: func(e checks.Event) { h.write(report{Event: &e}) }, counters: &h.counters, source: h.newSource(plan, h.storages[number])}
		h.goroutines.Go(func() {
			defer close(current.done)
			if err := simulated.run(ctx); err != nil {
				h.write(report{Error: err.Error()})
			}
		})
	}
}

// stop stops controllers and waits for them, so that the last event of an incarnation precedes the first of the next one.
func (h *host) stop(numbers []int) {
	for _, number := range numbers {
		stopped, running := h.running[number]
		if !running {
			continue
		}
		delete(h.running, number)
		stopped.stop()
		<-stopped.done
	}
}

func (h *host) writeCounters() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	h.write(report{Counters: &hostCounters{Messages: h.counters.inputs.Load() + h.counters.pushes.Load(), Turns: h.counters.turns.Load(), Heap: memory.HeapAlloc}})
}
