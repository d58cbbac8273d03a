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

// If an agent closes each connection after its answer, in any way, the client misses no change: the watch continues on the
// next connection and no failure is logged. If the agent no longer accepts connections, that is logged as a failure.
func TestConnectionClosedAfterAnswerIsNoFailure(t *testing.T) {
	for name, variant := range map[string]struct {
		modify func(string) string
		close  func(*scriptedpeer.Conn, *eventloop.Queues)
	}{
		"announced, closed by the client": {withClose, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.WaitForClose() }},
		"announced, closed by the agent":  {withClose, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.Close() }},
		"not announced":                   {strings.Clone, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.Close() }},
		"extra bytes after the answer":    {func(a string) string { return a + "HTTP/1.1" }, func(c *scriptedpeer.Conn, _ *eventloop.Queues) { c.Close() }},
		"reset during the next call": {strings.Clone, func(c *scriptedpeer.Conn, _ *eventloop.Queues) {
			c.ReadRequestHead()
			c.Reset()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			agent := scriptedpeer.Listen(t)
			_, queues, log := startClient(t, agent.Address(), 40)
			conn := agent.AcceptConn()
			expectRequest(t, conn, completeListLine)
			for revision := int64(41); revision < 45; revision++ {
				conn.SendRaw(variant.modify(listAnswer(revision, revision == 41, "Ready")))
				variant.close(conn, queues)
				if published := nextList(t, queues); published.Revision != revision {
					t.Errorf("published revision %d, want %d", published.Revision, revision)
				}
				conn = agent.AcceptConn()
				expectRequest(t, conn, fmt.Sprintf(watchLine, revision))
			}
			if errs := queues.Counters.DiscoveryErrors.Load(); errs != 0 || log.Count("discovery") != 0 {
				t.Errorf("%d errors counted; log: %s", errs, log.String())
			}
			agent.Close()
			conn.Reset() // the agent is gone
			scriptedpeer.WaitFor(t, "no failure is logged after the agent has gone", func() bool { return log.Count("discovery call failed") == 1 })
		})
	}
}

// After an invalid or incomplete answer to a watch, the client requests the complete list: the agent may be unable to answer
// watches.
func TestFailedWatchIsFollowedByCompleteList(t *testing.T) {
	for name, answer := range map[string]string{
		"not found": "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"gone":      "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
		"busy":      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy",
		"not JSON":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbusy",
		"no list":   "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + `{"revision":44,"code":1}`,
		"not HTTP":  "+OK\r\n",
		"cut off":   listAnswer(42, false, "Ready")[:60],
		"older":     listAnswer(40, false, "Ready"),
	} {
		t.Run(name, func(t *testing.T) {
			agent := scriptedpeer.Listen(t)
			_, queues, log := startClient(t, agent.Address(), 40)
			conn := agent.AcceptConn()
			expectRequest(t, conn, completeListLine)
			conn.SendRaw(listAnswer(41, true, "Ready"))
			expectRequest(t, conn, fmt.Sprintf(watchLine, 41))
			conn.SendRaw(answer)
			conn.Close()
			conn = agent.AcceptConn()
			expectRequest(t, conn, completeListLine)
			conn.SendRaw(listAnswer(45, true, "Terminating"))
			expectRequest(t, conn, fmt.Sprintf(watchLine, 45))
			if published := nextList(t, queues); published.Revision != 45 || !published.Complete {
				t.Errorf("published %+v", published)
			}
			if log.Count("discovery call failed") != 1 || log.Count("discovery recovered") != 0 {
				t.Errorf("log: %s", log.String())
			}
			conn.SendRaw(unchangedAnswer(45))
			scriptedpeer.WaitFor(t, "no recovery is logged after a watch was answered", func() bool { return log.Count("discovery recovered") == 1 })
		})
	}
}

// An answer that is incomplete when the address changes is discarded. A complete answer that arrives just before the change
// does not prevent the client from accepting the lists of the service at the new address, which counts from a lower
// revision.
func TestSetAddressDiscardsIncompleteAnswer(t *testing.T) {
	oldAgent, newAgent := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	client, queues, _ := startClient(t, oldAgent.Address(), 40)
	oldConn := oldAgent.AcceptConn()
	expectRequest(t, oldConn, completeListLine)
	oldConn.SendRaw(listAnswer(41, true, "Ready"))
	if published := nextList(t, queues); published.Revision != 41 {
		t.Errorf("published %+v", published)
	}
	expectRequest(t, oldConn, fmt.Sprintf(watchLine, 41))
	lateAnswer := listAnswer(math.MaxInt64, true, "Ready")
	oldConn.SendRaw(lateAnswer[:len(lateAnswer)-1])
	client.SetAddress(newAgent.Address())
	newConn := newAgent.AcceptConn() // only after the client has closed the old connection
	io.WriteString(oldConn.Conn, lateAnswer[len(lateAnswer)-1:])
	for k := range staleAnswersLimitAfterMove {
		expectRequest(t, newConn, completeListLine)
		newConn.SendRaw(listAnswer(3, true, "Terminating"))
		if k+1 < staleAnswersLimitAfterMove {
			newConn = newAgent.AcceptConn()
		}
	}
	if published := nextList(t, queues); published.Revision != 3 || len(queues.Drain()) > 0 {
		t.Errorf("published %+v", published)
	}
	expectRequest(t, newConn, fmt.Sprintf(watchLine, 3))
	newConn.SendRaw(lateAnswer) // a complete answer may be accepted before the address changes, or not
	client.SetAddress(oldAgent.Address())
	for k := range staleAnswersLimitAfterMove {
		oldConn = oldAgent.AcceptConn()
		expectRequest(t, oldConn, completeListLine)
		oldConn.SendRaw(listAnswer(4, true, "Gone"))
		if k == 0 && nextList(t, queues).Revision == 4 { // the late answer was not accepted
			break
		}
	}
	expectRequest(t, oldConn, fmt.Sprintf(watchLine, 4))
}

// After two changes of the address before an answer, only the latest address is used, and the complete list is requested
// from it.
func TestSetAddressTwiceUsesLatest(t *testing.T) {
	firstAgent, secondAgent := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
	client, queues, _ := startClient(t, firstAgent.Address(), 40)
	firstConn := firstAgent.AcceptConn()
	expectRequest(t, firstConn, completeListLine)
	client.SetAddress(secondAgent.Address())
	secondConn := secondAgent.AcceptConn()
	firstConn.WaitForClose()
	expectRequest(t, secondConn, completeListLine)
	client.SetAddress(secondAgent.Address()) // the same address: no effect
	client.SetAddress(firstAgent.Address())
	thirdConn := firstAgent.AcceptConn()
	secondConn.WaitForClose()
	expectRequest(t, thirdConn, completeListLine)
	thirdConn.SendRaw(listAnswer(41, true, "Ready"))
	expectRequest(t, thirdConn, fmt.Sprintf(watchLine, 41))
	if published := nextList(t, queues); published.Revision != 41 || queues.Counters.DiscoveryDials.Load() != 3 {
		t.Errorf("published %+v after %d dials", published, queues.Counters.DiscoveryDials.Load())
	}
}

// A change that happens between an answer and the next call is received with that call.
func TestChangeBetweenTwoCallsIsReceived(t *testing.T) {
	agent := scriptedpeer.Listen(t)
	_, queues, _ := startClient(t, agent.Address(), 40)
	conn := agent.AcceptConn()
	expectRequest(t, conn, completeListLine)
	conn.SendRaw(listAnswer(41, true, "Ready"))
	nextList(t, queues)
	expectRequest(t, conn, fmt.Sprintf(watchLine, 41))
	conn.SendRaw(unchangedAnswer(41)) // revision 42 is created after this answer
	expectRequest(t, conn, fmt.Sprintf(watchLine, 41))
	conn.SendRaw(listAnswer(42, false, "Terminating"))
	if published := nextList(t, queues); published.Revision != 42 || published.Complete || len(published.Members) != 1 {
		t.Errorf("published %+v", published)
	}
	expectRequest(t, conn, fmt.Sprintf(watchLine, 42))
}

// A complete list of the largest or the smallest valid revision is accepted. A negative revision, a revision older than that
// of the list in use, and a revision that is not an int64 are errors. A list with repeated ids is decoded in order, so that
// the last entry of an id applies.
func TestRevisionLimits(t *testing.T) {
	body := func(answer string) []byte { return []byte(answer[strings.Index(answer, "{"):]) }
	for name, c := range map[string]struct {
		known, revision  int64 // known is the revision in use; revision is that of the complete list that the service answers
		published, fails bool
	}{
		"the largest":                  {41, math.MaxInt64, true, false},
		"the first one":                {-1, 0, true, false},
		"the one in use":               {41, 41, true, false},
		"negative":                     {41, -2, false, true},
		"after the largest one in use": {math.MaxInt64, 42, false, true},
	} {
		client, queues := newTestClient(c.known)
		_, err := client.apply(body(listAnswer(c.revision, true, "Ready")))
		if got := len(queues.Drain()) == 1; got != c.published || (err != nil) != c.fails {
			t.Errorf("%s: published %v, error %v", name, got, err)
		}
		if _, err := client.apply(body(listAnswer(client.revision, false, "Gone"))); (err != nil) != c.fails { // an error if the complete list is still requested
			t.Errorf("%s: changes after the complete list: error %v", name, err)
		}
	}
	for _, revision := range []string{"9223372036854775808", "-9223372036854775809", "1e3", "41.5", `"41"`, "null"} {
		if list, err := Parse(fmt.Appendf(nil, `{"revision":%s,"complete":true,"members":[]}`, revision)); err == nil {
			t.Errorf("revision %s is read as %d", revision, list.Revision)
		}
	}
	list, err := Parse([]byte(`{"revision":5,"complete":false,"members":[{"id":"a","phase":"Gone","up_since_ms":1},` +
		`{"id":"a","phase":"Ready","up_since_ms":2},{"id":"b","phase":"Gone"}]}`))
	if err != nil || len(list.Members) != 3 || list.Members[1].StartedAt != 2e6 { // in order, as the last entry of an id applies
		t.Errorf("list with repeated ids: %+v, error %v", list, err)
	}
}
