package sidecar

import (
	"net/http"
	"strings"
	"testing"
)

const completeFile = `
name: shop
proxy: 3
zone: a
listen: {http1: "127.0.0.1:1", http2: "127.0.0.1:2", local: "127.0.0.1:3"}
governors: ["127.0.0.1:4"]
collector: "127.0.0.1:5"
discovery: "127.0.0.1:6"
groups:
- {name: stock, effect: retriable, latency_budget: 500ms, expiry: 2s}
- {name: order, effect: deduped, scope: zone, window: 2500ms, latency_budget: 500ms, expiry: 2s}
rules:
- {group: stock, method: GET, path: /stock/*}
- {group: order, method: POST, host: shop.example.org, fields: {x-kind: sale}}
tries: {usual: again, never_ran_statuses: [503]}
`

func TestConfigErrorsNameTheKey(t *testing.T) {
	if m, err := Parse("s.yaml", []byte(completeFile)); err != nil || len(m.Rules) != 2 || m.NotExecutedStatuses[0] != 503 || m.Dispatch.Seed == 0 {
		t.Fatalf("%+v %v", m, err)
	}
	for _, c := range [][3]string{
		{"name: shop", "nam: shop", "s.yaml:2:1: nam: is not known: did you mean name?"},
		{"name: shop\n", "", "lacks name"}, {"proxy: 3", "proxy: -1", "proxy: is -1, want 0 to 1048576"}, {"zone: a\n", "", "lacks zone"},
		{`"127.0.0.1:1"`, `"127.0.0.1"`, "listen.http1: is \"127.0.0.1\", want host:port"},
		{`"127.0.0.1:2"`, `"127.0.0.1:1"`, "listen.http2: is the address of http1 as well"},
		{`listen: {http1: "127.0.0.1:1", http2: "127.0.0.1:2", local: "127.0.0.1:3"}`, "", "listen: serves nobody"},
		{`["127.0.0.1:4"]`, "[x]", "governors: entry 0 is \"x\", want host:port"},
		{`collector: "127.0.0.1:5"`, `collectors: ["127.0.0.1:5", "127.0.0.1"]`, "collectors: entry 1 is \"127.0.0.1\", want host:port"},
		{`collector: "127.0.0.1:5"`, `collectors: ["127.0.0.1:5", "127.0.0.1:5"]`, "collectors: entry 1 is \"127.0.0.1:5\", which stands before it already"},
		{`collector: "127.0.0.1:5"`, "collector: \"127.0.0.1:5\"\ncollectors: [\"127.0.0.1:7\"]", "collectors: are given beside collector: give one of the two"},
		{`discovery: "127.0.0.1:6"`, "", "lacks discovery, or replicas"},
		{`discovery: "127.0.0.1:6"`, "discovery: \"127.0.0.1:6\"\nreplicas: [{id: a, address: \"127.0.0.1:7\"}]", "replicas: are listed by discovery as well"},
		{`discovery: "127.0.0.1:6"`, "replicas: [{id: a, address: \"127.0.0.1:7\"}, {id: a, address: \"127.0.0.1:8\"}]", "replicas[1]: wants an id of its own"},
		{"effect: retriable", "effect: retryable", "groups[0].effect: is \"retryable\": did you mean retriable?"},
		{"effect: retriable", "effect: retriable, window: 1s", "groups[0].effect: has no scope and window"},
		{"scope: zone, window: 2500ms, ", "", "groups[1].effect: is deduped: give scope and window"},
		{"latency_budget: 500ms, expiry: 2s}\n- {name: order", "latency_budget: 5s, expiry: 2s}\n- {name: order", "groups[0].latency_budget: is 5s, over the expiry of 2s"},
		{"name: order", "name: stock", "groups[1].name: is \"stock\", as an earlier group is"},
		{"name: order", "name: a+b", "groups[1].name: is \"a+b\", want a word"},
		{"group: order", "group: ordre", "rules[1].group: is \"ordre\", which is no traffic group: did you mean order?"},
		{"path: /stock/*", "path: stock", "rules[0].path: is \"stock\", want a path"},
		{"path: /stock/*", "path: /*/x", "rules[0].path"},
		{"{group: stock, method: GET, path: /stock/*}", "{group: stock}", "rules[1]: is never reached: rules[0] takes all of its flows"},
		{"never_ran_statuses: [503]", "never_ran_statuses: [404]", "tries.never_ran_statuses: has \"404\""},
		{"usual: again", "usual: often", "tries.usual: is \"often\", want one of again, never-ran, once, twice-more"},
	} {
		if !strings.Contains(completeFile, c[0]) {
			t.Fatalf("no %q", c[0])
		}
		_, err := Parse("s.yaml", []byte(strings.Replace(completeFile, c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error(), c[2]) || !strings.HasPrefix(err.Error(), "s.yaml:") {
			t.Errorf("%s: %v\nwant %s", c[1], err, c[2])
		}
	}
}

func TestCollectorsKeepTheirOrder(t *testing.T) {
	for line, want := range map[string]string{
		`collector: "127.0.0.1:5"`:                   "127.0.0.1:5",
		`collectors: ["127.0.0.1:9", "127.0.0.1:5"]`: "127.0.0.1:9 127.0.0.1:5",
		"": "",
	} {
		m, err := Parse("s.yaml", []byte(strings.Replace(completeFile, `collector: "127.0.0.1:5"`, line, 1)))
		if got := strings.Join(m.Collectors, " "); err != nil || got != want {
			t.Errorf("%s: %q %v, want %q", line, got, err, want)
		}
	}
}

func TestFirstMatchingRuleHolds(t *testing.T) {
	m, err := Parse("s.yaml", []byte(completeFile))
	if err != nil {
		t.Fatal(err)
	}
	of := m.Classifier()
	sale := http.Header{"X-Kind": {"gift", "sale"}}
	for _, c := range []struct {
		method, host, path string
		h                  http.Header
		want               int
	}{
		{"GET", "x", "/stock/1", nil, 0}, {"GET", "x", "/stock", nil, -1}, {"POST", "x", "/stock/1", nil, -1},
		{"POST", "SHOP.example.org:8080", "/any", sale, 1}, {"POST", "shop.example.org", "/any", nil, -1}, {"POST", "other", "/any", sale, -1},
	} {
		if got := of(c.method, c.host, c.path, c.h); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

func TestReloadTakesOverRulesAndNamesTheRest(t *testing.T) {
	s := start(t, nil, startReplica(t, nil).Addr)
	text := func(old, new string) Config {
		f := strings.NewReplacer("H1", `"127.0.0.1:0"`, "H2", `"127.0.0.1:00"`, "REPLICAS", `{id: r0, zone: a, address: "`+s.config.Endpoints["r0"].Address+`"}`).Replace(file)
		m, err := Parse("t.yaml", []byte(strings.Replace(f, old, new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	if got := exchangeRaw(t, s.h1, "DELETE /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); !strings.Contains(got, " 404 ") {
		t.Errorf("before: %q", got)
	}
	if waits, err := s.Reload(text("method: HEAD", "method: DELETE")); err != nil || len(waits) != 0 {
		t.Errorf("%v %v", waits, err)
	}
	if got := exchangeRaw(t, s.h1, "DELETE /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); !strings.Contains(got, " 200 ") {
		t.Errorf("after: %q", got)
	}
	if waits, err := s.Reload(text("flows: 500", "flows: 600")); err != nil || len(waits) != 1 || waits[0] != "Dispatch" {
		t.Errorf("%v %v", waits, err)
	}
	other := text("flows: 500", "flows: 500")
	other.Dispatch.Classes = other.Dispatch.Classes[:2]
	if _, err := s.Reload(other); err == nil {
		t.Error("other classes are taken over")
	}
}
