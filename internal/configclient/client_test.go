package configclient

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

var threeServers = []Server{{"near-1", "r0"}, {"near-2", "r0"}, {"far", "r1"}}

func client(t testing.TB, servers []Server) *Client {
	t.Helper()
	c, err := New(Options{Instance: "n0", Service: "orders", Region: "r0", Zone: "a", Servers: servers, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func answer(epoch, revisionNumber uint64, settings string) configapi.Answer {
	v := revision.Version{Epoch: epoch, Revision: revisionNumber}
	a := configapi.Answer{Version: v, Complete: true}
	if settings != "" {
		a.Services = []configapi.Service{{Name: "orders", Version: v, Settings: json.RawMessage(settings)}}
	}
	return a
}

func millis(ms int64) int64 { return ms * int64(time.Millisecond) }

func TestOrderPrefersServersOfRegion(t *testing.T) {
	for k := range 50 {
		order := Order(fmt.Sprintf("n%d", k), "r0", append(threeServers, threeServers[0]))
		if len(order) != 3 || order[2] != threeServers[2] {
			t.Errorf("order %v, want three servers and that of the other region last", order)
		}
	}
	if _, err := New(Options{}); err == nil {
		t.Error("New accepts options without servers")
	}
}

// The followers of a lost server spread evenly over all others, and the order of the remaining servers does not change for
// any follower.
func TestOrderSpreadsFollowersOfLostServer(t *testing.T) {
	var servers []Server
	for k := range 8 {
		servers = append(servers, Server{Address: fmt.Sprintf("10.0.0.%d:7000", k)})
	}
	const followers = 1600
	lost, moved, firstChoices := servers[3].Address, map[string]int{}, map[string]int{}
	for k := range followers {
		order := Order(fmt.Sprintf("governor-%d", k), "", servers)
		if firstChoices[order[0].Address]++; order[0].Address == lost {
			moved[order[1].Address]++
		}
		without := Order(fmt.Sprintf("governor-%d", k), "", slices.Delete(slices.Clone(servers), 3, 4))
		rest := slices.DeleteFunc(slices.Clone(order), func(s Server) bool { return s.Address == lost })
		if !slices.Equal(rest, without) {
			t.Fatalf("order of the remaining servers is %v, without the lost one it is %v", rest, without)
		}
	}
	mean := followers / len(servers)
	for _, s := range servers {
		if firstChoices[s.Address] < mean*7/10 || firstChoices[s.Address] > mean*13/10 {
			t.Errorf("%s is the first choice of %d followers, the mean is %d", s.Address, firstChoices[s.Address], mean)
		}
		if meanMoved := mean / (len(servers) - 1); s.Address != lost && (moved[s.Address] < meanMoved/2 || moved[s.Address] > meanMoved*2) {
			t.Errorf("%d followers of the lost server move to %s, the mean is %d", moved[s.Address], s.Address, meanMoved)
		}
	}
}

// Only newer versions are offered: the active version never decreases, and a later epoch outranks every revision. A new
// version with the active settings becomes active without an offer.
func TestAnsweredOffersNewerVersions(t *testing.T) {
	c := client(t, threeServers)
	c.NextPoll(0)
	for index, step := range []struct {
		answer    configapi.Answer
		reject    bool
		offer     bool
		wantError string
		active    string
		rejected  string
	}{
		{answer(5, 3, `{"a":1}`), false, true, "", "5.3", "0.0"},
		{answer(5, 3, ""), false, false, "", "5.3", "0.0"},
		{answer(5, 2, `{"a":0}`), false, false, "", "5.3", "0.0"},
		{answer(4, 900, `{"a":0}`), false, false, "", "5.3", "0.0"},
		{answer(5, 4, `{"a":2}`), true, true, "", "5.3", "5.4"},
		{answer(5, 4, `{"a":2}`), false, false, "", "5.3", "5.4"},
		{answer(5, 5, `{"a":1}`), false, false, "", "5.5", "0.0"},
		{answer(5, 6, ""), false, false, "without settings", "5.5", "0.0"},
		{answer(5, 6, `{"a":3}`), false, true, "", "5.6", "0.0"},
		{answer(6, 1, `{"a":3}`), false, false, "", "6.1", "0.0"},
		{answer(5, 7, `{"a":4}`), false, false, "", "6.1", "0.0"},
		{answer(6, 2, `{"a":5}`), false, true, "", "6.2", "0.0"},
		{configapi.Answer{Version: revision.Version{Epoch: 7, Revision: 1}}, false, false, "changes of epoch 7", "6.2", "0.0"},
	} {
		offer, err := c.Answered(0, step.answer)
		if offer != step.offer || (err != nil) != (step.wantError != "") || err != nil && !strings.Contains(err.Error(), step.wantError) {
			t.Errorf("step %d: offer %v, error %v", index, offer, err)
		}
		if offer != c.Pending() {
			t.Errorf("step %d: pending %v", index, c.Pending())
		}
		if offer && step.reject {
			c.Rejected(step.answer.Version)
		} else if offer {
			c.Applied(step.answer.Version, step.answer.Services[0].Settings)
		}
		poll := c.NextPoll(0)
		if got := c.Active().String(); got != step.active || poll.Query.Since.String() != got || poll.Query.Rejected.String() != step.rejected {
			t.Errorf("step %d: version %s active, version %s rejected in the query", index, got, poll.Query.Rejected)
		}
	}
}

func TestNextServerIsPolledAfterFailure(t *testing.T) {
	c := client(t, threeServers)
	order := c.Servers()
	poll := c.NextPoll(0)
	if poll.Server != order[0] || poll.At != 0 || poll.Query.Timeout != 0 {
		t.Fatalf("first poll is %+v, want one of %s at once", poll, order[0].Address)
	}
	c.Failed(0)
	poll = c.NextPoll(0)
	if poll.Server != order[1] || poll.At < int64(failurePauseInitial)/2 || poll.At > int64(failurePauseInitial) {
		t.Fatalf("poll after a failure is %+v, want one of %s after a pause", poll, order[1].Address)
	}
	if _, err := c.Answered(poll.At, answer(1, 1, `{}`)); err != nil {
		t.Fatal(err)
	}
	c.Applied(revision.Version{Epoch: 1, Revision: 1}, nil)
	if poll = c.NextPoll(poll.At); poll.Server != order[1] || poll.Query.Timeout != ControllerPollWait || poll.Query.Since.String() != "1.1" {
		t.Errorf("poll after an answer is %+v, want one of %s since 1.1", poll, order[1].Address)
	}
	if poll = c.NextPoll(int64(failbackInitial) + 1); poll.Server != order[0] { // the preferred server is polled again after the failback interval
		t.Errorf("poll after the failback interval is %+v, want one of %s", poll, order[0].Address)
	}
}

// While no server answers, all eight are polled in turn at a bounded rate, so that the recovery of any of them is detected.
func TestUnreachableServersArePolledInTurn(t *testing.T) {
	var eight []Server
	for k := range 8 {
		eight = append(eight, Server{fmt.Sprintf("s%d", k), fmt.Sprintf("r%d", k/2)})
	}
	c, now, polled := client(t, eight), int64(0), map[string][]int64{}
	polls := 0
	for ; now < millis(120_000); polls++ {
		poll := c.NextPoll(now)
		now = poll.At
		polled[poll.Server.Address] = append(polled[poll.Server.Address], now)
		c.Failed(now)
	}
	if polls > 120*2+10 {
		t.Errorf("%d polls in two minutes, want at most 250", polls)
	}
	if len(polled) != len(eight) {
		t.Errorf("only %d servers were polled", len(polled))
	}
	for address, times := range polled {
		times = append(times, now)
		for k := 1; k < len(times); k++ {
			if gap := time.Duration(times[k] - times[k-1]); gap > max(retryLimit, failurePauseLimit*8) {
				t.Errorf("server %s was not polled for %v", address, gap)
			}
		}
	}
}

// A busy server is polled again after the time that it requests, and another one is polled after more than maxBusyAnswers
// busy answers.
func TestBusyServerIsPolledAgainBeforeOthers(t *testing.T) {
	c := client(t, threeServers)
	order, now := c.Servers(), int64(0)
	for range maxBusyAnswers {
		if poll := c.NextPoll(now); poll.Server != order[0] {
			t.Fatalf("poll after a busy answer is %+v, want one of %s", poll, order[0].Address)
		}
		c.Busy(now, 2*time.Second)
		poll := c.NextPoll(now)
		if wait := time.Duration(poll.At - now); wait < 2*time.Second || wait > 2500*time.Millisecond {
			t.Errorf("polls again after %v, want 2 s and up to busyJitter", wait)
		}
		now = poll.At
	}
	c.NextPoll(now)
	c.Busy(now, 2*time.Second)
	if poll := c.NextPoll(now + millis(1000)); poll.Server != order[1] {
		t.Errorf("poll after the last busy answer is %+v, want one of %s", poll, order[1].Address)
	}
}

// A server that has lost the writer, and one that is behind the follower, is used only while no better server answers.
func TestStaleServerIsUsedOnlyIfNoBetterAnswers(t *testing.T) {
	c := client(t, threeServers)
	order, now := c.Servers(), int64(0)
	stale := answer(1, 1, `{}`)
	stale.AgeMS = staleAfter.Milliseconds() + 1
	c.NextPoll(now)
	if offer, err := c.Answered(now, stale); !offer || err != nil {
		t.Fatalf("version of a stale server is not offered although there is none: offer %v, error %v", offer, err)
	}
	c.Applied(stale.Version, nil)
	for _, other := range order[1:] {
		poll := c.NextPoll(now)
		if poll.Server != other {
			t.Fatalf("poll after a stale answer is %+v, want one of %s", poll, other.Address)
		}
		now = poll.At
		c.Failed(now)
	}
	now += int64(failurePauseInitial)
	poll := c.NextPoll(now)
	for k := 0; poll.Server != order[0] && k < 10; k++ {
		now = poll.At
		c.Failed(now)
		poll = c.NextPoll(now)
	}
	if poll.Server != order[0] || poll.Query.Timeout > retryLimit {
		t.Errorf("poll while all other servers fail is %+v, want one of the stale server %s with a short wait", poll, order[0].Address)
	}
	now = poll.At
	fresh := answer(1, 1, "")
	if _, err := c.Answered(now, fresh); err != nil {
		t.Fatal(err)
	}
	if poll = c.NextPoll(now); poll.Server != order[0] || poll.Query.Timeout != ControllerPollWait {
		t.Errorf("poll after an up-to-date answer is %+v, want one of %s with the full wait", poll, order[0].Address)
	}
	behind := answer(1, 0, "") // as after the server was restored from a backup
	if offer, err := c.Answered(now, behind); offer || err != nil {
		t.Errorf("answer of a server that is behind: offer %v, error %v", offer, err)
	}
	switched := false
	for elapsed := time.Duration(0); elapsed <= retryLimit && !switched; elapsed += retryInitial {
		switched = c.NextPoll(now+int64(elapsed)).Server != order[0]
	}
	if !switched {
		t.Errorf("no other server is polled within %v although the polled one is behind", retryLimit)
	}
}
