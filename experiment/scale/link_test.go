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

// startEchoServer starts a server that returns all received bytes, and returns its address.
func startEchoServer(t *testing.T) string {
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

// dialLink opens a connection through a link.
func dialLink(t *testing.T, l *link) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", l.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// readLine reads one line, and fails after the timeout.
func readLine(conn net.Conn, r *bufio.Reader, timeout time.Duration) (string, error) {
	conn.SetReadDeadline(time.Now().Add(timeout))
	return r.ReadString('\n')
}

// A partitioned link forwards no bytes on open connections and refuses new connections. Bytes that were sent during the
// partition arrive after the link is healed.
func TestLinkPartitionAndHeal(t *testing.T) {
	const responseTimeout, blockedTimeout = 20 * time.Second, 100 * time.Millisecond
	l, err := newLink(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	conn, r := dialLink(t, l)
	io.WriteString(conn, "one\n")
	if line, err := readLine(conn, r, responseTimeout); line != "one\n" {
		t.Fatalf("before the partition: read %q, %v", line, err)
	}
	l.partition()
	io.WriteString(conn, "two\n")
	if line, err := readLine(conn, r, blockedTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("during the partition: read %q, %v", line, err)
	}
	if newConn, err := net.Dial("tcp", l.address()); err == nil { // otherwise the connection was reset already
		defer newConn.Close()
		if _, err := readLine(newConn, bufio.NewReader(newConn), responseTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("new connection during the partition: %v", err)
		}
	}
	l.heal()
	if line, err := readLine(conn, r, responseTimeout); line != "two\n" {
		t.Errorf("after the partition: read %q, %v", line, err)
	}
	scriptedpeer.WaitFor(t, "link did not count 8 bytes in each direction", func() bool { return l.toServer.Load() == 8 && l.fromServer.Load() == 8 })
}

// A partition must affect the links from the partitioned region to other regions and from other regions to it, and no other
// links.
func TestPartitionAffectsLinksWithOneEndInside(t *testing.T) {
	plan := smallPlan()
	n, err := newNetwork(plan, make([]string, plan.Servers))
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	for _, region := range plan.partitionedRegions() {
		inside := 0
		for k := range plan.Servers {
			if plan.serverRegion(k) == region {
				inside++
			}
		}
		serversOutside, followersOutside := plan.Servers-inside, plan.Servers-inside
		want := serversOutside + (plan.Regions-1)*inside + 2*inside*followersOutside
		if got := len(n.linksAcross(region)); got != want {
			t.Errorf("region %d with %d servers: %d links, want %d", region, inside, got, want)
		}
	}
}
