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
	gatherSpan    = 2 * time.Millisecond // as the program: what was sent together is one turn
	proxyAckDelay = int64(time.Millisecond)
)

// GovernorPlan says where one hollow governor stands and whom it talks to.
type GovernorPlan struct {
	Number    int                   `json:"number"`
	Service   int                   `json:"service"`
	Region    int                   `json:"region"`
	Shape     ServiceShape          `json:"shape"`
	Discovery string                `json:"discovery"`
	Servers   []configclient.Server `json:"servers"` // of configuration
	Seed      uint64                `json:"seed"`
	SignEvery time.Duration         `json:"sign_every"` // between two signs of life
}

// hollow is a governor without a listener: discovery client, core, module and configuration code are the product's, and
// the proxies are routines in this process that say little.
type hollow struct {
	plan   GovernorPlan
	emit   func(checks.Event)
	count  *messageCount
	source ConfigurationSource

	exchange *eventloop.Queues
	module   *policy.Policy // the last that was started; for the goroutine of the core

	mu      sync.Mutex
	offered map[revision.Version]offer
}

// offer is a configuration that was handed to the core, and who waits for its verdict.
type offer struct {
	marker checks.Marker
	done   func(error)
}

// messageCount counts what all hollow governors of a process took in and sent.
type messageCount struct {
	notes, pushes, turns atomic.Int64
}

// run runs one life of the governor, which begins with what was in force in the life before, or with the first revision of
// its settings.
func (h *hollow) run(ctx context.Context) error {
	first, err := readSettings(settingsOf(h.plan.Shape, 1, true), h.plan.Seed)
	if err != nil {
		return fmt.Errorf("governor %d: %w", h.plan.Number, err)
	}
	h.exchange = eventloop.New()
	h.exchange.SetProxies(first.provision.Proxies)
	h.offered = map[revision.Version]offer{{}: {marker: 1, done: func(error) {}}}
	h.tell(checks.Event{Kind: checks.Started, Resumes: true})
	defer h.tell(checks.Event{Kind: checks.Stopped})
	h.source.Start(h.apply)
	client := discovery.New(h.plan.Discovery, 0, h.exchange, slog.New(slog.DiscardHandler), now, h.plan.Seed)
	var all sync.WaitGroup
	defer all.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	all.Go(func() { client.Run(ctx) })
	all.Go(func() { h.source.Run(ctx) })
	for k := range h.plan.Shape.Proxies {
		all.Go(func() { h.proxy(ctx, k) })
	}
	h.drive(ctx, first)
	return nil
}

func now() int64 { return time.Now().UnixNano() }

func (h *hollow) tell(e checks.Event) {
	e.Governor = h.plan.Number
	e.Service = h.plan.Service
	e.At = time.Duration(now())
	h.emit(e)
}

// apply checks settings that have arrived, and leaves them for the next turn.
func (h *hollow) apply(v revision.Version, body []byte, done func(error)) {
	s, err := readSettings(body, h.plan.Seed)
	if err != nil {
		h.tell(checks.Event{Kind: checks.Refused, Subject: checks.Configuration, Marker: markerOf(body)})
		done(err)
		return
	}
	h.mu.Lock()
	h.offered[v] = offer{markerOf(body), done}
	h.mu.Unlock()
	h.exchange.Enqueue(controller.Configure{Version: v, Names: s.names, Settings: s.provision, Start: h.starting(s)})
}

// starting starts modules by settings.
func (h *hollow) starting(s serviceSettings) func() controller.Module {
	return func() controller.Module {
		h.module = policy.New(s.provision)
		return h.module
	}
}

// verdict passes on what the core made of an offer.
func (h *hollow) verdict(c controller.ConfigurationResult) {
	h.mu.Lock()
	o := h.offered[c.Version]
	h.mu.Unlock()
	if c.Err != nil {
		h.tell(checks.Event{Kind: checks.Refused, Subject: checks.Configuration, Marker: o.marker})
	}
	o.done(c.Err)
}

// parts lists the different markers in what is in force: in all that the module decides by, and of the version that the
// core names.
func (h *hollow) parts(core *controller.Core) []checks.Marker {
	h.mu.Lock()
	named := h.offered[core.ConfigurationVersion()].marker
	h.mu.Unlock()
	parts := append(partsOf(h.module.Settings), named)
	slices.Sort(parts)
	return slices.Compact(parts)
}

// drive is the loop of the program, with an eye on what is in force.
func (h *hollow) drive(ctx context.Context, first serviceSettings) {
	core := controller.New(h.starting(first), controller.NewTopology(first.names, first.provision))
	timer := time.NewTimer(0)
	defer timer.Stop()
	seen := &observer{hollow: h}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.exchange.Ready():
		}
		time.Sleep(gatherSpan)
		notes := h.exchange.Drain()
		seen.take(notes)
		outcome := core.Turn(now(), notes)
		h.count.turns.Add(1)
		h.count.notes.Add(int64(len(notes)))
		h.count.pushes.Add(int64(len(outcome.Updates)))
		for _, s := range outcome.Updates {
			h.exchange.Send(s)
		}
		for _, c := range outcome.Configured {
			h.verdict(c)
		}
		seen.told(h.parts(core))
		if outcome.NextTurn > 0 {
			timer.Reset(time.Duration(max(0, outcome.NextTurn-now())))
		}
	}
}

// proxy joins, acknowledges what it is sent and reports a few requests a second.
func (h *hollow) proxy(ctx context.Context, k int) {
	stream := controller.StreamID(k + 1)
	out := h.exchange.OpenStream(stream, func() {})
	defer out.Close()
	random := rand.New(rand.NewPCG(h.plan.Seed, uint64(k)))
	zone := zoneName(random.IntN(max(1, h.plan.Shape.Zones)))
	h.exchange.Enqueue(controller.StreamOpened{Stream: stream, Proxy: k, Zone: zone, Rate: 1, WithoutTable: true})
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { h.report(ctx, stream, k, random) })
	for {
		item, ok := out.Next(ctx.Done())
		if !ok {
			return
		}
		h.exchange.MessageSent(item.Number)
		if item.WantsAck {
			h.exchange.Enqueue(controller.Ack{Stream: stream, Nonce: item.Nonce, Delay: proxyAckDelay})
		}
	}
}

// report tells once a second, at instants drawn by proxy, of the requests of one route.
func (h *hollow) report(ctx context.Context, stream controller.StreamID, proxy int, random *rand.Rand) {
	for pause := time.Duration(random.Int64N(int64(time.Second))); ; pause = time.Second {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		route := fmt.Sprintf("route-%d", random.IntN(h.plan.Shape.Routes))
		h.exchange.Enqueue(controller.Demand{Stream: stream, Class: route,
			Demand: control.Demand{Proxy: proxy, Requests: 1, Period: int64(time.Second)}})
	}
}

// observer tells what a governor serves: at each change of it, and as a sign of life now and then.
type observer struct {
	hollow *hollow
	list   checks.Marker // the revision of the list that the last turn took in
	parts  []checks.Marker
	signed time.Time
	news   bool // a list has come with the notes
}

func (o *observer) take(notes []controller.Input) {
	for _, note := range notes {
		if l, is := note.(controller.ReplicaList); is {
			o.news = true
			o.list = checks.Marker(l.Revision)
		}
	}
}

// told says what the turn that has just ended worked with.
func (o *observer) told(parts []checks.Marker) {
	due := time.Since(o.signed) >= o.hollow.plan.SignEvery
	if due || !slices.Equal(parts, o.parts) {
		o.hollow.tell(checks.Event{Kind: checks.Serving, Subject: checks.Configuration, Parts: parts})
	}
	if o.news {
		o.hollow.tell(checks.Event{Kind: checks.Serving, Subject: checks.ReplicaList, Parts: []checks.Marker{o.list}})
	}
	o.news = false
	if due {
		o.signed = time.Now()
	}
	o.parts = parts
}
