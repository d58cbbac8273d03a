package scriptedpeer

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// kernelPorts is where Linux says which ports it gives to outgoing connections.
const kernelPorts = "/proc/sys/net/ipv4/ip_local_port_range"

func TestFreePortsAreNotThoseOfOutgoingConnections(t *testing.T) {
	text, err := os.ReadFile(kernelPorts)
	if err != nil {
		t.Fatal(err)
	}
	first, err := strconv.Atoi(strings.Fields(string(text))[0])
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		at := FreeAddress(t)
		_, port, err := net.SplitHostPort(at)
		if err != nil {
			t.Fatal(err)
		}
		if number, err := strconv.Atoi(port); err != nil || number >= first {
			t.Errorf("%s: the kernel gives ports from %d on to outgoing connections", at, first)
		}
		l, err := net.Listen("tcp", at)
		if err != nil {
			t.Errorf("not free: %v", err)
			continue
		}
		l.Close()
	}
}
