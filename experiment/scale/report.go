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

// Report is what a run has measured.
type Report struct {
	Plan         Plan             `json:"plan"`
	Hosts        int              `json:"hosts"`
	Seconds      float64          `json:"seconds"`
	Phases       []PhaseReport    `json:"phases"`
	Changes      int              `json:"changes"` // of configuration, over all phases
	AtAll        Delays           `json:"in_force_at_all"`
	Governor     Spent            `json:"governor"` // a hollow one, over all phases after the start
	PeakMB       float64          `json:"peak_mb"`  // of all processes together
	FailedChecks int              `json:"failed_checks"`
	Failures     []checks.Failure `json:"failures"` // the first of them

	failures []checks.Failure // all of them
}

// PhaseReport is what one phase has shown.
type PhaseReport struct {
	Fault     Fault          `json:"fault"`
	Seconds   float64        `json:"seconds"` // until all held the newest
	Settled   float64        `json:"settled"` // of which after the fault had ended
	Cut       int            `json:"cut"`     // governors that were cut off
	Restarted int            `json:"restarted"`
	Roles     []RoleReport   `json:"roles"`
	Servers   []RoleReport   `json:"servers"` // each by itself
	Delays    []SubjectDelay `json:"delays"`
}

// RoleReport is what one process of a role has spent, or one governor where several share a process.
type RoleReport struct {
	Role  string `json:"role"`
	Count int    `json:"count"`
	Spent
}

// Spent is what one of a role spends.
type Spent struct {
	BytesPerSecond    float64 `json:"bytes_per_second"`
	ProcessorPercent  float64 `json:"processor_percent"` // of a core
	ResidentMB        float64 `json:"resident_mb"`
	HeapMB            float64 `json:"heap_mb,omitempty"`
	MessagesPerSecond float64 `json:"messages_per_second"`
}

// SubjectDelay is how long changes took that were published in a phase.
type SubjectDelay struct {
	Subject string `json:"subject"`
	Changes int    `json:"changes"`
	Each    Delays `json:"each"`   // from a change to one governor
	AtAll   Delays `json:"at_all"` // to the last one
}

// Delays are seconds.
type Delays struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

const (
	delayMost   = int64(10 * time.Minute / time.Microsecond)
	delayDigits = 3
)

func newDelays() *hdrhistogram.Histogram { return hdrhistogram.New(1, delayMost, delayDigits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(delayMost, max(1, d.Microseconds()))) // in range, so without an error
}

func delaysOf(h *hdrhistogram.Histogram) Delays {
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	return Delays{Count: h.TotalCount(), P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max())}
}

// subjectDelays sums up the changes of one subject that were published from one time to another.
func subjectDelays(changes []checks.Change, subject checks.Subject, from, to time.Duration) SubjectDelay {
	s := SubjectDelay{Subject: subject.String()}
	each, atAll := newDelays(), newDelays()
	for _, c := range changes {
		if c.Subject != subject || c.Published < from || c.Published >= to || len(c.Delays) == 0 {
			continue
		}
		s.Changes++
		record(atAll, c.AtAll())
		for _, d := range c.Delays {
			record(each, d)
		}
	}
	s.Each, s.AtAll = delaysOf(each), delaysOf(atAll)
	return s
}

// spent is what one of so many has spent between two readings.
func spent(before, after usage, count int, span time.Duration) Spent {
	each := float64(max(1, count))
	rate := each * span.Seconds()
	return Spent{BytesPerSecond: float64(after.bytes-before.bytes) / rate,
		ProcessorPercent: 100 * (after.processor - before.processor).Seconds() / rate,
		ResidentMB:       float64(after.resident) / each / (1 << 20), HeapMB: float64(after.heap) / each / (1 << 20),
		MessagesPerSecond: float64(after.messages-before.messages) / rate}
}

// Print writes the report as tables, and the verdict as the last line.
func (r Report) Print(w io.Writer) error {
	p := r.Plan
	fmt.Fprintf(w, "simulated on loopback: %d hollow governors in %d processes, %d services, %d replicas, %d zones, %d regions, %d servers, seed %d\n",
		p.Governors, r.Hosts, p.Services, p.Replicas, p.Zones, p.Regions, p.Servers, p.Seed)
	fmt.Fprintf(w, "a day compressed %.0f times: %.0f changes, %.0f failures and %.0f restarts a day; %.0f s, %.0f MB at most\n",
		p.Factor, p.Changes, p.Failures, p.Restarts, r.Seconds, r.PeakMB)
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, ph := range r.Phases {
		fmt.Fprintf(out, "\n%s: %.1f s, %.1f s of them after its end until all held the newest; %d cut off, %d restarted\n",
			ph.Fault, ph.Seconds, ph.Settled, ph.Cut, ph.Restarted)
		fmt.Fprintln(out, "  role\tcount\tB/s each\t% of a core each\tMB each\theap MB each\tmessages/s each")
		for _, role := range ph.Roles {
			fmt.Fprintf(out, "  %s\t%d\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\n", role.Role, role.Count, role.BytesPerSecond,
				role.ProcessorPercent, role.ResidentMB, role.HeapMB, role.MessagesPerSecond)
		}
		fmt.Fprintf(out, "  each server, B/s and %% of a core:")
		for _, s := range ph.Servers {
			fmt.Fprintf(out, " %.0f %.2f%%;", s.BytesPerSecond, s.ProcessorPercent)
		}
		fmt.Fprintln(out)
		fmt.Fprintln(out, "  changes of\tcount\teach p50 s\tp99\tmax\tat all p50 s\tp99\tmax")
		for _, d := range ph.Delays {
			fmt.Fprintf(out, "  %s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", d.Subject, d.Changes,
				d.Each.P50, d.Each.P99, d.Each.Max, d.AtAll.P50, d.AtAll.P99, d.AtAll.Max)
		}
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for _, f := range r.Failures {
		fmt.Fprintln(w, "failed:", f)
	}
	_, err := fmt.Fprintln(w, r.Verdict())
	return err
}

// Verdict is the last line.
func (r Report) Verdict() string {
	return fmt.Sprintf("%d governors, %d changes: in force at all p50 %.3f s, max %.3f s; a governor %.0f B/s, %.3f%% of a core, %.2f MB; %d failed checks",
		r.Plan.Governors, r.Changes, r.AtAll.P50, r.AtAll.Max, r.Governor.BytesPerSecond, r.Governor.ProcessorPercent,
		r.Governor.ResidentMB, r.FailedChecks)
}

// maxPrintedFailures is how many failures a report spells out; all are counted.
const maxPrintedFailures = 40

// judged puts a verdict into the report; changes count from the end of the start.
func (r *Report) judged(v checks.Verdict, from time.Duration) {
	r.failures = v.Failures
	r.FailedChecks = len(v.Failures)
	r.Failures = slices.Clone(v.Failures[:min(maxPrintedFailures, len(v.Failures))])
	all := subjectDelays(v.Changes, checks.Configuration, from, time.Duration(math.MaxInt64))
	r.Changes, r.AtAll = all.Changes, all.AtAll
}
