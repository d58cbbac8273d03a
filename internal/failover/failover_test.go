package failover

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

func TestPreferredPeerIsUsedUntilItFailsAndAgainAfterItsCooldown(t *testing.T) {
	s := New([]string{"a", "b", "c"}, 7)
	expectNext := func(now int64, want string) {
		t.Helper()
		if got := s.Next(now); got != want {
			t.Errorf("selected at %d ms: %q, want %q", now/1e6, got, want)
		}
	}
	expectNext(0, "a")
	s.RecordFailure("a", 0)
	expectNext(0, "b")
	s.RecordFailure("b", second)
	expectNext(second, "c")
	s.RecordFailure("c", second+1)
	expectNext(second+1, "a") // all peers have failed: a has the oldest failure
	s.RecordFailure("a", second+2)
	expectNext(second+2, "b")
	s.RecordSuccess("b")
	expectNext(2*second, "b")
	expectNext(second+2+2*int64(CooldownInitial), "a") // the second cool-down of a has ended
	s.RecordSuccess("a")
	s.RecordFailure("a", 100*second)
	expectNext(100*second+int64(CooldownInitial), "a") // the success of a has reset its cool-down to CooldownInitial
}

func TestNextWithoutPeersIsEmpty(t *testing.T) {
	if got := New(nil, 1).Next(0); got != "" {
		t.Errorf("selected %q without peers, want an empty address", got)
	}
}

// Clients whose peer failed at the same moment return to it at times spread over the second half of the cool-down.
func TestClientsReturnSpreadOverTime(t *testing.T) {
	const clients, buckets = 200, 10
	var returned [buckets]int
	for seed := range uint64(clients) {
		s := New([]string{"a", "b"}, seed*1000)
		s.RecordFailure("a", 0)
		for k := range returned {
			from := int64(CooldownInitial) / 2
			if s.Next(from+int64(k+1)*from/buckets) == "a" {
				returned[k]++
				break
			}
		}
	}
	for k, count := range returned {
		if count < clients/buckets/4 || count > clients/buckets*3 {
			t.Errorf("bucket %d of the return period: %d of %d clients return, want about as many in each bucket", k, count, clients)
		}
	}
}

// After any sequence of failures and successes, the only working peer is found within a few attempts, and is found again
// each time the cool-downs of the other peers have ended. No peer that has failed is selected during its cool-down while
// there is a peer that has not failed.
func TestOnlyWorkingPeerIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "peers")]
		s := New(peers, rapid.Uint64().Draw(t, "seed"))
		now, down, failedAt := int64(0), map[string]bool{}, map[string]int64{}
		attempt := func() string {
			peer := s.Next(now)
			for other, at := range failedAt {
				if other == peer && now < at+int64(CooldownInitial)/2 && len(failedAt) < len(peers) {
					t.Fatalf("peer %s is selected %d ms after its failure, before its cool-down can have ended", peer, (now-at)/1e6)
				}
			}
			if down[peer] {
				s.RecordFailure(peer, now)
				failedAt[peer] = now
			} else {
				s.RecordSuccess(peer)
				delete(failedAt, peer)
			}
			return peer
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*second).Draw(t, "pause")
			peer := rapid.SampledFrom(peers).Draw(t, "peer")
			down[peer] = rapid.Bool().Draw(t, "down")
			attempt()
		}
		working := rapid.SampledFrom(peers).Draw(t, "works")
		clear(down)
		for _, peer := range peers {
			down[peer] = peer != working
		}
		attempts := 0
		for attempt() != working {
			if attempts++; attempts > len(peers) {
				t.Fatalf("working peer %s is not selected in %d attempts at one time", working, attempts)
			}
		}
		for range 5 {
			now += 2 * int64(CooldownLimit)
			if !slices.ContainsFunc(peers, func(string) bool { return attempt() == working }) {
				t.Fatalf("working peer %s is not selected again after all cool-downs have ended", working)
			}
		}
	})
}
