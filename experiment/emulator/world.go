// Package emulator plays replicas, and proxies that follow tables, round the governor's core in virtual time: one
// event after the other, chance from a seed. It shows what a change of the governor does to flows, at sizes that
// sockets on one machine do not carry. All its figures are simulated.
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/learnedstate"
	"lilacbend/settings"
)

const (
	second, milli = int64(1e9), int64(1e6)
	transit       = 100 * milli // of a message to a proxy, and of its answer
	gather        = 10 * milli  // of a core that is not idle
)

// Mood is what is wrong with a replica.
type Mood int

const (
	Well    Mood = iota
	Silent       // takes flows and answers nothing
	Slow         // needs five times as long
	Failing      // turns flows away at once, before they run
)

// Replica is one server: so many flows at once, the rest wait.
type Replica struct {
	Member  controller.Member
	Mood    Mood
	places  int
	mean    float64 // seconds
	running int
	told    int64   // when the governor was last told of it
	lately  []int64 // tries of the last 3 s, while it is cold
	waiting []func()
	met     map[teller]*sum // since they were last told
}

// teller is who sums flows: the collector of a zone, for one governor.
type teller struct {
	zone  string
	tower int
}

type sum struct {
	tries, missed int
	answers       int64
}

type proxy struct {
	id     int
	zone   string
	stream controller.StreamID
	tower  int // it is joined to, or was last
	lines  map[string]float64
	shut   map[string]bool
	levels map[string]controller.Admission
	came   []int // by group
	missed []int
	picks  []weighed // what may be picked; nil: to be worked out

	failures map[string]int  // tries that failed in a row, by replica
	avoided  map[string]bool // by the proxy itself, for a while

	total float64

	joined  int64           // since when the stream is there
	stalled int64           // messages are applied after that
	applied int64           // when the last one was
	bare    int64           // since when it has had no line; 0: it has some
	wrote   map[int][]int64 // when governors sent messages for it, of the last span
}

type weighed struct {
	replica *Replica
	weight  float64
}

type flow struct {
	p     *proxy
	group int
	came  int64
	again bool // a second try is under way
	done  bool

	returned int // how often its client has come again
}

// Outcome counts what became of flows that came in a span.
type Outcome struct{ Came, Good, Late, Lost, Blocked int }

func (o Outcome) String() string {
	return fmt.Sprintf("%d came, %d good, %d late, %d lost, %d blocked", o.Came, o.Good, o.Late, o.Lost, o.Blocked)
}

// Bad is the share of flows that were not answered within their latency budget.
func (o Outcome) Bad() float64 { return 1 - float64(o.Good)/math.Max(1, float64(o.Came)) }

// Site is the size and load of an emulated installation.
type Site struct {
	Replicas, Proxies int
	Load              float64 // of what all replicas can serve
	Intake            int     // lines of reports a second that each governor gets, the oldest first; 0: any number
	Overload          Overload
	Names             settings.Names
	Provision         control.Settings
}

// World is one run.
type World struct {
	Site     Site
	Replicas []*Replica
	Learned  *learnedstate.State // the last that the first governor has told
	Turns    []int64             // real nanoseconds of each turn, if Clock is set
	Clock    func() int64

	proxies []*proxy
	by      map[string]*Replica
	chance  *rand.Rand
	now     int64
	events  schedule
	ordered int64
	towers  []*tower
	streams controller.StreamID
	from    int64 // flows that come from then to until are counted
	until   int64
	outcome Outcome

	Breaches []Breach
	Spoil    func(controller.Module) controller.Module // nil: the module as it is
	Trace    func(text string, args ...any)            // of each step that matters; nil: none
	watched  map[string]bool                           // nil: rules are not checked
	cut      map[string]int                            // zones that are cut off, so many times
}

type event struct {
	at, order int64
	do        func()
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(a, b int) bool {
	return s[a].at < s[b].at || s[a].at == s[b].at && s[a].order < s[b].order
}
func (s schedule) Swap(a, b int) { s[a], s[b] = s[b], s[a] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	*s = (*s)[:last]
	return e
}

// NewSite is an installation of two zones and two kinds, one half as fast as the other, though both are listed
// as equal.
func NewSite(replicas, proxies int, load float64) Site {
	return Site{Replicas: replicas, Proxies: proxies, Load: load,
		Names: settings.Names{Classes: []string{"read", "order"}, Zones: []string{"a", "b"}, HardwareClasses: []string{"m1", "m2"}},
		Provision: control.Settings{Seed: 7, Controllers: 1, Zones: 2, HardwareClasses: 3, Proxies: proxies, ChannelRate: 20000,
			ChannelLimit: 40 * proxies, MessageOverhead: 4, MaxTransit: second / 2, MaxMessages: 30, MessageWindow: 10 * second, HostQueues: true,
			ReportInterval: second, SlowStartFraction: 0.2, SlowStartTime: 20 * second, OverloadMultiple: 3, Admission: control.AdmitFraction,
			AttemptTimeoutFactor: 1.5, DefaultRetries: control.RetryIfNotExecuted, Classes: []control.TrafficClass{
				{PriorityWeight: 1, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.Idempotent},
				{PriorityWeight: 3, LatencyObjective: second, Timeout: 3 * second, Idempotency: control.NotIdempotent}}}}
}

// zones are the site's, or one without a name where there are none.
func (s Site) zones() []string {
	if len(s.Names.Zones) == 0 {
		return []string{""}
	}
	return s.Names.Zones
}

// kind names a kind by its place; what the site does not name has no name.
func (s Site) kind(k int) string {
	if k >= len(s.Names.HardwareClasses) {
		return ""
	}
	return s.Names.HardwareClasses[k]
}

// New makes a world in which nothing has happened yet.
func New(site Site, seed int64) *World {
	zones := site.zones()
	w := &World{Site: site, by: map[string]*Replica{}, cut: map[string]int{}, chance: rand.New(rand.NewSource(seed))}
	able := 0.0
	for k := range site.Replicas {
		kind := k / 2 % 2
		r := &Replica{places: 8, mean: 0.1 * float64(1+kind), met: map[teller]*sum{}, Member: controller.Member{
			ID: fmt.Sprintf("s-%04d", k), Zone: zones[k%len(zones)], HardwareClass: site.kind(kind), Weight: 1}}
		able += float64(r.places) / r.mean
		w.Replicas, w.by[r.Member.ID] = append(w.Replicas, r), r
	}
	rate := able * site.Load / float64(site.Proxies)
	for k := range site.Proxies {
		p := &proxy{id: k, zone: zones[k%len(zones)], lines: map[string]float64{}, shut: map[string]bool{}, levels: map[string]controller.Admission{},
			failures: map[string]int{}, avoided: map[string]bool{},
			wrote: map[int][]int64{}, came: make([]int, len(site.Names.Classes)), missed: make([]int, len(site.Names.Classes))}
		w.proxies = append(w.proxies, p)
		w.arrive(p, rate)
		w.every(second, func() { w.usage(p) })
	}
	for _, zone := range zones {
		w.every(second, func() { w.sums(zone) })
	}
	for k := range max(1, site.Provision.Controllers) {
		w.towers = append(w.towers, &tower{world: w, number: k})
	}
	if site.Intake > 0 {
		w.every(second/10, w.takeIn)
	}
	return w
}

func (w *World) at(when int64, do func()) {
	w.ordered++
	heap.Push(&w.events, event{max(when, w.now), w.ordered, do})
}

func (w *World) after(span int64, do func()) { w.at(w.now+span, do) }

func (w *World) every(span int64, do func()) {
	var again func()
	again = func() { do(); w.after(span, again) }
	w.after(w.chance.Int63n(span), again)
}

// Run plays until a time.
func (w *World) Run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Now is the virtual time.
func (w *World) Now() int64 { return w.now }

// Count counts the flows that come in a span, and begins at nought.
func (w *World) Count(from, until int64) *Outcome {
	w.from, w.until, w.outcome = from, until, Outcome{}
	return &w.outcome
}

// ---- flows

func (w *World) arrive(p *proxy, rate float64) {
	w.after(int64(w.chance.ExpFloat64()/rate*float64(second)), func() {
		w.arrive(p, rate)
		w.come(&flow{p: p, group: min(len(p.came)-1, w.chance.Intn(5)/4), came: w.now}) // one in five is of the second group
	})
}

// come lets a flow in, or blocks it by its group's level.
func (w *World) come(f *flow) {
	p := f.p
	p.came[f.group]++
	w.count(f, func(o *Outcome) { o.Came++ })
	name := w.Site.Names.Classes[f.group]
	if l, ok := p.levels[name]; ok && w.chance.Float64() >= l.Fraction {
		f.done = true
		w.count(f, func(o *Outcome) { o.Blocked++ })
		return
	}
	w.at(f.came+w.Site.Provision.Classes[f.group].Timeout, func() { w.end(f, false) })
	w.try(f, "")
}

func (w *World) count(f *flow, add func(*Outcome)) {
	if f.came >= w.from && f.came < w.until {
		add(&w.outcome)
	}
}

func (w *World) end(f *flow, good bool) {
	if f.done {
		return
	}
	f.done = true
	if !good && f.returned < w.Site.Overload.ClientTries {
		w.after(clientReturn, func() { w.come(&flow{p: f.p, group: f.group, came: w.now, returned: f.returned + 1}) })
	}
	switch {
	case !good:
		f.p.missed[f.group]++
		w.count(f, func(o *Outcome) { o.Lost++ })
	case w.now-f.came > w.Site.Provision.Classes[f.group].LatencyObjective:
		w.count(f, func(o *Outcome) { o.Late++ })
	default:
		w.count(f, func(o *Outcome) { o.Good++ })
	}
}

// pick draws a line by weight, but not the one that was tried.
func (w *World) pick(p *proxy, not string) *Replica {
	if p.picks == nil {
		p.picks, p.total = p.picks[:0], 0
		for _, r := range w.Replicas { // in one order
			if id := r.Member.ID; p.lines[id] > 0 && !p.shut[id] && !p.avoided[id] {
				p.total += p.lines[id]
				p.picks = append(p.picks, weighed{r, p.lines[id]})
			}
		}
	}
	total := p.total
	if not != "" && !p.shut[not] && !p.avoided[not] {
		total -= p.lines[not]
	}
	drawn := w.chance.Float64() * total
	for _, l := range p.picks {
		if l.replica.Member.ID == not {
			continue
		}
		if drawn -= l.weight; drawn <= 0 {
			return l.replica
		}
	}
	return nil
}

func (w *World) try(f *flow, not string) {
	r := w.pick(f.p, not)
	if r == nil {
		w.end(f, false)
		return
	}
	w.sent(f.p, r)
	sum, begun := r.sum(teller{f.p.zone, f.p.tower}), w.now
	if f.p.zone != r.Member.Zone && w.cut[f.p.zone]+w.cut[r.Member.Zone] > 0 { // no word of it ever comes
		w.at(f.came+w.Site.Provision.Classes[f.group].Timeout, missed(sum))
		return
	}
	switch r.Mood {
	case Failing: // proof that it never ran: one more try
		w.after(5*milli, func() {
			missed(sum)()
			if l, told := f.p.levels[w.Site.Names.Classes[f.group]]; f.again || told && l.Retries == control.NoRetry {
				w.end(f, false)
				return
			}
			f.again = true
			w.try(f, r.Member.ID)
		})
		return
	case Silent:
		w.at(f.came+w.Site.Provision.Classes[f.group].Timeout, missed(sum))
		return
	}
	if w.full(r) {
		w.refuse(f, r, sum)
		return
	}
	answered := false
	w.at(f.came+w.Site.Provision.Classes[f.group].Timeout, func() {
		if !answered {
			answered = true
			missed(sum)()
			w.failed(f.p, r)
		}
	})
	w.enter(r, func() {
		if !answered {
			answered = true
			sum.tries, sum.answers = sum.tries+1, sum.answers+w.now-begun
			delete(f.p.failures, r.Member.ID)
			w.end(f, true)
		}
	})
}

func missed(s *sum) func() { return func() { s.tries, s.missed = s.tries+1, s.missed+1 } }

func (r *Replica) sum(by teller) *sum {
	if r.met[by] == nil {
		r.met[by] = &sum{}
	}
	return r.met[by]
}

// enter runs a flow, or lets it wait for a place.
func (w *World) enter(r *Replica, good func()) {
	if r.running >= r.places {
		r.waiting = append(r.waiting, func() { w.enter(r, good) })
		return
	}
	r.running++
	mean := r.mean / w.able(r)
	if r.Mood == Slow {
		mean *= 5
	}
	w.after(int64(mean*(0.5+0.5*w.chance.ExpFloat64())*float64(second)), func() {
		if r.running--; r.Mood != Silent {
			good()
		}
		if len(r.waiting) > 0 {
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			next()
		}
	})
}
