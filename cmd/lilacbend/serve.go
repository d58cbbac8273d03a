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
	// heapFraction is the fraction of the memory limit that is set for the Go runtime, which needs the rest for itself.
	heapFraction = 0.8
	// buffersFraction is the fraction of the memory limit for buffers of long messages: any number of peers that send 1 MiB
	// each stays below it.
	buffersFraction = 0.125
	// batchDelay is how long a turn waits for events that were sent together but arrive in pieces or on several connections.
	// It is short beside the 100 ms and more that a message takes to a proxy.
	batchDelay = 2 * time.Millisecond
	// classesPerProxy is how many traffic classes size the queue of inputs for the number of proxies once more.
	classesPerProxy = 4
	// shutdownTimeout is how long connections may take to end. SIGKILL may follow 0.7 s after SIGTERM.
	shutdownTimeout = 300 * time.Millisecond
)

// unnamedOwner is the owner of a folder's lock if the controller has no name.
const unnamedOwner = "a governor"

// clock returns wall time that never goes back: the wall clock at the start plus the monotonic time since then.
type clock struct{ start time.Time }

func (c clock) now() int64 { return c.start.UnixNano() + time.Since(c.start).Nanoseconds() }

// process is one running controller with all that it uses.
type process struct {
	configuration configuration
	clock         clock
	queues        *eventloop.Queues
	core          *controller.Core
	follower      *configurationFollower
	snapshots     *snapshotKeeper
	server        *controlserver.Server
	discovery     *discovery.Client
	log           *slog.Logger
}

// serve runs one controller until ctx ends.
func serve(ctx context.Context, c configuration, reload reloader, log *slog.Logger) error {
	reportRequests := make(chan os.Signal, 1)
	signal.Notify(reportRequests, syscall.SIGUSR1)
	defer signal.Stop(reportRequests)
	debug.SetMemoryLimit(int64(heapFraction * float64(c.memory)))
	listener, err := listen(ctx, c.listen, log)
	if err != nil && ctx.Err() != nil { // ended while it waited for its address, which is no failure
		return nil
	}
	if err != nil {
		return fmt.Errorf("cannot listen: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newProcess(ctx, c, log)
	if err != nil {
		return err
	}
	var goroutines sync.WaitGroup
	var serveErr error
	goroutines.Go(func() {
		defer stop()
		serveErr = p.server.Serve(ctx, listener)
	})
	goroutines.Go(func() { p.discovery.Run(ctx) })
	goroutines.Go(func() { reload.run(ctx, p.configuration, p.discovery, p.queues, log) })
	goroutines.Go(func() { p.follower.run(ctx) })
	p.runCore(ctx, reportRequests)
	p.snapshots.submit(p.core.FinalSnapshot(p.clock.now()))
	p.snapshots.close()
	p.logCounters()
	ended := make(chan struct{})
	go func() {
		goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return serveErr
	case <-time.After(shutdownTimeout):
		log.Warn("connections did not end in time")
		return nil
	}
}

// newProcess prepares a controller. The events that it starts with are published in this order: learned state, the known list,
// settings from before a restart.
func newProcess(ctx context.Context, c configuration, log *slog.Logger) (*process, error) {
	p := &process{configuration: c, clock: clock{start: time.Now()}, queues: eventloop.New(), log: log}
	p.queues.SetProxies(queuedProxies(c.settings.Proxies, len(c.names.Classes)))
	own := controller.NewTopology(c.names, c.settings)
	follower, err := newConfigurationFollower(ctx, c, own, p.queues, log)
	if err != nil {
		return nil, fmt.Errorf("cannot follow a configuration: %w", err)
	}
	p.follower = follower
	topology := follower.topology(own)
	p.core = controller.New(func() controller.Module { return policy.New(c.settings) }, own)
	p.openSnapshots(ctx, topology)
	known := &p.configuration.known
	known.ReadAt = p.clock.now()
	known.ReadAtWall = p.clock.start.UnixNano()
	p.queues.Enqueue(*known)
	follower.resume()
	log.Info("serving", "listen", c.listen, "discovery", c.discovery, "revision", known.Revision,
		"replicas", len(known.Members), "proxies", c.settings.Proxies)
	pool := resp.NewPool(int(buffersFraction * float64(c.memory)))
	p.server = controlserver.New(p.queues, pool, log, c.descriptors, topology)
	p.discovery = discovery.New(c.discovery, known.Revision, p.queues, log, p.clock.now, c.seed)
	return p, nil
}

// openSnapshots restores learned state and starts to keep it, if the operator file says so. A newer list of replicas in it
// replaces the known one.
func (p *process) openSnapshots(ctx context.Context, topology controller.Topology) {
	retention := p.configuration.operator.State
	snapshots := openSnapshotKeeper(ctx, retention, p.configuration.name, p.log)
	if snapshots == nil {
		return
	}
	restored := snapshots.restore(p.configuration.known, topology, p.clock)
	p.configuration.known = restored.list
	if restored.state != nil {
		p.queues.Enqueue(controller.SnapshotRestored{Snapshot: restored.state})
	}
	p.core.SetSnapshotPolicy(retention.Every.Nanoseconds(), retention.HalfLife.Nanoseconds())
	snapshots.start()
	p.snapshots = snapshots
}

// queuedProxies returns the number of proxies that the queue of inputs is sized for: the proxies of the settings, and as many
// again for each classesPerProxy traffic classes, as each proxy reports its demand by class.
func queuedProxies(proxies, classes int) int { return proxies * (1 + classes/classesPerProxy) }

// listen listens on an address. It retries while the address is in use, which it logs once.
func listen(ctx context.Context, address string, log *slog.Logger) (listener net.Listener, err error) {
	logged := false
	err = retryWhileInUse(ctx, func() (inUse bool, err error) {
		listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		inUse = errors.Is(err, syscall.EADDRINUSE)
		if inUse && !logged {
			logged = true
			log.Warn("the address is in use, waiting for it", "listen", address, "at_most", inUseTimeout)
		}
		return inUse, err
	})
	return listener, err
}

// runCore runs the core's turns until ctx ends. The core is used by this goroutine alone.
func (p *process) runCore(ctx context.Context, reportRequests <-chan os.Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reportRequests:
			p.logCounters()
			continue
		case <-timer.C:
		case <-p.queues.Ready():
		}
		time.Sleep(batchDelay)
		result := p.core.Turn(p.clock.now(), p.queues.Drain())
		p.execute(result)
		if result.NextTurn > 0 {
			timer.Reset(time.Duration(max(0, result.NextTurn-p.clock.now())))
		}
	}
}

// execute carries out what a turn has decided.
func (p *process) execute(result controller.TurnResult) {
	for _, update := range result.Updates {
		p.queues.Send(update)
	}
	for _, stream := range result.CloseStreams {
		p.queues.CloseStream(stream)
	}
	for _, text := range result.Logs {
		p.log.Info(text)
	}
	p.snapshots.submit(result.Snapshot)
	p.follower.handleResults(result.Configured, p.core, p.server)
	// A new module has taken over within the turn. It starts from what was last learned and what is connected and listed; what
	// the turn had asked for, timers and the reports that came with it are lost. If new modules panic as well, settings of this
	// turn and then the learned state are left out, and at last the module is paused for a second (Core.recoverTurn).
	if result.Panic != "" {
		p.log.Error("the module panicked, a new one is started", "panic", result.Panic)
	}
}
