package main

import (
	"bytes"
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/simwire"
	"lilacbend/policy"
)

// emptyReply is the frame of a reply without records.
var emptyReply = []byte{4, 0, 0, 0}

func TestStartErrorIsReportedAsFault(t *testing.T) {
	s := newInstances()
	s.handle(simwire.Batch{Records: []simwire.Record{{Instance: 4, Event: simwire.Configure{Text: "balancers=x"}}}})
	if got := string(s.reply.Frame()); !strings.Contains(got, `setting balancers="x" is not a number`) {
		t.Errorf("reply %q does not report the invalid setting", got)
	}
}

func TestPanicIsReportedAsFault(t *testing.T) {
	s := newInstances()
	s.running[4] = nil
	s.handleInstance(4, 0, nil)
	if got := s.reply.Frame(); !bytes.Equal(got, emptyReply) {
		t.Errorf("reply of an instance that is not running: %x", got)
	}
	s.running[4] = new(policy.Policy)
	s.handleInstance(4, 0, []simwire.Event{simwire.Input{Event: control.StreamClosed{}}})
	if got := string(s.reply.Frame()); !strings.Contains(got, "the module failed") {
		t.Errorf("reply %q does not report the panic", got)
	}
	if _, ok := s.running[4]; ok {
		t.Error("the instance is still running after a panic")
	}
}

func TestUnknownEventIsReportedAsFault(t *testing.T) {
	s := newInstances()
	s.handleInstance(4, 0, []simwire.Event{nil})
	if got := string(s.reply.Frame()); !strings.Contains(got, "unknown event") {
		t.Errorf("reply %q does not report the unknown event", got)
	}
}

func TestKilledAndUnknownInstancesDoNotReply(t *testing.T) {
	s := newInstances()
	closed := simwire.Input{Event: control.StreamClosed{}}
	s.handle(simwire.Batch{Records: []simwire.Record{
		{Instance: 4, Event: closed},
		{Instance: 4, Event: simwire.Killed{}},
		{Instance: 4, Event: closed},
	}})
	if got := s.reply.Frame(); !bytes.Equal(got, emptyReply) {
		t.Errorf("reply %x, want one without records", got)
	}
}

func TestServeReportsIncompleteInput(t *testing.T) {
	var out bytes.Buffer
	if err := serve(strings.NewReader("short"), &out); err == nil || !strings.Contains(err.Error(), "5 of 16") {
		t.Errorf("incomplete input: got error %v", err)
	}
	if err := serve(strings.NewReader(""), &out); err != nil {
		t.Errorf("end of input between batches: got error %v", err)
	}
}
