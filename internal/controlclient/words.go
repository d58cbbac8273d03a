package controlclient

import (
	"strconv"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/loadreport"
)

// The protocol's messages: the first word of each. Keys and values follow in pairs.
const (
	wordHello            = "hello"    // a sidecar joins a controller
	wordUpdate           = "push"     // a part of a controller's update
	wordAck              = "ack"      // a sidecar has applied an update
	wordDemand           = "demand"   // a sidecar reports the requests of a traffic class
	wordProbe            = "probe"    // asks for wordAlive
	wordAlive            = "alive"    // all before the probe has been read
	wordError            = "error"    // a controller refuses its peer
	wordSidecarOutcomes  = "met"      // a sidecar reports outcomes to a collector
	wordCollector        = "agent"    // a collector joins a controller
	wordCollectorOutcome = "outcomes" // a collector reports outcomes to a controller
)

// The keys of messages.
const (
	keyProxyID    = "id"
	keyZone       = "site"
	keyRate       = "rps"
	keyNoTables   = "new"
	keyNonce      = "seq"
	keyMillis     = "ms"
	keyClass      = "lane"
	keyCount      = "count"
	keyFailures   = "fail"
	keyPeriod     = "over"
	keyReplica    = "target"
	keyMeanMillis = "mean"
)

// The keys of an update.
const (
	keyClasses     = "routes"
	keyFull        = "full"
	keyEndpoints   = "endpoints"
	keyAdmission   = "admit"
	keyRetryPolicy = "policy"
	keyEject       = "eject"
	keyUneject     = "restore"
	keyUpdateNonce = "nonce_out"
	keyContinued   = "continued"
)

// helloMessage says who a proxy is.
func (c *Client) helloMessage() []string {
	return []string{wordHello, keyProxyID, strconv.Itoa(c.ID), keyZone, c.Zone, keyRate, formatNumber(c.Rate),
		keyNoTables, formatFlag(!c.Dispatcher.HasTables())}
}

// ackMessage acknowledges an update, with the time that it took to apply.
func (c *Client) ackMessage(nonce uint64, took time.Duration) []string {
	return []string{wordAck, keyProxyID, strconv.Itoa(c.ID), keyNonce, strconv.FormatUint(nonce, 10),
		keyMillis, formatNumber(millis(took))}
}

// demandMessage reports the demand of a traffic class over a period.
func (c *Client) demandMessage(class string, demand dispatch.Demand, period time.Duration) []string {
	return []string{wordDemand, keyProxyID, strconv.Itoa(c.ID), keyClass, class, keyCount, strconv.Itoa(demand.Requests),
		keyFailures, strconv.Itoa(demand.Failures), keyPeriod, formatNumber(millis(period))}
}

// sidecarOutcomesMessage reports a sidecar's outcomes at one replica.
func sidecarOutcomesMessage(replica string, outcomes *dispatch.Outcomes) []string {
	mean := 0.0
	if succeeded := outcomes.Attempts - outcomes.Failures; succeeded > 0 {
		mean = float64(outcomes.ResponseTime) / float64(succeeded) / float64(time.Millisecond)
	}
	return []string{wordSidecarOutcomes, keyReplica, replica, keyCount, strconv.Itoa(outcomes.Attempts),
		keyFailures, strconv.Itoa(outcomes.Failures), keyMeanMillis, formatNumber(mean)}
}

// collectorMessage says which zone a collector reports for.
func (c *Collector) collectorMessage() []string { return []string{wordCollector, keyZone, c.Zone} }

// outcomesMessage reports a zone's outcomes at one replica.
func (c *Collector) outcomesMessage(report loadreport.Report) []string {
	return []string{wordCollectorOutcome, keyZone, c.Zone, keyReplica, report.Key, keyCount, strconv.Itoa(report.Sum.Attempts),
		keyFailures, strconv.Itoa(report.Sum.Failures), keyMeanMillis, formatNumber(report.Sum.MeanMillis()),
		keyPeriod, formatNumber(millis(report.Period))}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func formatFlag(v bool) string {
	if v {
		return "1"
	}
	return "0"
}
