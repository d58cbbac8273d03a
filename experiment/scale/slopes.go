package scale

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"lilacbend/experiment/scale/checks"
	"lilacbend/internal/capacity"
)

// figure is what a slope is fitted to: a total over all of a role, so that its slope is what one governor adds.
type figure struct {
	name string
	text string
	unit string
	of   func(Report) float64
}

// megabyte is that of reports, which is 2^20 bytes, in those of the capacity page.
const megabyte = float64(1<<20) / 1e6

// quietTotal is a figure of all of a role in the quiet phase.
func quietTotal(role string, of func(Spent) float64) func(Report) float64 {
	return func(r Report) float64 {
		for _, s := range quiet(r).Roles {
			if s.Role == role {
				return of(s.Spent) * float64(s.Count)
			}
		}
		return math.NaN()
	}
}

// quietDelay is how long changes of configuration took to all governors of their service in the quiet phase.
func quietDelay(of func(Delays) float64) func(Report) float64 {
	return func(r Report) float64 {
		for _, d := range quiet(r).Delays {
			if d.Subject == checks.Configuration.String() {
				return of(d.AtAll)
			}
		}
		return math.NaN()
	}
}

// quiet is the quiet phase of a run, empty if it had none.
func quiet(r Report) PhaseReport {
	for _, p := range r.Phases {
		if p.Fault == NoFault {
			return p
		}
	}
	return PhaseReport{}
}

func figures() (all []figure) {
	for _, role := range []struct{ name, role string }{{"governors", roleHollow}, {"servers", roleServer}, {"rig", roleRig}} {
		add := func(name, text, unit string, of func(Spent) float64) {
			all = append(all, figure{"scale_" + role.name + "_" + name, text + ", all of: " + role.role, unit, quietTotal(role.role, of)})
		}
		add("processor", "processor time", "% of a core", func(s Spent) float64 { return s.ProcessorPercent })
		add("memory", "resident memory", "MB", func(s Spent) float64 { return s.ResidentMB * megabyte })
		add("bytes", "bytes both ways", "B/s", func(s Spent) float64 { return s.BytesPerSecond })
		add("messages", "messages", "/s", func(s Spent) float64 { return s.MessagesPerSecond })
	}
	return append(all, figure{"scale_in_force_p50", "a change in force at all governors of its service, p50", "s", quietDelay(func(d Delays) float64 { return d.P50 })},
		figure{"scale_in_force_max", "the same, max", "s", quietDelay(func(d Delays) float64 { return d.Max })})
}

var errFewReports = errors.New("a slope needs reports of at least two numbers of governors, each with a quiet phase")

// Measurements takes the points of the quiet phases of reports, by their numbers of governors.
func Measurements(reports []Report) ([]capacity.Measurement, error) {
	different := map[int]bool{}
	for _, r := range reports {
		different[r.Plan.Governors] = true
	}
	if len(different) < 2 {
		return nil, errFewReports
	}
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b Report) int { return a.Plan.Governors - b.Plan.Governors })
	var all []capacity.Measurement
	for _, f := range figures() {
		m := capacity.Measurement{Name: f.name, Text: f.text, X: "governor", Unit: f.unit, Runs: 1}
		for _, r := range sorted {
			value := f.of(r)
			if math.IsNaN(value) {
				return nil, fmt.Errorf("%s: %w", f.name, errFewReports)
			}
			m.Points = append(m.Points, [2]float64{float64(r.Plan.Governors), value})
		}
		all = append(all, m)
	}
	return all, nil
}

// PrintSlopes writes the lines through measurements, as the capacity page fits them, and each point's distance from its line.
func PrintSlopes(w io.Writer, measurements []capacity.Measurement) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(out, "figure\tunit\tslope, a governor\tintercept\tresiduals")
	for _, p := range measurements[0].Points {
		fmt.Fprintf(out, "\tat %.0f", p[0])
	}
	fmt.Fprintln(out)
	for _, m := range measurements {
		line := capacity.FitLine(m.Points)
		fmt.Fprintf(out, "%s\t%s\t%.4g\t%.4g\t", m.Name, m.Unit, line.Slope, line.Intercept)
		for _, p := range m.Points {
			fmt.Fprintf(out, "\t%+.3g", p[1]-line.Intercept-line.Slope*p[0])
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
