package failover

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

func TestPreferredPeerIsUsedUntilItFailsAndAgainAfterItsCooldown(t *testing.T) {
	s := New([]string{"a", "b", "c"}, 7)
	expect := func(now int64, want string) {
		t.Helper()
		if got := s.Next(now); got != want {
			t.Errorf("at %d ms %q, want %q", now/1e6, got, want)
		}
	}
	expect(0, "a")
	s.Failed("a", 0)
	expect(0, "b")
	s.Failed("b", second)
	expect(second, "c")
	s.Failed("c", second+1)
	expect(second+1, "a") // all have failed: the one that did first
	s.Failed("a", second+2)
	expect(second+2, "b")
	s.Confirmed("b")
	expect(2*second, "b")
	expect(second+2+2*int64(CooldownInitial), "a") // its second cool-down is over
	s.Confirmed("a")
	s.Failed("a", 100*second)
	expect(100*second+int64(CooldownInitial), "a") // an answer has made its next cool-down short again
}

func TestNoPeers(t *testing.T) {
	if got := New(nil, 1).Next(0); got != "" {
		t.Errorf("%q of none", got)
	}
}

// Clients that lost the same peer in one moment return to it spread over half of the cool-down.
func TestClientsReturnSpreadOverTime(t *testing.T) {
	const clients, slices = 200, 10
	var back [slices]int
	for seed := range uint64(clients) {
		s := New([]string{"a", "b"}, seed*1000)
		s.Failed("a", 0)
		for k := range back {
			from := int64(CooldownInitial) / 2
			if s.Next(from+int64(k+1)*from/slices) == "a" {
				back[k]++
				break
			}
		}
	}
	for k, count := range back {
		if count < clients/slices/4 || count > clients/slices*3 {
			t.Errorf("tenth %d: %d of %d come back", k, count, clients)
		}
	}
}

// Whatever fails and answers: a peer that works is selected, and stays so once nothing fails any more; no peer that
// has failed is selected before its cool-down is over while there is one that has not.
func TestWorkingPeerIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "peers")]
		s := New(all, rapid.Uint64().Draw(t, "seed"))
		now, down, failedAt := int64(0), map[string]bool{}, map[string]int64{}
		try := func() string {
			peer := s.Next(now)
			for other, at := range failedAt {
				if other == peer && now < at+int64(CooldownInitial)/2 && len(failedAt) < len(all) {
					t.Fatalf("%s is chosen %d ms after it failed", peer, (now-at)/1e6)
				}
			}
			if down[peer] {
				s.Failed(peer, now)
				failedAt[peer] = now
			} else {
				s.Confirmed(peer)
				delete(failedAt, peer)
			}
			return peer
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*second).Draw(t, "pause")
			peer := rapid.SampledFrom(all).Draw(t, "peer")
			down[peer] = rapid.Bool().Draw(t, "down")
			try()
		}
		works := rapid.SampledFrom(all).Draw(t, "works")
		clear(down)
		for _, peer := range all {
			down[peer] = peer != works
		}
		tries := 0
		for try() != works {
			if tries++; tries > len(all) {
				t.Fatalf("%s works and is not found in %d tries of one moment", works, tries)
			}
		}
		for range 5 {
			now += 2 * int64(CooldownLimit)
			if !slices.ContainsFunc(all, func(string) bool { return try() == works }) {
				t.Fatalf("%s works and is lost again", works)
			}
		}
	})
}
