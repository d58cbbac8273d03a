package configwatch

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/revision"
)

// instance is the name of this process's watchers. Clients of other test processes continue to poll servers that have ended,
// whose ports may have been assigned to servers of these tests. Their different names distinguish them.
var instance = fmt.Sprintf("watcher-%d", os.Getpid())

// acceptOwn accepts the next connection of a watcher of this process and reads its request. It closes connections of others.
func acceptOwn(t *testing.T, l *scriptedpeer.Listener) *scriptedpeer.Conn {
	t.Helper()
	for {
		conn := l.AcceptConn()
		if strings.Contains(conn.ReadRequestHead(), "instance="+instance+"&") {
			return conn
		}
		conn.Close()
	}
}

// startWatcher runs a watcher of the service orders until the end of the test. Offered versions are sent to the channel.
func startWatcher(t *testing.T, servers ...*scriptedpeer.Listener) (*Watcher, chan revision.Version) {
	t.Helper()
	var addresses []configclient.Server
	for _, l := range servers {
		addresses = append(addresses, configclient.Server{Address: l.Address()})
	}
	offers := make(chan revision.Version, 10)
	w, err := New(Options{Instance: instance, Service: "orders", Zone: "a", Servers: addresses, Ordered: true, Seed: 1,
		OnOffer: func(v revision.Version, settings []byte) {
			if strings.Contains(string(settings), "panic") {
				panic("as requested")
			}
			offers <- v
		}})
	if err != nil {
		t.Fatal(err)
	}
	run(t, w)
	return w, offers
}

// run runs a watcher until the end of the test.
func run(t *testing.T, w *Watcher) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	t.Cleanup(func() {
		stoppedAt := time.Now()
		stop()
		<-ended
		if elapsed := time.Since(stoppedAt); elapsed > time.Second {
			t.Errorf("watcher ended %v after its context", elapsed)
		}
	})
}

// startResumed runs a watcher that resumes with version 1.4, which is its first offer, until the end of the test.
func startResumed(t *testing.T, server *scriptedpeer.Listener, onActive func(revision.Version, []byte)) (w *Watcher, resumed revision.Version, offers chan revision.Version) {
	t.Helper()
	resumed = revision.Version{Epoch: 1, Revision: 4}
	offers = make(chan revision.Version, 10)
	w, err := New(Options{Instance: instance, Service: "orders", Servers: []configclient.Server{{Address: server.Address()}}, Seed: 1,
		OnOffer: func(v revision.Version, _ []byte) { offers <- v }, OnActive: onActive})
	if err != nil {
		t.Fatal(err)
	}
	w.Resume(resumed, []byte(`{"a":4}`))
	run(t, w)
	return w, resumed, offers
}

// response returns an HTTP response.
func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// changedResponse returns the response with a revision of the service orders.
func changedResponse(number int, settings string) string {
	return response("200 OK", fmt.Sprintf(`{"epoch":1,"revision":%d,"complete":true,"age_ms":0,"services":[{"name":"orders","epoch":1,"revision":%d,"settings":%s}]}`, number, number, settings))
}

func receiveOffer(t *testing.T, offers chan revision.Version) revision.Version {
	t.Helper()
	select {
	case v := <-offers:
		return v
	case <-time.After(scriptedpeer.WaitTimeout):
		t.Fatal("no version was offered")
		return revision.Version{}
	}
}

// All watches use one connection. Queries have the active and the rejected version, and no server is polled while an offer
// is pending.
func TestWatchReusesConnection(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := startWatcher(t, server)
	conn := server.AcceptConn()
	if got := conn.ReadRequestHead(); got != "GET /configuration?instance="+instance+"&service=orders&zone=a HTTP/1.1" {
		t.Errorf("requested %q", got)
	}
	conn.SendRaw(changedResponse(1, `{"a":1}`))
	v := receiveOffer(t, offers)
	if w.Active() != (revision.Version{}) {
		t.Errorf("version %s is active before it was applied", w.Active())
	}
	w.Applied(v)
	if got := conn.ReadRequestHead(); got != "GET /configuration?instance="+instance+"&service=orders&since=1.1&timeout_ms=5000&zone=a HTTP/1.1" {
		t.Errorf("requested %q", got)
	}
	conn.SendByteByByte(changedResponse(2, `{"a":2}`))
	w.Rejected(receiveOffer(t, offers), errors.New("setting a is 2"))
	if got := conn.ReadRequestHead(); got != "GET /configuration?instance="+instance+"&refused=1.2&service=orders&since=1.1&timeout_ms=5000&zone=a HTTP/1.1" {
		t.Errorf("requested %q", got)
	}
	conn.SendRaw(changedResponse(3, `{"panic":1}`))
	if got := conn.ReadRequestHead(); !strings.Contains(got, "refused=1.3&") {
		t.Errorf("requested %q", got)
	}
	if c := w.Counts(); c.Dials != 1 || c.Answers != 3 || c.Offered != 3 || c.Rejected != 2 || c.Failures != 0 || c.BytesIn == 0 || c.BytesOut == 0 {
		t.Errorf("counts after one connection with three answers: %+v", c)
	}
}

// A resumed watcher polls no server until its version was applied, and then requests newer versions. OnActive is called with
// each version that becomes active, also if only the version of the settings is new.
func TestResumedVersionIsOfferedFirst(t *testing.T) {
	type activation struct {
		version  revision.Version
		settings string
	}
	server := scriptedpeer.Listen(t)
	var activations []activation
	active := make(chan activation, 10)
	w, resumed, offers := startResumed(t, server, func(v revision.Version, settings []byte) { active <- activation{v, string(settings)} })
	if got := receiveOffer(t, offers); got != resumed {
		t.Errorf("offered %s, want %s", got, resumed)
	}
	server.ExpectNoConnection(200 * time.Millisecond)
	w.Applied(resumed)
	conn := server.AcceptConn()
	if got := conn.ReadRequestHead(); !strings.Contains(got, "since=1.4&") {
		t.Errorf("requested %q", got)
	}
	conn.SendRaw(strings.Replace(changedResponse(1, `{"a":4}`), `"epoch":1`, `"epoch":2`, 2)) // the same settings under a later epoch
	if got := conn.ReadRequestHead(); !strings.Contains(got, "since=2.1&") {
		t.Errorf("requested %q", got)
	}
	for range 2 {
		activations = append(activations, <-active)
	}
	if want := []activation{{resumed, `{"a":4}`}, {revision.Version{Epoch: 2, Revision: 1}, `{"a":4}`}}; !slices.Equal(activations, want) {
		t.Errorf("OnActive was called with %v, want %v", activations, want)
	}
	if c := w.Counts(); c.Offered != 0 {
		t.Errorf("%d versions offered by servers, want none", c.Offered)
	}
}

// A resumed version that is rejected is reported to servers and not offered again.
func TestResumedVersionThatIsRejected(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, _, offers := startResumed(t, server, func(v revision.Version, _ []byte) { t.Errorf("version %s became active", v) })
	w.Rejected(receiveOffer(t, offers), errors.New("setting a is 4"))
	conn := server.AcceptConn()
	if got := conn.ReadRequestHead(); !strings.Contains(got, "refused=1.4&") || strings.Contains(got, "since=") {
		t.Errorf("requested %q", got)
	}
	conn.SendRaw(changedResponse(4, `{"a":4}`))
	conn.ReadRequestHead()
	select {
	case v := <-offers:
		t.Errorf("version %s was offered again", v)
	default:
	}
}

// A reused connection that its server has closed does not count as a failure. A connection whose close the server has
// announced is not reused.
func TestClosedConnectionIsNoFailure(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := startWatcher(t, server)
	conn := server.AcceptConn()
	conn.ReadRequestHead()
	conn.SendRaw(changedResponse(1, `{}`))
	v := receiveOffer(t, offers)
	conn.Close()
	w.Applied(v)
	conn = server.AcceptConn()
	conn.ReadRequestHead()
	conn.SendRaw(strings.Replace(changedResponse(2, `{"a":2}`), "\r\n", "\r\nConnection: close\r\n", 1))
	w.Applied(receiveOffer(t, offers))
	conn = server.AcceptConn()
	conn.ReadRequestHead()
	if c := w.Counts(); c.Failures != 0 || c.Dials != 3 {
		t.Errorf("counts after two closed connections: %+v, want three dials and no failure", c)
	}
}

// An unusable answer counts as one failure and offers no version, and the next server is polled.
func TestUnusableAnswersAreFailures(t *testing.T) {
	for name, text := range map[string]string{
		"not HTTP":                 "+OK\r\n\r\n",
		"status 500":               response("500 Internal Server Error", "{}"),
		"status 400":               response("400 Bad Request", `{"error":"since: no"}`),
		"refusal without JSON":     response("503 Service Unavailable", "busy"),
		"refusal beyond the limit": response("503 Service Unavailable", strings.Repeat(" ", maxRefusalBody)),
		"truncated answer":         changedResponse(1, `{}`)[:100],
		"no epoch":                 response("200 OK", `{"revision":7}`),
		"answer without JSON":      response("200 OK", "<html>"),
		"another service":          strings.Replace(changedResponse(1, `{}`), "orders", "stocks", 1),
		"no settings":              strings.Replace(changedResponse(1, `{}`), `"settings"`, `"setting_"`, 1),
		"invalid epoch":            strings.Replace(changedResponse(1, `{}`), `"epoch":1`, `"epoch":-`, 1),
		"answer beyond the limit":  response("200 OK", strings.Repeat(" ", maxServiceBody+1)),
		"unknown service":          response("404 Not Found", `{"error":"no service"}`),
		"closed without an answer": "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
			watcher, offers := startWatcher(t, first, second)
			conn := acceptOwn(t, first)
			go func() { conn.Write([]byte(text)); conn.Close() }()
			secondConn := acceptOwn(t, second)
			secondConn.SendRaw(changedResponse(7, `{}`))
			if v := receiveOffer(t, offers); v.Revision != 7 || watcher.Counts().Failures != 1 {
				t.Errorf("version %s offered, counts %+v", v, watcher.Counts())
			}
		})
	}
}

// A poll of a server that sends nothing, or sends its answer too slowly, times out. A busy server is polled again after the
// time that it requests.
func TestSlowAndBusyServers(t *testing.T) {
	t.Run("silent", func(t *testing.T) {
		t.Parallel()
		first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		_, offers := startWatcher(t, first, second)
		startedAt := time.Now()
		acceptOwn(t, first)
		secondConn := acceptOwn(t, second)
		if elapsed := time.Since(startedAt); elapsed < configclient.AnswerTimeout/2 {
			t.Errorf("poll timed out after %v", elapsed)
		}
		secondConn.SendRaw(changedResponse(7, `{}`))
		receiveOffer(t, offers)
	})
	t.Run("trickling", func(t *testing.T) {
		t.Parallel()
		first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		_, offers := startWatcher(t, first, second)
		conn := acceptOwn(t, first)
		go func() {
			for _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n ")); err == nil; time.Sleep(200 * time.Millisecond) {
				_, err = conn.Write([]byte(" "))
			}
		}()
		secondConn := acceptOwn(t, second)
		secondConn.SendRaw(changedResponse(7, `{}`))
		receiveOffer(t, offers)
	})
	t.Run("busy", func(t *testing.T) {
		t.Parallel()
		server := scriptedpeer.Listen(t)
		w, offers := startWatcher(t, server)
		conn := server.AcceptConn()
		conn.ReadRequestHead()
		conn.SendRaw(response("503 Service Unavailable", `{"error":"busy","retry_after_ms":300}`))
		answeredAt := time.Now()
		conn.ReadRequestHead()
		if elapsed := time.Since(answeredAt); elapsed < 250*time.Millisecond {
			t.Errorf("polled again after %v", elapsed)
		}
		conn.SendRaw(changedResponse(1, `{}`))
		receiveOffer(t, offers)
		if c := w.Counts(); c.Throttled != 1 || c.Dials != 1 || c.Failures != 0 {
			t.Errorf("counts after a busy answer: %+v, want one throttled poll, one dial and no failure", c)
		}
	})
}

// A follower of all services merges its answers. A version that it cannot merge is reported as rejected and not offered
// again.
func TestFollowerOfAllServicesMerges(t *testing.T) {
	server := scriptedpeer.Listen(t)
	merged, ages := make(chan configapi.Answer, 10), make(chan int64, 10)
	w, err := New(Options{Instance: "s1", Servers: []configclient.Server{{Address: server.Address()}}, Seed: 1,
		OnAnswer: func(a configapi.Answer) { ages <- a.AgeMS },
		Merge: func(a configapi.Answer) error {
			merged <- a
			if a.Revision == 5 {
				return errors.New("revision 5 is not merged")
			}
			return nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	w.SetActive(revision.Version{Epoch: 1, Revision: 3})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	conn := server.AcceptConn()
	for _, c := range []struct{ request, answer string }{
		{"since=1.3&timeout_ms=2000", `{"epoch":1,"revision":4,"complete":false,"age_ms":40,"services":[{"name":"a","epoch":1,"revision":4,"removed":true}]}`},
		{"since=1.4&", `{"epoch":1,"revision":4,"complete":false,"age_ms":41,"services":[]}`},
		{"since=1.4&", `{"epoch":1,"revision":5,"complete":false,"age_ms":42,"services":[]}`},
		{"refused=1.5&since=1.4&", `{"epoch":1,"revision":6,"complete":false,"age_ms":43,"services":[]}`},
		{"since=1.6&", `{"epoch":1,"revision":6,"complete":false,"age_ms":44,"services":[]}`},
	} {
		if got := conn.ReadRequestHead(); !strings.Contains(got, c.request) {
			t.Errorf("requested %q, want %s", got, c.request)
		}
		conn.SendRaw(response("200 OK", c.answer))
	}
	for want := int64(40); want < 45; want++ {
		if got := <-ages; got != want {
			t.Errorf("answer has age %d ms, want %d", got, want)
		}
	}
	if len(merged) != 3 || w.Active().Revision != 6 {
		t.Errorf("%d answers merged, version %s active", len(merged), w.Active())
	}
}

// A server that answers every watch without waiting and without a change is polled with backoff.
func TestServerThatDoesNotWaitIsPolledWithBackoff(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := startWatcher(t, server)
	conn := server.AcceptConn()
	conn.ReadRequestHead()
	conn.SendRaw(changedResponse(1, `{}`))
	w.Applied(receiveOffer(t, offers))
	appliedAt := time.Now()
	const answers = 4
	for range answers {
		conn.ReadRequestHead()
		conn.SendRaw(response("200 OK", `{"epoch":1,"revision":1,"complete":false,"age_ms":0,"services":[]}`))
	}
	conn.ReadRequestHead()
	// The first poll follows the previous one after at least minPollInterval, and the next four follow the answers after at
	// least half of 0.1, 0.2, 0.4 and 0.8 s.
	if elapsed := time.Since(appliedAt); elapsed < 700*time.Millisecond {
		t.Errorf("%d answers without a change and the polls after them took only %v", answers, elapsed)
	}
}

// Retries of a lost server leave the connection to the server that answers meanwhile open.
func TestPollsOfLostServerKeepConnection(t *testing.T) {
	server := scriptedpeer.Listen(t)
	lostServer, workingServer := configclient.Server{Address: scriptedpeer.FreeAddress(t)}, configclient.Server{Address: server.Address()}
	offers := make(chan revision.Version, 1)
	w, err := New(Options{Instance: instance, Service: "orders", Servers: []configclient.Server{lostServer, workingServer}, Ordered: true, Seed: 1,
		OnOffer: func(v revision.Version, _ []byte) { offers <- v }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	conn := server.AcceptConn()
	conn.ReadRequestHead()
	conn.SendRaw(changedResponse(1, `{}`))
	w.Applied(receiveOffer(t, offers))
	for before := w.Counts().Failures; w.Counts().Failures < before+3; {
		conn.ReadRequestHead()
		conn.SendRaw(response("200 OK", `{"epoch":1,"revision":1,"complete":false,"age_ms":60000,"services":[]}`))
	}
	conn.ReadRequestHead()
	if c := w.Counts(); c.Dials != c.Failures+1 {
		t.Errorf("%d successful dials besides %d failed ones, want 1", c.Dials-c.Failures, c.Failures)
	}
}
