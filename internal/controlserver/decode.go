package controlserver

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacbend/control"
	"lilacbend/internal/controller"
)

// inFlightUnknown is the number of requests in flight of a replica whose load report does not contain it.
const inFlightUnknown = -1

// message is one received message. Its methods read fields and record the first fault in err; a value that is read while err
// is set must not be used.
type message struct {
	kind  string
	words []string
	err   error
}

// newMessage returns the message that consists of the words: a type, followed by pairs of name and value.
func newMessage(words []string) *message {
	m := &message{words: words}
	if len(words)%2 == 0 {
		m.failf("%d words", len(words))
		return m
	}
	m.kind = words[0]
	return m
}

// fail records err unless it is nil or another fault was recorded before.
func (m *message) fail(err error) {
	if m.err == nil {
		m.err = err
	}
}

func (m *message) failf(format string, args ...any) {
	m.fail(fmt.Errorf(format, args...))
}

// lookup returns the value of a field, and whether the message has the field.
func (m *message) lookup(name string) (string, bool) {
	for k := 1; k+1 < len(m.words); k += 2 {
		if m.words[k] == name {
			return m.words[k+1], true
		}
	}
	return "", false
}

// text returns the value of a required field.
func (m *message) text(name string) string {
	value, ok := m.lookup(name)
	if !ok {
		m.failf("%s without %s", m.kind, name)
	}
	return value
}

// number returns the value of a required field, which must be finite and not negative.
func (m *message) number(name string) float64 {
	value := m.text(name)
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		m.failf("%s with %s %.40q", m.kind, name, value)
		return 0
	}
	return number
}

// optionalNumber returns the value of a field, or 0 if the message does not have it.
func (m *message) optionalNumber(name string) float64 {
	if _, ok := m.lookup(name); !ok {
		return 0
	}
	return m.number(name)
}

// integer returns the value of a required field, which must be an integer of at most 31 bits.
func (m *message) integer(name string) int {
	number := m.number(name)
	if number != math.Trunc(number) || number > math.MaxInt32 {
		m.failf("%s with %s %v", m.kind, name, number)
		return 0
	}
	return int(number)
}

// milliseconds reads a required field whose unit is milliseconds, and returns its value in nanoseconds.
func (m *message) milliseconds(name string) int64 { return control.MillisToNanos(m.number(name)) }

// zone returns the peer's zone. The field is optional, as a deployment may have no zones; the topology checks the zone.
func (m *message) zone() string {
	zone, _ := m.lookup(fieldZone)
	return zone
}

func decodeProxyJoin(m *message) controller.StreamOpened {
	withoutTable, _ := m.lookup(fieldWithoutTable)
	return controller.StreamOpened{
		Proxy:        m.integer(fieldProxy),
		Zone:         m.zone(),
		RequestRate:  m.optionalNumber(fieldRate),
		WithoutTable: withoutTable == flagSet,
	}
}

func decodeAck(m *message) controller.Ack {
	return controller.Ack{
		Nonce: uint64(m.integer(fieldAckNonce)),
		Delay: control.MillisToNanos(m.optionalNumber(fieldDelay)),
	}
}

func decodeOutcomes(m *message) controller.OutcomeReport {
	outcomes := controller.OutcomeReport{Zone: m.zone(), Replica: m.text(fieldReplica)}
	outcomes.Attempts = m.integer(fieldCount)
	outcomes.Failures = m.integer(fieldFailures)
	outcomes.ResponseTime = m.milliseconds(fieldResponseTime)
	outcomes.Period = m.milliseconds(fieldPeriod)
	report, _ := m.lookup(fieldLoad)
	outcomes.InFlight = decodeInFlight(report)
	return outcomes
}

// decodeInFlight returns the number of requests in flight of a load report, which is a list of name:value pairs separated by
// commas; the first pair has that number. A report that cannot be decoded is treated as a missing one.
func decodeInFlight(report string) float64 {
	first, _, _ := strings.Cut(report, ",")
	_, value, _ := strings.Cut(first, ":")
	inFlight, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return inFlightUnknown
	}
	return control.FiniteOrZero(inFlight)
}

func decodeDemand(m *message) controller.Demand {
	demand := controller.Demand{Class: m.text(fieldClass)}
	demand.Proxy = m.integer(fieldProxy)
	demand.Requests = m.integer(fieldCount)
	demand.Failures = m.integer(fieldFailures)
	demand.Period = m.milliseconds(fieldPeriod)
	return demand
}
