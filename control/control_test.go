package control

import (
	"encoding/binary"
	"hash/crc32"
	"testing"
)

func TestRandomIsTheCRC32OfSeedAndDraws(t *testing.T) {
	for _, c := range [][2]uint64{{0, 0}, {7, 1}, {1 << 63, 1<<64 - 1}, {0x9e3779b97f4a7c15, 12345}} {
		b := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, c[0]), c[1])
		if got, want := Random(c[0], c[1]), (float64(crc32.ChecksumIEEE(b))+1)/(1<<32); got != want {
			t.Errorf("Random(%d, %d): got %v, want %v", c[0], c[1], got, want)
		}
	}
}
