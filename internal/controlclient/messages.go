package controlclient

import (
	"strconv"
	"time"

	"lilacbend/internal/dispatch"
	"lilacbend/internal/loadreport"
)

// First words of the protocol's messages. Pairs of keys and values follow.
const (
	wordHello             = "hello"    // a sidecar joins a controller
	wordUpdate            = "push"     // one part of a controller's update
	wordAck               = "ack"      // a sidecar has applied an update
	wordDemand            = "demand"   // a sidecar reports the requests of a traffic class
	wordProbe             = "probe"    // requests wordAlive as an answer
	wordAlive             = "alive"    // answers a probe: all earlier messages have been read
	wordError             = "error"    // a controller refuses its peer
	wordSidecarOutcomes   = "met"      // a sidecar reports outcomes to a collector
	wordCollector         = "agent"    // a collector joins a controller
	wordCollectorOutcomes = "outcomes" // a collector reports outcomes to a controller
)

// Keys of all messages except updates.
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

// Keys of updates.
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

// helloMessage introduces a proxy to a controller.
func (c *Client) helloMessage() []string {
	return []string{wordHello, keyProxyID, strconv.Itoa(c.ProxyID), keyZone, c.Zone, keyRate, formatNumber(c.Rate),
		keyNoTables, formatFlag(!c.Dispatcher.HasTables())}
}

// ackMessage acknowledges an update, with the time that the dispatcher took to apply it.
func (c *Client) ackMessage(nonce uint64, took time.Duration) []string {
	return []string{wordAck, keyProxyID, strconv.Itoa(c.ProxyID), keyNonce, strconv.FormatUint(nonce, 10),
		keyMillis, formatNumber(milliseconds(took))}
}

// demandMessage reports the demand of a traffic class over a period.
func (c *Client) demandMessage(class string, demand dispatch.Demand, period time.Duration) []string {
	return []string{wordDemand, keyProxyID, strconv.Itoa(c.ProxyID), keyClass, class, keyCount, strconv.Itoa(demand.Requests),
		keyFailures, strconv.Itoa(demand.Failures), keyPeriod, formatNumber(milliseconds(period))}
}

// sidecarOutcomesMessage reports the outcomes of a sidecar's attempts at one replica.
func sidecarOutcomesMessage(replica string, outcomes *dispatch.OutcomeSum) []string {
	mean := 0.0
	if succeeded := outcomes.Attempts - outcomes.Failures; succeeded > 0 {
		mean = float64(outcomes.ResponseTime) / float64(succeeded) / float64(time.Millisecond)
	}
	return []string{wordSidecarOutcomes, keyReplica, replica, keyCount, strconv.Itoa(outcomes.Attempts),
		keyFailures, strconv.Itoa(outcomes.Failures), keyMeanMillis, formatNumber(mean)}
}

// collectorMessage introduces a collector and its zone to a controller.
func (c *Collector) collectorMessage() []string { return []string{wordCollector, keyZone, c.Zone} }

// outcomesMessage reports the outcomes of a zone's attempts at one replica.
func (c *Collector) outcomesMessage(report loadreport.Report) []string {
	return []string{wordCollectorOutcomes, keyZone, c.Zone, keyReplica, report.Key, keyCount, strconv.Itoa(report.Sum.Attempts),
		keyFailures, strconv.Itoa(report.Sum.Failures), keyMeanMillis, formatNumber(report.Sum.MeanMillis()),
		keyPeriod, formatNumber(milliseconds(report.Period))}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func formatFlag(v bool) string {
	if v {
		return "1"
	}
	return "0"
}
