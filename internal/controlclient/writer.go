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
	// closedCheckTime is more than a look at a connection takes; an end that has come is seen at once.
	closedCheckTime = time.Millisecond
)

// messageWriter writes complete messages. It is safe for concurrent use.
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
