package weight

import (
	"math"
	"time"
)

const (
	// settleTime is the time constant with which the speed of a replica follows its goal.
	settleTime = 4 * time.Second

	// minSettleTime is the time constant with which the speed of a replica that has just become known follows its goal.
	minSettleTime = time.Second

	// settleDivisor shortens the time constant of a new replica: it is the time since the replica became known, divided by
	// settleDivisor, but at least minSettleTime and at most settleTime.
	settleDivisor = 8

	// maxSampleCount is the maximum weight of a remembered speed, as a number of attempts, so that the new attempts of a few
	// seconds outweigh it.
	maxSampleCount = 16.0

	// confidenceDecay is the factor by which each load report multiplies the confidence in a remembered speed.
	confidenceDecay = 0.5
)

// Estimate is the speed of one replica: its weight as a multiple of its listed weight. Times are durations since the epoch
// of the caller's clock.
type Estimate struct {
	Speed        float64 // follows Goal; above 0
	Goal         float64
	LearnedSpeed float64 // learned by an earlier controller
	Confidence   float64 // weight of LearnedSpeed, as a number of attempts
	SampleCount  float64 // number of attempts on which Speed is based, up to maxSampleCount
	LastSample   time.Duration
}

// NewEstimate returns the estimate of a replica of which only the listed weight is known.
func NewEstimate(now time.Duration) Estimate {
	return Estimate{Speed: 1, Goal: 1, LastSample: now}
}

// Observe adds the attempts of a load report to the sample count, and reduces the confidence in the remembered speed.
func (e *Estimate) Observe(now time.Duration, attempts int) {
	e.Confidence *= confidenceDecay
	e.SampleCount = math.Min(maxSampleCount, e.SampleCount+float64(attempts))
	e.LastSample = now
}

// MoveTowards moves the speed towards a goal. The step is larger the longer ago the last move was, and the more recently the
// replica became known.
func (e *Estimate) MoveTowards(goal float64, sinceLast, sinceKnown time.Duration) {
	e.Goal = goal
	settle := min(settleTime, max(minSettleTime, sinceKnown/settleDivisor))
	step := math.Min(1, float64(sinceLast)/float64(settle))
	e.Speed *= math.Pow(goal/e.Speed, step)
}

// Restart discards the confidence and the sample count of the replica's previous process. The speed stays until the attempts
// of the new process change it.
func (e *Estimate) Restart() {
	e.Confidence = 0
	e.SampleCount = 0
}

// Restored is the speed of a replica that an earlier controller had learned.
type Restored struct {
	Speed       float64
	SampleCount float64
	Age         time.Duration // time since its last sample
	Confidence  float64       // confidence in the speed, falls with Age; above 0, at most 1
}

// Restore takes over the speed that an earlier controller had learned. The older it is, the closer the restored speed is to
// 1, the listed weight.
func (e *Estimate) Restore(now time.Duration, r Restored) {
	e.LearnedSpeed = math.Pow(r.Speed, r.Confidence)
	e.Confidence = r.Confidence * math.Min(r.SampleCount, maxSampleCount)
	e.SampleCount = r.Confidence * r.SampleCount
	e.LastSample = now - r.Age
	e.Speed = e.LearnedSpeed
	e.Goal = e.LearnedSpeed
}
