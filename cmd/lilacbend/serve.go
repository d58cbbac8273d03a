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
	// heapFraction is the fraction of the memory limit that is set as the soft limit of the Go runtime. The rest is a
	// reserve for memory that the runtime needs beyond it.
	heapFraction = 0.8
	// buffersFraction is the fraction of the memory limit for buffers of long messages. It bounds the buffers of any number
	// of peers that send messages of 1 MiB.
	buffersFraction = 0.125
	// batchDelay is how long a turn waits for events that were sent together but arrive in pieces or on several connections.
	// It is short compared to the 100 ms or more that a message takes to reach a proxy.
	batchDelay = 2 * time.Millisecond
	// classesPerExtraProxy is the number of traffic classes whose demand reports take as much room in the queue of inputs as
	// one more proxy.
	classesPerExtraProxy = 4
	// shutdownTimeout limits the time for closing the connections at shutdown. SIGKILL may follow 0.7 s after SIGTERM.
	shutdownTimeout = 300 * time.Millisecond
)

// unnamedOwner is the owner that is written to a folder's lock if the controller has no name.
const unnamedOwner = "a governor"

// clock returns wall time that never runs backwards: the wall clock at the start plus the monotonic time since then.
type clock struct{ start time.Time }

func (c clock) now() int64 { return c.start.UnixNano() + time.Since(c.start).Nanoseconds() }

// process is one running controller with its connections, queues and files.
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
	if err != nil && ctx.Err() != nil { // a shutdown while waiting for the address is not a failure
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
	allEnded := make(chan struct{})
	go func() {
		goroutines.Wait()
		close(allEnded)
	}()
	select {
	case <-allEnded:
		return serveErr
	case <-time.After(shutdownTimeout):
		log.Warn("shutdown timed out, some connections are still open")
		return nil
	}
}

// newProcess prepares a controller. It enqueues the first inputs of the core in this order: learned state, the list of
// replicas to start with, cached settings.
func newProcess(ctx context.Context, c configuration, log *slog.Logger) (*process, error) {
	p := &process{configuration: c, clock: clock{start: time.Now()}, queues: eventloop.New(), log: log}
	p.queues.SetProxies(queuedProxies(c.settings.Proxies, len(c.names.Classes)))
	own := controller.NewTopology(c.names, c.settings)
	follower, err := newConfigurationFollower(ctx, c, own, p.queues, log)
	if err != nil {
		return nil, fmt.Errorf("cannot follow the configuration servers: %w", err)
	}
	p.follower = follower
	topology := follower.topology(own)
	p.core = controller.New(func() controller.Module { return policy.New(c.settings) }, own)
	p.openSnapshots(ctx, topology)
	known := &p.configuration.known
	known.ReadAt = p.clock.now()
	known.ReadAtWallClock = p.clock.start.UnixNano()
	p.queues.Enqueue(*known)
	follower.resume()
	log.Info("controller serving", "listen", c.listen, "discovery", c.discovery, "revision", known.Revision,
		"replicas", len(known.Members), "proxies", c.settings.Proxies)
	pool := resp.NewPool(int(buffersFraction * float64(c.memory)))
	p.server = controlserver.New(p.queues, pool, log, c.descriptors, topology)
	p.discovery = discovery.New(c.discovery, known.Revision, p.queues, log, p.clock.now, c.seed)
	return p, nil
}

// openSnapshots restores learned state and starts to write snapshots of it, if the operator file names a folder for them. A
// list of replicas in the learned state replaces the one in the configuration if it is newer.
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

// queuedProxies returns the number of proxies that the queue of inputs is sized for: the proxies of the settings, and the
// same number again for each classesPerExtraProxy traffic classes, as each proxy reports its demand by class.
func queuedProxies(proxies, classes int) int { return proxies * (1 + classes/classesPerExtraProxy) }

// listen listens on an address. While the address is in use, it retries for at most inUseTimeout and logs that once.
func listen(ctx context.Context, address string, log *slog.Logger) (listener net.Listener, err error) {
	logged := false
	err = retryWhileInUse(ctx, func() (inUse bool, err error) {
		listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		inUse = errors.Is(err, syscall.EADDRINUSE)
		if inUse && !logged {
			logged = true
			log.Warn("listen address is in use, retrying", "listen", address, "at_most", inUseTimeout)
		}
		return inUse, err
	})
	return listener, err
}

// runCore runs the turns of the core until ctx ends. Only the goroutine of runCore uses the core.
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

// execute carries out the result of a turn: it sends updates, closes streams, logs, and hands over snapshots and results of
// configuration changes.
func (p *process) execute(result controller.TurnResult) {
	for _, update := range result.Updates {
		p.queues.Send(update)
	}
	for _, stream := range result.CloseStreams {
		p.queues.CloseStream(stream)
	}
	for _, text := range result.LogLines {
		p.log.Info(text)
	}
	p.snapshots.submit(result.Snapshot)
	p.follower.handleResults(result.ConfigurationResults, p.core, p.server)
	// If the routing module panicked, the core has already replaced it within the turn. The new module starts with the last
	// learned state, the connected proxies and the listed replicas; the commands of the turn, the timers, and the reports
	// that arrived in the turn are lost. If the new module panics as well, the core reverts the settings that arrived in
	// this turn. If that does not help, it discards the learned state, and finally it pauses the module for one second
	// (Core.recoverTurn).
	if result.PanicMessage != "" {
		p.log.Error("routing module panicked, starting a new module", "panic", result.PanicMessage)
	}
}
