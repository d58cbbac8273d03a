// Package control defines the interface of the decision module, package policy, to the controller that runs it: the settings
// that the module reads before its first turn, the events that it receives and the commands that it returns. Package control
// makes no decisions. Times and durations are whole nanoseconds; replicas, proxies, zones, hardware classes and traffic
// classes are identified by number.
package control

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// NanosPerMilli is the number of nanoseconds in a millisecond, the unit of times in messages of peers and in files.
const NanosPerMilli = 1e6

// maxNanos is the largest magnitude that MillisToNanos returns; it is near the largest int64.
const maxNanos = 9e18

// FiniteOrZero returns v, or 0 if v is infinite or not a number.
func FiniteOrZero(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// MillisToNanos converts milliseconds to nanoseconds and limits the result to the range of int64; infinite values and NaN
// become 0.
func MillisToNanos(ms float64) int64 {
	return int64(math.Round(math.Max(-maxNanos, math.Min(maxNanos, FiniteOrZero(ms)*NanosPerMilli))))
}

// Random returns a pseudo-random number above 0 and up to 1. The same seed and number of draws always give the same result.
func Random(seed, draws uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], draws)
	crc := ^uint32(0) // the same result as crc32.ChecksumIEEE, which would move b to the heap on each call
	for _, v := range b {
		crc = crc32.IEEETable[byte(crc)^v] ^ crc>>8
	}
	return (float64(^crc) + 1) / (1 << 32)
}
