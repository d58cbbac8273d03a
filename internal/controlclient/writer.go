package controlclient

import (
	"net"
	"strconv"
	"sync"
	"time"

	"lilacbend/internal/resp"
)

const (
	writeTimeout = 2 * time.Second
	// closedCheckTime is more than a look at a connection takes; an end that is there is seen at once.
	closedCheckTime = time.Millisecond
)

// messageWriter writes whole messages, also from several goroutines.
type messageWriter struct {
	mu   sync.Mutex
	conn net.Conn
	pool *resp.Pool
}

func (w *messageWriter) send(words ...string) error {
	_, err := w.sendSized(words...)
	return err
}

// sendSized returns the bytes that were sent as well.
func (w *messageWriter) sendSized(words ...string) (sent int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return resp.Write(w.conn, w.pool, words...)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
