package scale

import (
	"errors"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Slope is a line fitted to one figure over the number of governors.
type Slope struct {
	Figure    string    `json:"figure"`
	Slope     float64   `json:"slope"` // for each governor
	Intercept float64   `json:"intercept"`
	Governors []float64 `json:"governors"`
	Residuals []float64 `json:"residuals"`
}

// figure is what a slope is fitted to: a total over all of a role, so that its slope is what one governor adds.
type figure struct {
	name string
	of   func(Report) float64
}

// quietTotal is a figure of all of a role in the quiet phase.
func quietTotal(role string, of func(Spent) float64) func(Report) float64 {
	return func(r Report) float64 {
		for _, p := range r.Phases {
			for _, s := range p.Roles {
				if p.Fault == NoFault && s.Role == role {
					return of(s.Spent) * float64(s.Count)
				}
			}
		}
		return math.NaN()
	}
}

func quietDelay(of func(Delays) float64) func(Report) float64 {
	return func(r Report) float64 {
		for _, p := range r.Phases {
			if p.Fault == NoFault {
				return of(p.Delays[0].AtAll)
			}
		}
		return math.NaN()
	}
}

func figures() (all []figure) {
	for _, role := range []string{roleHollow, roleServer, roleRig} {
		all = append(all,
			figure{role + "s: % of a core in all", quietTotal(role, func(s Spent) float64 { return s.ProcessorPercent })},
			figure{role + "s: MB in all", quietTotal(role, func(s Spent) float64 { return s.ResidentMB })},
			figure{role + "s: B/s in all", quietTotal(role, func(s Spent) float64 { return s.BytesPerSecond })},
			figure{role + "s: messages/s in all", quietTotal(role, func(s Spent) float64 { return s.MessagesPerSecond })})
	}
	return append(all, figure{"in force at all, p50 s", quietDelay(func(d Delays) float64 { return d.P50 })},
		figure{"in force at all, max s", quietDelay(func(d Delays) float64 { return d.Max })})
}

var errFewReports = errors.New("a slope needs reports of at least two numbers of governors, each with a quiet phase")

// Slopes fits the quiet phases of reports over their numbers of governors, by least squares.
func Slopes(reports []Report) ([]Slope, error) {
	var governors []float64
	different := map[int]bool{}
	for _, r := range reports {
		governors = append(governors, float64(r.Plan.Governors))
		different[r.Plan.Governors] = true
	}
	if len(different) < 2 {
		return nil, errFewReports
	}
	var all []Slope
	for _, f := range figures() {
		var values []float64
		for _, r := range reports {
			values = append(values, f.of(r))
		}
		s := Slope{Figure: f.name, Governors: governors}
		s.Intercept, s.Slope = stat.LinearRegression(governors, values, nil, false)
		if math.IsNaN(s.Slope) {
			return nil, fmt.Errorf("%s: %w", f.name, errFewReports)
		}
		for k, n := range governors {
			s.Residuals = append(s.Residuals, values[k]-s.Intercept-s.Slope*n)
		}
		all = append(all, s)
	}
	return all, nil
}

// PrintSlopes writes slopes as a table.
func PrintSlopes(w io.Writer, slopes []Slope) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(out, "figure\tslope, a governor\tintercept\tresiduals")
	for _, n := range slopes[0].Governors {
		fmt.Fprintf(out, "\tat %.0f", n)
	}
	fmt.Fprintln(out)
	for _, s := range slopes {
		fmt.Fprintf(out, "%s\t%.5g\t%.5g\t", s.Figure, s.Slope, s.Intercept)
		for _, r := range s.Residuals {
			fmt.Fprintf(out, "\t%+.3g", r)
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
