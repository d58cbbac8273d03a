package settings

import (
	"fmt"
	"math"

	"lilacbend/control"
)

// minMessages is how many messages of the smallest table a channel has to hold: one, and room for what cannot wait.
const minMessages = 2

// The words of the settings for the constants of package control.
var (
	picks = map[string]control.PickPolicy{
		"random": control.PickRandom,
		"rotate": control.PickRoundRobin,
		"p2c":    control.PickPowerOfTwo,
	}
	admissions = map[string]control.AdmissionMode{
		"silent":     control.AdmitAll,
		"fraction":   control.AdmitFraction,
		"per_second": control.AdmitRate,
	}
	effects = map[string]control.Idempotency{
		"read_like":       control.Idempotent,
		"idempotency_key": control.IdempotentByKey,
		"non_idempotent":  control.NotIdempotent,
	}
	scopes = map[string]control.DeduplicationScope{
		"all":  control.ScopeAll,
		"zone": control.ScopeZone,
		"cell": control.ScopeCell,
	}
)

// Names are the names of traffic classes, zones and hardware classes. The decision module knows each by its index here.
type Names struct {
	Classes         []string
	Zones           []string
	HardwareClasses []string
}

// Names decodes the names. There may be neither zones nor hardware classes. The error names the first setting that is wrong.
func (v Values) Names() (Names, error) {
	d := &decoder{values: v}
	names := Names{Zones: v["zones"], HardwareClasses: v["kinds"]}
	d.checkNames("zones", names.Zones, "")
	count := d.count("lanes.count")
	for k := 0; k < count && d.err == nil; k++ {
		names.Classes = append(names.Classes, d.text(classPath(k)+"name"))
	}
	d.checkNames("lanes.name", names.Classes, "+")
	return names, d.err
}

// Decode decodes what the decision module needs; seed becomes part of it. Paths that it does not know are ignored. The error
// names the first setting that is missing or out of its range.
func (v Values) Decode(seed uint64) (control.Settings, error) {
	d := &decoder{values: v}
	decoded := control.Settings{Seed: seed}
	d.decodeFleet(&decoded)
	d.decodeChannel(&decoded)
	d.decodeReplicas(&decoded)
	d.decodeProxies(&decoded)
	d.refuseShards()
	decoded.Classes = d.trafficClasses()
	d.checkChannelLimit(decoded)
	if d.err != nil {
		return control.Settings{}, d.err
	}
	return decoded, nil
}

// decodeFleet decodes how many there are of each role.
func (d *decoder) decodeFleet(to *control.Settings) {
	to.Controllers = d.count("balancers")
	to.Zones = len(d.values["zones"])
	to.HardwareClasses = len(d.values["kinds"])
	to.Proxies = d.count("domain.proxy_count")
}

// decodeChannel decodes the limits of the channel to the proxies.
func (d *decoder) decodeChannel(to *control.Settings) {
	to.ChannelRate = d.positive("domain.push_rate")
	to.ChannelLimit = d.lines("domain.pending_max", math.Floor)
	to.MessageOverhead = d.lines("domain.envelope", math.Ceil)
	to.MaxTransit = d.nanos("domain.worst_transit_ms")
	to.MaxMessages = d.count("domain.pushes_allowed")
	to.MessageWindow = d.nanos("domain.reload_span_ms")
	to.ReportInterval = d.positiveNanos("domain.cycle_ms")
}

// decodeReplicas decodes the rules for draining replicas and for slow start. A deployment without such a rule does not state its
// figures. A replica whose slow start is not described is taken for the least capable: it starts with no capacity and fails
// as soon as it gets more than its capacity. Where no replica starts slowly, those figures have no effect.
func (d *decoder) decodeReplicas(to *control.Settings) {
	to.DrainGrace = optional(d, "invariants.drain_grace_ms", d.nanos, 0)
	to.SlowStartFraction = optional(d, "invariants.cold_from", d.fraction, 0)
	to.SlowStartTime = optional(d, "invariants.warm_after_ms", d.nanos, 0)
	to.OverloadMultiple = optional(d, "invariants.tip_multiple", d.positive, 1)
}

// decodeProxies decodes how proxies pick replicas, admit requests and retry.
func (d *decoder) decodeProxies(to *control.Settings) {
	to.Pick = choice(d, "domain.pick", picks)
	to.Admission = choice(d, "domain.admit", admissions)
	to.AttemptTimeoutFactor = d.number("domain.try_factor")
	to.DefaultRetries = control.RetryPolicy(d.count("domain.usual_how"))
	if to.DefaultRetries > control.RetryTwice {
		d.fail("setting domain.usual_how=%d is not a retry policy", to.DefaultRetries)
	}
}

// refuseShards refuses sites whose replicas hold shards of the data.
func (d *decoder) refuseShards() {
	if shards := optional(d, "domain.shards", d.number, 0); shards != 0 {
		d.fail("setting domain.shards=%v: sites with shards are not supported", shards)
	}
}

// classPath is the path that the settings of a traffic class begin with.
func classPath(index int) string { return fmt.Sprintf("lanes.%d.", index) }

// trafficClasses decodes all traffic classes; there must be one at least.
func (d *decoder) trafficClasses() []control.TrafficClass {
	d.positive("lanes.count")
	count := d.count("lanes.count")
	var classes []control.TrafficClass
	for k := 0; k < count && d.err == nil; k++ {
		classes = append(classes, d.trafficClass(classPath(k)))
	}
	return classes
}

// trafficClass decodes the traffic class at a path.
func (d *decoder) trafficClass(path string) control.TrafficClass {
	class := control.TrafficClass{
		PriorityWeight:   d.number(path + "gain"),
		LatencyObjective: d.positiveNanos(path + "slo_ms"),
		Timeout:          d.positiveNanos(path + "deadline_ms"),
		Idempotency:      choice(d, path+"effect", effects),
	}
	if class.Idempotency == control.IdempotentByKey {
		class.DeduplicationWindow = d.nanos(path + "window_ms")
		class.DeduplicationScope = choice(d, path+"group", scopes)
	}
	return class
}

// checkChannelLimit refuses a channel that a few messages of the smallest table fill: it could not be kept under its limit.
func (d *decoder) checkChannelLimit(decoded control.Settings) {
	minimum := minMessages * smallestTable(decoded.MessageOverhead, len(decoded.Classes))
	if decoded.ChannelLimit < minimum {
		d.fail("setting domain.pending_max=%d is too small for %d messages of a table, which have %d lines",
			decoded.ChannelLimit, minMessages, minimum)
	}
}

// smallestTable returns the cost of a message of the smallest table in lines: its overhead, that it is full, three replicas that
// may each be ejected as well, an admission rate for each traffic class, and an ack request.
func smallestTable(overhead, classes int) int {
	const (
		full       = 1
		replicas   = 3
		ejected    = 3
		ackRequest = 1
	)
	return overhead + full + replicas + ejected + classes + ackRequest
}
