package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"lilacbend/control"
)

// The frames of the protocol's example: three events, three commands.
const (
	eventsHex = "00000000206ec040" + "56000000" + "03000000" +
		"1a0422000000030000000100000000000000002048400e000000074a1203000000000000408f4000" +
		"4c040c000000030000004d00000000000000" + "e80306000000050000002900"
	commandsHex = "4f000000" + "f2030e000000030000000000403f7500f211902c" +
		"240414000000030000004d000000000000000000000000407f40" +
		"1a0417000000050000001100" + "74776f2073657276657273206b6e6f776e"
)

func decodeHex(t testing.TB, text string) []byte {
	b, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestReadBatchOfProtocolExample(t *testing.T) {
	batch, err := ReadBatch(bytes.NewReader(decodeHex(t, eventsHex)))
	if err != nil || len(batch.Records) != 3 || batch.Now != 8412250000 {
		t.Fatalf("got error %v, batch %+v", err, batch)
	}
	want := []Record{
		{3, Input{control.OutcomeReport{Replica: 0x03124a07, Attempts: 14, Failures: 1, ResponseTime: 48250000, Period: 1e9, InFlight: -1}}},
		{3, Input{control.TimerFired{Timer: 77}}},
		{5, Input{control.StreamClosed{Proxy: 41}}},
	}
	for k, record := range want {
		if batch.Records[k] != record {
			t.Errorf("record %d: got %+v, want %+v", k, batch.Records[k], record)
		}
	}
}

func TestReplyOfProtocolExample(t *testing.T) {
	var reply Reply
	reply.Add(3, control.SetEndpoint{Table: 117, Replica: 0x2c9011f2, Weight: 0.75})
	reply.Add(3, control.SetTimer{Timer: 77, After: 500e6})
	reply.Add(5, control.Log{Text: "two servers known"})
	if got := reply.Frame(); !bytes.Equal(got, decodeHex(t, commandsHex)) {
		t.Errorf("got  %x\nwant %s", got, commandsHex)
	}
	if got := reply.Frame(); !bytes.Equal(got, []byte{4, 0, 0, 0}) {
		t.Errorf("frame of an empty reply: got %x", got)
	}
}

func TestReadBatchReportsInvalidFrame(t *testing.T) {
	for _, c := range []struct {
		name, errorText string
		change          func(b []byte) []byte
	}{
		{"header cut off", "header cut off after 9 of 16", func(b []byte) []byte { return b[:9] }},
		{"body cut off", "cut off after 80 of 86", func(b []byte) []byte { return b[:80] }},
		{"frame length", "frame length 3 is not between 16 bytes", func(b []byte) []byte { b[8] = 3; return b }},
		{"record count", "record count 4278190083", func(b []byte) []byte { b[15] = 255; return b }},
		{"record length", "for instance", func(b []byte) []byte { b[18] = 30; return b }},
		{"record past the end of the frame", "passes the frame's end", func(b []byte) []byte { b[76] = 7; return b }},
		{"bytes after the last record", "12 bytes are left over", func(b []byte) []byte { b[12] = 2; return b }},
		{"load report", "load report of 9 values", func(b []byte) []byte { b[55] = 9; return b }},
	} {
		_, err := ReadBatch(bytes.NewReader(c.change(decodeHex(t, eventsHex))))
		if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), c.errorText) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.errorText)
		}
	}
	complete := decodeHex(t, eventsHex)
	for cut := 1; cut < len(complete); cut++ {
		if _, err := ReadBatch(bytes.NewReader(complete[:cut])); err == nil {
			t.Errorf("no error for a frame that is cut off after %d bytes", cut)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("at the end of the input: got %v, want io.EOF", err)
	}
}

func TestReadBatchSkipsUnknownRecords(t *testing.T) {
	raw := decodeHex(t, eventsHex)
	binary.LittleEndian.PutUint16(raw[16:], 4711)
	if got, err := ReadBatch(bytes.NewReader(raw)); err != nil || len(got.Records) != 2 {
		t.Errorf("got error %v, batch %+v", err, got)
	}
}

func FuzzReadBatch(f *testing.F) {
	complete := decodeHex(f, eventsHex)
	for cut := range len(complete) {
		f.Add(complete[:cut])
	}
	f.Add(complete)
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := ReadBatch(bytes.NewReader(b))
		if err == nil && len(batch.Records) > len(b)/recordHeaderSize {
			t.Errorf("%d records from %d bytes", len(batch.Records), len(b))
		}
	})
}
