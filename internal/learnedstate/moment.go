package learnedstate

// AgedState is a memory that serves a running governor: it goes on ageing by that governor's own clock.
type AgedState struct {
	State
	at       int64 // the governor's time when it was taken over
	age      int64 // then
	halfLife int64
	by       map[string]*Replica
}

// NewAgedState takes a memory over that was of an age at a time of the governor's clock.
func NewAgedState(m State, at, age, halfLife int64) *AgedState {
	p := &AgedState{State: m, at: at, age: age, halfLife: halfLife, by: make(map[string]*Replica, len(m.Replicas))}
	for k := range m.Replicas {
		p.by[m.Replicas[k].ID] = &m.Replicas[k]
	}
	return p
}

// Age is how old the memory is now.
func (p *AgedState) Age(now int64) int64 { return addSpans(p.age, now-p.at) }

// Weight is what is left of what was learned of the fleet.
func (p *AgedState) Weight(now int64) float64 { return Weight(p.Age(now), p.halfLife) }

// Lookup finds what was learned of a replica as it is listed now, how old that is and what weight is left. One that
// has started since, or moved to another zone or kind, is not the one that is remembered.
func (p *AgedState) Lookup(id, zone, kind string, upSince, now int64) (r Replica, age int64, weight float64) {
	if p == nil || p.by[id] == nil {
		return Replica{}, 0, 0
	}
	if r = *p.by[id]; r.UpSince != upSince || r.Zone != zone || r.HardwareClass != kind {
		return Replica{}, 0, 0
	}
	passed := p.Age(now)
	if r.EjectedFor > 0 && r.EjectedFor <= passed { // over meanwhile: it was about to be tried
		r.Probation = true
	}
	r.EjectedFor = max(0, r.EjectedFor-passed)
	age = addSpans(r.SinceLastSample, passed)
	return r, age, Weight(age, p.halfLife)
}
