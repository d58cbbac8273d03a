package provision

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacbend/control"
)

// sheet reads facts and keeps the first thing wrong with them.
type sheet struct {
	facts Facts
	err   error
}

func (s *sheet) note(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *sheet) list(path string) []string {
	v, ok := s.facts[path]
	if !ok {
		s.note("setting %s is missing", path)
	}
	return v
}

func (s *sheet) text(path string) string { return strings.Join(s.list(path), ",") }

func (s *sheet) number(path string) float64 {
	v := s.text(path)
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		s.note("setting %s=%q is not a number", path, v)
		return 0
	}
	return f
}

// above reads a number that nothing works without.
func (s *sheet) above(path string) float64 {
	f := s.number(path)
	if f <= 0 {
		s.note("setting %s=%v is not above 0", path, f)
	}
	return f
}

func (s *sheet) ms(path string) int64 { return control.Nanos(s.number(path)) }

// perhaps reads a time that a governor can do without.
func (s *sheet) perhaps(path string) int64 {
	if _, ok := s.facts[path]; !ok {
		return 0
	}
	return s.ms(path)
}

func (s *sheet) count(path string) int {
	f := s.number(path)
	if f < 0 || f > 1<<20 || f != math.Trunc(f) {
		s.note("setting %s=%v is not a whole count", path, f)
		return 0
	}
	return int(f)
}

// choice reads a word that must be one of those given.
func choice[T any](s *sheet, path string, words map[string]T) T {
	v := s.text(path)
	t, ok := words[v]
	if !ok {
		s.note("setting %s=%q is not known", path, v)
	}
	return t
}

// Names are the words that numbers stand for, in their order.
type Names struct{ Groups, Zones, Kinds []string }

// Names says what traffic groups, zones and kinds are called.
func (f Facts) Names() (Names, error) {
	s := &sheet{facts: f}
	n := Names{Zones: s.list("zones"), Kinds: s.list("kinds")}
	lanes := s.count("lanes.count")
	for k := 0; k < lanes && s.err == nil; k++ {
		n.Groups = append(n.Groups, s.text(fmt.Sprintf("lanes.%d.name", k)))
	}
	return n, s.err
}

// Provision reads what the module needs. Paths it does not know are skipped.
func (f Facts) Provision(seed uint64) (control.Provision, error) {
	s := &sheet{facts: f}
	p := control.Provision{
		Seed:      seed,
		Governors: s.count("balancers"),
		Zones:     len(s.list("zones")),
		Kinds:     len(s.list("kinds")),
		Proxies:   s.count("domain.proxy_count"),

		ChannelRate:  s.above("domain.push_rate"),
		ChannelLimit: int(s.above("domain.pending_max")),
		MessageHead:  int(math.Ceil(s.number("domain.envelope"))),
		WorstTransit: s.ms("domain.worst_transit_ms"),
		MessagesMost: s.count("domain.pushes_allowed"),
		MessagesSpan: s.ms("domain.reload_span_ms"),
		ReportEvery:  control.Nanos(s.above("domain.cycle_ms")),

		DrainGrace:   s.perhaps("invariants.drain_grace_ms"),
		ColdShare:    s.number("invariants.cold_from"),
		WarmAfter:    s.ms("invariants.warm_after_ms"),
		FallMultiple: s.number("invariants.tip_multiple"),

		Pick: choice(s, "domain.pick", map[string]control.Pick{
			"random": control.PickChance, "rotate": control.PickRound, "p2c": control.PickIdler}),
		Admission: choice(s, "domain.admit", map[string]control.Admission{
			"silent": control.AdmitAll, "fraction": control.AdmitShare, "per_second": control.AdmitRate}),
		TryFactor:  s.number("domain.try_factor"),
		UsualTries: control.Tries(s.count("domain.usual_how")),
	}
	if shards := s.text("domain.shards"); shards != "0" {
		s.note("domain.shards=%q: sites with slices are not served", shards)
	}
	s.above("lanes.count")
	lanes := s.count("lanes.count")
	for k := 0; k < lanes && s.err == nil; k++ {
		p.Groups = append(p.Groups, group(s, fmt.Sprintf("lanes.%d.", k)))
	}
	if s.err != nil {
		return control.Provision{}, s.err
	}
	return p, nil
}

func group(s *sheet, at string) control.TrafficGroup {
	g := control.TrafficGroup{
		Utility:       s.number(at + "gain"),
		LatencyBudget: s.ms(at + "slo_ms"),
		Expiry:        s.ms(at + "deadline_ms"),
		Effect: choice(s, at+"effect", map[string]control.Effect{
			"read_like":       control.Retriable,
			"idempotency_key": control.Deduped,
			"non_idempotent":  control.NonRetriable}),
	}
	if g.Effect == control.Deduped {
		g.Window = s.ms(at + "window_ms")
		g.Scope = choice(s, at+"group", map[string]control.Scope{
			"all": control.ScopeAll, "zone": control.ScopeZone, "cell": control.ScopeCell})
	}
	return g
}
