package configapi

import (
	"encoding/json"
	"net/url"
	"strings"
	"testing"
	"time"

	"lilacbend/internal/revision"
)

func TestQueryRoundTrip(t *testing.T) {
	for _, q := range []Query{
		{},
		{Service: "orders & more", Since: revision.Version{Epoch: 7, Revision: 41}, Rejected: revision.Version{Epoch: 7, Revision: 42},
			Timeout: 2500 * time.Millisecond, Instance: "n=0", Zone: "z/1", Region: "r?"},
	} {
		at, err := url.Parse(q.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ParseQuery(at.Query()); err != nil || got != q || at.Path != WatchPath {
			t.Errorf("query %+v is parsed as %+v, error %v", q, got, err)
		}
	}
}

func TestParseQueryNamesInvalidParameter(t *testing.T) {
	for query, wantError := range map[string]string{
		"since=7": "since: version", "refused=a.b": "refused: epoch", "timeout_ms=-1": "timeout_ms=", "timeout_ms=60001": "timeout_ms=",
		"timeout_ms=1s": "timeout_ms=", "service=" + strings.Repeat("x", MaxNameLength+1): "service has 129 bytes", "instance=" + strings.Repeat("x", 4096): "instance has",
	} {
		v, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseQuery(v); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("query %.40s: error %v, want %q", query, err, wantError)
		}
	}
}

func TestCheckRejectsInvalidAnswers(t *testing.T) {
	query := Query{Service: "orders"}
	for text, wantError := range map[string]string{
		`{"epoch":9007199254740993,"revision":1}`: "out of range",
		`{"revision":7}`:                       "has no epoch",
		`{"epoch":1,"revision":1,"age_ms":-1}`: "out of range",
		`{"epoch":1,"revision":1,"services":[{"name":"","epoch":1,"revision":1,"settings":{}}]}`:                "of a service is empty or too long",
		`{"epoch":1,"revision":1,"services":[{"name":"payouts","epoch":1,"revision":1,"settings":{}}]}`:         "answered with service payouts",
		`{"epoch":1,"revision":1,"services":[{"name":"orders","epoch":1,"revision":2,"settings":{}}]}`:          "has version 1.2",
		`{"epoch":1,"revision":1,"services":[{"name":"orders","epoch":1,"revision":1}]}`:                        "has no settings",
		`{"epoch":1,"revision":1,"services":[{"name":"orders","settings":{}},{"name":"orders","settings":{}}]}`: "answer has 2 services",
	} {
		var answer Answer
		if err := json.Unmarshal([]byte(text), &answer); err != nil {
			t.Fatal(err)
		}
		if err := answer.Check(query); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("answer %s: error %v, want %q", text, err, wantError)
		}
	}
	valid := `{"epoch":1,"revision":3,"complete":true,"services":[{"name":"orders","epoch":1,"revision":3,"settings":{"a":1}}]}`
	var answer Answer
	if err := json.Unmarshal([]byte(valid), &answer); err != nil || answer.Check(query) != nil || answer.Services[0].Revision != 3 {
		t.Errorf("valid answer is decoded as %+v, error %v, Check returns %v", answer, err, answer.Check(query))
	}
	if raw, err := json.Marshal(answer); err != nil || strings.Count(string(raw), `"epoch":1,"revision":3`) != 2 {
		t.Errorf("answer is encoded as %s, error %v", raw, err)
	}
}
