package policy

import (
	"cmp"
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"lilacbend/policy/internal/sample"
	"math"
	"slices"
)

// Tuned values of admission and retries.
const (
	lateMost   = 2.5  // overload is late
	strained   = 0.75 // overload: answers, of the latency objective
	missedMost = 0.15 // overload: misses
	missedOnce = 0.08 // one try only
	shareSteps = 20   // steps of levels
	lineFirst  = 0.9  // the line: first of the served
	lineDown   = 0.9  // later
	lineUp     = 0.01 // up, a second
)

type sums struct {
	control.Demand
	at int64
}

type admissionController struct {
	*sharedState
	came         []sums    // the last demand
	served       []float64 // the last flows a second that the fleet gave good answers to
	groups       []int     // by utility, the cheaper first where it is equal
	line, press  float64   // how many of them are let in; how overloaded the fleet last was
	judged, fell int64
	eased, age   int64 // when it last was not overloaded; by how much sums tell of longer than they should
	set          map[int]control.SetAdmission
	strain, once bool
	turned       int64 // when further tries were last stopped or let on
	past         control.FleetRestored
	since        int64 // when it was told
}

// usual is what proxies do by themselves after a failure, or less where a try that may have run could then be
// repeated with an effect: only what may run again, or is deduped everywhere for twice as long, is safe.
func (l *admissionController) usual(g control.TrafficClass) control.RetryPolicy {
	last := 2 * l.AttemptTimeoutFactor * float64(g.LatencyObjective) * float64(l.DefaultRetries-control.RetryIfNotExecuted)
	if g.Idempotency == control.Idempotent || g.DeduplicationScope == control.ScopeAll && last < float64(g.DeduplicationWindow) {
		return l.DefaultRetries
	}
	return min(l.DefaultRetries, control.RetryIfNotExecuted)
}

func (l *admissionController) handle(m message) {
	switch n := m.(type) {
	case demandReported:
		l.came = append(l.came, sums{n.Demand, l.now})
	case fleetRestored:
		l.past, l.since, l.judged, l.served = n.FleetRestored, l.now, l.now, append(l.served, n.Weight*n.MaxSuccessRate)
		l.once, l.turned = n.RetriesStopped && n.Weight >= confidenceLeft, l.now
	case fleetLoad:
		flows, by, fresh, all, missed := l.sums()
		if l.now-l.since < recent { // the first sums tell of few of the flows
			were := map[int]float64{}
			for _, u := range l.past.RequestRates {
				were[u.Class] += u.Rate * l.past.Weight
			}
			for g, rate := range were {
				flows[g] = math.Max(flows[g], rate)
			}
		}
		l.enqueue(placementComponent, demandSummary{float64(missed) / math.Max(1, float64(all)), by, fresh})
		l.judge(n, flows)
	default:
		unexpected(l, m)
	}
}

func (l *admissionController) ranked() []int {
	return slices.SortedStableFunc(numbers(len(l.Classes)), func(a, b int) int {
		x, y := l.Classes[a], l.Classes[b]
		return cmp.Or(cmp.Compare(y.PriorityWeight, x.PriorityWeight), cmp.Compare(x.LatencyObjective, y.LatencyObjective))
	})
}

// judge moves the line of utility. An overloaded fleet is first let less than the most it served lately, then
// a part less at each look, unless it eases; a calm one a bit more. It harms if answers are late for the way.
func (l *admissionController) judge(f fleetLoad, flows map[int]float64) {
	if l.groups == nil {
		l.groups = l.ranked()
		l.line = float64(len(l.groups)) * (1 - l.past.Weight*(1-l.past.AdmissionThreshold))
	}
	press := f.responseTime * float64(second) / strained / float64(l.Classes[l.groups[0]].LatencyObjective)
	if f.responseTime > lateMost*f.baselineResponseTime { // else misses are connections refused, silence, errors: no overload
		press = math.Max(press, f.typicalFailureRate/missedMost)
	}
	answers := f.attemptRate * (1 - f.failureRate) * float64(recent) / float64(second) // too few tell of no queue
	over := press > 1 && answers >= sickTries && l.Admission == control.AdmitFraction
	// Full queues hold work whose clients have left, and only fewer tries let them drain.
	if once := f.failureRate > missedOnce || l.once && f.failureRate > missedOnce/2; once != l.once && l.now-l.turned > recent {
		l.once, l.turned = once, l.now
		l.say("one try only %v: %.2f missed", once, f.failureRate)
	}
	l.served = sample.Newest(2*sample.Kept, append(l.served, f.attemptRate*(1-f.failureRate)/math.Max(1e-9, f.inService)))
	if !over {
		l.eased = l.now
	}
	switch all := float64(len(l.groups)); {
	case l.now-l.fell < recent, // the samples still tell of the time before the last move
		over && l.now-l.eased < l.age: // or of what may have passed before they came
	case over && l.line < all:
		if press > l.press { // what eases by itself needs no further fall
			l.line *= lineDown
		}
		l.press, l.fell = press, l.now
	case over:
		// All that came was tried: where fewer tries are told of than flows, fewer answers are as well.
		left := lineFirst * slices.Max(l.served) * f.inService * math.Max(1, ordered.Sum(flows)/math.Max(1, f.attemptRate))
		l.line, l.press, l.fell = 0, press, l.now
		for _, g := range l.groups {
			l.line += math.Min(1, math.Max(0, left)/math.Max(1, flows[g]))
			left -= flows[g]
		}
	default:
		calm := math.Max(1, float64(l.now-l.fell)/float64(demandSpan)) // the longer, the quicker
		l.line = math.Min(all, l.line+lineUp*calm*all*float64(l.now-l.judged)/float64(second))
	}
	l.judged = l.now
	if over != l.strain {
		l.strain = over
		l.say("overload %v: %.2f missed, answers %.3fs, line at %.2f groups", over, f.typicalFailureRate, f.responseTime, l.line)
	}
	for rank, g := range l.groups { // those over the line get all, those under it what is left
		share := math.Min(1, math.Max(0, math.Ceil(shareSteps*(l.line-float64(rank)))/shareSteps))
		o := control.SetAdmission{Table: control.AllTables, Class: g, Fraction: share, Retries: l.usual(l.Classes[g])}
		if l.once {
			o.Retries = control.NoRetry
		}
		if last, ok := l.set[g]; ok && last != o || !ok && (share < 1 || o.Retries != l.DefaultRetries) {
			l.set[g] = o
			l.enqueue(pacingComponent, admissionChanged{o})
		}
	}
}

// sums adds up the demand that is kept: requests a second by traffic class, requests by proxy, the newest by proxy as of
// the whole span, and how many came and failed lately. It notes by how much reports tell of more than their period.
func (l *admissionController) sums() (flows, by, fresh map[int]float64, all, missed int) {
	l.came, l.age = slices.DeleteFunc(l.came, func(d sums) bool { return d.at <= l.now-demandSpan }), 0
	flows, by, fresh = map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, d := range l.came {
		l.age += (d.Period - l.ReportInterval) / int64(len(l.came))
		if by[d.Proxy] += float64(d.Requests); d.at > l.now-l.ReportInterval { // as of so long a time
			fresh[d.Proxy] += float64(d.Requests) * float64(demandSpan) / float64(max(d.Period, l.ReportInterval, 1))
		}
		if d.at > l.now-recent {
			flows[d.Class] += float64(d.Requests) * float64(second) / float64(recent)
			all, missed = all+d.Requests, missed+d.Failures
		}
	}
	return flows, by, fresh, all, missed
}

// renumberGroups keeps sums, usage, orders and the line. The line stays with the groups: who was let in is, where none
// of more worth is kept out.
func (l *admissionController) renumberGroups(numbers []int) {
	l.came = slices.DeleteFunc(l.came, func(d sums) bool { return number(numbers, d.Class) < 0 })
	for k := range l.came {
		l.came[k].Class = number(numbers, l.came[k].Class)
	}
	var usage []control.ClassRate
	for _, u := range l.past.RequestRates {
		if u.Class = number(numbers, u.Class); u.Class >= 0 {
			usage = append(usage, u)
		}
	}
	l.past.RequestRates = usage
	set := map[int]control.SetAdmission{}
	for group, o := range l.set {
		if o.Class = number(numbers, group); o.Class >= 0 {
			set[o.Class] = o
		}
	}
	l.set = set
	if l.groups == nil {
		return
	}
	shares := map[int]float64{}
	for rank, group := range l.groups {
		shares[number(numbers, group)] = math.Min(1, math.Max(0, l.line-float64(rank)))
	}
	l.groups = l.ranked()
	l.line = float64(len(l.groups))
	for rank, group := range l.groups {
		if share, kept := shares[group]; kept && share < 1 {
			l.line = float64(rank) + share
			break
		}
	}
}
