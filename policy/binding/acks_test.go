package binding

import (
	"slices"
	"testing"
)

const testMask = 1<<16 - 1

func TestNonceIsCompleteOnceAllProxiesHaveAcknowledgedIt(t *testing.T) {
	p := NewPendingAcks(testMask)
	p.Await(1, []int{1, 2})
	p.Await(2, []int{2})
	p.Await(3, []int{1, 2, 3})
	for _, c := range []struct {
		proxy int
		upTo  uint64
		want  []uint64
	}{{1, 1, nil}, {1, 1, nil}, {9, 3, nil}, {2, 2, []uint64{1, 2}}, {2, 3, nil}, {1, 3, nil}, {3, 3, []uint64{3}}, {3, 3, nil}} {
		if got := p.Acknowledge(c.proxy, c.upTo); !slices.Equal(got, c.want) {
			t.Errorf("proxy %d up to %d: got %v, want %v", c.proxy, c.upTo, got, c.want)
		}
	}
}

func TestDisconnectedProxyIsNotWaitedFor(t *testing.T) {
	p := NewPendingAcks(testMask)
	p.Await(1, []int{1})
	p.Await(2, []int{1, 2})
	p.Await(3, []int{1})
	if got, want := p.Disconnect(1), []uint64{1, 3}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := p.Disconnect(2), []uint64{2}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestNonceReturnsTheNewestWithTheCarriedBits(t *testing.T) {
	for _, c := range []struct {
		name                string
		last, carried, want uint64
	}{
		{"the last nonce", 5, 5, 5},
		{"an earlier nonce", 5, 3, 3},
		{"the last nonce, larger than the mask", 70000, 70000 & testMask, 70000},
		{"a nonce from before the bits wrapped", 1<<16 + 2, testMask, testMask},
		{"bits wrapped to 0", 1 << 17, 0, 1 << 17},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPendingAcks(testMask)
			p.Await(c.last, nil)
			if got := p.Nonce(c.carried); got != c.want {
				t.Errorf("got nonce %d, want %d", got, c.want)
			}
		})
	}
}
