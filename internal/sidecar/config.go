package sidecar

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"slices"
	"strings"
	"time"

	"lilacbend/control"
	"lilacbend/internal/dispatch"
	"lilacbend/internal/ingress"
	"lilacbend/internal/strictyaml"
	"lilacbend/internal/upstream"
)

// Config is the configuration of a sidecar, as read from its file.
type Config struct {
	File        string
	Name        string
	Zone        string
	ProxyID     int
	HTTP1       string // address of the listener for HTTP/1.1; empty: not served
	HTTP2       string
	Local       string                       // address of the listener for /health and /figures; empty: not served
	Controllers []string                     // addresses
	Collectors  []string                     // addresses in order of preference
	Discovery   string                       // address; empty: the file lists the Endpoints
	Endpoints   map[string]dispatch.Endpoint // by the id of the replica
	Rules       []Rule

	Dispatch            dispatch.Config
	Ingress             ingress.Limits
	Upstream            upstream.Config
	NotExecutedStatuses []int // statuses by which replicas report that they have not executed a request

	LogEvery       int // one of this many requests is logged; 0: none
	ReportInterval time.Duration
	MemoryMB       int // memory limit in MiB; 0: no limit
}

// Names in the file of the dispatcher's policies and of the idempotency of traffic classes.
var (
	idempotencyWords   = map[string]control.Idempotency{"retriable": control.Idempotent, "deduped": control.IdempotentByKey, "non-retriable": control.NotIdempotent}
	scopeWords         = map[string]control.DeduplicationScope{"cell": control.ScopeCell, "zone": control.ScopeZone, "all": control.ScopeAll}
	pickPolicyWords    = map[string]control.PickPolicy{"chance": control.PickRandom, "round": control.PickRoundRobin, "idler": control.PickPowerOfTwo}
	admissionModeWords = map[string]control.AdmissionMode{"all": control.AdmitAll, "share": control.AdmitFraction, "rate": control.AdmitRate}
	retryPolicyWords   = map[string]control.RetryPolicy{"once": control.NoRetry, "never-ran": control.RetryIfNotExecuted, "again": control.RetryOnce, "twice-more": control.RetryTwice}
)

// defaultConfig returns the values of the keys that the file leaves out.
func defaultConfig(file string) Config {
	return Config{
		File:           file,
		ReportInterval: time.Second,
		Ingress: ingress.Limits{
			MaxConnections: 10000,
			IdleTimeout:    time.Minute,
			HeadTimeout:    10 * time.Second,
			StallTimeout:   10 * time.Second,
			MaxStreams:     100,
			DrainTimeout:   10 * time.Second,
		},
		Upstream: upstream.Config{
			MaxConnections: 64,
			MaxIdle:        16,
			IdleTimeout:    30 * time.Second,
			StallTimeout:   30 * time.Second,
		},
		Dispatch: dispatch.Config{
			Pick:                   control.PickRandom,
			Admission:              control.AdmitFraction,
			AttemptTimeoutFactor:   1,
			DefaultRetry:           control.RetryIfNotExecuted,
			MaxConsecutiveFailures: 5,
			EjectionTime:           4 * time.Second,
			RetryBudgetRatio:       0.1,
			RetryBudgetBurst:       10,
			MaxRequests:            1000,
			MaxQueuedRequests:      200,
			MaxQueueTime:           500 * time.Millisecond,
		},
	}
}

// Read reads and parses a sidecar's file. The error lists all faults of the file, each with its file, line and key.
func Read(file string) (Config, error) {
	raw, err := strictyaml.Open(file)
	if err != nil {
		return Config{}, err
	}
	return Parse(file, raw)
}

// Parse parses the content of a sidecar's file. The file name is used in errors.
func Parse(file string, raw []byte) (Config, error) {
	document, top, err := strictyaml.Parse(file, raw)
	if err != nil {
		return Config{}, err
	}
	c := defaultConfig(file)
	c.parseIdentity(top)
	c.parseClasses(top)
	c.parseRules(top)
	c.parseAttempts(top)
	c.parseLimits(top)
	c.parseReports(top)
	top.Done()
	if err := document.Err(); err != nil {
		return Config{}, err
	}
	c.Dispatch.MaxRequestsPerReplica = c.Upstream.MaxConnections
	c.Dispatch.Seed = uint64(crc32.ChecksumIEEE([]byte(c.Name)))<<32 | uint64(c.ProxyID)
	return c, nil
}

const (
	// memoryPerRequest is the memory for each request that may be in flight or waiting, in bytes: twice what a usual one
	// takes, as requests are received before they count.
	memoryPerRequest = 64 << 10
	// requestMemoryDivisor is the part of the configured memory, one in so many, that requests may take.
	requestMemoryDivisor = 4
)

// requestMemory returns the memory for the requests of all clients, in bytes.
func (c Config) requestMemory() int64 {
	memory := int64(c.Dispatch.MaxRequests+c.Dispatch.MaxQueuedRequests) * memoryPerRequest
	if c.MemoryMB == 0 {
		return memory
	}
	return min(memory, int64(c.MemoryMB)*bytesPerMB/requestMemoryDivisor)
}

// parseClasses parses the traffic classes.
func (c *Config) parseClasses(top *strictyaml.Section) {
	for _, s := range top.Sections("groups") {
		c.Dispatch.Classes = append(c.Dispatch.Classes, c.parseClass(s))
		s.Done()
	}
	if len(c.Dispatch.Classes) == 0 {
		top.AddFault("groups", "is missing or empty, want at least one traffic class")
	}
}

// parseClass parses one traffic class. c.Dispatch.Classes contains only the classes before it.
func (c *Config) parseClass(s *strictyaml.Section) dispatch.Class {
	var class dispatch.Class
	var objective, timeout, window time.Duration
	s.Text("name", &class.Name)
	strictyaml.Choice(s, "effect", &class.Idempotency, idempotencyWords)
	strictyaml.Choice(s, "scope", &class.DeduplicationScope, scopeWords)
	s.Duration("window", &window, time.Millisecond, 24*time.Hour)
	s.Duration("latency_budget", &objective, time.Millisecond, time.Hour)
	s.Duration("expiry", &timeout, time.Millisecond, time.Hour)
	requireKeys(s, "name", "effect", "latency_budget", "expiry")
	class.LatencyObjective = objective.Nanoseconds()
	class.Timeout = timeout.Nanoseconds()
	class.DeduplicationWindow = window.Nanoseconds()
	switch {
	case c.hasClass(class.Name):
		s.AddFault("name", "is %q, the name of an earlier traffic class", class.Name)
	case strings.ContainsAny(class.Name, "+, \t") || s.Has("name") && class.Name == "":
		s.AddFault("name", "is %.40q, want a word without plus, comma or white space", class.Name)
	case objective > timeout && s.Has("expiry"):
		s.AddFault("latency_budget", "is %v, exceeds the expiry of %v", objective, timeout)
	default:
		checkDeduplication(s, class)
	}
	return class
}

// checkDeduplication checks that scope and window are set exactly for traffic classes with idempotency keys.
func checkDeduplication(s *strictyaml.Section, class dispatch.Class) {
	if !s.Has("effect") {
		return
	}
	byKey := class.Idempotency == control.IdempotentByKey
	switch {
	case byKey && (!s.Has("window") || !s.Has("scope")):
		s.AddFault("effect", "is deduped, which requires the scope and the window within which replicas deduplicate retries")
	case !byKey && (s.Has("window") || s.Has("scope")):
		s.AddFault("effect", "does not allow scope or window unless it is deduped")
	}
}

// hasClass reports whether a traffic class with this name has been parsed.
func (c *Config) hasClass(name string) bool {
	return slices.ContainsFunc(c.Dispatch.Classes, func(class dispatch.Class) bool { return class.Name == name })
}

// requireKeys adds a fault to a section for each key that it lacks.
func requireKeys(s *strictyaml.Section, keys ...string) {
	for _, key := range keys {
		if !s.Has(key) {
			s.AddFault("", "lacks %s", key)
		}
	}
}

// parseAttempts parses the pick policy, the admission mode, and the settings of attempts, ejection and retries.
func (c *Config) parseAttempts(top *strictyaml.Section) {
	strictyaml.Choice(top, "pick", &c.Dispatch.Pick, pickPolicyWords)
	strictyaml.Choice(top, "admission", &c.Dispatch.Admission, admissionModeWords)
	s := top.Section("tries")
	if s == nil {
		return
	}
	strictyaml.Choice(s, "usual", &c.Dispatch.DefaultRetry, retryPolicyWords)
	s.Number("factor", &c.Dispatch.AttemptTimeoutFactor, 0.1, 100)
	s.Integer("strikes", &c.Dispatch.MaxConsecutiveFailures, 0, 1000)
	s.Duration("shun", &c.Dispatch.EjectionTime, time.Millisecond, time.Hour)
	s.Number("repeat_share", &c.Dispatch.RetryBudgetRatio, 0, 1)
	s.Number("repeat_burst", &c.Dispatch.RetryBudgetBurst, 0, 1e6)
	c.parseNotExecutedStatuses(s)
	s.Done()
}

// parseNotExecutedStatuses parses the statuses by which replicas report that they have not executed a request.
func (c *Config) parseNotExecutedStatuses(s *strictyaml.Section) {
	const key = "never_ran_statuses"
	var words []string
	s.Words(key, &words)
	for _, word := range words {
		var status int
		_, err := fmt.Sscanf(word, "%d", &status)
		if err != nil || status < http.StatusInternalServerError || status > 599 {
			s.AddFault(key, "has %.20q, want statuses from 500 to 599", word)
		}
		c.NotExecutedStatuses = append(c.NotExecutedStatuses, status)
	}
}

// parseLimits parses the limits of requests, connections and memory.
func (c *Config) parseLimits(top *strictyaml.Section) {
	s := top.Section("limits")
	if s == nil {
		return
	}
	s.Integer("flows", &c.Dispatch.MaxRequests, 1, 1<<20)
	s.Integer("waiting", &c.Dispatch.MaxQueuedRequests, 0, 1<<20)
	s.Duration("wait", &c.Dispatch.MaxQueueTime, 0, time.Minute)
	s.Integer("replica_connections", &c.Upstream.MaxConnections, 1, 1<<16)
	s.Integer("replica_idle", &c.Upstream.MaxIdle, 0, 1<<16)
	s.Duration("replica_idle_time", &c.Upstream.IdleTimeout, time.Millisecond, time.Hour)
	s.Duration("replica_stall", &c.Upstream.StallTimeout, time.Millisecond, time.Hour)
	s.Integer("connections", &c.Ingress.MaxConnections, 1, 1<<20)
	s.Integer("streams", &c.Ingress.MaxStreams, 1, 1<<16)
	s.Duration("idle", &c.Ingress.IdleTimeout, time.Millisecond, 24*time.Hour)
	s.Duration("head", &c.Ingress.HeadTimeout, time.Millisecond, time.Hour)
	s.Duration("stall", &c.Ingress.StallTimeout, time.Millisecond, time.Hour)
	s.Duration("drain", &c.Ingress.DrainTimeout, 0, time.Hour)
	s.Integer("memory_mb", &c.MemoryMB, 0, 1<<20)
	s.Done()
}

// parseReports parses how often requests are logged and outcomes are reported.
func (c *Config) parseReports(top *strictyaml.Section) {
	if s := top.Section("log"); s != nil {
		s.Integer("every", &c.LogEvery, 0, 1<<30)
		s.Done()
	}
	top.Duration("report_every", &c.ReportInterval, 100*time.Millisecond, time.Minute)
}
