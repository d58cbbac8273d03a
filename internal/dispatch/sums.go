package dispatch

// Sum is what was met at one replica since it was last told.
type Sum struct {
	Tries, Missed int
	Answers       int64 // the time to the heads of good answers, together
}

// Usage is what came of one traffic group since it was last told, and how much of what was let in was not served.
type Usage struct{ Flows, Missed int }

// met counts a try that has ended.
func (d *Desk) met(now int64, f *Flow, ended Outcome) {
	s := d.sums[f.current]
	if s == nil {
		s = &Sum{}
		d.sums[f.current] = s
	}
	if s.Tries++; ended != Good {
		s.Missed++
		return
	}
	if f.headed > 0 {
		now = f.headed
	}
	s.Answers += now - f.tries[len(f.tries)-1].began
}

// Sums hands over what was met, and begins anew.
func (d *Desk) Sums() map[string]*Sum {
	all := d.sums
	d.sums = make(map[string]*Sum, len(all))
	return all
}

// Usage hands over what came, by traffic group, and begins anew.
func (d *Desk) Usage() []Usage {
	all := d.usage
	d.usage = make([]Usage, len(all))
	return all
}
