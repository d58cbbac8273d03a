package policy

import "lilacbend/policy/admission"

// Constants that several components share, in nanoseconds unless another unit is given.
const (
	second         = int64(1e9)
	beat           = second / 4 // the longest interval between two ticks
	recent         = 4 * second // older samples are not judged
	demandSpan     = int64(admission.DemandWindow)
	sickTries      = 5   // attempts (or answers) below which nothing is judged
	confidenceLeft = 0.5 // of the confidence in a memory, after one load report
)
