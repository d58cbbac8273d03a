package controlserver

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacbend/control"
	"lilacbend/internal/controller"
)

// maxEndpointsPerPart is how many lines go into one part of a message: with the longest names it stays under the
// largest size of a message.
const maxEndpointsPerPart = 4 << 10

// fields are the names and values of one message, and the first thing wrong with them.
type fields struct {
	kind  string
	words []string
	err   error
}

func parseFields(words []string) *fields {
	f := &fields{words: words}
	if len(words)%2 == 0 {
		f.failf("%d words", len(words))
	} else {
		f.kind = words[0]
	}
	return f
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) failf(format string, args ...any) {
	f.fail(fmt.Errorf(format, args...))
}

func (f *fields) lookup(name string) (string, bool) {
	for k := 1; k+1 < len(f.words); k += 2 {
		if f.words[k] == name {
			return f.words[k+1], true
		}
	}
	return "", false
}

func (f *fields) text(name string) string {
	v, ok := f.lookup(name)
	if !ok {
		f.failf("%s without %s", f.kind, name)
	}
	return v
}

func (f *fields) number(name string) float64 {
	v := f.text(name)
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.failf("%s with %s %.40q", f.kind, name, v)
		return 0
	}
	return n
}

// zone reads where a peer stands. It may be left out, as there are deployments without zones: the topology knows.
func (f *fields) zone() string {
	name, _ := f.lookup("site")
	return name
}

// optionalNumber reads a figure that may be left out: nothing stands on it alone.
func (f *fields) optionalNumber(name string) float64 {
	if _, ok := f.lookup(name); !ok {
		return 0
	}
	return f.number(name)
}

func (f *fields) integer(name string) int {
	n := f.number(name)
	if n != math.Trunc(n) || n > math.MaxInt32 {
		f.failf("%s with %s %v", f.kind, name, n)
		return 0
	}
	return int(n)
}

func (f *fields) milliseconds(name string) int64 { return control.Nanos(f.number(name)) }

func parseHello(f *fields) controller.StreamOpened {
	blank, _ := f.lookup("new")
	return controller.StreamOpened{Proxy: f.integer("id"), Zone: f.zone(), Rate: f.optionalNumber("rps"), WithoutTable: blank == "1"}
}

func parseAck(f *fields) controller.Ack {
	return controller.Ack{Nonce: uint64(f.integer("seq")), Delay: control.Nanos(f.optionalNumber("ms"))}
}

func parseOutcomes(f *fields) controller.Outcomes {
	m := controller.Outcomes{Zone: f.zone(), Replica: f.text("target")}
	m.Attempts, m.Failures, m.ResponseTime, m.Period = f.integer("count"), f.integer("fail"), f.milliseconds("mean"), f.milliseconds("over")
	m.InFlight = -1
	if report, ok := f.lookup("util"); ok {
		first, _, _ := strings.Cut(report, ",")
		_, value, _ := strings.Cut(first, ":")
		if held, err := strconv.ParseFloat(value, 64); err == nil {
			m.InFlight = control.Finite(held)
		}
	}
	return m
}

func parseDemand(f *fields) controller.Demand {
	d := controller.Demand{Class: f.text("lane")}
	d.Proxy, d.Requests, d.Failures, d.Period = f.integer("id"), f.integer("count"), f.integer("fail"), f.milliseconds("over")
	return d
}

// formatWeight writes a weight or a share: no more of it than a proxy reads, and never infinity.
func formatWeight(v float64) string {
	return strconv.FormatFloat(math.Min(v, math.MaxFloat32), 'f', -1, 32)
}

// maxParts is how many parts a message may have, by the protocol.
const maxParts = 64

// mergeAdmissions puts levels that say the same into one part each, in the order of the first: a part for every traffic group could
// be more than a message may have, and shares and ways of trying again are few.
func mergeAdmissions(levels []controller.Admission) (all []controller.Admission) {
	at := map[controller.Admission]int{}
	for _, l := range levels {
		name := l.Class
		l.Class = ""
		k, seen := at[l]
		if !seen {
			k = len(all)
			at[l], all = k, append(all, l)
			all[k].Class = name
			continue
		}
		all[k].Class += "+" + name
	}
	return all
}

// EncodeUpdate returns the messages that carry an update to a proxy, each as its words. The last one has the nonce.
func EncodeUpdate(p controller.Update) [][]string {
	var out [][]string
	full, lines, shut, let := p.Full, p.Endpoints, p.Ejected, p.Restored
	for full || len(lines)+len(shut)+len(let) > 0 {
		part := []string{"push"}
		if full {
			part, full = append(part, "full", "1"), false
		}
		if n := min(len(lines), maxEndpointsPerPart); n > 0 {
			pairs := make([]string, n)
			for k, l := range lines[:n] {
				pairs[k] = l.Replica + ":" + formatWeight(l.Weight)
			}
			part, lines = append(part, "endpoints", strings.Join(pairs, ",")), lines[n:]
		} else if n := min(len(shut), maxEndpointsPerPart); n > 0 {
			part, shut = append(part, "eject", strings.Join(shut[:n], ",")), shut[n:]
		} else if n := min(len(let), maxEndpointsPerPart); n > 0 {
			part, let = append(part, "restore", strings.Join(let[:n], ",")), let[n:]
		}
		out = append(out, part)
	}
	levels := p.Admissions
	if len(out)+len(levels) > maxParts {
		levels = mergeAdmissions(levels)
	}
	for _, l := range levels {
		out = append(out, []string{"push", "routes", l.Class, "admit", formatWeight(l.Fraction), "policy", strconv.Itoa(int(l.Retries))})
	}
	if p.WantsAck {
		if len(out) == 0 {
			out = append(out, []string{"push"})
		}
		last := len(out) - 1
		out[last] = append(out[last], "nonce_out", strconv.FormatUint(p.Nonce, 10))
	}
	for k := range len(out) - 1 {
		out[k] = append(out[k], "continued", "1")
	}
	return out
}
