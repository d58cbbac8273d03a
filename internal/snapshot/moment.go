package snapshot

import (
	"os"
	"strconv"
	"strings"
	"time"

	"lilacbend/internal/learnedstate"
)

// Now is the moment as this machine shows it. Where it does not tell when it started, only the wall clock is.
func Now() learnedstate.Timestamp {
	m := learnedstate.Timestamp{Wall: time.Now().UnixNano()}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	uptime, err2 := os.ReadFile("/proc/uptime")
	if err != nil || err2 != nil {
		return m
	}
	first, _, _ := strings.Cut(string(uptime), " ")
	if seconds, err := strconv.ParseFloat(first, 64); err == nil {
		m.Boot, m.Up = strings.TrimSpace(string(boot)), int64(seconds*1e9)
	}
	return m
}
