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

// instance is the name of this process's watchers. Other tests' clients go on asking servers that have ended, whose ports may
// be given to servers of this test: they have other names.
var instance = fmt.Sprintf("watcher-%d", os.Getpid())

// takeOwn accepts the next connection of a watcher of this process, and reads its request.
func takeOwn(t *testing.T, l *scriptedpeer.Listener) *scriptedpeer.Conn {
	t.Helper()
	for {
		conn := l.AcceptConn()
		if strings.Contains(conn.ReadRequestHead(), "instance="+instance+"&") {
			return conn
		}
		conn.Close()
	}
}

// startWatcher runs a watcher of orders until the end of the test; offers are sent to the channel.
func startWatcher(t *testing.T, servers ...*scriptedpeer.Listener) (*Watcher, chan revision.Version) {
	t.Helper()
	var all []configclient.Server
	for _, l := range servers {
		all = append(all, configclient.Server{Address: l.Address()})
	}
	offers := make(chan revision.Version, 10)
	w, err := New(Options{Instance: instance, Service: "orders", Zone: "a", Servers: all, Ordered: true, Seed: 1,
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
		begun := time.Now()
		stop()
		<-ended
		if span := time.Since(begun); span > time.Second {
			t.Errorf("ended after %v", span)
		}
	})
}

// startResumed runs a watcher that resumes with version 1.4, which is the first offer, until the end of the test.
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

func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func changed(number int, settings string) string {
	return response("200 OK", fmt.Sprintf(`{"epoch":1,"revision":%d,"complete":true,"age_ms":0,"services":[{"name":"orders","epoch":1,"revision":%d,"settings":%s}]}`, number, number, settings))
}

func receiveOffer(t *testing.T, offers chan revision.Version) revision.Version {
	t.Helper()
	select {
	case v := <-offers:
		return v
	case <-time.After(scriptedpeer.WaitTimeout):
		t.Fatal("nothing is offered")
		return revision.Version{}
	}
}

// One connection is used for all watches; since is the active version, and no server is polled while an offer is pending.
func TestWatchReusesConnection(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := startWatcher(t, server)
	conn := server.AcceptConn()
	if got := conn.ReadRequestHead(); got != "GET /configuration?instance="+instance+"&service=orders&zone=a HTTP/1.1" {
		t.Errorf("requested %q", got)
	}
	conn.SendRaw(changed(1, `{"a":1}`))
	v := receiveOffer(t, offers)
	if w.Active() != (revision.Version{}) {
		t.Errorf("%s active before it was applied", w.Active())
	}
	w.Applied(v)
	if got := conn.ReadRequestHead(); got != "GET /configuration?instance="+instance+"&service=orders&since=1.1&timeout_ms=5000&zone=a HTTP/1.1" {
		t.Errorf("requested %q", got)
	}
	conn.SendByteByByte(changed(2, `{"a":2}`))
	w.Rejected(receiveOffer(t, offers), errors.New("setting a is 2"))
	if got := conn.ReadRequestHead(); got != "GET /configuration?instance="+instance+"&refused=1.2&service=orders&since=1.1&timeout_ms=5000&zone=a HTTP/1.1" {
		t.Errorf("requested %q", got)
	}
	conn.SendRaw(changed(3, `{"panic":1}`))
	if got := conn.ReadRequestHead(); !strings.Contains(got, "refused=1.3&") {
		t.Errorf("requested %q", got)
	}
	if c := w.Counts(); c.Dials != 1 || c.Answers != 3 || c.Offered != 3 || c.Rejected != 2 || c.Failures != 0 || c.BytesIn == 0 || c.BytesOut == 0 {
		t.Errorf("%+v", c)
	}
}

// A resumed follower polls no server until its version was applied, and then for a newer one. OnActive is called with each
// version that becomes active, also with a new version of the same settings.
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
	conn.SendRaw(strings.Replace(changed(1, `{"a":4}`), `"epoch":1`, `"epoch":2`, 2)) // a new writer, the same settings
	if got := conn.ReadRequestHead(); !strings.Contains(got, "since=2.1&") {
		t.Errorf("requested %q", got)
	}
	for range 2 {
		activations = append(activations, <-active)
	}
	if want := []activation{{resumed, `{"a":4}`}, {revision.Version{Epoch: 2, Revision: 1}, `{"a":4}`}}; !slices.Equal(activations, want) {
		t.Errorf("%v, want %v", activations, want)
	}
	if c := w.Counts(); c.Offered != 0 {
		t.Errorf("%d offered by servers", c.Offered)
	}
}

// A resumed version that is rejected is reported to servers and not offered again.
func TestResumedVersionThatIsRejected(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, _, offers := startResumed(t, server, func(v revision.Version, _ []byte) { t.Errorf("%s is active", v) })
	w.Rejected(receiveOffer(t, offers), errors.New("setting a is 4"))
	conn := server.AcceptConn()
	if got := conn.ReadRequestHead(); !strings.Contains(got, "refused=1.4&") || strings.Contains(got, "since=") {
		t.Errorf("requested %q", got)
	}
	conn.SendRaw(changed(4, `{"a":4}`))
	conn.ReadRequestHead()
	select {
	case v := <-offers:
		t.Errorf("%s is offered", v)
	default:
	}
}

// A reused connection that its server has closed is no failure; one whose close was announced is not used again.
func TestClosedConnectionIsNoFailure(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := startWatcher(t, server)
	conn := server.AcceptConn()
	conn.ReadRequestHead()
	conn.SendRaw(changed(1, `{}`))
	v := receiveOffer(t, offers)
	conn.Close()
	w.Applied(v)
	conn = server.AcceptConn()
	conn.ReadRequestHead()
	conn.SendRaw(strings.Replace(changed(2, `{"a":2}`), "\r\n", "\r\nConnection: close\r\n", 1))
	w.Applied(receiveOffer(t, offers))
	conn = server.AcceptConn()
	conn.ReadRequestHead()
	if c := w.Counts(); c.Failures != 0 || c.Dials != 3 {
		t.Errorf("%+v", c)
	}
}

// After an unusable answer, nothing of which is offered, the next server is polled.
func TestUnusableAnswersAreFailures(t *testing.T) {
	for name, text := range map[string]string{
		"not HTTP":        "+OK\r\n\r\n",
		"an error":        response("500 Internal Server Error", "{}"),
		"bad request":     response("400 Bad Request", `{"error":"since: no"}`),
		"no JSON":         response("503 Service Unavailable", "busy"),
		"long refusal":    response("503 Service Unavailable", strings.Repeat(" ", maxRefusalBody)),
		"cut off":         changed(1, `{}`)[:100],
		"no epoch":        response("200 OK", `{"revision":7}`),
		"no answer":       response("200 OK", "<html>"),
		"another service": strings.Replace(changed(1, `{}`), "orders", "stocks", 1),
		"no settings":     strings.Replace(changed(1, `{}`), `"settings"`, `"setting_"`, 1),
		"out of range":    strings.Replace(changed(1, `{}`), `"epoch":1`, `"epoch":-`, 1),
		"too long":        response("200 OK", strings.Repeat(" ", maxServiceBody+1)),
		"not there":       response("404 Not Found", `{"error":"no service"}`),
		"closed":          "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
			w, offers := startWatcher(t, first, second)
			conn := takeOwn(t, first)
			go func() { conn.Write([]byte(text)); conn.Close() }()
			other := takeOwn(t, second)
			other.SendRaw(changed(7, `{}`))
			if v := receiveOffer(t, offers); v.Revision != 7 || w.Counts().Failures != 1 {
				t.Errorf("%s offered, %+v", v, w.Counts())
			}
		})
	}
}

// A silent or trickling server times out; a busy one is polled again after its Retry-After.
func TestSlowAndBusyServers(t *testing.T) {
	t.Run("silent", func(t *testing.T) {
		t.Parallel()
		first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		_, offers := startWatcher(t, first, second)
		begun := time.Now()
		takeOwn(t, first)
		other := takeOwn(t, second)
		if span := time.Since(begun); span < configclient.AnswerTimeout/2 {
			t.Errorf("timed out after %v", span)
		}
		other.SendRaw(changed(7, `{}`))
		receiveOffer(t, offers)
	})
	t.Run("dripping", func(t *testing.T) {
		t.Parallel()
		first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		_, offers := startWatcher(t, first, second)
		conn := takeOwn(t, first)
		go func() {
			for _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n ")); err == nil; time.Sleep(200 * time.Millisecond) {
				_, err = conn.Write([]byte(" "))
			}
		}()
		other := takeOwn(t, second)
		other.SendRaw(changed(7, `{}`))
		receiveOffer(t, offers)
	})
	t.Run("busy", func(t *testing.T) {
		t.Parallel()
		server := scriptedpeer.Listen(t)
		w, offers := startWatcher(t, server)
		conn := server.AcceptConn()
		conn.ReadRequestHead()
		conn.SendRaw(response("503 Service Unavailable", `{"error":"busy","retry_after_ms":300}`))
		begun := time.Now()
		conn.ReadRequestHead()
		if span := time.Since(begun); span < 250*time.Millisecond {
			t.Errorf("polled again after %v", span)
		}
		conn.SendRaw(changed(1, `{}`))
		receiveOffer(t, offers)
		if c := w.Counts(); c.Throttled != 1 || c.Dials != 1 || c.Failures != 0 {
			t.Errorf("%+v", c)
		}
	})
}

// A follower of all services merges answers itself; a version that it cannot merge is not requested again.
func TestFollowerOfAllServicesMerges(t *testing.T) {
	server := scriptedpeer.Listen(t)
	merged, ages := make(chan configapi.Answer, 10), make(chan int64, 10)
	w, err := New(Options{Instance: "s1", Servers: []configclient.Server{{Address: server.Address()}}, Seed: 1,
		OnAnswer: func(a configapi.Answer) { ages <- a.AgeMS },
		Merge: func(a configapi.Answer) error {
			merged <- a
			if a.Revision == 5 {
				return errors.New("not this one")
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
			t.Errorf("received %d, want %d", got, want)
		}
	}
	if len(merged) != 3 || w.Active().Revision != 6 {
		t.Errorf("%d merged, %s in force", len(merged), w.Active())
	}
}

// A server that answers every watch at once, without a change, is polled with backoff.
func TestServerThatDoesNotWaitIsPolledWithBackoff(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := startWatcher(t, server)
	conn := server.AcceptConn()
	conn.ReadRequestHead()
	conn.SendRaw(changed(1, `{}`))
	w.Applied(receiveOffer(t, offers))
	begun := time.Now()
	const answers = 4
	for range answers {
		conn.ReadRequestHead()
		conn.SendRaw(response("200 OK", `{"epoch":1,"revision":1,"complete":false,"age_ms":0,"services":[]}`))
	}
	conn.ReadRequestHead()
	// At least minPollInterval, then halves of 0.1, 0.2, 0.4 and 0.8 s.
	if span := time.Since(begun); span < 700*time.Millisecond {
		t.Errorf("%d answers without a change were polled within %v", answers, span)
	}
}

// While a lost server is retried, the connection to the one that answers meanwhile stays open.
func TestPollsOfLostServerKeepConnection(t *testing.T) {
	server := scriptedpeer.Listen(t)
	lost, regional := configclient.Server{Address: scriptedpeer.FreeAddress(t)}, configclient.Server{Address: server.Address()}
	offers := make(chan revision.Version, 1)
	w, err := New(Options{Instance: instance, Service: "orders", Servers: []configclient.Server{lost, regional}, Ordered: true, Seed: 1,
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
	conn.SendRaw(changed(1, `{}`))
	w.Applied(receiveOffer(t, offers))
	for tries := w.Counts().Failures; w.Counts().Failures < tries+3; {
		conn.ReadRequestHead()
		conn.SendRaw(response("200 OK", `{"epoch":1,"revision":1,"complete":false,"age_ms":60000,"services":[]}`))
	}
	conn.ReadRequestHead()
	if c := w.Counts(); c.Dials != c.Failures+1 {
		t.Errorf("%d connections beside %d that were refused", c.Dials-c.Failures, c.Failures)
	}
}
