package configwatch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"lilacbend/internal/configapi"
	"lilacbend/internal/configclient"
	"lilacbend/internal/configstore"
)

const (
	// dialMost is how long a connection may take to be made.
	dialMost = 2 * time.Second
	// bodyLate is how long a body may take in all. A connection that only drips is given up.
	bodyLate = 10 * time.Second
	// serviceBody and allBody are the largest answers that are read.
	serviceBody = configstore.SettingsMax + 4<<10
	allBody     = configstore.BytesMax + configstore.ServicesMax*(configapi.NameMax+128)
	// refusalBody is the largest refusal that is read.
	refusalBody = 4 << 10
	readBuffer  = 4 << 10
)

// Failure says how far a call came.
type Failure struct {
	Stage string
	Err   error
}

func (f *Failure) Error() string { return f.Stage + ": " + f.Err.Error() }
func (f *Failure) Unwrap() error { return f.Err }

// SentAway is a server's refusal to serve a query now.
type SentAway struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // 0: not said
	Unknown    bool          // it has no such service
}

func (s *SentAway) Error() string {
	return fmt.Sprintf("sent away with status %d: %s", s.Status, s.Reason)
}

// connection is the one connection that a follower keeps.
type connection struct {
	counts  *counters
	address string
	conn    *deadlined
	reader  *bufio.Reader
}

// deadlined extends its deadline while something comes, up to a last one.
type deadlined struct {
	net.Conn
	counts *counters
	due    time.Time
	until  time.Time
	came   bool // something has, of this answer
}

func (d *deadlined) expect(wait time.Duration) {
	now := time.Now()
	d.due, d.until, d.came = now.Add(wait+configclient.AnswerLate), now.Add(wait+bodyLate), false
	d.SetDeadline(d.due)
}

func (d *deadlined) Read(b []byte) (int, error) {
	n, err := d.Conn.Read(b)
	if n > 0 {
		d.counts.bytesIn.Add(int64(n))
		d.came = true
		if later := time.Now().Add(configclient.AnswerLate); later.After(d.due) && later.Before(d.until) {
			d.due = later
			d.SetReadDeadline(later)
		}
	}
	return n, err
}

func (d *deadlined) Write(b []byte) (int, error) {
	n, err := d.Conn.Write(b)
	d.counts.bytesOut.Add(int64(n))
	return n, err
}

func (c *connection) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.reader, c.address = nil, nil, ""
	}
}

// call asks a server. A kept connection that turns out to be closed is no failure: the query goes out on a new one.
func (c *connection) call(ctx context.Context, ask configclient.Ask) (configapi.Answer, error) {
	kept := c.conn != nil && c.address == ask.Server.Address
	if !kept {
		if err := c.dial(ctx, ask.Server.Address); err != nil {
			return configapi.Answer{}, err
		}
	}
	a, err := c.exchange(ctx, ask.Query)
	if err == nil || !kept || c.conn == nil || c.conn.came || timedOut(err) || ctx.Err() != nil {
		c.end(err)
		return a, err
	}
	c.close()
	if err := c.dial(ctx, ask.Server.Address); err != nil {
		return configapi.Answer{}, err
	}
	a, err = c.exchange(ctx, ask.Query)
	c.end(err)
	return a, err
}

// end closes a connection after a failed call; one that was answered, whatever the answer, is kept.
func (c *connection) end(err error) {
	if _, failed := err.(*Failure); failed {
		c.close()
	}
}

func timedOut(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// dial replaces the connection. The one before is kept if no other can be made: while a lost server is tried now and again,
// the one that answers meanwhile need not be connected to anew each time.
func (c *connection) dial(ctx context.Context, address string) error {
	c.counts.dials.Add(1)
	soon, done := context.WithTimeout(ctx, dialMost)
	defer done()
	conn, err := new(net.Dialer).DialContext(soon, "tcp", address)
	if err != nil {
		return &Failure{"dial", err}
	}
	c.close()
	c.address, c.conn = address, &deadlined{Conn: conn, counts: c.counts}
	c.reader = bufio.NewReaderSize(c.conn, readBuffer)
	return nil
}

// exchange sends a query on the open connection and reads the answer.
func (c *connection) exchange(ctx context.Context, q configapi.Query) (a configapi.Answer, err error) {
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.expect(q.Timeout)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", q.Encode(), c.address); err != nil {
		return a, &Failure{"send", err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return a, &Failure{"status", err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, c.sentAway(resp)
	}
	most := int64(serviceBody)
	if q.Service == "" {
		most = allBody
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return a, &Failure{fmt.Sprintf("body after %d bytes", len(body)), err}
	}
	if int64(len(body)) > most {
		return a, &Failure{"body", fmt.Errorf("over %d bytes", most)}
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return configapi.Answer{}, &Failure{"answer", err}
	}
	if err := a.Check(q); err != nil {
		return configapi.Answer{}, &Failure{"answer", err}
	}
	if resp.Close {
		c.close()
	}
	return a, nil
}

// sentAway reads the refusal of a query.
func (c *connection) sentAway(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, refusalBody))
	if err != nil || len(body) == refusalBody {
		return &Failure{"status", fmt.Errorf("answered %s", resp.Status)}
	}
	var refusal configapi.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return &Failure{"status", fmt.Errorf("answered %s", resp.Status)}
	}
	if resp.Close {
		c.close()
	}
	away := &SentAway{Status: resp.StatusCode, Reason: refusal.Reason, RetryAfter: time.Duration(refusal.RetryAfterMS) * time.Millisecond}
	switch resp.StatusCode {
	case http.StatusNotFound:
		away.Unknown = true
	case http.StatusServiceUnavailable:
	default:
		return &Failure{"status", away}
	}
	return away
}
