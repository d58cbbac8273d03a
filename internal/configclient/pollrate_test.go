package configclient

import (
	"testing"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// countPolls answers every poll at once for a minute, and returns their number. It checks the interval between them.
func countPolls(t *testing.T, c *Client, answer func(c *Client, now int64, turn uint64)) (queries int) {
	t.Helper()
	last := -int64(minPollInterval)
	for now := int64(0); now < millis(60_000); queries++ {
		poll := c.NextPoll(now)
		if gap := time.Duration(poll.At - last); gap < minPollInterval {
			t.Fatalf("query %d comes %v after the one before", queries, gap)
		}
		now, last = poll.At, poll.At
		answer(c, now, uint64(queries))
	}
	return queries
}

// reply handles an answer as package configwatch does.
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

// Whatever servers answer, and however fast, polls keep their interval, and those without a change a much longer one.
func TestPollRateIsBounded(t *testing.T) {
	const (
		paced  = int(time.Minute/minPollInterval) + 1       // queries a minute, the first one at 0
		failed = int(time.Minute/(failurePauseLimit/2)) + 5 // waits are at least half of the most, and shorter at first
		idle   = int(time.Minute/(earlyLimit/2)) + 10       // the same
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
		"without a change": {func(c *Client, now int64, turn uint64) {
			reply(c, now, answer(1, 1, map[bool]string{true: `{}`}[turn == 0]))
		}, idle},
		"behind":             {func(c *Client, now int64, turn uint64) { reply(c, now, answer(1, 1_000_000-turn, `{}`)) }, idle},
		"unusable":           {func(c *Client, now int64, turn uint64) { reply(c, now, answer(1, turn+1, "")) }, failed},
		"new each time":      {func(c *Client, now int64, turn uint64) { reply(c, now, answer(1, turn+1, `{}`)) }, paced},
		"rejected each time": {rejectEach, paced},
		"busy":               {func(c *Client, now int64, _ uint64) { c.Busy(now, 0) }, paced},
		"stale": {func(c *Client, now int64, _ uint64) {
			a := answer(1, 1, `{}`)
			a.AgeMS = millis(60_000)
			reply(c, now, a)
		}, idle},
	} {
		for servers := 1; servers <= len(threeServers); servers += 2 {
			if queries := countPolls(t, client(t, threeServers[:servers]), c.answer); queries > c.most {
				t.Errorf("%s: %d queries of %d servers in a minute, at most %d may be", name, queries, servers, c.most)
			}
		}
	}
}

// rejectEach answers with another version each time, which is rejected.
func rejectEach(c *Client, now int64, turn uint64) {
	a := answer(1, turn+1, `{}`)
	if offer, err := c.Answered(now, a); offer && err == nil {
		c.Rejected(a.Version)
	}
}

// An answer without a change after the requested wait is the usual one: the next poll follows at once.
func TestAnswerAfterWaitIsFollowedByPollAtOnce(t *testing.T) {
	c := client(t, threeServers)
	poll := c.NextPoll(0)
	reply(c, poll.At, answer(1, 1, `{}`))
	for range 10 {
		poll = c.NextPoll(poll.At)
		now := poll.At + int64(poll.Query.Timeout)
		reply(c, now, answer(1, 1, ""))
		if next := c.NextPoll(now); next.At != now || next.Query.Timeout != ControllerPollWait {
			t.Fatalf("%+v at %d", next, now)
		}
	}
}

// While the writer is lost, every other server is stale. A follower polls the writer repeatedly and one of the others between
// two of these polls, so it polls each at most once in half of retryLimit.
func TestWhileTheWriterIsLost(t *testing.T) {
	servers := []Server{{"writer", "r0"}, {"s1", "r1"}, {"s2", "r2"}, {"s3", "r3"}, {"s4", "r4"}}
	c, err := New(Options{Instance: "n0", Service: "orders", Servers: servers, Ordered: true, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	stale := answer(1, 1, `{}`)
	stale.AgeMS = 60_000
	const minutes = 10
	polls, queries := 0, 0
	for now := int64(0); now < millis(minutes*60_000); {
		poll := c.NextPoll(now)
		if now = poll.At; poll.Server == servers[0] {
			polls++
			c.Failed(now)
			continue
		}
		queries++
		now += int64(poll.Query.Timeout)
		reply(c, now, stale)
	}
	t.Logf("in a minute %d polls of the lost one, %d queries of the others", polls/minutes, queries/minutes)
	if most := minutes * int(time.Minute/(retryLimit/2)); polls > most || queries > most {
		t.Errorf("%d polls of the lost one, %d queries of the others, at most %d may be", polls, queries, most)
	}
}
