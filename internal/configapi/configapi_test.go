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
			t.Errorf("%+v became %+v: %v", q, got, err)
		}
	}
}

func TestParseQueryNamesInvalidParameter(t *testing.T) {
	for query, says := range map[string]string{
		"since=7": "since: version", "refused=a.b": "refused: epoch", "timeout_ms=-1": "timeout_ms=", "timeout_ms=60001": "timeout_ms=",
		"timeout_ms=1s": "timeout_ms=", "service=" + strings.Repeat("x", MaxNameLength+1): "service has 129 bytes", "instance=" + strings.Repeat("x", 4096): "instance has",
	} {
		v, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseQuery(v); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%.40s: %v", query, err)
		}
	}
}

func TestCheckRejectsInvalidAnswers(t *testing.T) {
	one := Query{Service: "orders"}
	for text, says := range map[string]string{
		`{"epoch":9007199254740993,"revision":1}`: "out of range",
		`{"revision":7}`:                       "has no epoch",
		`{"epoch":1,"revision":1,"age_ms":-1}`: "out of range",
		`{"epoch":1,"revision":1,"services":[{"name":"","epoch":1,"revision":1,"settings":{}}]}`:                "is called",
		`{"epoch":1,"revision":1,"services":[{"name":"payouts","epoch":1,"revision":1,"settings":{}}]}`:         "was asked for, not payouts",
		`{"epoch":1,"revision":1,"services":[{"name":"orders","epoch":1,"revision":2,"settings":{}}]}`:          "has version 1.2",
		`{"epoch":1,"revision":1,"services":[{"name":"orders","epoch":1,"revision":1}]}`:                        "has no settings",
		`{"epoch":1,"revision":1,"services":[{"name":"orders","settings":{}},{"name":"orders","settings":{}}]}`: "2 services",
	} {
		var a Answer
		if err := json.Unmarshal([]byte(text), &a); err != nil {
			t.Fatal(err)
		}
		if err := a.Check(one); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", text, err)
		}
	}
	good := `{"epoch":1,"revision":3,"complete":true,"services":[{"name":"orders","epoch":1,"revision":3,"settings":{"a":1}}]}`
	var a Answer
	if err := json.Unmarshal([]byte(good), &a); err != nil || a.Check(one) != nil || a.Services[0].Revision != 3 {
		t.Errorf("%+v: %v %v", a, err, a.Check(one))
	}
	if raw, err := json.Marshal(a); err != nil || strings.Count(string(raw), `"epoch":1,"revision":3`) != 2 {
		t.Errorf("%s: %v", raw, err)
	}
}
