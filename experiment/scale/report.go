package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacbend/experiment/scale/checks"
)

// Report has the measurements of a run.
type Report struct {
	Plan             Plan               `json:"plan"`
	Hosts            int                `json:"hosts"`
	Seconds          float64            `json:"seconds"`
	Phases           []PhaseReport      `json:"phases"`
	Changes          int                `json:"changes"`         // changes of configuration over all phases
	PropagationDelay Delays             `json:"in_force_at_all"` // time until configuration is in force at all controllers
	PerController    ResourceUsage      `json:"governor"`        // usage of a simulated controller over all phases but the start
	PeakMB           float64            `json:"peak_mb"`         // resident memory of all processes together
	FailedChecks     int                `json:"failed_checks"`
	Violations       []checks.Violation `json:"failures"` // the first maxReportedViolations

	allViolations []checks.Violation
}

// PhaseReport has the measurements of one phase.
type PhaseReport struct {
	Fault         Fault          `json:"fault"`
	Seconds       float64        `json:"seconds"`   // time until all controllers served the newest revisions
	SettleSeconds float64        `json:"settled"`   // the part of Seconds after the end of the fault
	Partitioned   int            `json:"cut"`       // controllers that were partitioned
	Restarted     int            `json:"restarted"` // controllers that were restarted
	Roles         []RoleReport   `json:"roles"`
	Servers       []RoleReport   `json:"servers"` // each server separately
	Delays        []SubjectDelay `json:"delays"`
}

// RoleReport has the resource usage of one process of a role, or of one controller if several share a process.
type RoleReport struct {
	Role  string `json:"role"`
	Count int    `json:"count"`
	ResourceUsage
}

// ResourceUsage is the resource usage of one process or controller.
type ResourceUsage struct {
	BytesPerSecond    float64 `json:"bytes_per_second"`
	CPUPercent        float64 `json:"processor_percent"` // percentage of one core
	ResidentMB        float64 `json:"resident_mb"`
	HeapMB            float64 `json:"heap_mb,omitempty"`
	MessagesPerSecond float64 `json:"messages_per_second"`
}

// SubjectDelay has the delays until the changes of one subject that were published in a phase were in force.
type SubjectDelay struct {
	Subject        string `json:"subject"`
	Changes        int    `json:"changes"`
	PerController  Delays `json:"each"`   // delays until a change was in force at one controller
	AllControllers Delays `json:"at_all"` // delays until a change was in force at all controllers of the service
}

// Delays has the quantiles of delays, in seconds.
type Delays struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

const (
	maxDelayMicros = int64(10 * time.Minute / time.Microsecond)
	delayDigits    = 3 // significant digits
)

func newDelayHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDelayMicros, delayDigits)
}

func recordDelay(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(maxDelayMicros, max(1, d.Microseconds()))) // the value is in range, so there is no error
}

func summarizeDelays(h *hdrhistogram.Histogram) Delays {
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	return Delays{Count: h.TotalCount(), P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max())}
}

// subjectDelays returns the delays of the changes of one subject that were published from one time until another.
func subjectDelays(changes []checks.Change, subject checks.Subject, from, to time.Duration) SubjectDelay {
	summary := SubjectDelay{Subject: subject.String()}
	perController, allControllers := newDelayHistogram(), newDelayHistogram()
	for _, c := range changes {
		if c.Subject != subject || c.Published < from || c.Published >= to || len(c.Delays) == 0 {
			continue
		}
		summary.Changes++
		recordDelay(allControllers, c.MaxDelay())
		for _, d := range c.Delays {
			recordDelay(perController, d)
		}
	}
	summary.PerController, summary.AllControllers = summarizeDelays(perController), summarizeDelays(allControllers)
	return summary
}

// resourceUsage returns the mean usage of one of count instances between two readings that are span apart.
func resourceUsage(before, after usage, count int, span time.Duration) ResourceUsage {
	instances := float64(max(1, count))
	instanceSeconds := instances * span.Seconds()
	return ResourceUsage{BytesPerSecond: float64(after.bytes-before.bytes) / instanceSeconds,
		CPUPercent: 100 * (after.cpuTime - before.cpuTime).Seconds() / instanceSeconds,
		ResidentMB: float64(after.resident) / instances / (1 << 20), HeapMB: float64(after.heap) / instances / (1 << 20),
		MessagesPerSecond: float64(after.messages-before.messages) / instanceSeconds}
}

// Print writes the report as tables, and the summary as the last line.
func (r Report) Print(w io.Writer) error {
	p := r.Plan
	fmt.Fprintf(w, "simulated on loopback: %d controllers in %d processes, %d services, %d replicas, %d zones, %d regions, %d servers, seed %d\n",
		p.Controllers, r.Hosts, p.Services, p.Replicas, p.Zones, p.Regions, p.Servers, p.Seed)
	fmt.Fprintf(w, "a day compressed %.0f times: %.0f changes, %.0f failures and %.0f restarts a day; %.0f s, %.0f MB at most\n",
		p.TimeCompression, p.ChangesPerDay, p.FailuresPerDay, p.RestartsPerDay, r.Seconds, r.PeakMB)
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, phase := range r.Phases {
		fmt.Fprintf(out, "\n%s: %.1f s, %.1f s of them from the end of the fault until all controllers served the newest revisions; %d controllers partitioned, %d restarted\n",
			phase.Fault, phase.Seconds, phase.SettleSeconds, phase.Partitioned, phase.Restarted)
		fmt.Fprintln(out, "  role\tcount\tB/s each\t% of a core each\tMB each\theap MB each\tmessages/s each")
		for _, role := range phase.Roles {
			fmt.Fprintf(out, "  %s\t%d\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\n", role.Role, role.Count, role.BytesPerSecond,
				role.CPUPercent, role.ResidentMB, role.HeapMB, role.MessagesPerSecond)
		}
		fmt.Fprintf(out, "  each server, B/s and %% of a core:")
		for _, server := range phase.Servers {
			fmt.Fprintf(out, " %.0f %.2f%%;", server.BytesPerSecond, server.CPUPercent)
		}
		fmt.Fprintln(out)
		fmt.Fprintln(out, "  changes of\tcount\tper controller p50 s\tp99\tmax\tall controllers p50 s\tp99\tmax")
		for _, d := range phase.Delays {
			fmt.Fprintf(out, "  %s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", d.Subject, d.Changes,
				d.PerController.P50, d.PerController.P99, d.PerController.Max, d.AllControllers.P50, d.AllControllers.P99, d.AllControllers.Max)
		}
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "failed:", violation)
	}
	_, err := fmt.Fprintln(w, r.Summary())
	return err
}

// Summary returns the last line of the printed report.
func (r Report) Summary() string {
	return fmt.Sprintf("%d controllers, %d changes: in force at all controllers p50 %.3f s, max %.3f s; per controller %.0f B/s, %.3f%% of a core, %.2f MB; %d failed checks",
		r.Plan.Controllers, r.Changes, r.PropagationDelay.P50, r.PropagationDelay.Max, r.PerController.BytesPerSecond, r.PerController.CPUPercent,
		r.PerController.ResidentMB, r.FailedChecks)
}

// maxReportedViolations limits the violations that a report lists; all are counted.
const maxReportedViolations = 40

// setResult sets the outcome of the checks. Changes that were published before from, in the start phase, are not counted.
func (r *Report) setResult(result checks.Result, from time.Duration) {
	r.allViolations = result.Violations
	r.FailedChecks = len(result.Violations)
	r.Violations = slices.Clone(result.Violations[:min(maxReportedViolations, len(result.Violations))])
	all := subjectDelays(result.Changes, checks.Configuration, from, time.Duration(math.MaxInt64))
	r.Changes, r.PropagationDelay = all.Changes, all.AllControllers
}
