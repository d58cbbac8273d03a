package configapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"lilacbend/internal/golden"
	"lilacbend/internal/revision"
)

const messagesFile = "messages.golden"

// goldenStatus returns a status in which each field has a value.
func goldenStatus() Status {
	active := revision.Version{Epoch: 7, Revision: 30}
	newest := revision.Version{Epoch: 7, Revision: 31}
	return Status{
		Server: "s0", Region: "r0", Writer: true, Version: newest, WriterAgeMS: 12,
		Faults:   []Fault{{File: "orders.json", Reason: "unexpected end"}},
		Services: []ServiceStatus{{Name: "orders", Version: newest, Bytes: 905, History: []Published{{active, 60_000}, {newest, 1500}}}},
		Watchers: []Watcher{{Instance: "n7", Service: "orders", Zone: "a", Region: "r1", Active: active, Rejected: newest, LastSeenMS: 40}},
		Counters: Counters{Requests: 1, Copies: 2, Changes: 3, Throttled: 4, Refused: 5, BytesOut: 6, WriteErrors: 7, Connections: 8},
	}
}

// messages returns queries and each kind of body that a server sends, as they are on the wire.
func messages(t *testing.T) []byte {
	t.Helper()
	version := revision.Version{Epoch: 7, Revision: 31}
	query := Query{Service: "orders", Since: revision.Version{Epoch: 7, Revision: 30}, Rejected: version, Timeout: 1500 * time.Millisecond, Instance: "n7", Zone: "a", Region: "r1"}
	var wire bytes.Buffer
	fmt.Fprintf(&wire, "query\n%s\nquery of a server that holds nothing\n%s\nanswer\n", query.Encode(), Query{Instance: "s1"}.Encode())
	answer := Answer{Version: version, Complete: true, AgeMS: 12, Services: []Service{
		{Name: "orders", Version: version, Settings: json.RawMessage(`{"zones":["a","b"]}`)},
		{Name: "stock", Version: revision.Version{Epoch: 7, Revision: 29}, Removed: true},
	}}
	for _, a := range []Answer{answer, {Version: version, Services: []Service{}}} {
		if _, err := a.WriteTo(&wire); err != nil {
			t.Fatal(err)
		}
		wire.WriteByte('\n')
	}
	for _, body := range []any{Refusal{Reason: "no service \"x\""}, Refusal{Reason: "too many whole copies are under way", RetryAfterMS: 150}, goldenStatus()} {
		raw, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		wire.Write(append(raw, '\n'))
	}
	return wire.Bytes()
}

func TestMessagesMatchGoldenFile(t *testing.T) {
	output := messages(t)
	golden.Compare(t, messagesFile, output)
	golden.CheckDetectsChange(t, messagesFile, output)
}

func TestQueryOfGoldenFileRoundTrip(t *testing.T) {
	line := strings.Split(string(golden.Read(t, messagesFile)), "\n")[1]
	path, parameters, _ := strings.Cut(line, "?")
	values, err := url.ParseQuery(parameters)
	if err != nil || path != WatchPath {
		t.Fatalf("query of the golden file is %q, error %v", line, err)
	}
	query, err := ParseQuery(values)
	if err != nil || query.Encode() != line {
		t.Errorf("query is parsed and encoded as %q, error %v, want %q", query.Encode(), err, line)
	}
}
