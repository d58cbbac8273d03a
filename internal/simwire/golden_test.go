package simwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/golden"
)

const (
	receivedFile = "received.golden"
	sentFile     = "sent.golden"
)

// record encodes a record as the simulator sends it: code, size of the fields, fields.
func record(t *testing.T, code uint16, fields ...any) []byte {
	t.Helper()
	var body []byte
	for _, field := range fields {
		if text, is := field.(string); is {
			body = append(body, text...)
			continue
		}
		var err error
		if body, err = binary.Append(body, binary.LittleEndian, field); err != nil {
			t.Fatal(err)
		}
	}
	b := binary.LittleEndian.AppendUint16(nil, code)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}

// batch encodes a frame that has one record.
func batch(clockMillis float64, encoded []byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(clockMillis))
	b = binary.LittleEndian.AppendUint32(b, uint32(batchHeaderSize+len(encoded)))
	b = binary.LittleEndian.AppendUint32(b, 1)
	return append(b, encoded...)
}

// receivedRecords returns records of each code that the simulator sends and of each form of its fields, and invalid records.
func receivedRecords(t *testing.T) []struct {
	name string
	raw  []byte
} {
	const instance = uint32(3)
	replicaList := func(mode uint8, entries ...any) []byte {
		fields := append([]any{instance, uint64(9), mode, uint32(len(entries) / 7)}, entries...)
		return record(t, 1120, fields...)
	}
	return []struct {
		name string
		raw  []byte
	}{
		{"stream closed", record(t, 1000, instance, uint16(41))},
		{"stream opened", record(t, 1010, instance, uint16(41), uint8(2), float32(21.5), uint8(0))},
		{"instance killed", record(t, 1020, instance)},
		{"skipped: 1030", record(t, 1030, instance, uint64(1), uint16(2))},
		{"demand", record(t, 1040, instance, float64(1000), uint16(1), uint16(41), uint32(19), uint32(2))},
		{"outcomes without a load report", record(t, 1050, instance, uint32(1), float64(48.25), uint32(14), uint32(7), uint8(1), float64(1000), uint8(0))},
		{"outcomes with a load report", record(t, 1050, instance, uint32(1), float64(48.25), uint32(14), uint32(7), uint8(1), float64(1000), uint8(2), float32(6), float32(0.5))},
		{"outcomes with a load report cut off", record(t, 1050, instance, uint32(1), float64(48.25), uint32(14), uint32(7), uint8(1), float64(1000), uint8(2), float32(6))},
		{"skipped: 1060", record(t, 1060, instance, make([]byte, 20))},
		{"ack", record(t, 1070, instance, float64(310.4), uint16(41), uint64(905))},
		{"skipped: 1080", record(t, 1080, instance, make([]byte, 6))},
		{"probe succeeded", record(t, 1090, instance, uint32(7), uint16(1), float64(3.5), uint8(1), float32(2))},
		{"probe failed", record(t, 1090, instance, uint32(7), uint16(0), float64(1000), uint8(0))},
		{"timer", record(t, 1100, instance, uint64(77))},
		{"configure", record(t, 1110, instance, uint64(5), uint32(8), "zones=2\n", uint8(0xff))},
		{"configure cut off", record(t, 1110, instance, uint64(5), uint32(9), "zones=2\n")},
		{"endpoint list failed", replicaList(0)},
		{"endpoint list complete", replicaList(1, uint32(7), uint8(1), uint8(0), uint16(4), uint8(0), float32(1.5), float64(0),
			uint32(8), uint8(0), uint8(2), uint16(4), uint8(2), float32(1), float64(12.5), uint32(9), uint8(1), uint8(1), uint16(4), uint8(1), float32(2), float64(7))},
		{"endpoint list changes", replicaList(3, uint32(7), uint8(1), uint8(0), uint16(4), uint8(3), float32(1), float64(2))},
		{"endpoint list cut off", record(t, 1120, instance, uint64(9), uint8(1), uint32(1), uint32(7))},
		{"skipped: 1130", record(t, 1130, instance, make([]byte, 3))},
		{"skipped: unknown code", record(t, 4711, instance)},
		{"too short", record(t, 1100, instance, uint32(77))},
		{"figures that are none", record(t, 1010, instance, uint16(41), uint8(2), float32(math.Inf(1)), uint8(0))},
	}
}

// describe returns the fields of an event as text.
func describe(t *testing.T, event Event) string {
	t.Helper()
	switch ev := event.(type) {
	case Configure:
		return fmt.Sprintf("configure seed=%d text=%q", ev.Seed, ev.Text)
	case Killed:
		return "killed"
	case Input:
		return describeInput(t, ev.Event)
	}
	t.Fatalf("no text for an event of type %T", event)
	return ""
}

func describeInput(t *testing.T, event control.Event) string {
	t.Helper()
	switch ev := event.(type) {
	case control.StreamClosed:
		return fmt.Sprintf("stream closed proxy=%d", ev.Proxy)
	case control.StreamOpened:
		return fmt.Sprintf("stream opened proxy=%d zone=%d rate=%g", ev.Proxy, ev.Zone, ev.ForecastRate)
	case control.OutcomeReport:
		return fmt.Sprintf("outcomes replica=%d zone=%d attempts=%d failures=%d response_time=%d period=%d in_flight=%g",
			ev.Replica, ev.Zone, ev.Attempts, ev.Failures, ev.ResponseTime, ev.Period, ev.InFlight)
	case control.DemandReport:
		return fmt.Sprintf("demand proxy=%d class=%d requests=%d failures=%d period=%d", ev.Proxy, ev.Class, ev.Requests, ev.Failures, ev.Period)
	case control.Ack:
		return fmt.Sprintf("ack proxy=%d nonce=%d delay=%d", ev.Proxy, ev.Nonce, ev.ApplyTime)
	case control.HealthCheckFinished:
		return fmt.Sprintf("probe finished replica=%d succeeded=%t delay=%d", ev.Replica, ev.Succeeded, ev.Delay)
	case control.TimerFired:
		return fmt.Sprintf("timer fired timer=%d", ev.Timer)
	case control.ReplicasListed:
		text := fmt.Sprintf("replicas listed full=%t failed=%t", ev.Full, ev.Failed)
		for _, e := range ev.Entries {
			text += fmt.Sprintf("; replica=%d zone=%d kind=%d state=%d weight=%g start=%d", e.Replica, e.Zone, e.HardwareClass, e.State, e.Weight, e.StartedAt)
		}
		return text
	}
	t.Fatalf("no text for an event of type %T", event)
	return ""
}

// received returns as text, for each record, the bytes of its frame and the batch or error that ReadBatch returns.
func received(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, r := range receivedRecords(t) {
		raw := batch(8412.25, r.raw)
		got, err := ReadBatch(bytes.NewReader(raw))
		fmt.Fprintf(&b, "%s\n  bytes %x\n  clock %d\n", r.name, raw, got.Now)
		for _, one := range got.Records {
			fmt.Fprintf(&b, "  instance %d: %s\n", one.Instance, describe(t, one.Event))
		}
		if err != nil {
			fmt.Fprintf(&b, "  error: %v\n", err)
		}
	}
	return b.Bytes()
}

// sent returns as text the frames of each command, of a fault, of records of several instances, and of an empty reply.
func sent() []byte {
	var b bytes.Buffer
	var r Reply
	put := func(name string) { fmt.Fprintf(&b, "%s\n  bytes %x\n", name, r.Frame()) }
	const instance = 3
	for _, c := range []struct {
		name    string
		command control.Command
	}{
		{"set endpoint", control.SetEndpoint{Table: 117, Replica: 0x2c9011f2, Weight: 0.75}},
		{"remove endpoint", control.SetEndpoint{Table: 117, Replica: 0x2c9011f2}},
		{"bind", control.Bind{Proxy: 41, Table: 117}},
		{"eject", control.SetEjected{Replica: 7, Ejected: true}},
		{"restore", control.SetEjected{Replica: 7}},
		{"admission of a table", control.SetAdmission{Table: 117, Class: 2, Fraction: 0.9, Retries: control.RetryIfNotExecuted}},
		{"admission of all tables", control.SetAdmission{Table: control.AllTables, Fraction: 1, Retries: control.RetryTwice}},
		{"request ack", control.RequestAck{Nonce: 905}},
		{"probe", control.HealthCheck{Replica: 7}},
		{"set timer", control.SetTimer{Timer: 77, After: 500e6}},
		{"log", control.Log{Text: "two servers known"}},
		{"log of more than one byte of length", control.Log{Text: strings.Repeat("x", 300)}},
	} {
		r.Add(instance, c.command)
		put(c.name)
	}
	r.Fault(instance, "settings: unknown key")
	put("fault")
	r.Add(1, control.HealthCheck{Replica: 7})
	r.Add(2, control.HealthCheck{Replica: 8})
	r.Fault(3, "")
	put("several instances")
	put("nothing")
	return b.Bytes()
}

func TestReceivedRecordsMatchGoldenFile(t *testing.T) {
	output := received(t)
	golden.Compare(t, receivedFile, output)
	golden.CheckDetectsChange(t, receivedFile, output)
}

func TestSentRecordsMatchGoldenFile(t *testing.T) {
	output := sent()
	golden.Compare(t, sentFile, output)
	golden.CheckDetectsChange(t, sentFile, output)
}
