package policy

import (
	"cmp"
	"lilacbend/control"
	"lilacbend/policy/internal/ordered"
	"slices"
)

// learned answers control.SnapshotRequested.
func (g *Policy) learned() control.Snapshot {
	p, r, l := g.queues[placementComponent].component.(*planner), g.queues[bindingComponent].component.(*binder), g.queues[admissionComponent].component.(*admissionController)
	var all control.Snapshot
	for _, id := range ordered.Keys(g.replicas) {
		r := g.replicas[id]
		learned := r.learned()
		learned.Table = p.placer.TableOf(id)
		all.Replicas = append(all.Replicas, learned)
	}
	all.Tables, all.AdmissionThreshold, all.RetriesStopped = p.placer.Tables(), 1, l.once
	all.BaselineResponseTimes = p.baselines.Snapshot(g.HardwareClasses + 1) // one more stands for the whole fleet
	if len(l.groups) > 0 {
		all.AdmissionThreshold = l.line / float64(len(l.groups))
	}
	for _, served := range l.served {
		all.MaxSuccessRate = max(all.MaxSuccessRate, served)
	}
	all.RequestRates = g.usage(l)
	for _, proxy := range ordered.Keys(r.here) {
		if c := r.here[proxy]; c.table >= 0 {
			all.Bindings = append(all.Bindings, control.Binding{Proxy: proxy, Table: c.table})
		}
	}
	return all
}

// usage is what came to each proxy over the span for which demand is kept, or since this governor began.
func (g *Policy) usage(l *admissionController) (all []control.ClassRate) {
	type of struct{ proxy, group int }
	flows := map[of]int{}
	for _, d := range l.came {
		flows[of{d.Proxy, d.Class}] += d.Requests
	}
	span := float64(max(second, min(demandSpan, g.now-g.born))) / float64(second)
	for of, n := range flows {
		all = append(all, control.ClassRate{Proxy: of.proxy, Class: of.group, Rate: float64(n) / span})
	}
	slices.SortFunc(all, func(a, b control.ClassRate) int {
		return cmp.Or(cmp.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Class, b.Class))
	})
	return all
}
