package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names bounds how many different names one connection may use within a period, so that it cannot fill a table that it shares
// with others. It is not safe for concurrent use.
type Names struct {
	Max    int
	Period time.Duration // after which all names may be replaced by others; 0: never

	used  map[uint64]struct{} // hashes of the names
	began time.Time
}

// Admit reports whether a name may be used: it was used in this period before, or fewer than Max were.
func (n *Names) Admit(name string, now time.Time) bool {
	if n.used == nil || n.Period > 0 && now.Sub(n.began) >= n.Period {
		n.used = map[uint64]struct{}{}
		n.began = now
	}
	hash := xxhash.Sum64String(name)
	if _, known := n.used[hash]; known {
		return true
	}
	if len(n.used) >= n.Max {
		return false
	}
	n.used[hash] = struct{}{}
	return true
}
