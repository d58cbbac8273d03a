// Package configcache keeps the settings that a governor has in force on its own disk, so that it begins with them after a
// restart though no configuration server can be reached. Encoding and the choice whether a record may be used have no I/O;
// the keeper writes from a goroutine of its own.
package configcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"lilacbend/internal/configstore"
	"lilacbend/internal/revision"
)

const (
	// format is the version of the file's form.
	format = 1
	// headerMax bounds the header of a file, in bytes.
	headerMax = 4 << 10
	// FileMax bounds a file, in bytes.
	FileMax = headerMax + configstore.MaxSettingsSize
)

// Record is what was in force at a governor.
type Record struct {
	Service  string
	Version  revision.Version
	Start    Digest // of the settings in the governor's own file when the record was made
	Settings []byte // as a server sent them
}

// Digest names settings by their contents; spaces between the words of their JSON do not count.
type Digest string

// DigestOf is the digest of settings.
func DigestOf(settings []byte) Digest {
	var compact bytes.Buffer
	if json.Compact(&compact, settings) == nil {
		settings = compact.Bytes()
	}
	sum := sha256.Sum256(settings)
	return Digest(hex.EncodeToString(sum[:]))
}

// header is the first line of a file. The settings follow as they are.
type header struct {
	Format  int              `json:"format"`
	Service string           `json:"service"`
	Version revision.Version `json:"version"`
	Start   Digest           `json:"start"`
	Sum     string           `json:"sum"` // of the header without it, and of the settings
}

// sum is over all that a record says.
func (h header) sum(settings []byte) (string, error) {
	h.Sum = ""
	line, err := json.Marshal(h)
	if err != nil {
		return "", err
	}
	sum := sha256.New()
	sum.Write(line)
	sum.Write(settings)
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// Encode is the file of a record.
func Encode(r Record) ([]byte, error) {
	h := header{Format: format, Service: r.Service, Version: r.Version, Start: r.Start}
	sum, err := h.sum(r.Settings)
	if err != nil {
		return nil, err
	}
	h.Sum = sum
	line, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	return append(append(line, '\n'), r.Settings...), nil
}

// The reasons why a file cannot be read.
var (
	ErrDamaged = errors.New("it is not as it was written")
	ErrNewer   = errors.New("a newer program wrote it")
)

// Decode reads a file. The error is ErrDamaged or ErrNewer.
func Decode(raw []byte) (Record, error) {
	line, settings, found := bytes.Cut(raw, []byte{'\n'})
	if !found || len(line) > headerMax {
		return Record{}, fmt.Errorf("%w: there is no header", ErrDamaged)
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if h.Format > format {
		return Record{}, fmt.Errorf("%w: its format is %d, this program reads %d", ErrNewer, h.Format, format)
	}
	sum, err := h.sum(settings)
	if err != nil || h.Format != format || sum != h.Sum || !h.Version.Valid() || h.Version.IsZero() {
		return Record{}, ErrDamaged
	}
	return Record{Service: h.Service, Version: h.Version, Start: h.Start, Settings: settings}, nil
}

// OtherServiceError says that a record is of another service.
type OtherServiceError struct{ Service string }

func (e *OtherServiceError) Error() string { return fmt.Sprintf("it is of service %q", e.Service) }

// ErrStartChanged says that the governor's own file has other settings than when the record was made: whoever changed
// them wants them in force, as where all servers are lost.
var ErrStartChanged = errors.New("the settings in the governor's own file have changed since")

// CheckUsable says whether a governor of a service whose own file has some settings may begin with a record.
func (r Record) CheckUsable(service string, start Digest) error {
	if r.Service != service {
		return &OtherServiceError{r.Service}
	}
	if r.Start != start {
		return ErrStartChanged
	}
	return nil
}
