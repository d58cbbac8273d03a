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

// figure is a measured value to which a line over the number of controllers is fitted. Usage figures are totals over all
// instances of a role, so that the slope is the usage that each controller adds.
type figure struct {
	name  string
	text  string
	unit  string
	value func(Report) float64
}

// megabytesPerMebibyte converts megabytes of reports, which are 2^20 bytes, to those of the capacity page, which are 10^6
// bytes.
const megabytesPerMebibyte = float64(1<<20) / 1e6

// faultFreeTotal returns a figure that is the total over all instances of a role in the phase without a fault.
func faultFreeTotal(role string, usageFigure func(ResourceUsage) float64) func(Report) float64 {
	return func(r Report) float64 {
		for _, report := range faultFreePhase(r).Roles {
			if report.Role == role {
				return usageFigure(report.ResourceUsage) * float64(report.Count)
			}
		}
		return math.NaN()
	}
}

// faultFreeDelay returns a figure of the delays until changes of configuration were in force at all controllers of their
// service, in the phase without a fault.
func faultFreeDelay(delayFigure func(Delays) float64) func(Report) float64 {
	return func(r Report) float64 {
		for _, delay := range faultFreePhase(r).Delays {
			if delay.Subject == checks.Configuration.String() {
				return delayFigure(delay.AllControllers)
			}
		}
		return math.NaN()
	}
}

// faultFreePhase returns the first phase in which no fault is injected, or an empty report if the run has no such phase.
func faultFreePhase(r Report) PhaseReport {
	for _, phase := range r.Phases {
		if phase.Fault == NoFault {
			return phase
		}
	}
	return PhaseReport{}
}

// figures returns all figures. Their names are those of the capacity page.
func figures() (all []figure) {
	for _, role := range []struct{ name, role string }{{"governors", roleSimulated}, {"servers", roleServer}, {"rig", roleHarness}} {
		add := func(name, text, unit string, usageFigure func(ResourceUsage) float64) {
			all = append(all, figure{"scale_" + role.name + "_" + name, text + ", all of: " + role.role, unit, faultFreeTotal(role.role, usageFigure)})
		}
		add("processor", "processor time", "% of a core", func(s ResourceUsage) float64 { return s.CPUPercent })
		add("memory", "resident memory", "MB", func(s ResourceUsage) float64 { return s.ResidentMB * megabytesPerMebibyte })
		add("bytes", "bytes both ways", "B/s", func(s ResourceUsage) float64 { return s.BytesPerSecond })
		add("messages", "messages", "/s", func(s ResourceUsage) float64 { return s.MessagesPerSecond })
	}
	return append(all, figure{"scale_in_force_p50", "a change in force at all controllers of its service, p50", "s", faultFreeDelay(func(d Delays) float64 { return d.P50 })},
		figure{"scale_in_force_max", "a change in force at all controllers of its service, max", "s", faultFreeDelay(func(d Delays) float64 { return d.Max })})
}

var errFewReports = errors.New("slopes need reports for at least two numbers of controllers, each with a phase without a fault (phase quiet)")

// Measurements returns one measurement for each figure, with one point for each report: the number of controllers and the
// value in the phase without a fault.
func Measurements(reports []Report) ([]capacity.Measurement, error) {
	sizes := map[int]bool{}
	for _, r := range reports {
		sizes[r.Plan.Controllers] = true
	}
	if len(sizes) < 2 {
		return nil, errFewReports
	}
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b Report) int { return a.Plan.Controllers - b.Plan.Controllers })
	var all []capacity.Measurement
	for _, f := range figures() {
		m := capacity.Measurement{Name: f.name, Text: f.text, X: "governor", Unit: f.unit, Runs: 1}
		for _, r := range sorted {
			value := f.value(r)
			if math.IsNaN(value) {
				return nil, fmt.Errorf("no value of %s: %w", f.name, errFewReports)
			}
			m.Points = append(m.Points, [2]float64{float64(r.Plan.Controllers), value})
		}
		all = append(all, m)
	}
	return all, nil
}

// PrintSlopes writes the lines fitted to measurements, as the capacity page fits them, and the residual of each point.
func PrintSlopes(w io.Writer, measurements []capacity.Measurement) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(out, "figure\tunit\tslope per controller\tintercept\tresiduals")
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
