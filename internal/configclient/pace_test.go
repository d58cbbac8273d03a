package configclient

import (
	"testing"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// play answers every query at once for a minute, and returns how many there were. No two may come sooner one after the other
// than the pace.
func play(t *testing.T, c *Client, answer func(c *Client, now int64, turn uint64)) (queries int) {
	t.Helper()
	last := -int64(paceLeast)
	for now := int64(0); now < millis(60_000); queries++ {
		ask := c.Next(now)
		if gap := time.Duration(ask.At - last); gap < paceLeast {
			t.Fatalf("query %d comes %v after the one before", queries, gap)
		}
		now, last = ask.At, ask.At
		answer(c, now, uint64(queries))
	}
	return queries
}

// reply takes an answer in as the watcher does.
func reply(c *Client, now int64, a configapi.Answer) {
	if a.Check(configapi.Query{Service: c.options.Service}) != nil {
		c.Failed(now)
		return
	}
	offer, err := c.Answered(now, a)
	switch {
	case err != nil:
		c.Failed(now)
	case offer:
		c.Applied(a.Version, a.Services[0].Settings)
	}
}

// Whatever servers answer, and however fast, nobody is asked more often than the pace, and who brings nothing new far less.
func TestNothingIsAskedWithoutRest(t *testing.T) {
	const (
		paced  = int(time.Minute/paceLeast) + 1      // queries a minute, the first one at 0
		failed = int(time.Minute/(pauseMost/2)) + 5  // waits are at least half of the most, and shorter at first
		idle   = int(time.Minute/(earlyMost/2)) + 10 // the same
	)
	for name, c := range map[string]struct {
		answer func(c *Client, now int64, turn uint64)
		most   int
	}{
		"no epoch": {func(c *Client, now int64, _ uint64) {
			reply(c, now, configapi.Answer{Version: revision.Version{Revision: 7}})
		}, failed},
		"no epoch after a while": {func(c *Client, now int64, turn uint64) {
			if turn == 0 {
				reply(c, now, answer(1, 1, `{}`))
				return
			}
			reply(c, now, configapi.Answer{Version: revision.Version{Revision: 7}})
		}, failed},
		"the same again": {func(c *Client, now int64, _ uint64) { reply(c, now, answer(1, 1, `{}`)) }, idle},
		"without news": {func(c *Client, now int64, turn uint64) {
			reply(c, now, answer(1, 1, map[bool]string{true: `{}`}[turn == 0]))
		}, idle},
		"behind":            {func(c *Client, now int64, turn uint64) { reply(c, now, answer(1, 1_000_000-turn, `{}`)) }, idle},
		"unusable":          {func(c *Client, now int64, turn uint64) { reply(c, now, answer(1, turn+1, "")) }, failed},
		"new each time":     {func(c *Client, now int64, turn uint64) { reply(c, now, answer(1, turn+1, `{}`)) }, paced},
		"refused each time": {refuse, paced},
		"busy":              {func(c *Client, now int64, _ uint64) { c.Busy(now, 0) }, paced},
		"stale": {func(c *Client, now int64, _ uint64) {
			a := answer(1, 1, `{}`)
			a.AgeMS = millis(60_000)
			reply(c, now, a)
		}, idle},
	} {
		for servers := 1; servers <= len(threeServers); servers += 2 {
			if queries := play(t, client(t, threeServers[:servers]), c.answer); queries > c.most {
				t.Errorf("%s: %d queries of %d servers in a minute, at most %d may be", name, queries, servers, c.most)
			}
		}
	}
}

// refuse offers another version each time, which is refused.
func refuse(c *Client, now int64, turn uint64) {
	a := answer(1, turn+1, `{}`)
	if offer, err := c.Answered(now, a); offer && err == nil {
		c.Refused(a.Version)
	}
}

// An answer that brings nothing new after its wait is the ordinary one: the next query follows at once.
func TestAWatchThatWasWaitedForIsFollowedByTheNext(t *testing.T) {
	c := client(t, threeServers)
	ask := c.Next(0)
	reply(c, ask.At, answer(1, 1, `{}`))
	for range 10 {
		ask = c.Next(ask.At)
		now := ask.At + int64(ask.Query.Timeout)
		reply(c, now, answer(1, 1, ""))
		if next := c.Next(now); next.At != now || next.Query.Timeout != GovernorWait {
			t.Fatalf("%+v at %d", next, now)
		}
	}
}

// While the writer is lost, every other server is stale. A follower tries the writer again and again and asks one of the
// others between two tries, so it asks at most once in half of retryMost.
func TestWhileTheWriterIsLost(t *testing.T) {
	servers := []Server{{"writer", "r0"}, {"s1", "r1"}, {"s2", "r2"}, {"s3", "r3"}, {"s4", "r4"}}
	c, err := New(Options{Instance: "n0", Service: "orders", Servers: servers, Ordered: true, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	stale := answer(1, 1, `{}`)
	stale.AgeMS = 60_000
	const minutes = 10
	tries, queries := 0, 0
	for now := int64(0); now < millis(minutes*60_000); {
		ask := c.Next(now)
		if now = ask.At; ask.Server == servers[0] {
			tries++
			c.Failed(now)
			continue
		}
		queries++
		now += int64(ask.Query.Timeout)
		reply(c, now, stale)
	}
	t.Logf("in a minute %d tries of the lost one, %d queries of the others", tries/minutes, queries/minutes)
	if most := minutes * int(time.Minute/(retryMost/2)); tries > most || queries > most {
		t.Errorf("%d tries of the lost one, %d queries of the others, at most %d may be", tries, queries, most)
	}
}
