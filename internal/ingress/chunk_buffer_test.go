package ingress

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// A chunkBuffer returns the bytes that were written in their order, and announces its growth exactly.
func TestChunkBufferIsAQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buffer chunkBuffer
		var model bytes.Buffer
		next := byte(0)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				p := make([]byte, rapid.IntRange(0, 3*chunkSize).Draw(t, "size"))
				for k := range p {
					p[k] = next
					next++
				}
				want := buffer.memory() + buffer.growth(len(p))
				buffer.write(p)
				model.Write(p)
				if buffer.memory() != want {
					t.Fatalf("the buffer takes %d bytes after %d were written, want %d", buffer.memory(), len(p), want)
				}
			},
			"read": func(t *rapid.T) {
				size := rapid.IntRange(0, 3*chunkSize).Draw(t, "size")
				got, want := make([]byte, size), make([]byte, size)
				n, _ := model.Read(want)
				if m := buffer.read(got); m != n || !bytes.Equal(got[:m], want[:n]) {
					t.Fatalf("read %d bytes, want the same %d", m, n)
				}
			},
			"": func(t *rapid.T) {
				if buffer.Len() != model.Len() || buffer.memory() > int64(buffer.Len()+2*chunkSize) {
					t.Fatalf("%d bytes in %d bytes of memory, want %d", buffer.Len(), buffer.memory(), model.Len())
				}
			},
		})
		buffer.clear()
		if buffer.Len() != 0 || buffer.memory() != 0 {
			t.Fatal("the buffer is not empty after clear")
		}
	})
}
