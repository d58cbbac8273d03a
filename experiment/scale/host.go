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

// HostPlan is the first line that a host reads: the hollow controllers of its process.
type HostPlan struct {
	Governors []ControllerPlan `json:"governors"`
}

// command is each further line: controllers to stop or to start.
type command struct {
	Stop  []int `json:"stop,omitempty"`
	Start []int `json:"start,omitempty"`
	Tally bool  `json:"tally,omitempty"` // asks for the counters
}

// report is each line that a host writes.
type report struct {
	Event *checks.Event `json:"event,omitempty"`
	Tally *hostTally    `json:"tally,omitempty"`
	Fault string        `json:"fault,omitempty"`
}

// hostTally are the counters of a host since its start.
type hostTally struct {
	Messages int64  `json:"messages"` // taken in and sent by all its governors
	Turns    int64  `json:"turns"`
	Heap     uint64 `json:"heap"`
}

// host runs hollow controllers until its input ends.
type host struct {
	plans  map[int]ControllerPlan
	disks  map[int]*memoryDisk // of the governors' machines
	source SourceOf
	count  messageCount

	mu    sync.Mutex
	out   *json.Encoder
	lives map[int]life
	all   sync.WaitGroup
}

type life struct {
	stop  context.CancelFunc
	ended chan struct{}
}

// Host reads a plan and commands from in, runs the controllers and writes reports to out, until in or ctx ends.
func Host(ctx context.Context, in io.Reader, out io.Writer, source SourceOf) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	decoder := json.NewDecoder(bufio.NewReader(in))
	var plan HostPlan
	if err := decoder.Decode(&plan); err != nil {
		return fmt.Errorf("no plan: %w", err)
	}
	h := &host{plans: map[int]ControllerPlan{}, disks: map[int]*memoryDisk{}, source: source, out: json.NewEncoder(out), lives: map[int]life{}}
	var numbers []int
	for _, g := range plan.Governors {
		h.plans[g.Number] = g
		h.disks[g.Number] = newMemoryDisk()
		numbers = append(numbers, g.Number)
	}
	defer h.all.Wait()
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
		if c.Tally {
			h.tally()
		}
	}
}

func (h *host) write(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out.Encode(r) // who does not read any more has ended, and so will this
}

func (h *host) start(ctx context.Context, numbers []int) {
	for _, number := range numbers {
		plan, known := h.plans[number]
		if _, runs := h.lives[number]; runs || !known {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		l := life{stop, make(chan struct{})}
		h.lives[number] = l
		g := &hollow{plan: plan, emit: func(e checks.Event) { h.write(report{Event: &e}) }, count: &h.count, source: h.source(plan, h.disks[number])}
		h.all.Go(func() {
			defer close(l.ended)
			if err := g.run(ctx); err != nil {
				h.write(report{Fault: err.Error()})
			}
		})
	}
}

// stop stops controllers and waits for them, so that the last event of an incarnation precedes the first of the next one.
func (h *host) stop(numbers []int) {
	for _, number := range numbers {
		l, runs := h.lives[number]
		if !runs {
			continue
		}
		delete(h.lives, number)
		l.stop()
		<-l.ended
	}
}

func (h *host) tally() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	h.write(report{Tally: &hostTally{Messages: h.count.inputs.Load() + h.count.pushes.Load(), Turns: h.count.turns.Load(), Heap: memory.HeapAlloc}})
}
