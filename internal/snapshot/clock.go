package snapshot

import (
	"os"
	"strconv"
	"strings"
	"time"

	"lilacbend/internal/learnedstate"
)

// Files of Linux's proc file system with the boot ID and with the seconds since boot.
const (
	bootIDFile = "/proc/sys/kernel/random/boot_id"
	uptimeFile = "/proc/uptime"
)

// Now returns the current time of this machine. If the boot ID or the uptime cannot be read, only the wall clock is set.
func Now() learnedstate.Timestamp {
	now := learnedstate.Timestamp{Wall: time.Now().UnixNano()}
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		return now
	}
	uptime, err := os.ReadFile(uptimeFile)
	if err != nil {
		return now
	}
	text, _, _ := strings.Cut(string(uptime), " ")
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return now
	}
	now.Boot = strings.TrimSpace(string(boot))
	now.Uptime = int64(seconds * float64(time.Second))
	return now
}
