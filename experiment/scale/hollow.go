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
	batchDelay    = 2 * time.Millisecond // as the program: what was sent together is one turn
	proxyAckDelay = int64(time.Millisecond)
)

// ControllerPlan is the place of a hollow controller, and its peers.
type ControllerPlan struct {
	Number    int                   `json:"number"`
	Service   int                   `json:"service"`
	Region    int                   `json:"region"`
	Shape     ServiceShape          `json:"shape"`
	Discovery string                `json:"discovery"`
	Servers   []configclient.Server `json:"servers"` // of configuration
	Seed      uint64                `json:"seed"`
	SignEvery time.Duration         `json:"sign_every"` // between two signs of life
}

// hollow is a controller without a listener: discovery client, core, decision module and configuration code are the product's,
// and its proxies are goroutines of this process.
type hollow struct {
	plan   ControllerPlan
	emit   func(checks.Event)
	count  *messageCount
	source ConfigurationSource

	queues *eventloop.Queues
	module *policy.Policy // the last that was started; for the goroutine of the core

	mu      sync.Mutex
	offered map[revision.Version]offer
}

// offer is a configuration that was passed to the core, and the callback for its result.
type offer struct {
	marker checks.Marker
	done   func(error)
}

// messageCount counts the messages of all hollow controllers of a process.
type messageCount struct {
	inputs, pushes, turns atomic.Int64
}

// run runs one incarnation of the controller. It starts with the settings that were active in the one before, or with the first
// revision.
func (h *hollow) run(ctx context.Context) error {
	first, err := readSettings(settingsOf(h.plan.Shape, 1, true), h.plan.Seed)
	if err != nil {
		return fmt.Errorf("governor %d: %w", h.plan.Number, err)
	}
	h.queues = eventloop.New()
	h.queues.SetProxies(first.provision.Proxies)
	h.offered = map[revision.Version]offer{{}: {marker: 1, done: func(error) {}}}
	h.emitEvent(checks.Event{Kind: checks.Started, Resumes: true})
	defer h.emitEvent(checks.Event{Kind: checks.Stopped})
	h.source.Start(h.apply)
	client := discovery.New(h.plan.Discovery, 0, h.queues, slog.New(slog.DiscardHandler), now, h.plan.Seed)
	var all sync.WaitGroup
	defer all.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	all.Go(func() { client.Run(ctx) })
	all.Go(func() { h.source.Run(ctx) })
	for k := range h.plan.Shape.Proxies {
		all.Go(func() { h.proxy(ctx, k) })
	}
	h.runCore(ctx, first)
	return nil
}

func now() int64 { return time.Now().UnixNano() }

func (h *hollow) emitEvent(e checks.Event) {
	e.Governor = h.plan.Number
	e.Service = h.plan.Service
	e.At = time.Duration(now())
	h.emit(e)
}

// apply checks received settings, and enqueues them for the next turn.
func (h *hollow) apply(v revision.Version, body []byte, done func(error)) {
	s, err := readSettings(body, h.plan.Seed)
	if err != nil {
		h.emitEvent(checks.Event{Kind: checks.Refused, Subject: checks.Configuration, Marker: markerOf(body)})
		done(err)
		return
	}
	h.mu.Lock()
	h.offered[v] = offer{markerOf(body), done}
	h.mu.Unlock()
	h.queues.Enqueue(controller.Configure{Version: v, Names: s.names, Settings: s.provision, Start: h.moduleStarter(s)})
}

// moduleStarter returns a function that starts decision modules with settings.
func (h *hollow) moduleStarter(s serviceSettings) func() controller.Module {
	return func() controller.Module {
		h.module = policy.New(s.provision)
		return h.module
	}
}

// handleResult passes the core's result for an offer on.
func (h *hollow) handleResult(c controller.ConfigurationResult) {
	h.mu.Lock()
	o := h.offered[c.Version]
	h.mu.Unlock()
	if c.Err != nil {
		h.emitEvent(checks.Event{Kind: checks.Refused, Subject: checks.Configuration, Marker: o.marker})
	}
	o.done(c.Err)
}

// activeMarkers returns the different markers of the active settings, in the module and in the version that the core names.
func (h *hollow) activeMarkers(core *controller.Core) []checks.Marker {
	h.mu.Lock()
	named := h.offered[core.ConfigurationVersion()].marker
	h.mu.Unlock()
	parts := append(partsOf(h.module.Settings), named)
	slices.Sort(parts)
	return slices.Compact(parts)
}

// runCore runs the core's turns as the program does, and reports the active settings.
func (h *hollow) runCore(ctx context.Context, first serviceSettings) {
	core := controller.New(h.moduleStarter(first), controller.NewTopology(first.names, first.provision))
	timer := time.NewTimer(0)
	defer timer.Stop()
	seen := &observer{hollow: h}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.queues.Ready():
		}
		time.Sleep(batchDelay)
		inputs := h.queues.Drain()
		seen.observe(inputs)
		outcome := core.Turn(now(), inputs)
		h.count.turns.Add(1)
		h.count.inputs.Add(int64(len(inputs)))
		h.count.pushes.Add(int64(len(outcome.Updates)))
		for _, s := range outcome.Updates {
			h.queues.Send(s)
		}
		for _, c := range outcome.Configured {
			h.handleResult(c)
		}
		seen.report(h.activeMarkers(core))
		if outcome.NextTurn > 0 {
			timer.Reset(time.Duration(max(0, outcome.NextTurn-now())))
		}
	}
}

// proxy joins, acknowledges updates and reports a few requests a second.
func (h *hollow) proxy(ctx context.Context, k int) {
	stream := controller.StreamID(k + 1)
	out := h.queues.OpenStream(stream, func() {})
	defer out.Close()
	random := rand.New(rand.NewPCG(h.plan.Seed, uint64(k)))
	zone := zoneName(random.IntN(max(1, h.plan.Shape.Zones)))
	h.queues.Enqueue(controller.StreamOpened{Stream: stream, Proxy: k, Zone: zone, Rate: 1, WithoutTable: true})
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { h.report(ctx, stream, k, random) })
	for {
		item, ok := out.Next(ctx.Done())
		if !ok {
			return
		}
		h.queues.MessageSent(item.Number)
		if item.WantsAck {
			h.queues.Enqueue(controller.Ack{Stream: stream, Nonce: item.Nonce, Delay: proxyAckDelay})
		}
	}
}

// report reports the requests of one route once a second, at a phase that differs by proxy.
func (h *hollow) report(ctx context.Context, stream controller.StreamID, proxy int, random *rand.Rand) {
	for pause := time.Duration(random.Int64N(int64(time.Second))); ; pause = time.Second {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		route := fmt.Sprintf("route-%d", random.IntN(h.plan.Shape.Routes))
		h.queues.Enqueue(controller.Demand{Stream: stream, Class: route,
			Demand: control.Demand{Proxy: proxy, Requests: 1, Period: int64(time.Second)}})
	}
}

// observer reports what a controller serves: at each change, and as a sign of life at intervals.
type observer struct {
	hollow   *hollow
	list     checks.Marker // the revision of the list that the last turn took in
	parts    []checks.Marker
	lastSign time.Time
	newList  bool // the inputs of the turn had a list
}

func (o *observer) observe(inputs []controller.Input) {
	for _, input := range inputs {
		if l, is := input.(controller.ReplicaList); is {
			o.newList = true
			o.list = checks.Marker(l.Revision)
		}
	}
}

// report reports what the last turn used.
func (o *observer) report(parts []checks.Marker) {
	due := time.Since(o.lastSign) >= o.hollow.plan.SignEvery
	if due || !slices.Equal(parts, o.parts) {
		o.hollow.emitEvent(checks.Event{Kind: checks.Serving, Subject: checks.Configuration, Parts: parts})
	}
	if o.newList {
		o.hollow.emitEvent(checks.Event{Kind: checks.Serving, Subject: checks.ReplicaList, Parts: []checks.Marker{o.list}})
	}
	o.newList = false
	if due {
		o.lastSign = time.Now()
	}
	o.parts = parts
}
