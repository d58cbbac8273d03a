package controlclient

import (
	"net"
	"sync"
	"time"

	"lilacbend/internal/resp"
)

const (
	// writeTimeout bounds the writing of one message.
	writeTimeout = 2 * time.Second
	// closedCheckTime is how long to wait for the reader of a connection to notice a close that has already arrived, which
	// takes less time than this.
	closedCheckTime = time.Millisecond
)

// messageWriter writes complete messages. It is safe for concurrent use.
type messageWriter struct {
	mu   sync.Mutex
	conn net.Conn
	pool *resp.Pool
}

// send writes one message.
func (w *messageWriter) send(words ...string) error {
	_, err := w.sendSized(words...)
	return err
}

// sendSized writes one message, and returns the number of bytes written.
func (w *messageWriter) sendSized(words ...string) (sent int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return resp.Write(w.conn, w.pool, words...)
}
