// Command simadapter runs any number of governors on the simulator's wire: batches on standard input, one
// reply for each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"

	"lilacbend/control"
	"lilacbend/internal/simwire"
	"lilacbend/policy"
	"lilacbend/settings"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	h := newHost()
	for {
		batch, err := simwire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		h.turn(batch)
		if _, err := w.Write(h.reply.Frame()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

type host struct {
	governors map[uint32]*policy.Policy
	reply     simwire.Reply
}

func newHost() *host { return &host{governors: map[uint32]*policy.Policy{}} }

func (h *host) turn(batch simwire.Batch) {
	events := map[uint32][]any{}
	var order []uint32
	for _, rec := range batch.Records {
		if _, seen := events[rec.Instance]; !seen {
			order = append(order, rec.Instance)
		}
		events[rec.Instance] = append(events[rec.Instance], rec.Event)
	}
	sort.Slice(order, func(i, j int) bool { return order[i] < order[j] })
	for _, instance := range order {
		h.instance(instance, batch.Now, events[instance])
	}
}

// instance gives one governor its events. A panic ends that governor with a Fault.
func (h *host) instance(id uint32, now int64, events []any) {
	defer func() {
		if p := recover(); p != nil {
			delete(h.governors, id)
			h.reply.Fault(id, fmt.Sprintf("the module failed: %v", p))
		}
	}()
	var told []control.Event
	for _, ev := range events {
		switch e := ev.(type) {
		case simwire.Killed:
			delete(h.governors, id)
			told = nil
		case simwire.Configure:
			p, err := settings.ParseLines(e.Text).Decode(e.Seed)
			if err != nil {
				delete(h.governors, id)
				h.reply.Fault(id, "cannot start: "+err.Error())
				return
			}
			h.governors[id] = policy.New(p)
			told = nil
		case control.Event:
			told = append(told, e)
		}
	}
	if g := h.governors[id]; g != nil {
		for _, o := range g.Turn(now, told) {
			h.reply.Add(id, o)
		}
	}
}
