package scale

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lilacbend/control"
	"lilacbend/experiment/scale/checks"
	"lilacbend/internal/configclient"
	"lilacbend/internal/controller"
	"lilacbend/internal/discovery"
	"lilacbend/internal/eventloop"
	"lilacbend/internal/revision"
	"lilacbend/policy"
)

const (
	batchDelay    = 2 * time.Millisecond // as in the product, so that messages sent together are handled in one turn
	proxyAckDelay = int64(time.Millisecond)
)

// ControllerPlan describes a simulated controller: its service, its region, and the addresses of its peers.
type ControllerPlan struct {
	Number            int                   `json:"number"`
	Service           int                   `json:"service"`
	Region            int                   `json:"region"`
	Shape             ServiceShape          `json:"shape"`
	Discovery         string                `json:"discovery"`
	Servers           []configclient.Server `json:"servers"` // configuration servers
	Seed              uint64                `json:"seed"`
	HeartbeatInterval time.Duration         `json:"sign_every"`
}

// simulatedController is a controller without a listener. Its discovery client, core, decision module and configuration
// client are those of the product; its proxies are goroutines of this process.
type simulatedController struct {
	plan     ControllerPlan
	emit     func(checks.Event)
	counters *messageCounters
	source   ConfigurationSource

	queues *eventloop.Queues
	module *policy.Policy // the module that was started last; used by the goroutine of the core only

	mu     sync.Mutex
	offers map[revision.Version]offer
}

// offer is a configuration that was passed to the core, with the callback for its result.
type offer struct {
	marker checks.Marker
	done   func(error)
}

// messageCounters count the messages and turns of all simulated controllers of a process.
type messageCounters struct {
	inputs, pushes, turns atomic.Int64
}

// run runs one incarnation of the controller. It starts with the settings that were active in the previous incarnation, or
// with the first revision.
func (c *simulatedController) run(ctx context.Context) error {
	first, err := loadSettings(encodeSettings(c.plan.Shape, 1, true), c.plan.Seed)
	if err != nil {
		return fmt.Errorf("loading the first settings of controller %d: %w", c.plan.Number, err)
	}
	c.queues = eventloop.New()
	c.queues.SetProxies(first.values.Proxies)
	c.offers = map[revision.Version]offer{{}: {marker: 1, done: func(error) {}}}
	c.emitEvent(checks.Event{Kind: checks.Started, Resumes: true})
	defer c.emitEvent(checks.Event{Kind: checks.Stopped})
	c.source.Start(c.apply)
	client := discovery.New(c.plan.Discovery, 0, c.queues, slog.New(slog.DiscardHandler), now, c.plan.Seed)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	goroutines.Go(func() { client.Run(ctx) })
	goroutines.Go(func() { c.source.Run(ctx) })
	for k := range c.plan.Shape.Proxies {
		goroutines.Go(func() { c.runProxy(ctx, k) })
	}
	c.runCore(ctx, first)
	return nil
}

func now() int64 { return time.Now().UnixNano() }

func (c *simulatedController) emitEvent(e checks.Event) {
	e.Controller = c.plan.Number
	e.Service = c.plan.Service
	e.At = time.Duration(now())
	c.emit(e)
}

// apply validates received settings, and enqueues them for the next turn.
func (c *simulatedController) apply(version revision.Version, body []byte, done func(error)) {
	loaded, err := loadSettings(body, c.plan.Seed)
	if err != nil {
		c.emitEvent(checks.Event{Kind: checks.Refused, Subject: checks.Configuration, Marker: markerOf(body)})
		done(err)
		return
	}
	c.mu.Lock()
	c.offers[version] = offer{markerOf(body), done}
	c.mu.Unlock()
	c.queues.Enqueue(controller.Configure{Version: version, Names: loaded.names, Settings: loaded.values, NewModule: c.moduleStarter(loaded)})
}

// moduleStarter returns a function that starts a decision module with the given settings.
func (c *simulatedController) moduleStarter(loaded serviceSettings) func() controller.Module {
	return func() controller.Module {
		c.module = policy.New(loaded.values)
		return c.module
	}
}

// handleResult passes the core's result for an offer to the offer's callback.
func (c *simulatedController) handleResult(result controller.ConfigurationResult) {
	c.mu.Lock()
	offered := c.offers[result.Version]
	c.mu.Unlock()
	if result.Err != nil {
		c.emitEvent(checks.Event{Kind: checks.Refused, Subject: checks.Configuration, Marker: offered.marker})
	}
	offered.done(result.Err)
}

// activeMarkers returns the distinct markers of the active configuration: those in the settings of the module, and that of
// the version that the core reports.
func (c *simulatedController) activeMarkers(core *controller.Core) []checks.Marker {
	c.mu.Lock()
	activeMarker := c.offers[core.ConfigurationVersion()].marker
	c.mu.Unlock()
	markers := append(markersOf(c.module.Settings), activeMarker)
	slices.Sort(markers)
	return slices.Compact(markers)
}

// runCore runs the core's turns as the product does, and reports the active settings.
func (c *simulatedController) runCore(ctx context.Context, first serviceSettings) {
	core := controller.New(c.moduleStarter(first), controller.NewTopology(first.names, first.values))
	timer := time.NewTimer(0)
	defer timer.Stop()
	reporter := &servingReporter{simulated: c}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.queues.Ready():
		}
		time.Sleep(batchDelay)
		inputs := c.queues.Drain()
		reporter.recordInputs(inputs)
		outcome := core.Turn(now(), inputs)
		c.counters.turns.Add(1)
		c.counters.inputs.Add(int64(len(inputs)))
		c.counters.pushes.Add(int64(len(outcome.Updates)))
		for _, update := range outcome.Updates {
			c.queues.Send(update)
		}
		for _, result := range outcome.ConfigurationResults {
			c.handleResult(result)
		}
		reporter.reportServing(c.activeMarkers(core))
		if outcome.NextTurn > 0 {
			timer.Reset(time.Duration(max(0, outcome.NextTurn-now())))
		}
	}
}

// runProxy simulates a proxy: it opens a stream, acknowledges updates and reports a request each second.
func (c *simulatedController) runProxy(ctx context.Context, number int) {
	stream := controller.StreamID(number + 1)
	outgoing := c.queues.OpenStream(stream, func() {})
	defer outgoing.Close()
	random := rand.New(rand.NewPCG(c.plan.Seed, uint64(number)))
	zone := zoneName(random.IntN(max(1, c.plan.Shape.Zones)))
	c.queues.Enqueue(controller.StreamOpened{Stream: stream, Proxy: number, Zone: zone, RequestRate: 1, WithoutTable: true})
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	goroutines.Go(func() { c.reportDemand(ctx, stream, number, random) })
	for {
		item, ok := outgoing.Next(ctx.Done())
		if !ok {
			return
		}
		c.queues.MessageSent(item.UpdateNumber)
		if item.WantsAck {
			c.queues.Enqueue(controller.Ack{Stream: stream, Nonce: item.Nonce, Delay: proxyAckDelay})
		}
	}
}

// reportDemand reports one request to a random route each second, with a random start offset for each proxy.
func (c *simulatedController) reportDemand(ctx context.Context, stream controller.StreamID, proxy int, random *rand.Rand) {
	for pause := time.Duration(random.Int64N(int64(time.Second))); ; pause = time.Second {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		route := fmt.Sprintf("route-%d", random.IntN(c.plan.Shape.Routes))
		c.queues.Enqueue(controller.Demand{Stream: stream, Class: route,
			DemandReport: control.DemandReport{Proxy: proxy, Requests: 1, Period: int64(time.Second)}})
	}
}

// servingReporter reports what a controller serves: at each change, and as a heartbeat at each heartbeat interval.
type servingReporter struct {
	simulated     *simulatedController
	listRevision  checks.Marker // revision of the last received replica list
	markers       []checks.Marker
	lastHeartbeat time.Time
	listReceived  bool // the inputs of the current turn include a replica list
}

// recordInputs records the revision of a replica list among the inputs of a turn.
func (r *servingReporter) recordInputs(inputs []controller.Input) {
	for _, input := range inputs {
		if list, is := input.(controller.ReplicaList); is {
			r.listReceived = true
			r.listRevision = checks.Marker(list.Revision)
		}
	}
}

// reportServing reports the markers and the replica list that are in force after a turn.
func (r *servingReporter) reportServing(markers []checks.Marker) {
	due := time.Since(r.lastHeartbeat) >= r.simulated.plan.HeartbeatInterval
	if due || !slices.Equal(markers, r.markers) {
		r.simulated.emitEvent(checks.Event{Kind: checks.Serving, Subject: checks.Configuration, Markers: markers})
	}
	if r.listReceived {
		r.simulated.emitEvent(checks.Event{Kind: checks.Serving, Subject: checks.ReplicaList, Markers: []checks.Marker{r.listRevision}})
	}
	r.listReceived = false
	if due {
		r.lastHeartbeat = time.Now()
	}
	r.markers = markers
}
