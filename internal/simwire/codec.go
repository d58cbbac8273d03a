// Package simwire speaks the simulator's frames: little-endian records without
// padding, read as control events and written from control orders. It holds
// no decision.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"lilacbend/control"
)

// Codes of received records.
const (
	codeStreamDown   = 1000
	codeConnected    = 1010
	codeKilled       = 1020
	codeRecorded     = 1030
	codeDemand       = 1040
	codeReport       = 1050
	codeActivity     = 1060
	codeCaughtUp     = 1070
	codeWhisper      = 1080
	codeStatusBack   = 1090
	codeReminder     = 1100
	codeConfigure    = 1110
	codeBackends     = 1120
	codeGiven        = 1130
	outWithdraw      = 1000
	outSetLine       = 1010
	outBarrier       = 1020
	outValve         = 1030
	outEmit          = 1050
	outNotifyMe      = 1060
	outHealthCheck   = 1090
	outPin           = 1100
	outFault         = 1110
	headerBytes      = 16
	replyHeaderBytes = 4
	recordHeadBytes  = 6
	entryBytes       = 21
	largestFrame     = 1 << 30
	backendsFailed   = 0
	backendsDelta    = 3
)

// shortest is the least length of the fields of each known record.
var shortest = map[uint16]int{
	codeStreamDown: 6, codeConnected: 12, codeKilled: 4, codeRecorded: 14, codeDemand: 24, codeReport: 34,
	codeActivity: 24, codeCaughtUp: 22, codeWhisper: 10, codeStatusBack: 19, codeReminder: 12,
	codeConfigure: 16, codeBackends: 17, codeGiven: 7,
}

// Record is one event with the instance it is for.
type Record struct {
	Instance uint32
	Event    any // a control event, Configure or Killed
}

// Configure starts an instance.
type Configure struct {
	Seed uint64
	Text string
}

// Killed ends an instance.
type Killed struct{}

// Batch is all that happens at one clock time.
type Batch struct {
	Now     int64
	Records []Record
}

// ReadBatch reads one frame. It returns io.EOF when the input ends between frames.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [headerBytes]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header cut off after %d of %d bytes", n, headerBytes)
	}
	length := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	if length < headerBytes || length > largestFrame {
		return Batch{}, fmt.Errorf("frame length %d is impossible", length)
	}
	if uint64(count)*recordHeadBytes > uint64(length-headerBytes) {
		return Batch{}, fmt.Errorf("record count %d does not fit a frame of %d bytes", count, length)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length-headerBytes)))
	if err != nil {
		return Batch{}, fmt.Errorf("frame of %d bytes: %w", length, err)
	}
	if len(body) != int(length-headerBytes) {
		return Batch{}, fmt.Errorf("frame cut off after %d of %d bytes", len(body)+headerBytes, length)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("clock is not a number")
	}
	return decode(control.Nanos(clock), body, int(count))
}

func decode(now int64, body []byte, count int) (Batch, error) {
	b := Batch{Now: now}
	at := 0
	for k := 0; k < count; k++ {
		if len(body)-at < recordHeadBytes {
			return b, fmt.Errorf("record %d at byte %d: head cut off", k, at+headerBytes)
		}
		code := binary.LittleEndian.Uint16(body[at:])
		size := int(binary.LittleEndian.Uint32(body[at+2:]))
		if size < 0 || size > len(body)-at-recordHeadBytes {
			return b, fmt.Errorf("record %d (code %d) at byte %d: length %d passes the frame's end",
				k, code, at+headerBytes, size)
		}
		fields := body[at+recordHeadBytes : at+recordHeadBytes+size]
		if least, known := shortest[code]; known {
			rec, err := event(code, fields, least)
			if err != nil {
				return b, fmt.Errorf("record %d (code %d) at byte %d%s: %w", k, code, at+headerBytes, owner(fields), err)
			}
			if rec.Event != nil {
				b.Records = append(b.Records, rec)
			}
		}
		at += recordHeadBytes + size
	}
	if at != len(body) {
		return b, fmt.Errorf("%d bytes are left over after %d records", len(body)-at, count)
	}
	return b, nil
}

func owner(fields []byte) string {
	if len(fields) < 4 {
		return ""
	}
	return fmt.Sprintf(" for instance %d", binary.LittleEndian.Uint32(fields))
}

// cursor reads fields one after the other. It is only used on fields whose length was checked.
type cursor struct{ b []byte }

func (c *cursor) u8() uint8   { v := c.b[0]; c.b = c.b[1:]; return v }
func (c *cursor) u16() uint16 { v := binary.LittleEndian.Uint16(c.b); c.b = c.b[2:]; return v }
func (c *cursor) u32() uint32 { v := binary.LittleEndian.Uint32(c.b); c.b = c.b[4:]; return v }
func (c *cursor) u64() uint64 { v := binary.LittleEndian.Uint64(c.b); c.b = c.b[8:]; return v }
func (c *cursor) f32() float64 {
	return control.Finite(float64(math.Float32frombits(c.u32())))
}
func (c *cursor) ms() int64 { return control.Nanos(math.Float64frombits(c.u64())) }

func event(code uint16, fields []byte, least int) (Record, error) {
	if len(fields) < least {
		return Record{}, fmt.Errorf("%d bytes of fields where %d are needed", len(fields), least)
	}
	c := &cursor{fields}
	rec := Record{Instance: c.u32()}
	switch code {
	case codeKilled:
		rec.Event = Killed{}
	case codeConfigure:
		seed, n := c.u64(), uint64(c.u32())
		if n > uint64(len(c.b)) {
			return rec, fmt.Errorf("settings of %d bytes pass the record's end", n)
		}
		rec.Event = Configure{seed, string(c.b[:n])}
	case codeBackends:
		ev, err := listed(c)
		if err != nil {
			return rec, err
		}
		rec.Event = ev
	case codeStreamDown:
		rec.Event = control.StreamClosed{Proxy: int(c.u16())}
	case codeConnected:
		rec.Event = control.StreamOpened{Proxy: int(c.u16()), Zone: int(c.u8()), Rate: c.f32()}
	case codeReport:
		var m control.Outcomes
		m.Failures, m.ResponseTime, m.Attempts = int(c.u32()), c.ms(), int(c.u32())
		m.Replica, m.Zone, m.Period = c.u32(), int(c.u8()), c.ms()
		held, err := report(c)
		m.InFlight = held
		if err != nil {
			return rec, err
		}
		rec.Event = m
	case codeDemand:
		var d control.Demand
		d.Period, d.Class, d.Proxy, d.Requests, d.Failures = c.ms(), int(c.u16()), int(c.u16()), int(c.u32()), int(c.u32())
		rec.Event = d
	case codeCaughtUp:
		took := c.ms()
		rec.Event = control.Ack{Delay: took, Proxy: int(c.u16()), Nonce: c.u64()}
	case codeReminder:
		rec.Event = control.TimerFired{Timer: c.u64()}
	case codeStatusBack:
		p := control.HealthCheckFinished{Replica: c.u32(), Succeeded: c.u16() == 1, Delay: c.ms()}
		if _, err := report(c); err != nil {
			return rec, err
		}
		rec.Event = p
	}
	return rec, nil
}

// report returns the first value of a load report, or -1 when there is none.
func report(c *cursor) (float64, error) {
	n := int(c.u8())
	if n*4 > len(c.b) {
		return -1, fmt.Errorf("load report of %d values passes the record's end", n)
	}
	if n == 0 {
		return -1, nil
	}
	return c.f32(), nil
}

func listed(c *cursor) (control.ReplicasListed, error) {
	c.u64() // the list's version: events come in order, none is missing
	mode, n := c.u8(), uint64(c.u32())
	if n*entryBytes > uint64(len(c.b)) {
		return control.ReplicasListed{}, fmt.Errorf("%d list entries pass the record's end", n)
	}
	ev := control.ReplicasListed{Full: mode != backendsDelta, Failed: mode == backendsFailed}
	for ; n > 0; n-- {
		var e control.ListedReplica
		e.Replica, e.Zone, e.HardwareClass = c.u32(), int(c.u8()), int(c.u8())
		c.u16() // its cell
		switch c.u8() {
		case 0:
			e.State = control.Ready
		case 2:
			e.State = control.Draining
		default:
			e.State = control.Gone
		}
		e.Weight, e.Start = c.f32(), c.ms()
		ev.Entries = append(ev.Entries, e)
	}
	return ev, nil
}

// Reply gathers the orders of all instances of a batch.
type Reply struct{ b []byte }

func (r *Reply) begin(code uint16, instance uint32) int {
	at := len(r.b)
	r.b = binary.LittleEndian.AppendUint16(r.b, code)
	r.b = binary.LittleEndian.AppendUint32(r.b, 0)
	r.b = binary.LittleEndian.AppendUint32(r.b, instance)
	return at
}

func (r *Reply) end(at int) {
	binary.LittleEndian.PutUint32(r.b[at+2:], uint32(len(r.b)-at-recordHeadBytes))
}

func (r *Reply) u8(v uint8)   { r.b = append(r.b, v) }
func (r *Reply) u16(v int)    { r.b = binary.LittleEndian.AppendUint16(r.b, uint16(v)) }
func (r *Reply) u32(v uint32) { r.b = binary.LittleEndian.AppendUint32(r.b, v) }
func (r *Reply) u64(v uint64) { r.b = binary.LittleEndian.AppendUint64(r.b, v) }
func (r *Reply) f32(v float64) {
	r.u32(math.Float32bits(float32(v)))
}

func (r *Reply) flag(v bool) {
	if v {
		r.u8(1)
	} else {
		r.u8(0)
	}
}

func (r *Reply) words(s string) {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	r.u16(len(s))
	r.b = append(r.b, s...)
}

// Add writes one order of an instance.
func (r *Reply) Add(instance uint32, order control.Command) {
	begin := func(code uint16) int { return r.begin(code, instance) }
	var at int
	switch o := order.(type) {
	case control.SetEndpoint:
		at = begin(outSetLine)
		r.f32(o.Weight)
		r.u16(o.Table)
		r.u32(o.Replica)
	case control.Bind:
		at = begin(outPin)
		r.u16(o.Proxy)
		r.u16(o.Table)
		r.u16(0)
	case control.SetEjected:
		at = begin(outWithdraw)
		r.flag(o.Ejected)
		r.u32(o.Replica)
	case control.SetAdmission:
		at = begin(outValve)
		r.u16(o.Table)
		r.u16(1 << o.Class)
		r.f32(o.Fraction)
		r.u8(uint8(o.Retries))
	case control.RequestAck:
		at = begin(outBarrier)
		r.flag(false)
		r.u64(o.Nonce)
	case control.HealthCheck:
		at = begin(outHealthCheck)
		r.u32(o.Replica)
	case control.SetTimer:
		at = begin(outNotifyMe)
		r.u64(o.Timer)
		r.u64(math.Float64bits(float64(o.After) / control.NanosPerMilli))
	case control.Log:
		at = begin(outEmit)
		r.words(o.Text)
	default:
		panic(fmt.Sprintf("no record for order %T", order))
	}
	r.end(at)
}

// Fault says that an instance failed.
func (r *Reply) Fault(instance uint32, why string) {
	at := r.begin(outFault, instance)
	r.words(why)
	r.end(at)
}

// Frame is the whole reply; the next one starts empty.
func (r *Reply) Frame() []byte {
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(r.b)+replyHeaderBytes))
	frame := append(head, r.b...)
	r.b = r.b[:0]
	return frame
}
