// Package control is the interface of the decision module: the settings that it reads before its first turn, the events that
// it receives and the commands that it returns. It decides nothing. Times and durations are whole nanoseconds; replicas, proxies,
// zones, hardware classes and traffic classes are known by number.
package control

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// NanosPerMilli converts milliseconds, as peers and files write times, to nanoseconds.
const NanosPerMilli = 1e6

// maxNanos bounds what Nanos returns; it is near the largest int64.
const maxNanos = 9e18

// Finite returns v, or 0 if v is infinite or not a number.
func Finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// Nanos converts milliseconds to nanoseconds, within the range of int64.
func Nanos(ms float64) int64 {
	return int64(math.Round(math.Max(-maxNanos, math.Min(maxNanos, Finite(ms)*NanosPerMilli))))
}

// Random draws a number above 0 and up to 1. It is the same for the same seed and count of earlier draws.
func Random(seed, draws uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], draws)
	crc := ^uint32(0) // as crc32.ChecksumIEEE, which would have b allocated for each draw
	for _, v := range b {
		crc = crc32.IEEETable[byte(crc)^v] ^ crc>>8
	}
	return (float64(^crc) + 1) / (1 << 32)
}
