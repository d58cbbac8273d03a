package controller

import (
	"time"

	"lilacbend/internal/ratelimit"
)

const (
	// rateMargin is how many times as many messages as its reports need a peer may send.
	rateMargin = 1.5
	// burstTime is the time whose messages may arrive at once: a stall of the peer or of the controller, and some reserve.
	burstTime = 4 * time.Second
	// minBurst is the smallest number of messages that may arrive at once.
	minBurst = 1000.0
	// otherMessagesPerSecond is for acks, health checks and messages of later protocol versions.
	otherMessagesPerSecond = 50.0
	// reportedReplicas is the number of replicas that a collector may report in each interval. No installation reaches it.
	reportedReplicas = 1 << 14
	// minReportInterval is the shortest report interval for which the rates allow. Sidecars and collectors may report once in
	// maxReportInterval even where the settings have a longer interval.
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = time.Second
)

// UnidentifiedRate is the rate of messages of a peer that has not joined.
var UnidentifiedRate = ratelimit.Rate{PerSecond: otherMessagesPerSecond, Burst: minBurst}

// ProxyRate returns the rate of messages that a proxy may send: a report of each traffic class in each interval, and others.
func (t Topology) ProxyRate() ratelimit.Rate { return t.reportRate(len(t.names.Classes)) }

// CollectorRate returns the rate of messages that a collector may send, except reports of demand.
func (t Topology) CollectorRate() ratelimit.Rate { return t.reportRate(reportedReplicas) }

// CollectorDemandRate returns the rate at which a collector may report demand: that of each proxy and traffic class in each
// interval. Reports of demand have a rate of their own, as each is held for some seconds.
func (t Topology) CollectorDemandRate() ratelimit.Rate {
	return t.reportRate(t.proxies * len(t.names.Classes))
}

// reportRate returns the rate for a number of reports in each interval.
func (t Topology) reportRate(reports int) ratelimit.Rate {
	interval := min(max(time.Duration(t.reportInterval), minReportInterval), maxReportInterval)
	perSecond := rateMargin*float64(reports)/interval.Seconds() + otherMessagesPerSecond
	return ratelimit.Rate{PerSecond: perSecond, Burst: max(minBurst, perSecond*burstTime.Seconds())}
}
