package configapi

import (
	"encoding/json"
	"io"
	"strconv"

	"lilacbend/internal/revision"
)

// WriteTo writes an answer as JSON with the same bytes as encoding/json writes, but without parsing the settings,
// which are compact JSON already and make up most of an answer.
func (a Answer) WriteTo(destination io.Writer) (written int64, err error) {
	writer := &answerWriter{destination: destination}
	head := appendVersion([]byte{'{'}, a.Version)
	head = append(head, `,"complete":`...)
	head = strconv.AppendBool(head, a.Complete)
	head = append(head, `,"age_ms":`...)
	head = strconv.AppendInt(head, a.AgeMS, 10)
	head = append(head, `,"services":[`...)
	writer.write(head)
	for k, service := range a.Services {
		if k > 0 {
			writer.write([]byte{','})
		}
		writer.writeService(service)
	}
	writer.write([]byte(`]}`))
	return writer.written, writer.err
}

// answerWriter writes the parts of an answer until the first error, and counts the bytes.
type answerWriter struct {
	destination io.Writer
	written     int64
	err         error
}

func (w *answerWriter) write(raw []byte) {
	if w.err != nil {
		return
	}
	var n int
	n, w.err = w.destination.Write(raw)
	w.written += int64(n)
}

func (w *answerWriter) writeService(service Service) {
	name, err := json.Marshal(service.Name)
	if err != nil && w.err == nil {
		w.err = err
	}
	head := append([]byte(`{"name":`), name...)
	head = append(head, ',')
	head = appendVersion(head, service.Version)
	if len(service.Settings) > 0 {
		head = append(head, `,"settings":`...)
	}
	w.write(head)
	w.write(service.Settings)
	if service.Removed {
		w.write([]byte(`,"removed":true`))
	}
	w.write([]byte{'}'})
}

func appendVersion(buffer []byte, version revision.Version) []byte {
	buffer = append(buffer, `"epoch":`...)
	buffer = strconv.AppendUint(buffer, version.Epoch, 10)
	buffer = append(buffer, `,"revision":`...)
	return strconv.AppendUint(buffer, version.Revision, 10)
}
