// Package scriptedpeer has what tests of crossings need of the other side of a connection: peers on loopback that hold bytes
// back, reset, stop reading, or close at a given instant. An order of events is forced by what a peer has seen, never by
// a pause. Whatever does not come within WaitTimeout fails the test.
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

// WaitTimeout bounds each wait: far over what a loaded machine takes, so that only what never comes fails.
const WaitTimeout = 20 * time.Second

// Conn is one end of a connection, in the hands of a test.
type Conn struct {
	net.Conn
	Reader *bufio.Reader // what came is read here
	resp   *resp.Reader
	pool   *resp.Pool
	t      testing.TB
}

func wrap(t testing.TB, conn net.Conn) *Conn {
	conn.SetDeadline(time.Now().Add(WaitTimeout))
	t.Cleanup(func() { conn.Close() })
	c := &Conn{Conn: conn, Reader: bufio.NewReader(conn), pool: resp.NewPool(1 << 20), t: t}
	c.resp = resp.NewReader(c.Reader, c.pool)
	return c
}

// Dial connects to an address.
func Dial(t testing.TB, address string) *Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return wrap(t, conn)
}

// DialWhenUp connects to an address on which somebody will listen soon.
func DialWhenUp(t testing.TB, address string) *Conn {
	t.Helper()
	var conn net.Conn
	WaitFor(t, "nobody listens on "+address, func() (up bool) {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	})
	return wrap(t, conn)
}

// Listener takes connections in when the test says so; until then they wait in the kernel's queue, connected but unanswered.
type Listener struct {
	net.Listener
	t testing.TB
}

// Listen listens on an address of loopback that nobody else uses.
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

// Address is the address.
func (l *Listener) Address() string { return l.Addr().String() }

// AcceptConn accepts the next connection.
func (l *Listener) AcceptConn() *Conn {
	l.t.Helper()
	l.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(WaitTimeout))
	conn, err := l.Accept()
	if err != nil {
		l.t.Fatalf("nobody came: %v", err)
	}
	return wrap(l.t, conn)
}

// Serve has a function attend each connection that comes from now on, in a goroutine of its own, and closes the connection after
// it. It does not wait.
func (l *Listener) Serve(attend func(net.Conn)) {
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				attend(conn)
			}()
		}
	}()
}

// ExpectNoConnection says that nobody comes for so long. For what must not happen only: it orders nothing.
func (l *Listener) ExpectNoConnection(span time.Duration) {
	l.t.Helper()
	l.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(span))
	if conn, err := l.Accept(); err == nil {
		conn.Close()
		l.t.Error("somebody came")
	}
}

// The ports that FreeAddress returns. They lie below those that the kernel gives to outgoing connections (from 32768 on Linux), so that
// no connection of another test takes the port before it is listened on.
const (
	firstFreePort = 20000
	lastFreePort  = 32000
	freeAttempts  = 100
)

// FreeAddress returns an address of loopback that nobody listens on.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range freeAttempts {
		port := firstFreePort + rand.IntN(lastFreePort-firstFreePort)
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // in use
		}
		l.Close()
		return l.Addr().String()
	}
	t.Fatalf("no free port found in %d attempts", freeAttempts)
	return ""
}

// SendRaw writes bytes as they are.
func (c *Conn) SendRaw(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Errorf("writing %.60q: %v", text, err)
	}
}

// SendByteByByte writes each byte by itself.
func (c *Conn) SendByteByByte(text string) {
	c.t.Helper()
	for k := range len(text) {
		c.SendRaw(text[k : k+1])
	}
}

// Send writes messages, each a line of words, as RESP2.
func (c *Conn) Send(messages ...string) {
	c.t.Helper()
	for _, text := range messages {
		c.SendRaw(EncodeMessage(text))
	}
}

// EncodeMessage is a line of words as RESP2.
func EncodeMessage(text string) string {
	var b strings.Builder
	if _, err := resp.Write(&b, resp.NewPool(1<<20), strings.Fields(text)...); err != nil {
		panic(err)
	}
	return b.String()
}

// ReadMessage reads one RESP2 message as a line of words; false: the connection has ended.
func (c *Conn) ReadMessage() (string, bool) {
	words, err := c.resp.Next()
	return strings.Join(words, " "), err == nil
}

// WaitForMessage reads messages until one begins with a text, and returns it.
func (c *Conn) WaitForMessage(begins string) string {
	c.t.Helper()
	for {
		text, ok := c.ReadMessage()
		if !ok {
			c.t.Fatalf("ended before %q", begins)
		}
		if strings.HasPrefix(text, begins) {
			return text
		}
	}
}

// ReadRequestHead reads the head of an HTTP/1.1 request up to the empty line, and returns its first line.
func (c *Conn) ReadRequestHead() string {
	c.t.Helper()
	first := ""
	for {
		line, err := c.Reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("no request after %q: %v", first, err)
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			return first
		}
		if first == "" {
			first = line
		}
	}
}

// WaitForClose waits for the end of what comes, reading all before it, and says whether it was a reset.
func (c *Conn) WaitForClose() (reset bool) {
	c.t.Helper()
	_, err := io.Copy(io.Discard, c.Reader)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		c.t.Error("the connection does not end")
	}
	return err != nil
}

// Reset closes with a reset, whatever waits to be sent.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}

// narrow is what the kernel keeps of what is on its way, in bytes: little beside a long message, and enough to be quick.
const narrow = 1 << 16

// ShrinkBuffers has the kernel keep little of what comes and is not read, and of what is written and not taken.
func (c *Conn) ShrinkBuffers() *Conn {
	tcp := c.Conn.(*net.TCPConn)
	tcp.SetReadBuffer(narrow)
	tcp.SetWriteBuffer(narrow)
	return c
}

// WaitFor waits for a condition that something else brings about.
func WaitFor(t testing.TB, otherwise string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(otherwise)
		}
	}
}
