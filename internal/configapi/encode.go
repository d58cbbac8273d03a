package configapi

import (
	"encoding/json"
	"io"
	"strconv"

	"lilacbend/internal/revision"
)

// WriteTo writes an answer as JSON, the same as package encoding/json does, though without reading the settings again: they
// are JSON in its shortest form already, and most of an answer.
func (a Answer) WriteTo(w io.Writer) (written int64, err error) {
	c := &countingWriter{w: w}
	head := append(appendVersion([]byte{'{'}, a.Version), `,"complete":`...)
	head = strconv.AppendBool(head, a.Complete)
	head = append(head, `,"age_ms":`...)
	head = strconv.AppendInt(head, a.AgeMS, 10)
	head = append(head, `,"services":[`...)
	c.write(head)
	for k, s := range a.Services {
		if k > 0 {
			c.write([]byte{','})
		}
		c.service(s)
	}
	c.write([]byte(`]}`))
	return c.written, c.err
}

// countingWriter writes until the first error.
type countingWriter struct {
	w       io.Writer
	written int64
	err     error
}

func (c *countingWriter) write(b []byte) {
	if c.err != nil {
		return
	}
	var n int
	n, c.err = c.w.Write(b)
	c.written += int64(n)
}

func (c *countingWriter) service(s Service) {
	name, err := json.Marshal(s.Name)
	if err != nil && c.err == nil {
		c.err = err
	}
	head := append([]byte(`{"name":`), name...)
	head = appendVersion(append(head, ','), s.Version)
	if len(s.Settings) > 0 {
		head = append(head, `,"settings":`...)
	}
	c.write(head)
	c.write(s.Settings)
	if s.Removed {
		c.write([]byte(`,"removed":true`))
	}
	c.write([]byte{'}'})
}

func appendVersion(b []byte, v revision.Version) []byte {
	b = append(b, `"epoch":`...)
	b = strconv.AppendUint(b, v.Epoch, 10)
	b = append(b, `,"revision":`...)
	return strconv.AppendUint(b, v.Revision, 10)
}
