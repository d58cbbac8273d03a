package scriptedpeer

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// portRangeFile has the first and the last of the ports that Linux assigns to outgoing connections.
const portRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

func TestFreeAddressIsBelowEphemeralPorts(t *testing.T) {
	text, err := os.ReadFile(portRangeFile)
	if err != nil {
		t.Fatal(err)
	}
	firstEphemeral, err := strconv.Atoi(strings.Fields(string(text))[0])
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		address := FreeAddress(t)
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if number, err := strconv.Atoi(port); err != nil || number >= firstEphemeral {
			t.Errorf("%s is in the range of ephemeral ports, which starts at %d", address, firstEphemeral)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("returned address is in use: %v", err)
			continue
		}
		l.Close()
	}
}
