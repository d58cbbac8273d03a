package emulator

import (
	"lilacbend/control"
	"lilacbend/internal/controller"
)

// proxy follows the table that a controller sends it.
type proxy struct {
	id         int
	zone       string
	stream     controller.StreamID // 0: none
	controller int                 // of the stream, or of the last one
	weights    map[string]float64  // of endpoints, by replica
	ejected    map[string]bool
	admissions map[string]controller.Admission // by class
	arrivals   []int                           // by class, since they were last reported
	failures   []int                           // likewise

	candidates  []candidate // what may be picked; nil: to be computed
	totalWeight float64     // of all candidates

	consecutiveFailures map[string]int  // by replica
	avoided             map[string]bool // replicas that the proxy itself avoids for a while

	joinedAt     int64           // when the stream was opened
	stalledUntil int64           // messages are applied after that
	lastApplied  int64           // when the last message was, or will be, applied
	bareSince    int64           // when it had no endpoint any more; 0: it has one
	messageTimes map[int][]int64 // when each controller sent it messages, within the message window
}

// candidate is a replica that a proxy may pick.
type candidate struct {
	replica *Replica
	weight  float64
}

func newProxy(id int, zone string, classes int) *proxy {
	return &proxy{
		id:                  id,
		zone:                zone,
		weights:             map[string]float64{},
		ejected:             map[string]bool{},
		admissions:          map[string]controller.Admission{},
		consecutiveFailures: map[string]int{},
		avoided:             map[string]bool{},
		messageTimes:        map[int][]int64{},
		arrivals:            make([]int, classes),
		failures:            make([]int, classes),
	}
}

// pick draws a replica by weight, except one that was tried before. It returns nil if there is none.
func (sim *Simulation) pick(p *proxy, except string) *Replica {
	if p.candidates == nil {
		sim.computeCandidates(p)
	}
	total := p.totalWeight
	if except != "" && !p.ejected[except] && !p.avoided[except] {
		total -= p.weights[except]
	}
	drawn := sim.random.Float64() * total
	for _, c := range p.candidates {
		if c.replica.Member.ID == except {
			continue
		}
		drawn -= c.weight
		if drawn <= 0 {
			return c.replica
		}
	}
	return nil
}

// computeCandidates lists the candidates in the order of the replicas, which does not depend on that of a map.
func (sim *Simulation) computeCandidates(p *proxy) {
	p.totalWeight = 0
	for _, r := range sim.Replicas {
		id := r.Member.ID
		weight := p.weights[id]
		if weight > 0 && !p.ejected[id] && !p.avoided[id] {
			p.totalWeight += weight
			p.candidates = append(p.candidates, candidate{replica: r, weight: weight})
		}
	}
}

// hasEndpoint reports whether a proxy has an endpoint that is not ejected, whether it avoids that by itself or not.
func (p *proxy) hasEndpoint() bool {
	for id, weight := range p.weights {
		if weight > 0 && !p.ejected[id] {
			return true
		}
	}
	return false
}

// join opens a stream to the proxy's controller.
func (sim *Simulation) join(p *proxy) {
	sim.lastStream++
	p.stream = sim.lastStream
	p.joinedAt = sim.now
	p.bareSince = 0
	sim.controllers[p.controller].enqueue(controller.StreamOpened{
		Stream:       p.stream,
		Proxy:        p.id,
		Zone:         p.zone,
		WithoutTable: len(p.weights) == 0,
		Rate:         1,
	})
	sim.checkEndpoint(p)
}

// reconnect joins a running controller after a while, and again until there is one. If there is only one controller, its
// proxies join when it starts.
func (sim *Simulation) reconnect(p *proxy) {
	if len(sim.controllers) == 1 {
		return
	}
	sim.after(second/7+sim.random.Int63n(3*second/2), func() {
		if p.stream != 0 || sim.isCut(p.zone) {
			return
		}
		for _, k := range sim.random.Perm(len(sim.controllers)) {
			if sim.controllers[k].core != nil {
				p.controller = k
				sim.join(p)
				return
			}
		}
		sim.reconnect(p)
	})
}

// apply applies an update when it arrives at a proxy.
func (sim *Simulation) apply(p *proxy, outgoing controller.OutgoingUpdate) {
	if p.stream != outgoing.Stream || sim.isCut(p.zone) { // lost with its stream
		return
	}
	if sim.now < p.stalledUntil {
		p.lastApplied = max(p.lastApplied, p.stalledUntil)
		sim.at(p.lastApplied, func() { sim.apply(p, outgoing) })
		return
	}
	p.applyUpdate(outgoing.Update)
	if outgoing.Update.WantsAck {
		sim.after(transit, func() {
			if sim.isCut(p.zone) {
				return
			}
			sim.controllers[p.controller].enqueue(controller.Ack{Stream: outgoing.Stream, Nonce: outgoing.Update.Nonce, Delay: transit})
		})
	}
	sim.checkEndpoint(p)
}

func (p *proxy) applyUpdate(update controller.Update) {
	p.candidates = nil
	if update.Full {
		clear(p.weights)
		clear(p.admissions)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.Weight == 0 {
			delete(p.weights, endpoint.Replica)
		} else {
			p.weights[endpoint.Replica] = endpoint.Weight
		}
	}
	for _, id := range update.Ejected {
		p.ejected[id] = true
	}
	for _, id := range update.Unejected {
		delete(p.ejected, id)
	}
	for _, admission := range update.Admissions {
		p.admissions[admission.Class] = admission
	}
}

// mayRetry reports whether a proxy may retry a request of a class that certainly did not run.
func (p *proxy) mayRetry(class string) bool {
	admission, ok := p.admissions[class]
	return !ok || admission.Retries != control.NoRetry
}

// isCut reports whether a zone is cut off.
func (sim *Simulation) isCut(zone string) bool { return sim.cuts[zone] > 0 }
