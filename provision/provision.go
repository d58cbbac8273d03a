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

// timeMost is the longest time that is read, in milliseconds: a year, so that sums of some times stay in range.
const timeMost = 366 * 24 * 3600 * 1000

// ms reads a time.
func (s *sheet) ms(path string) int64 {
	f := s.number(path)
	if f < 0 || f > timeMost {
		s.note("setting %s=%v is not a time from 0 to a year, in milliseconds", path, f)
		return 0
	}
	return control.Nanos(f)
}

// span reads a time that nothing works without.
func (s *sheet) span(path string) int64 {
	s.above(path)
	return s.ms(path)
}

// without stands for a setting that a deployment can lack, as it has no such rule.
func without[T any](s *sheet, path string, read func(path string) T, none T) T {
	if _, ok := s.facts[path]; !ok {
		return none
	}
	return read(path)
}

// share reads a part of something.
func (s *sheet) share(path string) float64 {
	f := s.number(path)
	if f < 0 || f > 1 {
		s.note("setting %s=%v is not a share from 0 to 1", path, f)
	}
	return f
}

// names reads words that peers will use, and that must not be taken for one another or for several.
func (s *sheet) names(path string, all []string, but string) []string {
	seen := map[string]bool{}
	for _, name := range all {
		switch {
		case seen[name]:
			s.note("setting %s: %.40q is there twice", path, name)
		case len(name) > nameMost:
			s.note("setting %s: %.40q... has %d bytes, at most %d may be", path, name, len(name), nameMost)
		case but != "" && (name == "" || strings.Contains(name, but)):
			s.note("setting %s: %q cannot stand in a list of names joined by %s", path, name, but)
		}
		seen[name] = true
	}
	return all
}

// nameMost is the longest name, in bytes: a peer's first message names its zone, and is read into one buffer of 4 KiB.
const nameMost = 1 << 10

func (s *sheet) count(path string) int {
	f := s.number(path)
	if f < 0 || f > 1<<20 || f != math.Trunc(f) {
		s.note("setting %s=%v is not a whole count", path, f)
		return 0
	}
	return int(f)
}

// linesMost is over what any channel holds, and far from where sums of it overflow.
const linesMost = 1 << 40

// lines reads a number of lines, which may have a fraction.
func (s *sheet) lines(path string, round func(float64) float64) int {
	f := s.number(path)
	if f < 0 || f > linesMost {
		s.note("setting %s=%v is not a number of lines", path, f)
		return 0
	}
	return int(round(f))
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
	// There may be neither zones nor kinds.
	n := Names{Zones: s.names("zones", f["zones"], ""), Kinds: f["kinds"]}
	lanes := s.count("lanes.count")
	for k := 0; k < lanes && s.err == nil; k++ {
		n.Groups = append(n.Groups, s.text(fmt.Sprintf("lanes.%d.name", k)))
	}
	s.names("lanes.name", n.Groups, "+")
	return n, s.err
}

// Provision reads what the module needs. Paths it does not know are skipped.
func (f Facts) Provision(seed uint64) (control.Provision, error) {
	s := &sheet{facts: f}
	p := control.Provision{
		Seed:      seed,
		Governors: s.count("balancers"),
		Zones:     len(f["zones"]),
		Kinds:     len(f["kinds"]),
		Proxies:   s.count("domain.proxy_count"),

		ChannelRate:  s.above("domain.push_rate"),
		ChannelLimit: s.lines("domain.pending_max", math.Floor),
		MessageHead:  s.lines("domain.envelope", math.Ceil),
		WorstTransit: s.ms("domain.worst_transit_ms"),
		MessagesMost: s.count("domain.pushes_allowed"),
		MessagesSpan: s.ms("domain.reload_span_ms"),
		ReportEvery:  s.span("domain.cycle_ms"),

		// A deployment without such a rule does not state its figures. Who is never cold needs no others; who is, though
		// none are stated, is taken for the least able: who starts with nothing and falls at more than it can do.
		DrainGrace:   without(s, "invariants.drain_grace_ms", s.ms, 0),
		ColdShare:    without(s, "invariants.cold_from", s.share, 0),
		WarmAfter:    without(s, "invariants.warm_after_ms", s.ms, 0),
		FallMultiple: without(s, "invariants.tip_multiple", s.above, 1),

		Pick: choice(s, "domain.pick", map[string]control.Pick{
			"random": control.PickChance, "rotate": control.PickRound, "p2c": control.PickIdler}),
		Admission: choice(s, "domain.admit", map[string]control.Admission{
			"silent": control.AdmitAll, "fraction": control.AdmitShare, "per_second": control.AdmitRate}),
		TryFactor:  s.number("domain.try_factor"),
		UsualTries: control.Tries(s.count("domain.usual_how")),
	}
	if p.UsualTries > control.TryTwiceMore {
		s.note("setting domain.usual_how=%d is no way of trying again", p.UsualTries)
	}
	if shards := without(s, "domain.shards", s.number, 0); shards != 0 {
		s.note("setting domain.shards=%v: sites with slices are not served", shards)
	}
	s.above("lanes.count")
	lanes := s.count("lanes.count")
	for k := 0; k < lanes && s.err == nil; k++ {
		p.Groups = append(p.Groups, group(s, fmt.Sprintf("lanes.%d.", k)))
	}
	// What the smallest table takes in a message: its head and the word that it is whole, three lines of which all may be
	// withdrawn, a level for each group, a mark. A channel that a few of them fill could not be kept under its limit.
	if least := fewMessages * (p.MessageHead + 1 + 2*3 + len(p.Groups) + 1); p.ChannelLimit < least {
		s.note("setting domain.pending_max=%d is too small for %d messages of a table, which have %d lines",
			p.ChannelLimit, fewMessages, least)
	}
	if s.err != nil {
		return control.Provision{}, s.err
	}
	return p, nil
}

// fewMessages are the least that a channel has to hold: one, and room for what cannot wait.
const fewMessages = 2

func group(s *sheet, at string) control.TrafficGroup {
	g := control.TrafficGroup{
		Utility:       s.number(at + "gain"),
		LatencyBudget: s.span(at + "slo_ms"),
		Expiry:        s.span(at + "deadline_ms"),
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
