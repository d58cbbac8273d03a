package configclient

import (
	"testing"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// countPolls answers every poll without delay for a minute of virtual time, and returns the number of polls. It checks that
// they are at least minPollInterval apart.
func countPolls(t *testing.T, c *Client, answer func(c *Client, now int64, pollNumber uint64)) (queries int) {
	t.Helper()
	last := -int64(minPollInterval)
	for now := int64(0); now < millis(60_000); queries++ {
		poll := c.NextPoll(now)
		if gap := time.Duration(poll.At - last); gap < minPollInterval {
			t.Fatalf("query %d follows the one before after %v, less than minPollInterval", queries, gap)
		}
		now, last = poll.At, poll.At
		answer(c, now, uint64(queries))
	}
	return queries
}

// reply passes an answer to a client as package configwatch does.
func reply(c *Client, now int64, answer configapi.Answer) {
	if answer.Check(configapi.Query{Service: c.options.Service}) != nil {
		c.Failed(now)
		return
	}
	offer, err := c.Answered(now, answer)
	switch {
	case err != nil:
		c.Failed(now)
	case offer:
		c.Applied(answer.Version, answer.Services[0].Settings)
	}
}

// The poll rate is bounded for every kind of answer, even if answers arrive at once: by minPollInterval and, after failures
// and after answers without a change, by the limit of a backoff.
func TestPollRateIsBounded(t *testing.T) {
	const (
		paced = int(time.Minute/minPollInterval) + 1 // queries in a minute, the first one at time 0
		// Jittered pauses are at least half of the backoff's limit, except for the first ones, while the backoff grows. The
		// bounds below allow 5 and 10 more queries for these.
		failed = int(time.Minute/(failurePauseLimit/2)) + 5
		idle   = int(time.Minute/(earlyLimit/2)) + 10
	)
	for name, c := range map[string]struct {
		answer     func(c *Client, now int64, pollNumber uint64)
		maxQueries int
	}{
		"no epoch": {func(c *Client, now int64, _ uint64) {
			reply(c, now, configapi.Answer{Version: revision.Version{Revision: 7}})
		}, failed},
		"no epoch after a valid answer": {func(c *Client, now int64, pollNumber uint64) {
			if pollNumber == 0 {
				reply(c, now, answer(1, 1, `{}`))
				return
			}
			reply(c, now, configapi.Answer{Version: revision.Version{Revision: 7}})
		}, failed},
		"same version each time": {func(c *Client, now int64, _ uint64) { reply(c, now, answer(1, 1, `{}`)) }, idle},
		"without a change": {func(c *Client, now int64, pollNumber uint64) {
			reply(c, now, answer(1, 1, map[bool]string{true: `{}`}[pollNumber == 0]))
		}, idle},
		"older each time":    {func(c *Client, now int64, pollNumber uint64) { reply(c, now, answer(1, 1_000_000-pollNumber, `{}`)) }, idle},
		"unusable":           {func(c *Client, now int64, pollNumber uint64) { reply(c, now, answer(1, pollNumber+1, "")) }, failed},
		"newer each time":    {func(c *Client, now int64, pollNumber uint64) { reply(c, now, answer(1, pollNumber+1, `{}`)) }, paced},
		"rejected each time": {rejectEach, paced},
		"busy":               {func(c *Client, now int64, _ uint64) { c.Busy(now, 0) }, paced},
		"stale": {func(c *Client, now int64, _ uint64) {
			a := answer(1, 1, `{}`)
			a.AgeMS = millis(60_000)
			reply(c, now, a)
		}, idle},
	} {
		for servers := 1; servers <= len(threeServers); servers += 2 {
			if queries := countPolls(t, client(t, threeServers[:servers]), c.answer); queries > c.maxQueries {
				t.Errorf("%s: %d queries to %d servers in a minute, want at most %d", name, queries, servers, c.maxQueries)
			}
		}
	}
}

// rejectEach answers with a newer version each time, which the client rejects.
func rejectEach(c *Client, now int64, pollNumber uint64) {
	a := answer(1, pollNumber+1, `{}`)
	if offer, err := c.Answered(now, a); offer && err == nil {
		c.Rejected(a.Version)
	}
}

// After an answer without a change that arrives when the requested wait has passed, which is the usual case, the next poll
// follows at once.
func TestAnswerAfterWaitIsFollowedByPollAtOnce(t *testing.T) {
	c := client(t, threeServers)
	poll := c.NextPoll(0)
	reply(c, poll.At, answer(1, 1, `{}`))
	for range 10 {
		poll = c.NextPoll(poll.At)
		now := poll.At + int64(poll.Query.Timeout)
		reply(c, now, answer(1, 1, ""))
		if next := c.NextPoll(now); next.At != now || next.Query.Timeout != ControllerPollWait {
			t.Fatalf("next poll is %+v, want one at %d", next, now)
		}
	}
}

// While the writer is lost, every other server is stale. A follower retries the writer, and polls one of the others between
// two retries, so it sends each kind of poll at most once per half of retryLimit.
func TestPollRateWhileWriterIsLost(t *testing.T) {
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
	t.Logf("in a minute: %d polls of the lost writer, %d polls of the other servers", polls/minutes, queries/minutes)
	if limit := minutes * int(time.Minute/(retryLimit/2)); polls > limit || queries > limit {
		t.Errorf("%d polls of the lost writer, %d polls of the other servers, want at most %d each", polls, queries, limit)
	}
}
