package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"lilacbend/internal/controller"
	"lilacbend/internal/controlserver"
	"lilacbend/internal/discovery"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/resp"
	"lilacbend/policy"
)

const (
	// The collector and the runtime need room beside what is live: so much of the limit is ours.
	memoryPart = 0.8
	// Long messages may hold so much of it: any number of peers that send 1 MiB each stay under it.
	buffersPart = 0.125
	// What was sent together comes in pieces and over several connections; so long it is waited for, which
	// is nothing beside the 100 ms and more that a message takes to a proxy.
	gatherSpan = 2 * time.Millisecond
	// A governor that is started anew may come while the one before it is still ending: an address in use is
	// tried for longer than that takes, and then is a fault.
	inUseMost, inUsePause = time.Second, 20 * time.Millisecond
	// The inbox is sized for proxies that tell of a few traffic groups each; of so many more it is doubled, and so on.
	groupsUsual = 4
	// SIGKILL may follow 0.7 s after SIGTERM: connections get so long to end.
	partingMost = 300 * time.Millisecond
)

// clock shows one time base: the wall's at the start, and from then on the monotonic one.
type clock struct{ start time.Time }

func (c clock) now() int64 { return c.start.UnixNano() + time.Since(c.start).Nanoseconds() }

// serve runs one governor until ctx ends.
func serve(ctx context.Context, c configuration, reload reloader, log *slog.Logger) error {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	defer signal.Stop(asked)
	debug.SetMemoryLimit(int64(memoryPart * float64(c.memory)))
	listener, err := listen(ctx, c.listen, log)
	if err != nil && ctx.Err() != nil { // told to end while it waited for its address: that is no fault
		return nil
	}
	if err != nil {
		return fmt.Errorf("cannot listen: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	base, x := clock{time.Now()}, eventloop.New()
	x.SetProxies(notesExpected(c.settings.Proxies, len(c.names.Classes)))
	own := controller.NewTopology(c.names, c.settings)
	follower, err := newConfigurationFollower(ctx, c, own, x, log)
	if err != nil {
		return fmt.Errorf("cannot follow a configuration: %w", err)
	}
	topology := follower.topology(own)
	core := controller.New(func() controller.Module { return policy.New(c.settings) }, own)
	kept := openArchive(ctx, c.operator.State, &c, topology, core, x, base, log)
	c.known.ReadAt, c.known.ReadAtWall = base.now(), base.start.UnixNano()
	x.Enqueue(c.known)
	follower.resume()
	log.Info("serving", "listen", c.listen, "discovery", c.discovery, "revision", c.known.Revision,
		"replicas", len(c.known.Members), "proxies", c.settings.Proxies)

	pool := resp.NewPool(int(buffersPart * float64(c.memory)))
	var all sync.WaitGroup
	var broken error
	server := controlserver.New(x, pool, log, c.descriptors, topology)
	all.Go(func() {
		defer stop()
		broken = server.Serve(ctx, listener)
	})
	client := discovery.New(c.discovery, c.known.Revision, x, log, base.now, c.seed)
	all.Go(func() { client.Run(ctx) })
	all.Go(func() { reload.run(ctx, c, client, x, log) })
	all.Go(func() { follower.run(ctx) })
	drive(ctx, core, x, base, asked, kept, follower, server, log)
	kept.put(core.FinalSnapshot(base.now()))
	kept.close()
	report(log, core, x, kept, follower)
	ended := make(chan struct{})
	go func() { all.Wait(); close(ended) }()
	select {
	case <-ended:
		return broken
	case <-time.After(partingMost):
		log.Warn("connections did not end in time")
		return nil
	}
}

// listen waits for an address in use, and says so once.
func listen(ctx context.Context, address string, log *slog.Logger) (l net.Listener, err error) {
	said := false
	err = whileInUse(ctx, func() (inUse bool, err error) {
		l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		inUse = errors.Is(err, syscall.EADDRINUSE)
		if inUse && !said {
			said = true
			log.Warn("the address is in use, waiting for it", "listen", address, "at_most", inUseMost)
		}
		return inUse, err
	})
	return l, err
}

// drive is the one goroutine in which the core runs.
func drive(ctx context.Context, core *controller.Core, x *eventloop.Queues, base clock,
	asked <-chan os.Signal, kept *archive, follower *configurationFollower, server *controlserver.Server, log *slog.Logger) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
			report(log, core, x, kept, follower)
			continue
		case <-timer.C: // after a stall it is late, and much waits to be read
		case <-x.Ready():
		}
		time.Sleep(gatherSpan)
		o := core.Turn(base.now(), x.Drain())
		for _, s := range o.Updates {
			x.Send(s)
		}
		for _, s := range o.CloseStreams {
			x.CloseStream(s)
		}
		for _, text := range o.Logs {
			log.Info(text)
		}
		kept.put(o.Snapshot)
		follower.settle(o.Configured, core, server)
		if o.Panic != "" {
			log.Error("the module failed, a fresh one goes on", "panic", o.Panic)
		}
		if o.NextTurn > 0 {
			timer.Reset(time.Duration(max(0, o.NextTurn-base.now())))
		}
	}
}
