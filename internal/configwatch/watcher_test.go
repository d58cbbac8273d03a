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
		conn := l.Take()
		if strings.Contains(conn.Request(), "instance="+instance+"&") {
			return conn
		}
		conn.Close()
	}
}

// watching runs a watcher of orders until the end of the test; offers come on the channel.
func watching(t *testing.T, servers ...*scriptedpeer.Listener) (*Watcher, chan revision.Version) {
	t.Helper()
	var all []configclient.Server
	for _, l := range servers {
		all = append(all, configclient.Server{Address: l.At()})
	}
	offers := make(chan revision.Version, 10)
	w, err := New(Options{Instance: instance, Service: "orders", Zone: "a", Servers: all, Ordered: true, Seed: 1,
		Offer: func(v revision.Version, settings []byte) {
			if strings.Contains(string(settings), "panic") {
				panic("as told")
			}
			offers <- v
		}})
	if err != nil {
		t.Fatal(err)
	}
	running(t, w)
	return w, offers
}

// running runs a watcher until the end of the test.
func running(t *testing.T, w *Watcher) {
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

// resuming runs a watcher that begins with version 1.4 until the end of the test; that one is the first offer.
func resuming(t *testing.T, server *scriptedpeer.Listener, inForce func(revision.Version, []byte)) (w *Watcher, kept revision.Version, offers chan revision.Version) {
	t.Helper()
	kept = revision.Version{Epoch: 1, Revision: 4}
	offers = make(chan revision.Version, 10)
	w, err := New(Options{Instance: instance, Service: "orders", Servers: []configclient.Server{{Address: server.At()}}, Seed: 1,
		Offer: func(v revision.Version, _ []byte) { offers <- v }, InForce: inForce})
	if err != nil {
		t.Fatal(err)
	}
	w.Resume(kept, []byte(`{"a":4}`))
	running(t, w)
	return w, kept, offers
}

func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func news(number int, settings string) string {
	return response("200 OK", fmt.Sprintf(`{"epoch":1,"revision":%d,"complete":true,"age_ms":0,"services":[{"name":"orders","epoch":1,"revision":%d,"settings":%s}]}`, number, number, settings))
}

func take(t *testing.T, offers chan revision.Version) revision.Version {
	t.Helper()
	select {
	case v := <-offers:
		return v
	case <-time.After(scriptedpeer.Patience):
		t.Fatal("nothing is offered")
		return revision.Version{}
	}
}

// One connection is kept from watch to watch; since says what is in force, and nothing is asked while a verdict is awaited.
func TestAWatchGoesOnOnOneConnection(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := watching(t, server)
	conn := server.Take()
	if got := conn.Request(); got != "GET /configuration?instance="+instance+"&service=orders&zone=a HTTP/1.1" {
		t.Errorf("asked %q", got)
	}
	conn.Raw(news(1, `{"a":1}`))
	v := take(t, offers)
	if w.InForce() != (revision.Version{}) {
		t.Errorf("%s in force before it was said", w.InForce())
	}
	w.Applied(v)
	if got := conn.Request(); got != "GET /configuration?instance="+instance+"&service=orders&since=1.1&timeout_ms=5000&zone=a HTTP/1.1" {
		t.Errorf("asked %q", got)
	}
	conn.Drip(news(2, `{"a":2}`))
	w.Refused(take(t, offers), errors.New("setting a is 2"))
	if got := conn.Request(); got != "GET /configuration?instance="+instance+"&refused=1.2&service=orders&since=1.1&timeout_ms=5000&zone=a HTTP/1.1" {
		t.Errorf("asked %q", got)
	}
	conn.Raw(news(3, `{"panic":1}`))
	if got := conn.Request(); !strings.Contains(got, "refused=1.3&") {
		t.Errorf("asked %q", got)
	}
	if c := w.Counts(); c.Dials != 1 || c.Answers != 3 || c.Offered != 3 || c.Refused != 2 || c.Failures != 0 || c.BytesIn == 0 || c.BytesOut == 0 {
		t.Errorf("%+v", c)
	}
}

// A follower that begins with what was in force before it asks nobody until that has its verdict, and then for what is newer. It
// is told of each version that comes into force, also of one that is only another name.
func TestAFollowerResumes(t *testing.T) {
	type told struct {
		version  revision.Version
		settings string
	}
	server := scriptedpeer.Listen(t)
	var verdicts []told
	inForce := make(chan told, 10)
	w, kept, offers := resuming(t, server, func(v revision.Version, settings []byte) { inForce <- told{v, string(settings)} })
	if got := take(t, offers); got != kept {
		t.Errorf("offered %s, want %s", got, kept)
	}
	server.None(200 * time.Millisecond)
	w.Applied(kept)
	conn := server.Take()
	if got := conn.Request(); !strings.Contains(got, "since=1.4&") {
		t.Errorf("asked %q", got)
	}
	conn.Raw(strings.Replace(news(1, `{"a":4}`), `"epoch":1`, `"epoch":2`, 2)) // a new writer, the same settings
	if got := conn.Request(); !strings.Contains(got, "since=2.1&") {
		t.Errorf("asked %q", got)
	}
	for range 2 {
		verdicts = append(verdicts, <-inForce)
	}
	if want := []told{{kept, `{"a":4}`}, {revision.Version{Epoch: 2, Revision: 1}, `{"a":4}`}}; !slices.Equal(verdicts, want) {
		t.Errorf("%v, want %v", verdicts, want)
	}
	if c := w.Counts(); c.Offered != 0 {
		t.Errorf("%d offered by servers", c.Offered)
	}
}

// What was in force before is refused now: the newest is asked for, and it is not offered again.
func TestAFollowerWhoseFormerSettingsAreRefused(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, _, offers := resuming(t, server, func(v revision.Version, _ []byte) { t.Errorf("%s is said to be in force", v) })
	w.Refused(take(t, offers), errors.New("setting a is 4"))
	conn := server.Take()
	if got := conn.Request(); !strings.Contains(got, "refused=1.4&") || strings.Contains(got, "since=") {
		t.Errorf("asked %q", got)
	}
	conn.Raw(news(4, `{"a":4}`))
	conn.Request()
	select {
	case v := <-offers:
		t.Errorf("%s is offered", v)
	default:
	}
}

// A kept connection that its server has closed is no failure; one that says that it closes is not used again.
func TestAClosedConnectionIsNoFailure(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := watching(t, server)
	conn := server.Take()
	conn.Request()
	conn.Raw(news(1, `{}`))
	v := take(t, offers)
	conn.Close()
	w.Applied(v)
	conn = server.Take()
	conn.Request()
	conn.Raw(strings.Replace(news(2, `{"a":2}`), "\r\n", "\r\nConnection: close\r\n", 1))
	w.Applied(take(t, offers))
	conn = server.Take()
	conn.Request()
	if c := w.Counts(); c.Failures != 0 || c.Dials != 3 {
		t.Errorf("%+v", c)
	}
}

// Whatever a server answers that is of no use, the next one is asked, and nothing of it is offered.
func TestAnswersOfNoUse(t *testing.T) {
	for name, text := range map[string]string{
		"not HTTP":        "+OK\r\n\r\n",
		"an error":        response("500 Internal Server Error", "{}"),
		"bad request":     response("400 Bad Request", `{"error":"since: no"}`),
		"no JSON":         response("503 Service Unavailable", "busy"),
		"long refusal":    response("503 Service Unavailable", strings.Repeat(" ", refusalBody)),
		"cut off":         news(1, `{}`)[:100],
		"no epoch":        response("200 OK", `{"revision":7}`),
		"no answer":       response("200 OK", "<html>"),
		"another service": strings.Replace(news(1, `{}`), "orders", "stocks", 1),
		"no settings":     strings.Replace(news(1, `{}`), `"settings"`, `"setting_"`, 1),
		"out of range":    strings.Replace(news(1, `{}`), `"epoch":1`, `"epoch":-`, 1),
		"too long":        response("200 OK", strings.Repeat(" ", serviceBody+1)),
		"not there":       response("404 Not Found", `{"error":"no service"}`),
		"closed":          "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
			w, offers := watching(t, first, second)
			conn := takeOwn(t, first)
			go func() { conn.Write([]byte(text)); conn.Close() }()
			other := takeOwn(t, second)
			other.Raw(news(7, `{}`))
			if v := take(t, offers); v.Revision != 7 || w.Counts().Failures != 1 {
				t.Errorf("%s offered, %+v", v, w.Counts())
			}
		})
	}
}

// One that says nothing, or only drips, is given up; one that sends away is waited for as it says.
func TestServersThatTakeTheirTime(t *testing.T) {
	t.Run("silent", func(t *testing.T) {
		t.Parallel()
		first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		_, offers := watching(t, first, second)
		begun := time.Now()
		takeOwn(t, first)
		other := takeOwn(t, second)
		if span := time.Since(begun); span < configclient.AnswerLate/2 {
			t.Errorf("given up after %v", span)
		}
		other.Raw(news(7, `{}`))
		take(t, offers)
	})
	t.Run("dripping", func(t *testing.T) {
		t.Parallel()
		first, second := scriptedpeer.Listen(t), scriptedpeer.Listen(t)
		_, offers := watching(t, first, second)
		conn := takeOwn(t, first)
		go func() {
			for _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n ")); err == nil; time.Sleep(200 * time.Millisecond) {
				_, err = conn.Write([]byte(" "))
			}
		}()
		other := takeOwn(t, second)
		other.Raw(news(7, `{}`))
		take(t, offers)
	})
	t.Run("busy", func(t *testing.T) {
		t.Parallel()
		server := scriptedpeer.Listen(t)
		w, offers := watching(t, server)
		conn := server.Take()
		conn.Request()
		conn.Raw(response("503 Service Unavailable", `{"error":"busy","retry_after_ms":300}`))
		begun := time.Now()
		conn.Request()
		if span := time.Since(begun); span < 250*time.Millisecond {
			t.Errorf("back after %v", span)
		}
		conn.Raw(news(1, `{}`))
		take(t, offers)
		if c := w.Counts(); c.SentAway != 1 || c.Dials != 1 || c.Failures != 0 {
			t.Errorf("%+v", c)
		}
	})
}

// A follower of all services takes answers over itself; what it cannot take is not asked for again.
func TestAFollowerOfAllServices(t *testing.T) {
	server := scriptedpeer.Listen(t)
	taken, heard := make(chan configapi.Answer, 10), make(chan int64, 10)
	w, err := New(Options{Instance: "s1", Servers: []configclient.Server{{Address: server.At()}}, Seed: 1,
		Heard: func(a configapi.Answer) { heard <- a.AgeMS },
		Take: func(a configapi.Answer) error {
			taken <- a
			if a.Revision == 5 {
				return errors.New("not this one")
			}
			return nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	w.Begin(revision.Version{Epoch: 1, Revision: 3})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	conn := server.Take()
	for _, c := range []struct{ asks, answer string }{
		{"since=1.3&timeout_ms=2000", `{"epoch":1,"revision":4,"complete":false,"age_ms":40,"services":[{"name":"a","epoch":1,"revision":4,"removed":true}]}`},
		{"since=1.4&", `{"epoch":1,"revision":4,"complete":false,"age_ms":41,"services":[]}`},
		{"since=1.4&", `{"epoch":1,"revision":5,"complete":false,"age_ms":42,"services":[]}`},
		{"refused=1.5&since=1.4&", `{"epoch":1,"revision":6,"complete":false,"age_ms":43,"services":[]}`},
		{"since=1.6&", `{"epoch":1,"revision":6,"complete":false,"age_ms":44,"services":[]}`},
	} {
		if got := conn.Request(); !strings.Contains(got, c.asks) {
			t.Errorf("asked %q, want %s", got, c.asks)
		}
		conn.Raw(response("200 OK", c.answer))
	}
	for want := int64(40); want < 45; want++ {
		if got := <-heard; got != want {
			t.Errorf("heard %d, want %d", got, want)
		}
	}
	if len(taken) != 3 || w.InForce().Revision != 6 {
		t.Errorf("%d taken, %s in force", len(taken), w.InForce())
	}
}

// A server that answers every watch at once, without news, is not asked without rest.
func TestAServerThatDoesNotWait(t *testing.T) {
	server := scriptedpeer.Listen(t)
	w, offers := watching(t, server)
	conn := server.Take()
	conn.Request()
	conn.Raw(news(1, `{}`))
	w.Applied(take(t, offers))
	begun := time.Now()
	const answers = 4
	for range answers {
		conn.Request()
		conn.Raw(response("200 OK", `{"epoch":1,"revision":1,"complete":false,"age_ms":0,"services":[]}`))
	}
	conn.Request()
	// At least the pace, then halves of 0.1, 0.2, 0.4 and 0.8 s.
	if span := time.Since(begun); span < 700*time.Millisecond {
		t.Errorf("%d answers without news were asked for within %v", answers, span)
	}
}

// While a lost server is tried now and again, the connection to the one that answers meanwhile is kept.
func TestTriesOfALostServerKeepTheConnection(t *testing.T) {
	server := scriptedpeer.Listen(t)
	lost, regional := configclient.Server{Address: scriptedpeer.Free(t)}, configclient.Server{Address: server.At()}
	offers := make(chan revision.Version, 1)
	w, err := New(Options{Instance: instance, Service: "orders", Servers: []configclient.Server{lost, regional}, Ordered: true, Seed: 1,
		Offer: func(v revision.Version, _ []byte) { offers <- v }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	conn := server.Take()
	conn.Request()
	conn.Raw(news(1, `{}`))
	w.Applied(take(t, offers))
	for tries := w.Counts().Failures; w.Counts().Failures < tries+3; {
		conn.Request()
		conn.Raw(response("200 OK", `{"epoch":1,"revision":1,"complete":false,"age_ms":60000,"services":[]}`))
	}
	conn.Request()
	if c := w.Counts(); c.Dials != c.Failures+1 {
		t.Errorf("%d connections beside %d that were refused", c.Dials-c.Failures, c.Failures)
	}
}
