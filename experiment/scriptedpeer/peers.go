// Package scriptedpeer provides the remote end of connections for tests of race conditions: peers on loopback that delay
// bytes, reset, stop reading, or close at a given point of the exchange. Tests order events by what a peer has received,
// never by sleeping. Each wait that exceeds WaitTimeout fails the test.
package scriptedpeer

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilacbend/internal/resp"
)

// WaitTimeout bounds each wait. It is far longer than any wait on a loaded machine, so only an event that never happens
// fails a test.
const WaitTimeout = 20 * time.Second

// Conn is one end of a connection that a test controls.
type Conn struct {
	net.Conn
	Reader   *bufio.Reader // buffers the received bytes; read from it only, not from Conn
	messages *resp.Reader
	pool     *resp.Pool
	t        testing.TB
}

func newConn(t testing.TB, conn net.Conn) *Conn {
	conn.SetDeadline(time.Now().Add(WaitTimeout))
	t.Cleanup(func() { conn.Close() })
	c := &Conn{Conn: conn, Reader: bufio.NewReader(conn), pool: resp.NewPool(1 << 20), t: t}
	c.messages = resp.NewReader(c.Reader, c.pool)
	return c
}

// Dial connects to an address.
func Dial(t testing.TB, address string) *Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return newConn(t, conn)
}

// DialWhenUp retries to connect to an address until it is listened on.
func DialWhenUp(t testing.TB, address string) *Conn {
	t.Helper()
	var conn net.Conn
	WaitFor(t, "no listener on "+address, func() (up bool) {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	})
	return newConn(t, conn)
}

// Listener accepts connections when the test calls AcceptConn or Serve. Until then connections wait in the kernel's
// accept queue, established but not served.
type Listener struct {
	net.Listener
	t testing.TB
}

// Listen listens on an unused loopback address.
func Listen(t testing.TB) *Listener { return ListenOn(t, "127.0.0.1:0") }

// ListenOn listens on an address.
func ListenOn(t testing.TB, address string) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &Listener{l, t}
}

// Address returns the host and port that the listener is bound to.
func (l *Listener) Address() string { return l.Addr().String() }

// AcceptConn accepts the next connection.
func (l *Listener) AcceptConn() *Conn {
	l.t.Helper()
	l.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(WaitTimeout))
	conn, err := l.Accept()
	if err != nil {
		l.t.Fatalf("no connection to %s within %v: %v", l.Address(), WaitTimeout, err)
	}
	return newConn(l.t, conn)
}

// Serve starts to accept connections and returns. It calls handle for each connection in a separate goroutine, and closes
// the connection when handle returns.
func (l *Listener) Serve(handle func(net.Conn)) {
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
}

// ExpectNoConnection fails the test if a connection arrives within a duration. Use it only to check that no connection is
// made, not to order events.
func (l *Listener) ExpectNoConnection(duration time.Duration) {
	l.t.Helper()
	l.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(duration))
	if conn, err := l.Accept(); err == nil {
		conn.Close()
		l.t.Errorf("unexpected connection to %s within %v", l.Address(), duration)
	}
}

// The range of ports that FreeAddress returns. It lies below the ephemeral ports that the kernel assigns to outgoing
// connections (from 32768 on Linux), so that no connection of another test takes the port before the test listens on it.
const (
	firstFreePort = 20000
	lastFreePort  = 32000
	freeAttempts  = 100
)

// FreeAddress returns a loopback address that is not listened on.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range freeAttempts {
		port := firstFreePort + rand.IntN(lastFreePort-firstFreePort)
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // the port is in use
		}
		l.Close()
		return l.Addr().String()
	}
	t.Fatalf("no free port found in %d attempts", freeAttempts)
	return ""
}

// SendRaw writes a string without encoding it.
func (c *Conn) SendRaw(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Errorf("writing %.60q: %v", text, err)
	}
}

// SendByteByByte writes each byte in a separate write.
func (c *Conn) SendByteByByte(text string) {
	c.t.Helper()
	for index := range len(text) {
		c.SendRaw(text[index : index+1])
	}
}

// Send writes messages as RESP2 arrays. Each argument holds the words of one message, separated by spaces.
func (c *Conn) Send(messages ...string) {
	c.t.Helper()
	for _, text := range messages {
		c.SendRaw(EncodeMessage(text))
	}
}

// EncodeMessage returns the RESP2 array of the words of a string, which are separated by spaces.
func EncodeMessage(text string) string {
	var b strings.Builder
	if _, err := resp.Write(&b, resp.NewPool(1<<20), strings.Fields(text)...); err != nil {
		panic(err)
	}
	return b.String()
}

// ReadMessage reads one RESP2 message and returns its words, separated by spaces. It returns false if none can be read
// because the connection has ended, the wait timed out or the message is invalid.
func (c *Conn) ReadMessage() (string, bool) {
	words, err := c.messages.Next()
	return strings.Join(words, " "), err == nil
}

// WaitForMessage reads messages until one begins with a prefix, and returns that one.
func (c *Conn) WaitForMessage(prefix string) string {
	c.t.Helper()
	for {
		text, ok := c.ReadMessage()
		if !ok {
			c.t.Fatalf("connection ended or timed out before a message that begins with %q", prefix)
		}
		if strings.HasPrefix(text, prefix) {
			return text
		}
	}
}

// ReadRequestHead reads the head of an HTTP/1.1 request up to the empty line, and returns the request line.
func (c *Conn) ReadRequestHead() string {
	c.t.Helper()
	requestLine := ""
	for {
		line, err := c.Reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("reading a request head after request line %q: %v", requestLine, err)
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			return requestLine
		}
		if requestLine == "" {
			requestLine = line
		}
	}
}

// WaitForClose discards all received bytes until the peer closes the connection, and reports whether it was reset.
func (c *Conn) WaitForClose() (reset bool) {
	c.t.Helper()
	_, err := io.Copy(io.Discard, c.Reader)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		c.t.Errorf("connection not closed within %v", WaitTimeout)
	}
	return err != nil
}

// Reset closes the connection with a TCP reset, which discards unsent bytes.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}

// shrunkBufferSize is the size of each socket buffer after ShrinkBuffers, in bytes: small compared with a long message, but
// large enough to transfer one quickly.
const shrunkBufferSize = 1 << 16

// ShrinkBuffers shrinks the kernel's buffers of received bytes that are not read yet and of written bytes that the peer has
// not received, so that a write to a peer that does not read blocks early.
func (c *Conn) ShrinkBuffers() *Conn {
	tcp := c.Conn.(*net.TCPConn)
	tcp.SetReadBuffer(shrunkBufferSize)
	tcp.SetWriteBuffer(shrunkBufferSize)
	return c
}

// WaitFor polls a condition until it holds. It fails the test with a message if the wait exceeds WaitTimeout.
func WaitFor(t testing.TB, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}
