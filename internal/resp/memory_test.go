package resp_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/resp"
)

// stoppingReader is a peer that sends some bytes and then stops without closing its connection.
type stoppingReader struct {
	io.Reader
	stopped func()        // called when all bytes were read
	end     chan struct{} // closed to end the connection
}

func (r stoppingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.stopped()
		<-r.end
	}
	return n, err
}

// Peers stop half way through messages of very many short words, which take several times as much memory as their bytes. The
// limit of the pool bounds this memory as well.
func TestWordsOfIncompleteMessagesAreBounded(t *testing.T) {
	const (
		peers     = 100
		limit     = 1 << 20
		words     = 170_000
		heldByOne = 3 * resp.BufferSize // two buffers, and the words that are free
	)
	message := "*174000\r\n" + strings.Repeat("$0\r\n\r\n", words)
	pool := resp.NewPool(limit)
	end := make(chan struct{})
	var stopped, readers sync.WaitGroup
	stopped.Add(peers)
	before := scriptedpeer.LiveHeap()
	for range peers {
		readers.Go(func() {
			once := sync.OnceFunc(stopped.Done)
			reader := resp.NewReader(stoppingReader{strings.NewReader(message), once, end}, pool)
			defer reader.Close()
			if _, err := reader.Next(); !errors.Is(err, resp.ErrNoBuffer) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("incomplete message: %v", err)
			}
			once()
		})
	}
	stopped.Wait()
	if held, most := scriptedpeer.LiveHeap()-before, int64(limit+peers*heldByOne); held > most {
		t.Errorf("%d peers hold %d bytes, want at most %d", peers, held, most)
	}
	close(end)
	readers.Wait()
	if pool.InUse() != 0 {
		t.Errorf("%d units in use after all connections have ended, want none", pool.InUse())
	}
}

// A message of many short words is read completely while the pool has memory for it.
func TestMessageOfManyWordsIsRead(t *testing.T) {
	const (
		words = 20_000
		after = "ack id 17 seq 905 ms 310.4"
	)
	text := "*20000\r\n" + strings.Repeat("$1\r\nx\r\n", words)
	pool := resp.NewPool(resp.MaxMessageSize)
	reader := resp.NewReader(strings.NewReader(text+scriptedpeer.EncodeMessage(after)), pool)
	if got, err := reader.Next(); err != nil || len(got) != words {
		t.Fatalf("%d words, error %v, want %d", len(got), err, words)
	}
	if got, err := reader.Next(); err != nil || strings.Join(got, " ") != after {
		t.Errorf("the message after it: %q, error %v", got, err)
	}
	if units := pool.InUse(); units > 2 {
		t.Errorf("%d units in use after a short message, want at most its two buffers", units)
	}
}
