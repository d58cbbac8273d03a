package ingress

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/proxy"
	"lilacbend/internal/upstream"
)

func TestConnMemoryIsSharedBeyondItsReserve(t *testing.T) {
	shared := &memoryLimit{limit: 1000}
	first, second := &connMemory{shared: shared}, &connMemory{shared: shared}
	if !first.take(reservedMemory) || !first.take(1000) || first.take(1) {
		t.Fatalf("a connection holds %d bytes, want its reserve of %d and the limit of 1000", first.held, reservedMemory)
	}
	if !second.take(reservedMemory) || second.take(1) {
		t.Errorf("another connection holds %d bytes, want its reserve alone", second.held)
	}
	first.release(1000)
	if !second.take(1000) {
		t.Error("another connection cannot take what the first has released")
	}
	first.release(reservedMemory)
	second.release(reservedMemory + 1000)
	if n := shared.inUse.Load(); n != 0 {
		t.Errorf("%d bytes in use after all were released, want 0", n)
	}
}

// manyFields returns short header fields, each of another name.
func manyFields(fields int) [][2]string {
	var all [][2]string
	for k := range fields {
		all = append(all, [2]string{"x" + strconv.FormatInt(int64(k), 36), ""})
	}
	return all
}

// requestHead returns the pseudo header fields of a request, followed by other fields.
func requestHead(fields ...[2]string) [][2]string {
	return append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/"}, {":authority", "x"}}, fields...)
}

// rawClient builds the bytes of an HTTP/2 client that does not wait for the server.
type rawClient struct {
	bytes.Buffer
	framer  *http2.Framer
	block   bytes.Buffer
	encoder *hpack.Encoder
}

func newRawClient() *rawClient {
	c := &rawClient{}
	c.WriteString(http2.ClientPreface)
	c.framer = http2.NewFramer(c, nil)
	c.encoder = hpack.NewEncoder(&c.block)
	c.framer.WriteSettings()
	return c
}

// open opens a stream with the given head.
func (c *rawClient) open(id uint32, endStream bool, fields [][2]string) {
	c.block.Reset()
	for _, field := range fields {
		c.encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1], Sensitive: true})
	}
	c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.block.Bytes(), EndStream: endStream, EndHeaders: true})
}

// A request with very many short header fields is refused on both protocols.
func TestTooManyFieldsAreRefused(t *testing.T) {
	server := newTestServer(Limits{MaxConnections: 10, RequestMemory: 1 << 20}, serveBody)
	http1, http2Listener := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	go server.ServeHTTP1(http1.Listener)
	go server.ServeHTTP2(http2Listener.Listener)
	for _, c := range []struct {
		fields int
		want   string
	}{{100, "200"}, {maxFields + 1, "431"}} {
		t.Run(fmt.Sprint(c.fields, " fields"), func(t *testing.T) {
			client := scriptedpeer.Dial(t, http1.Address())
			client.SendRaw("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", c.fields) + "\r\n")
			if got := readHTTP1Response(client); got != c.want {
				t.Errorf("HTTP/1.1: %s, want %s", got, c.want)
			}
			raw := newRawClient()
			raw.open(1, true, requestHead(manyFields(c.fields)...))
			client = scriptedpeer.Dial(t, http2Listener.Address())
			client.SendRaw(raw.String())
			if got := readHTTP2Response(client); got != c.want {
				t.Errorf("HTTP/2: %s, want %s", got, c.want)
			}
		})
	}
	client := scriptedpeer.Dial(t, http1.Address())
	client.SendRaw("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
	for k := range maxFields + 1 {
		client.SendRaw(fmt.Sprintf("x%d: y\r\n", k))
	}
	client.SendRaw("\r\n")
	if got := readHTTP1Response(client); got == "200" {
		t.Error("a request with a trailer of too many fields was served")
	}
}

// Clients open as many streams as they may, with large heads, and stop before the end of each body. The requests take no more
// memory than the limit allows, streams beyond it are refused, and a client with one request is served all the same.
func TestMemoryOfIncompleteRequestsIsBounded(t *testing.T) {
	for _, c := range []struct {
		name                  string
		streams, fields, body int
	}{{"large heads", 100, 200, 1}, {"large bodies", 4, 1, 16000}, {"both", 100, 200, 2000}} {
		t.Run(c.name, func(t *testing.T) { testMemoryOfIncompleteRequests(t, c.streams, c.fields, c.body) })
	}
}

func testMemoryOfIncompleteRequests(t *testing.T, streams, fields, body int) {
	const (
		clients = 40
		limit   = 1 << 20
	)
	release := make(chan struct{})
	handler := func(cancel *upstream.Cancellation, r *proxy.Request, out proxy.ResponseWriter) proxy.Result {
		if r.Body == nil {
			return serveBody(cancel, r, out)
		}
		<-release
		out.Abort()
		return proxy.Result{Incomplete: true}
	}
	server := newTestServer(Limits{MaxConnections: clients + 1, MaxStreams: streams, RequestMemory: limit}, handler)
	listener := scriptedpeer.Listen(t)
	go server.ServeHTTP2(listener.Listener)
	raw := newRawClient()
	for k := range streams {
		raw.open(uint32(2*k+1), false, requestHead(manyFields(fields)...))
		raw.framer.WriteData(uint32(2*k+1), false, make([]byte, body))
	}
	raw.framer.WritePing(false, [8]byte{})
	flood := raw.Bytes()
	before := scriptedpeer.LiveHeap()
	var floods sync.WaitGroup
	for range clients {
		client := scriptedpeer.Dial(t, listener.Address())
		go client.Write(flood)
		floods.Go(func() { awaitPingAck(t, client) })
	}
	floods.Wait()
	// Besides its requests a connection holds its buffers and its tables of header compression.
	const connection = 64 << 10
	if held, most := scriptedpeer.LiveHeap()-before, int64(limit+clients*(reservedMemory+connection)); held > most {
		t.Errorf("%d requests hold %d bytes, want at most %d", server.Counters.InFlight.Load(), held, most)
	}
	if n := server.Counters.MemoryRefused.Load(); n == 0 {
		t.Error("no stream was refused")
	}
	client := scriptedpeer.Dial(t, listener.Address())
	one := newRawClient()
	one.open(1, true, requestHead())
	client.SendRaw(one.String())
	if got := readHTTP2Response(client); got != "200" {
		t.Errorf("response %q to a client with one request, want 200", got)
	}
	client.Close()
	close(release)
	scriptedpeer.WaitFor(t, "requests have not ended", func() bool { return server.Counters.InFlight.Load() == 0 })
	scriptedpeer.WaitFor(t, "memory was not released", func() bool { return server.requestMemory.inUse.Load() == 0 })
}

// awaitPingAck reads frames until the acknowledgement of a PING, before which the server has read all earlier frames. It then
// reads on in the background.
func awaitPingAck(t *testing.T, client *scriptedpeer.Conn) {
	framer := http2.NewFramer(nil, client.Reader)
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			t.Errorf("no acknowledgement: %v", err)
			return
		}
		if frame.Header().Type == http2.FramePing {
			go io.Copy(io.Discard, client.Reader)
			return
		}
	}
}
