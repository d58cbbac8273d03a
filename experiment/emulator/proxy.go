package emulator

import (
	"lilacbend/control"
	"lilacbend/internal/controller"
)

// proxy routes requests by the table that its controller sends.
type proxy struct {
	id         int
	zone       string
	stream     controller.StreamID // 0: none
	controller int                 // index of the controller of the stream, or of the previous stream if there is none
	weights    map[string]float64  // weights of the endpoints, by replica ID
	ejected    map[string]bool
	admissions map[string]controller.Admission // by class
	arrivals   []int                           // requests by class since the last report
	failures   []int                           // failed requests by class since the last report

	candidates  []candidate // replicas that may be picked; nil: not computed yet
	totalWeight float64     // sum of the weights of all candidates

	consecutiveFailures map[string]int  // failed attempts in a row, by replica ID
	avoided             map[string]bool // IDs of replicas that the proxy avoids because of its own failed attempts

	joinedAt        int64           // when the stream was opened
	stalledUntil    int64           // messages are not applied before that time
	lastApplied     int64           // when the latest message was, or will be, applied
	noEndpointSince int64           // time since which the proxy has had no endpoint; 0: it has one
	messageTimes    map[int][]int64 // send times of the messages to the proxy in the message window, by controller
}

// candidate is a replica that a proxy may pick, with its weight.
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

// pick returns a random replica according to the weights, but not the excluded replica (that of the first attempt). It
// returns nil if there is no other candidate.
func (sim *Simulation) pick(p *proxy, excluded string) *Replica {
	if p.candidates == nil {
		sim.computeCandidates(p)
	}
	total := p.totalWeight
	if excluded != "" && !p.ejected[excluded] && !p.avoided[excluded] {
		total -= p.weights[excluded]
	}
	drawn := sim.random.Float64() * total
	for _, c := range p.candidates {
		if c.replica.Member.ID == excluded {
			continue
		}
		drawn -= c.weight
		if drawn <= 0 {
			return c.replica
		}
	}
	return nil
}

// computeCandidates computes the candidates in the order of the replicas. The random order of a map would make runs of one
// seed differ.
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

// hasEndpoint reports whether a proxy has an endpoint that is not ejected. Endpoints that the proxy avoids because of its
// own failed attempts count too.
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
	p.noEndpointSince = 0
	sim.controllers[p.controller].enqueue(controller.StreamOpened{
		Stream:       p.stream,
		Proxy:        p.id,
		Zone:         p.zone,
		WithoutTable: len(p.weights) == 0,
		RequestRate:  1,
	})
	sim.checkEndpoint(p)
}

// reconnect joins a random running controller after a delay, and retries until one runs. If there is only one controller,
// its proxies join when it starts.
func (sim *Simulation) reconnect(p *proxy) {
	if len(sim.controllers) == 1 {
		return
	}
	sim.after(second/7+sim.random.Int63n(3*second/2), func() {
		if p.stream != 0 || sim.isPartitioned(p.zone) {
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

// apply applies an update that has arrived at a proxy, or postpones it while the proxy is stalled, and acknowledges it.
func (sim *Simulation) apply(p *proxy, outgoing controller.OutgoingUpdate) {
	if p.stream != outgoing.Stream || sim.isPartitioned(p.zone) { // the update is lost with its stream
		return
	}
	if sim.now < p.stalledUntil {
		p.lastApplied = max(p.lastApplied, p.stalledUntil)
		sim.at(p.lastApplied, func() { sim.apply(p, outgoing) })
		return
	}
	p.applyUpdate(outgoing.Update)
	if outgoing.Update.WantsAck {
		sim.after(transitTime, func() {
			if sim.isPartitioned(p.zone) {
				return
			}
			sim.controllers[p.controller].enqueue(controller.Ack{Stream: outgoing.Stream, Nonce: outgoing.Update.Nonce, Delay: transitTime})
		})
	}
	sim.checkEndpoint(p)
}

func (p *proxy) applyUpdate(update controller.Update) {
	p.candidates = nil
	if update.FullTable {
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

// mayRetry reports whether a proxy may retry a request of a class if its first attempt certainly did not run.
func (p *proxy) mayRetry(class string) bool {
	admission, ok := p.admissions[class]
	return !ok || admission.Retries != control.NoRetry
}

// isPartitioned reports whether a zone is partitioned from the others and from the controllers.
func (sim *Simulation) isPartitioned(zone string) bool { return sim.partitions[zone] > 0 }
