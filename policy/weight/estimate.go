package weight

import (
	"math"
	"time"
)

const (
	// settleTime is the time in which a weight follows its goal.
	settleTime = 4 * time.Second

	// minSettleTime is the settle time of a replica that has just become known.
	minSettleTime = time.Second

	// settleDivisor shortens the settle time of a replica that is new to the time since it became known, divided by this.
	settleDivisor = 8

	// maxSampleCount bounds the attempts for which a remembered speed counts, so that a few seconds of new ones outweigh it.
	maxSampleCount = 16.0

	// confidenceLeft is the fraction of the confidence in a remembered speed that is left after one load report.
	confidenceLeft = 0.5
)

// Estimate is the speed of one replica: its weight against that listed. Times are durations since the epoch of the caller's
// clock.
type Estimate struct {
	Speed           float64 // follows Goal; above 0
	Goal            float64
	RememberedSpeed float64 // of an earlier controller
	Confidence      float64 // number of attempts that RememberedSpeed counts for
	SampleCount     float64 // attempts behind Speed, up to maxSampleCount
	LastSample      time.Duration
}

// NewEstimate returns the estimate of a replica of which nothing is known but the listed weight.
func NewEstimate(now time.Duration) Estimate {
	return Estimate{Speed: 1, Goal: 1, LastSample: now}
}

// Observe counts a load report.
func (e *Estimate) Observe(now time.Duration, attempts int) {
	e.Confidence *= confidenceLeft
	e.SampleCount = math.Min(maxSampleCount, e.SampleCount+float64(attempts))
	e.LastSample = now
}

// Follow moves the speed towards a goal, by the time since the last move and since the replica became known.
func (e *Estimate) Follow(goal float64, sinceLast, sinceKnown time.Duration) {
	e.Goal = goal
	settle := min(settleTime, max(minSettleTime, sinceKnown/settleDivisor))
	step := math.Min(1, float64(sinceLast)/float64(settle))
	e.Speed *= math.Pow(goal/e.Speed, step)
}

// Restart forgets what is known of the process before: the speed stays until the new one shows its own.
func (e *Estimate) Restart() {
	e.Confidence = 0
	e.SampleCount = 0
}

// Restored is the speed that an earlier controller had learned.
type Restored struct {
	Speed       float64
	SampleCount float64
	Age         time.Duration // of its last sample
	Confidence  float64       // left by that age, above 0 up to 1
}

// Restore takes over what an earlier controller knew, the nearer to the listed weight the older it is.
func (e *Estimate) Restore(now time.Duration, r Restored) {
	e.RememberedSpeed = math.Pow(r.Speed, r.Confidence)
	e.Confidence = r.Confidence * math.Min(r.SampleCount, maxSampleCount)
	e.SampleCount = r.Confidence * r.SampleCount
	e.LastSample = now - r.Age
	e.Speed = e.RememberedSpeed
	e.Goal = e.RememberedSpeed
}
