package main

import (
	"bytes"
	"strings"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/simwire"
	"lilacbend/policy"
)

func TestAnInstanceThatCannotStartSaysSo(t *testing.T) {
	h := newHost()
	h.turn(simwire.Batch{Records: []simwire.Record{{Instance: 4, Event: simwire.Configure{Text: "balancers=x"}}}})
	if got := string(h.reply.Frame()); !strings.Contains(got, `setting balancers="x" is not a number`) {
		t.Errorf("reply %q", got)
	}
}

func TestAPanicBecomesAFault(t *testing.T) {
	h := newHost()
	h.governors[4] = nil
	h.instance(4, 0, []any{nil})
	h.governors[4] = new(policy.Policy)
	h.instance(4, 0, []any{control.StreamClosed{}})
	if got := string(h.reply.Frame()); !strings.Contains(got, "the module failed") {
		t.Errorf("reply %q", got)
	}
	if _, stays := h.governors[4]; stays {
		t.Error("the failed governor stays")
	}
}

func TestKilledAndUnknownInstancesStaySilent(t *testing.T) {
	h := newHost()
	h.turn(simwire.Batch{Records: []simwire.Record{
		{Instance: 4, Event: control.StreamClosed{}}, {Instance: 4, Event: simwire.Killed{}},
		{Instance: 4, Event: control.StreamClosed{}}}})
	if got := h.reply.Frame(); !bytes.Equal(got, []byte{4, 0, 0, 0}) {
		t.Errorf("reply %x", got)
	}
}

func TestACutInputIsNamed(t *testing.T) {
	var out bytes.Buffer
	if err := serve(strings.NewReader("short"), &out); err == nil || !strings.Contains(err.Error(), "5 of 16") {
		t.Errorf("got %v", err)
	}
	if err := serve(strings.NewReader(""), &out); err != nil {
		t.Errorf("end of input: %v", err)
	}
}
