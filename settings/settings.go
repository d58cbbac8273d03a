package settings

import (
	"fmt"
	"math"

	"lilacbend/control"
)

// minMessages is the number of messages of the smallest table that the channel limit must allow: one, and one more as room
// for commands that cannot wait.
const minMessages = 2

// The values of the settings, and the constants of package control that they select.
var (
	pickPolicies = map[string]control.PickPolicy{
		"random": control.PickRandom,
		"rotate": control.PickRoundRobin,
		"p2c":    control.PickPowerOfTwo,
	}
	admissionModes = map[string]control.AdmissionMode{
		"silent":     control.AdmitAll,
		"fraction":   control.AdmitFraction,
		"per_second": control.AdmitRate,
	}
	idempotencies = map[string]control.Idempotency{
		"read_like":       control.Idempotent,
		"idempotency_key": control.IdempotentByKey,
		"non_idempotent":  control.NotIdempotent,
	}
	deduplicationScopes = map[string]control.DeduplicationScope{
		"all":  control.ScopeAll,
		"zone": control.ScopeZone,
		"cell": control.ScopeCell,
	}
)

// Names are the names of traffic classes, zones and hardware classes. The decision module identifies each name by its index
// in these lists.
type Names struct {
	Classes         []string
	Zones           []string
	HardwareClasses []string
}

// Names decodes the names. Zones and hardware classes may be missing. The error names the first setting that is missing or
// invalid.
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

// Decode decodes the settings of the decision module and sets their seed. Unknown paths are ignored. The error names the
// first setting that is missing or invalid.
func (v Values) Decode(seed uint64) (control.Settings, error) {
	d := &decoder{values: v}
	decoded := control.Settings{Seed: seed}
	d.decodeFleet(&decoded)
	d.decodeChannel(&decoded)
	d.decodeReplicas(&decoded)
	d.decodeProxies(&decoded)
	d.rejectShards()
	decoded.Classes = d.trafficClasses()
	d.checkChannelLimit(decoded)
	if d.err != nil {
		return control.Settings{}, d.err
	}
	return decoded, nil
}

// decodeFleet decodes the numbers of controllers, zones, hardware classes and proxies.
func (d *decoder) decodeFleet(decoded *control.Settings) {
	decoded.Controllers = d.count("balancers")
	decoded.Zones = len(d.values["zones"])
	decoded.HardwareClasses = len(d.values["kinds"])
	decoded.Proxies = d.count("domain.proxy_count")
}

// decodeChannel decodes the limits of the channel to the proxies.
func (d *decoder) decodeChannel(decoded *control.Settings) {
	decoded.ChannelRate = d.positive("domain.push_rate")
	decoded.ChannelLimit = d.costUnits("domain.pending_max", math.Floor)
	decoded.MessageOverhead = d.costUnits("domain.envelope", math.Ceil)
	decoded.MaxTransit = d.nanos("domain.worst_transit_ms")
	decoded.MaxMessages = d.count("domain.pushes_allowed")
	decoded.MessageWindow = d.nanos("domain.reload_span_ms")
	decoded.ReportInterval = d.positiveNanos("domain.cycle_ms")
}

// decodeReplicas decodes the rules for draining replicas and for slow start. The settings of a deployment without such a
// rule lack its values. The fallbacks for slow start describe the least capable replica: it starts with no capacity and
// fails as soon as its load exceeds its capacity. They have no effect in a deployment without slow start.
func (d *decoder) decodeReplicas(decoded *control.Settings) {
	decoded.DrainGrace = optional(d, "invariants.drain_grace_ms", d.nanos, 0)
	decoded.SlowStartFraction = optional(d, "invariants.cold_from", d.fraction, 0)
	decoded.SlowStartTime = optional(d, "invariants.warm_after_ms", d.nanos, 0)
	decoded.OverloadMultiple = optional(d, "invariants.tip_multiple", d.positive, 1)
}

// decodeProxies decodes how proxies pick replicas, admit requests and retry.
func (d *decoder) decodeProxies(decoded *control.Settings) {
	decoded.Pick = choice(d, "domain.pick", pickPolicies)
	decoded.Admission = choice(d, "domain.admit", admissionModes)
	decoded.AttemptTimeoutFactor = d.number("domain.try_factor")
	decoded.DefaultRetries = control.RetryPolicy(d.count("domain.usual_how"))
	if decoded.DefaultRetries > control.RetryTwice {
		d.fail("domain.usual_how", "=%d is not a retry policy", decoded.DefaultRetries)
	}
}

// rejectShards rejects deployments whose replicas hold shards of the data.
func (d *decoder) rejectShards() {
	if shards := optional(d, "domain.shards", d.number, 0); shards != 0 {
		d.fail("domain.shards", "=%v: replicas with shards are not supported", shards)
	}
}

// classPath returns the path prefix of the settings of a traffic class.
func classPath(index int) string { return fmt.Sprintf("lanes.%d.", index) }

// trafficClasses decodes all traffic classes, of which there must be at least one.
func (d *decoder) trafficClasses() []control.TrafficClass {
	d.positive("lanes.count")
	count := d.count("lanes.count")
	var classes []control.TrafficClass
	for k := 0; k < count && d.err == nil; k++ {
		classes = append(classes, d.trafficClass(classPath(k)))
	}
	return classes
}

// trafficClass decodes the traffic class whose settings have a path prefix.
func (d *decoder) trafficClass(path string) control.TrafficClass {
	class := control.TrafficClass{
		PriorityWeight:   d.number(path + "gain"),
		LatencyObjective: d.positiveNanos(path + "slo_ms"),
		Timeout:          d.positiveNanos(path + "deadline_ms"),
		Idempotency:      choice(d, path+"effect", idempotencies),
	}
	if class.Idempotency == control.IdempotentByKey {
		class.DeduplicationWindow = d.nanos(path + "window_ms")
		class.DeduplicationScope = choice(d, path+"group", deduplicationScopes)
	}
	return class
}

// checkChannelLimit rejects a channel limit below the cost of minMessages messages of the smallest table: the controller
// could not keep a channel with such a limit within it.
func (d *decoder) checkChannelLimit(decoded control.Settings) {
	minimum := minMessages * smallestTableCost(decoded.MessageOverhead, len(decoded.Classes))
	if decoded.ChannelLimit < minimum {
		d.fail("domain.pending_max", "=%d is too small for %d messages of the smallest table, which take %d cost units",
			decoded.ChannelLimit, minMessages, minimum)
	}
}

// smallestTableCost returns the cost of a message of the smallest table in cost units: the message overhead, the mark that
// the table is complete, three replicas that may each be ejected as well, an admission rate for each traffic class, and an
// ack request.
func smallestTableCost(overhead, classes int) int {
	const (
		completeMark = 1
		replicas     = 3
		ejections    = 3
		ackRequest   = 1
	)
	return overhead + completeMark + replicas + ejections + classes + ackRequest
}
