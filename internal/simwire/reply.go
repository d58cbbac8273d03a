package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"lilacbend/control"
)

// Codes of the records that are sent to the simulator. The comment at a code is its name in the simulator's protocol, where
// that differs from the name of the constant.
const (
	codeSetEjected   = 1000 // Withdraw
	codeSetEndpoint  = 1010 // SetLine
	codeRequestAck   = 1020 // Barrier
	codeSetAdmission = 1030 // Valve
	codeLog          = 1050 // Emit
	codeSetTimer     = 1060 // NotifyMe
	codeHealthCheck  = 1090
	codeBind         = 1100 // Pin
	codeFault        = 1110
)

// Reply collects the commands of all instances for one batch.
type Reply struct{ raw []byte }

// begin appends the header of a record and its instance, and returns the record's position. The header's size is set by end.
func (r *Reply) begin(code uint16, instance uint32) int {
	position := len(r.raw)
	r.raw = binary.LittleEndian.AppendUint16(r.raw, code)
	r.raw = binary.LittleEndian.AppendUint32(r.raw, 0)
	r.raw = binary.LittleEndian.AppendUint32(r.raw, instance)
	return position
}

// end sets the size in the header of the record at position, which must be the last record.
func (r *Reply) end(position int) {
	size := len(r.raw) - position - recordHeaderSize
	binary.LittleEndian.PutUint32(r.raw[position+recordSizeOffset:], uint32(size))
}

func (r *Reply) uint8(value uint8)     { r.raw = append(r.raw, value) }
func (r *Reply) uint16(value int)      { r.raw = binary.LittleEndian.AppendUint16(r.raw, uint16(value)) }
func (r *Reply) uint32(value uint32)   { r.raw = binary.LittleEndian.AppendUint32(r.raw, value) }
func (r *Reply) uint64(value uint64)   { r.raw = binary.LittleEndian.AppendUint64(r.raw, value) }
func (r *Reply) float32(value float64) { r.uint32(math.Float32bits(float32(value))) }

func (r *Reply) milliseconds(nanos int64) {
	r.uint64(math.Float64bits(float64(nanos) / control.NanosPerMilli))
}

func (r *Reply) bool(value bool) {
	if value {
		r.uint8(1)
	} else {
		r.uint8(0)
	}
}

// text appends the size of a string and the string, which is cut off at the largest size.
func (r *Reply) text(text string) {
	if len(text) > math.MaxUint16 {
		text = text[:math.MaxUint16]
	}
	r.uint16(len(text))
	r.raw = append(r.raw, text...)
}

// Add appends one command of an instance. It panics if the simulator's protocol has no record for the command, which is an
// error of the decision module.
func (r *Reply) Add(instance uint32, command control.Command) {
	code := commandCode(command)
	position := r.begin(code, instance)
	r.addFields(command)
	r.end(position)
}

func commandCode(command control.Command) uint16 {
	switch command.(type) {
	case control.SetEndpoint:
		return codeSetEndpoint
	case control.Bind:
		return codeBind
	case control.SetEjected:
		return codeSetEjected
	case control.SetAdmission:
		return codeSetAdmission
	case control.RequestAck:
		return codeRequestAck
	case control.HealthCheck:
		return codeHealthCheck
	case control.SetTimer:
		return codeSetTimer
	case control.Log:
		return codeLog
	}
	panic(fmt.Sprintf("no record for order %T", command))
}

// addFields appends the fields of a command that has a code.
func (r *Reply) addFields(command control.Command) {
	switch c := command.(type) {
	case control.SetEndpoint:
		r.float32(c.Weight)
		r.uint16(c.Table)
		r.uint32(c.Replica)
	case control.Bind:
		r.uint16(c.Proxy)
		r.uint16(c.Table)
		r.uint16(0)
	case control.SetEjected:
		r.bool(c.Ejected)
		r.uint32(c.Replica)
	case control.SetAdmission:
		r.uint16(c.Table)
		r.uint16(1 << c.Class)
		r.float32(c.Fraction)
		r.uint8(uint8(c.Retries))
	case control.RequestAck:
		r.bool(false)
		r.uint64(c.Nonce)
	case control.HealthCheck:
		r.uint32(c.Replica)
	case control.SetTimer:
		r.uint64(c.Timer)
		r.milliseconds(c.After)
	case control.Log:
		r.text(c.Text)
	}
}

// Fault appends a record that reports that an instance has failed, and the reason.
func (r *Reply) Fault(instance uint32, reason string) {
	position := r.begin(codeFault, instance)
	r.text(reason)
	r.end(position)
}

// Frame returns the frame of the collected records, and empties the reply.
func (r *Reply) Frame() []byte {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(r.raw)+replyHeaderSize))
	frame = append(frame, r.raw...)
	r.raw = r.raw[:0]
	return frame
}
