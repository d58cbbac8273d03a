package discovery

import (
	"fmt"
	"io"
	"math"
	"strings"
	"testing"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/eventloop"
)

// An agent that closes each connection after its answer, in any way, is followed without a gap: the watch continues on the
// next connection and no failure is logged. An agent that no longer accepts connections is a failure.
func TestConnectionClosedAfterAnswerIsNoFailure(t *testing.T) {
	for name, way := range map[string]struct {
		text  func(string) string
		close func(*scriptedpeer.Conn, *eventloop.Queues)
	}{
		"said":            {withClose, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.WaitForClose() }},
		"said and done":   {withClose, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.Close() }},
		"not said":        {strings.Clone, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.Close() }},
		"more than asked": {func(a string) string { return a + "HTTP/1.1" }, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.Close() }},
		"reset under the next call": {strings.Clone, func(c *scriptedpeer.Conn, _ *eventloop.Queues) {
			c.ReadRequestHead()
			c.Reset()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			agent := scriptedpeer.Listen(t)
			_, x, log := startClient(t, agent.Address(), 40)
			conn := agent.AcceptConn()
			expectRequest(t, conn, completeListLine)
			for revision := int64(41); revision < 45; revision++ {
				conn.SendRaw(way.text(list(revision, revision == 41, "Ready")))
				way.close(conn, x)
				if l := nextList(t, x); l.Revision != revision {
					t.Errorf("%d is published, want %d", l.Revision, revision)
				}
				conn = agent.AcceptConn()
				expectRequest(t, conn, fmt.Sprintf(watchLine, revision))
			}
			if errs := x.Counters.DiscoveryErrors.Load(); errs != 0 || log.count("discovery") != 0 {
				t.Errorf("%d errors: %s", errs, log.text.String())
			}
			agent.Close()
			conn.Reset() // it is gone
			scriptedpeer.WaitFor(t, "a discovery that is gone is not noticed", func() bool { return log.count("discovery fails") == 1 })
		})
	}
}

// After an unusable answer to a watch, or a broken one, the client requests the complete list: the agent may be unable to
// answer watches.
func TestFailedWatchIsFollowedByCompleteList(t *testing.T) {
	for name, answer := range map[string]string{
		"not found": "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"gone":      "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
		"busy":      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy",
		"not JSON":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbusy",
		"not ours":  "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + `{"revision":44,"code":1}`,
		"not HTTP":  "+OK\r\n",
		"cut off":   list(42, false, "Ready")[:60],
		"older":     list(40, false, "Ready"),
	} {
		t.Run(name, func(t *testing.T) {
			agent := scriptedpeer.Listen(t)
			_, x, log := startClient(t, agent.Address(), 40)
			conn := agent.AcceptConn()
			expectRequest(t, conn, completeListLine)
			conn.SendRaw(list(41, true, "Ready"))
			expectRequest(t, conn, fmt.Sprintf(watchLine, 41))
			conn.SendRaw(answer)
			conn.Close()
			conn = agent.AcceptConn()
			expectRequest(t, conn, completeListLine)
			conn.SendRaw(list(45, true, "Terminating"))
			expectRequest(t, conn, fmt.Sprintf(watchLine, 45))
			if l := nextList(t, x); l.Revision != 45 || !l.Complete {
				t.Errorf("published %+v", l)
			}
			if log.count("discovery fails") != 1 || log.count("discovery answers") != 0 {
				t.Errorf("log: %s", log.text.String())
			}
			conn.SendRaw(unchanged(45))
			scriptedpeer.WaitFor(t, "a watch that is answered again is not noticed", func() bool { return log.count("discovery answers") == 1 })
		})
	}
}

// An answer that is incomplete when the address changes is discarded, and one that has just arrived does not outrank the
// service at the new address, which counts from a lower revision.
func TestSetAddressDiscardsUnfinishedAnswer(t *testing.T) {
	before, after := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	c, x, _ := startClient(t, before.Address(), 40)
	old := before.AcceptConn()
	expectRequest(t, old, completeListLine)
	old.SendRaw(list(41, true, "Ready"))
	if l := nextList(t, x); l.Revision != 41 {
		t.Errorf("published %+v", l)
	}
	expectRequest(t, old, fmt.Sprintf(watchLine, 41))
	late := list(math.MaxInt64, true, "Ready")
	old.SendRaw(late[:len(late)-1])
	c.SetAddress(after.Address())
	next := after.AcceptConn() // only after the old conversation has ended
	io.WriteString(old.Conn, late[len(late)-1:])
	for k := range staleAnswersLimitAfterMove {
		expectRequest(t, next, completeListLine)
		next.SendRaw(list(3, true, "Terminating"))
		if k+1 < staleAnswersLimitAfterMove {
			next = after.AcceptConn()
		}
	}
	if l := nextList(t, x); l.Revision != 3 || len(x.Drain()) > 0 {
		t.Errorf("published %+v", l)
	}
	expectRequest(t, next, fmt.Sprintf(watchLine, 3))
	next.SendRaw(late) // and what has come in full may be taken, or not
	c.SetAddress(before.Address())
	for k := range staleAnswersLimitAfterMove {
		old = before.AcceptConn()
		expectRequest(t, old, completeListLine)
		old.SendRaw(list(4, true, "Gone"))
		if k == 0 && nextList(t, x).Revision == 4 { // it was not
			break
		}
	}
	expectRequest(t, old, fmt.Sprintf(watchLine, 4))
}

// Two changes of the address before an answer: only the latest counts, and the complete list is requested from it.
func TestSetAddressThereAndBackUsesLatest(t *testing.T) {
	home, away := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	c, x, _ := startClient(t, home.Address(), 40)
	first := home.AcceptConn()
	expectRequest(t, first, completeListLine)
	c.SetAddress(away.Address())
	there := away.AcceptConn()
	first.WaitForClose()
	expectRequest(t, there, completeListLine)
	c.SetAddress(away.Address()) // the same address: no effect
	c.SetAddress(home.Address())
	second := home.AcceptConn()
	there.WaitForClose()
	expectRequest(t, second, completeListLine)
	second.SendRaw(list(41, true, "Ready"))
	expectRequest(t, second, fmt.Sprintf(watchLine, 41))
	if l := nextList(t, x); l.Revision != 41 || x.Counters.Dials.Load() != 3 {
		t.Errorf("published %+v after %d dials", l, x.Counters.Dials.Load())
	}
}

// A change made between an answer and the next call arrives with that call.
func TestChangeBetweenTwoCallsIsReceived(t *testing.T) {
	agent := scriptedpeer.Listen(t)
	_, x, _ := startClient(t, agent.Address(), 40)
	conn := agent.AcceptConn()
	expectRequest(t, conn, completeListLine)
	conn.SendRaw(list(41, true, "Ready"))
	nextList(t, x)
	expectRequest(t, conn, fmt.Sprintf(watchLine, 41))
	conn.SendRaw(unchanged(41)) // and now 42 is made
	expectRequest(t, conn, fmt.Sprintf(watchLine, 41))
	conn.SendRaw(list(42, false, "Terminating"))
	if l := nextList(t, x); l.Revision != 42 || l.Complete || len(l.Members) != 1 {
		t.Errorf("published %+v", l)
	}
	expectRequest(t, conn, fmt.Sprintf(watchLine, 42))
}

// Revisions at the limits of int64, invalid ones, and repeated ones.
func TestRevisionLimits(t *testing.T) {
	body := func(answer string) []byte { return []byte(answer[strings.Index(answer, "{"):]) }
	for name, c := range map[string]struct {
		known, revision  int64 // revision is that of a complete list that was requested
		published, fails bool
	}{
		"the largest":             {41, math.MaxInt64, true, false},
		"the first of all":        {-1, 0, true, false},
		"the same as at start":    {41, 41, true, false},
		"below nought":            {41, -2, false, true},
		"after one made of noise": {math.MaxInt64, 42, false, true},
	} {
		cl, x := client(c.known)
		_, err := cl.apply(body(list(c.revision, true, "Ready")))
		if got := len(x.Drain()) == 1; got != c.published || (err != nil) != c.fails {
			t.Errorf("%s: published %v: %v", name, got, err)
		}
		if _, err := cl.apply(body(list(cl.revision, false, "Gone"))); (err != nil) != c.fails { // changes where the complete list was requested
			t.Errorf("%s: changes then: %v", name, err)
		}
	}
	for _, revision := range []string{"9223372036854775808", "-9223372036854775809", "1e3", "41.5", `"41"`, "null"} {
		if l, err := Parse(fmt.Appendf(nil, `{"revision":%s,"complete":true,"members":[]}`, revision)); err == nil {
			t.Errorf("revision %s is read as %d", revision, l.Revision)
		}
	}
	l, err := Parse([]byte(`{"revision":5,"complete":false,"members":[{"id":"a","phase":"Gone","up_since_ms":1},` +
		`{"id":"a","phase":"Ready","up_since_ms":2},{"id":"b","phase":"Gone"}]}`))
	if err != nil || len(l.Members) != 3 || l.Members[1].UpSince != 2e6 { // in order: the last entry for an id holds
		t.Errorf("%+v %v", l, err)
	}
}
