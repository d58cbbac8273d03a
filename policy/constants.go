package policy

// Durations of this package are in nanoseconds, as in package control.
const (
	second = int64(1e9)
)
