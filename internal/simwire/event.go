package simwire

import (
	"fmt"

	"lilacbend/control"
)

// Event is the content of a received record: Configure, Killed or Input.
type Event interface{ event() }

// Configure starts an instance.
type Configure struct {
	Seed uint64
	Text string // the settings, in the form that settings.ParseLines reads
}

// Killed ends an instance.
type Killed struct{}

// Input is an event for the decision module of a running instance.
type Input struct{ control.Event }

func (Configure) event() {}
func (Killed) event()    {}
func (Input) event()     {}

// Codes of the records that the simulator sends. The comment at a code is its name in the simulator's protocol, where that
// differs from the name of the constant.
const (
	codeStreamClosed        = 1000 // StreamDown
	codeStreamOpened        = 1010 // Connected
	codeKilled              = 1020
	codeRecorded            = 1030
	codeDemand              = 1040
	codeOutcomes            = 1050 // TrafficReport
	codeActivity            = 1060
	codeAck                 = 1070 // CaughtUp
	codeGossip              = 1080 // Whisper
	codeHealthCheckFinished = 1090 // StatusBack
	codeTimerFired          = 1100 // Reminder
	codeConfigure           = 1110
	codeReplicasListed      = 1120 // BackendsChanged
	codeGiven               = 1130
)

// recordFormat is the format of a record's fields.
type recordFormat struct {
	minSize int // smallest size of the fields in bytes, including the instance's number
	decode  func(*fieldReader) (Event, error)
}

// recordFormats are the formats of the known codes. Records of a code without decode are only checked for their size.
var recordFormats = map[uint16]recordFormat{
	codeStreamClosed:        {minSize: 6, decode: decodeStreamClosed},
	codeStreamOpened:        {minSize: 12, decode: decodeStreamOpened},
	codeKilled:              {minSize: 4, decode: decodeKilled},
	codeRecorded:            {minSize: 14},
	codeDemand:              {minSize: 24, decode: decodeDemand},
	codeOutcomes:            {minSize: 34, decode: decodeOutcomes},
	codeActivity:            {minSize: 24},
	codeAck:                 {minSize: 22, decode: decodeAck},
	codeGossip:              {minSize: 10},
	codeHealthCheckFinished: {minSize: 19, decode: decodeHealthCheckFinished},
	codeTimerFired:          {minSize: 12, decode: decodeTimerFired},
	codeConfigure:           {minSize: 16, decode: decodeConfigure},
	codeReplicasListed:      {minSize: 17, decode: decodeReplicasListed},
	codeGiven:               {minSize: 7},
}

// decodeRecord decodes a record of the given code. The record's event is nil if the record must be skipped.
func decodeRecord(code uint16, raw []byte) (Record, error) {
	format, known := recordFormats[code]
	if !known {
		return Record{}, nil
	}
	if len(raw) < format.minSize {
		return Record{}, fmt.Errorf("%d bytes of fields where %d are needed", len(raw), format.minSize)
	}
	fields := &fieldReader{rest: raw}
	record := Record{Instance: fields.uint32()}
	if format.decode == nil {
		return record, nil
	}
	event, err := format.decode(fields)
	if err != nil {
		return record, err
	}
	record.Event = event
	return record, nil
}

func decodeKilled(*fieldReader) (Event, error) { return Killed{}, nil }

func decodeConfigure(fields *fieldReader) (Event, error) {
	seed := fields.uint64()
	size := uint64(fields.uint32())
	if size > uint64(len(fields.rest)) {
		return nil, fmt.Errorf("settings of %d bytes pass the record's end", size)
	}
	return Configure{Seed: seed, Text: string(fields.rest[:size])}, nil
}

func decodeStreamClosed(fields *fieldReader) (Event, error) {
	return Input{control.StreamClosed{Proxy: int(fields.uint16())}}, nil
}

func decodeStreamOpened(fields *fieldReader) (Event, error) {
	var opened control.StreamOpened
	opened.Proxy = int(fields.uint16())
	opened.Zone = int(fields.uint8())
	opened.ForecastRate = fields.float32()
	return Input{opened}, nil
}

func decodeOutcomes(fields *fieldReader) (Event, error) {
	var outcomes control.OutcomeReport
	outcomes.Failures = int(fields.uint32())
	outcomes.ResponseTime = fields.milliseconds()
	outcomes.Attempts = int(fields.uint32())
	outcomes.Replica = fields.uint32()
	outcomes.Zone = int(fields.uint8())
	outcomes.Period = fields.milliseconds()
	inFlight, err := decodeLoadReport(fields)
	if err != nil {
		return nil, err
	}
	outcomes.InFlight = inFlight
	return Input{outcomes}, nil
}

func decodeDemand(fields *fieldReader) (Event, error) {
	var demand control.DemandReport
	demand.Period = fields.milliseconds()
	demand.Class = int(fields.uint16())
	demand.Proxy = int(fields.uint16())
	demand.Requests = int(fields.uint32())
	demand.Failures = int(fields.uint32())
	return Input{demand}, nil
}

func decodeAck(fields *fieldReader) (Event, error) {
	var ack control.Ack
	ack.ApplyTime = fields.milliseconds()
	ack.Proxy = int(fields.uint16())
	ack.Nonce = fields.uint64()
	return Input{ack}, nil
}

func decodeTimerFired(fields *fieldReader) (Event, error) {
	return Input{control.TimerFired{Timer: fields.uint64()}}, nil
}

// healthCheckOK is the result code of a health check that succeeded.
const healthCheckOK = 1

func decodeHealthCheckFinished(fields *fieldReader) (Event, error) {
	var finished control.HealthCheckFinished
	finished.Replica = fields.uint32()
	finished.Succeeded = fields.uint16() == healthCheckOK
	finished.Delay = fields.milliseconds()
	_, err := decodeLoadReport(fields)
	if err != nil {
		return nil, err
	}
	return Input{finished}, nil
}

// inFlightUnknown is the number of requests in flight if there is no load report.
const inFlightUnknown = -1

// decodeLoadReport returns the first value of a load report, which is the number of requests in flight.
func decodeLoadReport(fields *fieldReader) (float64, error) {
	const valueSize = 4
	count := int(fields.uint8())
	if count*valueSize > len(fields.rest) {
		return inFlightUnknown, fmt.Errorf("load report of %d values passes the record's end", count)
	}
	if count == 0 {
		return inFlightUnknown, nil
	}
	return fields.float32(), nil
}

// Modes of a list of replicas that are handled specially: a list of mode listChanges has only the replicas that changed, and
// a list of mode listFailed is marked as failed. A list of any mode other than listChanges is complete.
const (
	listFailed  = 0
	listChanges = 3
)

func decodeReplicasListed(fields *fieldReader) (Event, error) {
	const entrySize = 21
	fields.uint64() // the list's version, which is not needed: events arrive in order and none is missing
	mode := fields.uint8()
	count := uint64(fields.uint32())
	if count*entrySize > uint64(len(fields.rest)) {
		return nil, fmt.Errorf("%d list entries pass the record's end", count)
	}
	listed := control.ReplicasListed{Full: mode != listChanges, Failed: mode == listFailed}
	for range count {
		listed.Entries = append(listed.Entries, decodeReplica(fields))
	}
	return Input{listed}, nil
}

func decodeReplica(fields *fieldReader) control.ListedReplica {
	var replica control.ListedReplica
	replica.Replica = fields.uint32()
	replica.Zone = int(fields.uint8())
	replica.HardwareClass = int(fields.uint8())
	fields.uint16() // the replica's cell, which is not needed
	replica.State = replicaState(fields.uint8())
	replica.Weight = fields.float32()
	replica.StartedAt = fields.milliseconds()
	return replica
}

// Phases of a replica. In every other phase the replica is gone.
const (
	phaseReady    = 0
	phaseDraining = 2
)

func replicaState(phase uint8) control.State {
	switch phase {
	case phaseReady:
		return control.Ready
	case phaseDraining:
		return control.Draining
	}
	return control.Gone
}
