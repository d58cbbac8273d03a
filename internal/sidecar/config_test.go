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
	if config, err := Parse("s.yaml", []byte(completeFile)); err != nil || len(config.Rules) != 2 || config.NotExecutedStatuses[0] != 503 || config.Dispatch.Seed == 0 {
		t.Fatalf("config %+v, error %v", config, err)
	}
	for _, test := range [][3]string{
		{"name: shop", "nam: shop", "s.yaml:2:1: nam: is not known: did you mean name?"},
		{"name: shop\n", "", "lacks name"}, {"proxy: 3", "proxy: -1", "proxy: is -1, want 0 to 1048576"}, {"zone: a\n", "", "lacks zone"},
		{`"127.0.0.1:1"`, `"127.0.0.1"`, "listen.http1: is \"127.0.0.1\", want host:port"},
		{`"127.0.0.1:2"`, `"127.0.0.1:1"`, "listen.http2: is also the address of http1"},
		{`listen: {http1: "127.0.0.1:1", http2: "127.0.0.1:2", local: "127.0.0.1:3"}`, "", "listen: has no listener for clients"},
		{`["127.0.0.1:4"]`, "[x]", "governors: entry 0 is \"x\", want host:port"},
		{`collector: "127.0.0.1:5"`, `collectors: ["127.0.0.1:5", "127.0.0.1"]`, "collectors: entry 1 is \"127.0.0.1\", want host:port"},
		{`collector: "127.0.0.1:5"`, `collectors: ["127.0.0.1:5", "127.0.0.1:5"]`, "collectors: entry 1 is \"127.0.0.1:5\", which repeats an earlier entry"},
		{`collector: "127.0.0.1:5"`, "collector: \"127.0.0.1:5\"\ncollectors: [\"127.0.0.1:7\"]", "collectors: is set together with collector: set one of the two"},
		{`discovery: "127.0.0.1:6"`, "", "lacks discovery or replicas: set one of the two"},
		{`discovery: "127.0.0.1:6"`, "discovery: \"127.0.0.1:6\"\nreplicas: [{id: a, address: \"127.0.0.1:7\"}]", "replicas: is set together with discovery: set one of the two"},
		{`discovery: "127.0.0.1:6"`, "replicas: [{id: a, address: \"127.0.0.1:7\"}, {id: a, address: \"127.0.0.1:8\"}]", "replicas[1]: requires a unique id and an address"},
		{"effect: retriable", "effect: retryable", "groups[0].effect: is \"retryable\": did you mean retriable?"},
		{"effect: retriable", "effect: retriable, window: 1s", "groups[0].effect: does not allow scope or window"},
		{"scope: zone, window: 2500ms, ", "", "groups[1].effect: is deduped, which requires the scope and the window"},
		{"latency_budget: 500ms, expiry: 2s}\n- {name: order", "latency_budget: 5s, expiry: 2s}\n- {name: order", "groups[0].latency_budget: is 5s, exceeds the expiry of 2s"},
		{"name: order", "name: stock", "groups[1].name: is \"stock\", the name of an earlier traffic class"},
		{"name: order", "name: a+b", "groups[1].name: is \"a+b\", want a word"},
		{"group: order", "group: ordre", "rules[1].group: is \"ordre\", which is not a traffic class: did you mean order?"},
		{"path: /stock/*", "path: stock", "rules[0].path: is \"stock\", want a path"},
		{"path: /stock/*", "path: /*/x", "rules[0].path"},
		{"{group: stock, method: GET, path: /stock/*}", "{group: stock}", "rules[1]: is never reached: rules[0] matches all of its requests"},
		{"never_ran_statuses: [503]", "never_ran_statuses: [404]", "tries.never_ran_statuses: has \"404\""},
		{"usual: again", "usual: often", "tries.usual: is \"often\", want one of again, never-ran, once, twice-more"},
	} {
		if !strings.Contains(completeFile, test[0]) {
			t.Fatalf("completeFile does not contain %q", test[0])
		}
		_, err := Parse("s.yaml", []byte(strings.Replace(completeFile, test[0], test[1], 1)))
		if err == nil || !strings.Contains(err.Error(), test[2]) || !strings.HasPrefix(err.Error(), "s.yaml:") {
			t.Errorf("%s: error %v\nwant %s", test[1], err, test[2])
		}
	}
}

func TestCollectorsKeepTheirOrder(t *testing.T) {
	for line, want := range map[string]string{
		`collector: "127.0.0.1:5"`:                   "127.0.0.1:5",
		`collectors: ["127.0.0.1:9", "127.0.0.1:5"]`: "127.0.0.1:9 127.0.0.1:5",
		"": "",
	} {
		config, err := Parse("s.yaml", []byte(strings.Replace(completeFile, `collector: "127.0.0.1:5"`, line, 1)))
		if got := strings.Join(config.Collectors, " "); err != nil || got != want {
			t.Errorf("%s: collectors %q, error %v, want %q", line, got, err, want)
		}
	}
}

func TestFirstMatchingRuleApplies(t *testing.T) {
	config, err := Parse("s.yaml", []byte(completeFile))
	if err != nil {
		t.Fatal(err)
	}
	classify := config.Classifier()
	sale := http.Header{"X-Kind": {"gift", "sale"}}
	for _, test := range []struct {
		method, host, path string
		header             http.Header
		want               int
	}{
		{"GET", "x", "/stock/1", nil, 0}, {"GET", "x", "/stock", nil, -1}, {"POST", "x", "/stock/1", nil, -1},
		{"POST", "SHOP.example.org:8080", "/any", sale, 1}, {"POST", "shop.example.org", "/any", nil, -1}, {"POST", "other", "/any", sale, -1},
	} {
		if got := classify(test.method, test.host, test.path, test.header); got != test.want {
			t.Errorf("%+v: got class %d", test, got)
		}
	}
}

func TestReloadAppliesRulesAndReturnsPendingFields(t *testing.T) {
	s := startSidecar(t, nil, startReplica(t, nil).Addr)
	parseWith := func(old, new string) Config {
		content := strings.NewReplacer("H1", `"127.0.0.1:0"`, "H2", `"127.0.0.1:00"`, "REPLICAS", `{id: r0, zone: a, address: "`+s.config.Endpoints["r0"].Address+`"}`).Replace(sidecarFile)
		config, err := Parse("t.yaml", []byte(strings.Replace(content, old, new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return config
	}
	if got := exchangeRaw(t, s.h1, "DELETE /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); !strings.Contains(got, " 404 ") {
		t.Errorf("before the reload: %q, want status 404", got)
	}
	if pending, err := s.Reload(parseWith("method: HEAD", "method: DELETE")); err != nil || len(pending) != 0 {
		t.Errorf("reload of other rules: pending %v, error %v", pending, err)
	}
	if got := exchangeRaw(t, s.h1, "DELETE /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); !strings.Contains(got, " 200 ") {
		t.Errorf("after the reload: %q, want status 200", got)
	}
	if pending, err := s.Reload(parseWith("flows: 500", "flows: 600")); err != nil || len(pending) != 1 || pending[0] != "Dispatch" {
		t.Errorf("reload of another request limit: pending %v, error %v, want Dispatch pending", pending, err)
	}
	changed := parseWith("flows: 500", "flows: 500")
	changed.Dispatch.Classes = changed.Dispatch.Classes[:2]
	if _, err := s.Reload(changed); err == nil {
		t.Error("reload of other traffic classes returned no error")
	}
}
