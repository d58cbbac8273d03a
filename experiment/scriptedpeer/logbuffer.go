package scriptedpeer

import (
	"bytes"
	"strings"
	"sync"
)

// LogBuffer holds the log output of a program under test. It may be read while it is written. The zero value is empty.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log.
func (l *LogBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns the whole log.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Count returns how many times the log contains a text.
func (l *LogBuffer) Count(text string) int { return strings.Count(l.String(), text) }

// Contains reports whether the log contains a text.
func (l *LogBuffer) Contains(text string) bool { return l.Count(text) > 0 }
