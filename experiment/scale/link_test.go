package scale

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// echo answers each line with itself until the test ends.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// through opens a connection by a link.
func through(t *testing.T, l *link) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", l.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// hears waits for one line.
func hears(conn net.Conn, r *bufio.Reader, most time.Duration) (string, error) {
	conn.SetReadDeadline(time.Now().Add(most))
	return r.ReadString('\n')
}

// A cut link says nothing on what is open and takes in nothing new; healed, what was under way arrives.
func TestALinkIsCutAndHealed(t *testing.T) {
	const patience, silence = 20 * time.Second, 100 * time.Millisecond
	l, err := newLink(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	conn, r := through(t, l)
	io.WriteString(conn, "one\n")
	if line, err := hears(conn, r, patience); line != "one\n" {
		t.Fatalf("heard %q, %v", line, err)
	}
	l.cut()
	io.WriteString(conn, "two\n")
	if line, err := hears(conn, r, silence); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("through a cut: %q, %v", line, err)
	}
	if late, err := net.Dial("tcp", l.address()); err == nil { // else it was reset already
		defer late.Close()
		if _, err := hears(late, bufio.NewReader(late), patience); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a new connection through a cut: %v", err)
		}
	}
	l.heal()
	if line, err := hears(conn, r, patience); line != "two\n" {
		t.Errorf("healed: %q, %v", line, err)
	}
	scriptedpeer.WaitFor(t, "8 bytes are not counted both ways", func() bool { return l.up.Load() == 8 && l.down.Load() == 8 })
}

// A cut concerns the links between inside and outside, both ways, and no other.
func TestACutConcernsALinkIfOneEndIsInside(t *testing.T) {
	plan := small()
	n, err := newNetwork(plan, make([]string, plan.Servers))
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	for _, region := range plan.cutRegions() {
		servers := 0
		for k := range plan.Servers {
			if plan.serverRegion(k) == region {
				servers++
			}
		}
		outside, followers := plan.Servers-servers, plan.Servers-servers
		want := outside + (plan.Regions-1)*servers + 2*servers*followers
		if got := len(n.across(region)); got != want {
			t.Errorf("region %d with %d servers: %d links, want %d", region, servers, got, want)
		}
	}
}
