// Package sidecar is the program beside a client process: it puts fronts, relay, core, replicas' connections and the
// conversation with governors together, as its file says.
package sidecar

import (
	"fmt"
	"hash/crc32"
	"slices"
	"strings"
	"time"

	"lilacbend/control"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/ingress"
	"lilacbend/internal/strictyaml"
)

// Config is what a sidecar's file sets.
type Config struct {
	File, Name, Zone       string
	ProxyID                int
	HTTP1, HTTP2, Local    string // addresses; empty: not served
	Controllers            []string
	Collectors             []string // in the order in which they are preferred
	Discovery              string
	Endpoints              map[string]dispatch.Endpoint // instead of discovery
	Rules                  []Rule
	Dispatch               dispatch.Config
	Ingress                ingress.Limits
	NotExecutedStatuses    []int
	Connections, IdleConns int // to one replica
	IdleSpan, ReplicaStall time.Duration
	LogEvery               int // of so many flows one is logged; 0: none
	ReportInterval         time.Duration
	MemoryMB               int // MB that it keeps within; 0: no limit
}

var (
	effects    = map[string]control.Idempotency{"retriable": control.Idempotent, "deduped": control.IdempotentByKey, "non-retriable": control.NotIdempotent}
	scopes     = map[string]control.DeduplicationScope{"cell": control.ScopeCell, "zone": control.ScopeZone, "all": control.ScopeAll}
	picks      = map[string]control.PickPolicy{"chance": control.PickRandom, "round": control.PickRoundRobin, "idler": control.PickPowerOfTwo}
	admissions = map[string]control.AdmissionMode{"all": control.AdmitAll, "share": control.AdmitFraction, "rate": control.AdmitRate}
	retries    = map[string]control.RetryPolicy{"once": control.NoRetry, "never-ran": control.RetryIfNotExecuted, "again": control.RetryOnce, "twice-more": control.RetryTwice}
)

// Read reads a sidecar's file. The error names file, line and key of all that is wrong.
func Read(file string) (Config, error) {
	raw, err := strictyaml.Open(file)
	if err != nil {
		return Config{}, err
	}
	return Parse(file, raw)
}

// Parse reads the bytes of a sidecar's file.
func Parse(file string, raw []byte) (Config, error) {
	f, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return Config{}, err
	}
	m := Config{File: file, Connections: 64, IdleConns: 16, IdleSpan: 30 * time.Second, ReplicaStall: 30 * time.Second, ReportInterval: time.Second,
		Ingress: ingress.Limits{MaxConnections: 10000, IdleTimeout: time.Minute, HeadTimeout: 10 * time.Second, StallTimeout: 10 * time.Second, MaxStreams: 100, DrainTimeout: 10 * time.Second},
		Dispatch: dispatch.Config{Pick: control.PickRandom, Admission: control.AdmitFraction, AttemptTimeoutFactor: 1, DefaultRetry: control.RetryIfNotExecuted, MaxConsecutiveFailures: 5, EjectionTime: 4 * time.Second,
			RetryBudgetRatio: 0.1, RetryBudgetBurst: 10, MaxRequests: 1000, MaxQueued: 200, MaxQueueTime: 500 * time.Millisecond}}
	m.identity(top)
	m.groups(top)
	m.rules(top)
	m.tries(top)
	m.limits(top)
	top.Done()
	if err := f.Err(); err != nil {
		return Config{}, err
	}
	m.Dispatch.Seed = uint64(crc32.ChecksumIEEE([]byte(m.Name)))<<32 | uint64(m.ProxyID)
	return m, nil
}

func (m *Config) groups(top *strictyaml.Section) {
	sections := top.Sections("groups")
	for _, s := range sections {
		g := dispatch.Class{}
		var budget, expiry, window time.Duration
		s.Text("name", &g.Name)
		strictyaml.Choice(s, "effect", &g.Idempotency, effects)
		strictyaml.Choice(s, "scope", &g.DeduplicationScope, scopes)
		s.Duration("window", &window, time.Millisecond, 24*time.Hour)
		s.Duration("latency_budget", &budget, time.Millisecond, time.Hour)
		s.Duration("expiry", &expiry, time.Millisecond, time.Hour)
		for _, key := range []string{"name", "effect", "latency_budget", "expiry"} {
			if !s.Has(key) {
				s.Fault("", "lacks %s", key)
			}
		}
		deduped := g.Idempotency == control.IdempotentByKey && s.Has("effect")
		switch {
		case slices.ContainsFunc(m.Dispatch.Classes, func(o dispatch.Class) bool { return o.Name == g.Name }):
			s.Fault("name", "is %q, as an earlier group is", g.Name)
		case strings.ContainsAny(g.Name, "+, \t") || s.Has("name") && g.Name == "":
			s.Fault("name", "is %.40q, want a word without + and ,", g.Name)
		case budget > expiry && s.Has("expiry"):
			s.Fault("latency_budget", "is %v, over the expiry of %v", budget, expiry)
		case deduped && (!s.Has("window") || !s.Has("scope")):
			s.Fault("effect", "is deduped: give scope and window, within which replicas drop a repeat")
		case !deduped && (s.Has("window") || s.Has("scope")) && s.Has("effect"):
			s.Fault("effect", "has no scope and window unless it is deduped")
		}
		g.LatencyObjective, g.Timeout, g.DeduplicationWindow = budget.Nanoseconds(), expiry.Nanoseconds(), window.Nanoseconds()
		m.Dispatch.Classes = append(m.Dispatch.Classes, g)
		s.Done()
	}
	if len(m.Dispatch.Classes) == 0 {
		top.Fault("groups", "are none: name at least one traffic group")
	}
}

func (m *Config) tries(top *strictyaml.Section) {
	strictyaml.Choice(top, "pick", &m.Dispatch.Pick, picks)
	strictyaml.Choice(top, "admission", &m.Dispatch.Admission, admissions)
	s := top.Section("tries")
	if s == nil {
		return
	}
	strictyaml.Choice(s, "usual", &m.Dispatch.DefaultRetry, retries)
	s.Number("factor", &m.Dispatch.AttemptTimeoutFactor, 0.1, 100)
	s.Whole("strikes", &m.Dispatch.MaxConsecutiveFailures, 0, 1000)
	s.Duration("shun", &m.Dispatch.EjectionTime, time.Millisecond, time.Hour)
	s.Number("repeat_share", &m.Dispatch.RetryBudgetRatio, 0, 1)
	s.Number("repeat_burst", &m.Dispatch.RetryBudgetBurst, 0, 1e6)
	var words []string
	s.Words("never_ran_statuses", &words)
	for _, w := range words {
		var status int
		if _, err := fmt.Sscanf(w, "%d", &status); err != nil || status < 500 || status > 599 {
			s.Fault("never_ran_statuses", "has %.20q, want statuses from 500 to 599", w)
		}
		m.NotExecutedStatuses = append(m.NotExecutedStatuses, status)
	}
	s.Done()
}

func (m *Config) limits(top *strictyaml.Section) {
	s := top.Section("limits")
	if s != nil {
		s.Whole("flows", &m.Dispatch.MaxRequests, 1, 1<<20)
		s.Whole("waiting", &m.Dispatch.MaxQueued, 0, 1<<20)
		s.Duration("wait", &m.Dispatch.MaxQueueTime, 0, time.Minute)
		s.Whole("replica_connections", &m.Connections, 1, 1<<16)
		s.Whole("replica_idle", &m.IdleConns, 0, 1<<16)
		s.Duration("replica_idle_time", &m.IdleSpan, time.Millisecond, time.Hour)
		s.Duration("replica_stall", &m.ReplicaStall, time.Millisecond, time.Hour)
		s.Whole("connections", &m.Ingress.MaxConnections, 1, 1<<20)
		s.Whole("streams", &m.Ingress.MaxStreams, 1, 1<<16)
		s.Duration("idle", &m.Ingress.IdleTimeout, time.Millisecond, 24*time.Hour)
		s.Duration("head", &m.Ingress.HeadTimeout, time.Millisecond, time.Hour)
		s.Duration("stall", &m.Ingress.StallTimeout, time.Millisecond, time.Hour)
		s.Duration("drain", &m.Ingress.DrainTimeout, 0, time.Hour)
		s.Whole("memory_mb", &m.MemoryMB, 0, 1<<20)
		s.Done()
	}
	m.Dispatch.MaxRequestsPerReplica = m.Connections
	if l := top.Section("log"); l != nil {
		l.Whole("every", &m.LogEvery, 0, 1<<30)
		l.Done()
	}
	top.Duration("report_every", &m.ReportInterval, 100*time.Millisecond, time.Minute)
}
