// Package configcache keeps the settings that a controller has in force on its own disk, so that it begins with them after a
// restart even if no configuration server can be reached. Encoding a record and checking whether it may be used have no I/O;
// the Writer has a goroutine of its own.
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
	// maxHeaderSize bounds the header of a file, in bytes.
	maxHeaderSize = 4 << 10
	// MaxFileSize bounds a file, in bytes.
	MaxFileSize = maxHeaderSize + configstore.SettingsMax
)

// Record is the settings in force at a controller.
type Record struct {
	Service  string
	Version  revision.Version
	Start    Digest // of the settings in the controller's own file when the record was made
	Settings []byte // as a configuration server sent them
}

// Digest identifies settings by their contents, whatever the white space in their JSON is.
type Digest string

// DigestOf returns the digest of settings.
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
	Format   int              `json:"format"`
	Service  string           `json:"service"`
	Version  revision.Version `json:"version"`
	Start    Digest           `json:"start"`
	Checksum string           `json:"sum"` // of the header with an empty checksum, and of the settings
}

// checksum returns the checksum of a header and settings.
func (h header) checksum(settings []byte) (string, error) {
	h.Checksum = ""
	line, err := json.Marshal(h)
	if err != nil {
		return "", err
	}
	sum := sha256.New()
	sum.Write(line)
	sum.Write(settings)
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// Encode returns the file of a record.
func Encode(r Record) ([]byte, error) {
	h := header{Format: format, Service: r.Service, Version: r.Version, Start: r.Start}
	checksum, err := h.checksum(r.Settings)
	if err != nil {
		return nil, err
	}
	h.Checksum = checksum
	line, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	return append(append(line, '\n'), r.Settings...), nil
}

// Reasons why a file cannot be read.
var (
	// ErrDamaged is a file that has changed since it was written.
	ErrDamaged = errors.New("it is not as it was written")
	// ErrNewer is a file of a newer program.
	ErrNewer = errors.New("a newer program wrote it")
)

// Decode returns the record of a file. The error is an ErrDamaged or ErrNewer.
func Decode(raw []byte) (Record, error) {
	line, settings, found := bytes.Cut(raw, []byte{'\n'})
	if !found || len(line) > maxHeaderSize {
		return Record{}, fmt.Errorf("%w: there is no header", ErrDamaged)
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if h.Format > format {
		return Record{}, fmt.Errorf("%w: its format is %d, this program reads %d", ErrNewer, h.Format, format)
	}
	checksum, err := h.checksum(settings)
	asWritten := err == nil && h.Format == format && checksum == h.Checksum
	if !asWritten || !h.Version.Valid() || h.Version.IsZero() {
		return Record{}, ErrDamaged
	}
	return Record{Service: h.Service, Version: h.Version, Start: h.Start, Settings: settings}, nil
}

// OtherServiceError is a record of another service.
type OtherServiceError struct{ Service string }

func (e *OtherServiceError) Error() string { return fmt.Sprintf("it is of service %q", e.Service) }

// ErrStartChanged is a record from before the settings in the controller's own file were changed: whoever changed them wants
// them in force, as where all configuration servers are lost.
var ErrStartChanged = errors.New("the settings in the controller's own file have changed since")

// CheckUsable returns an error if a controller of a service, whose own file has some settings, may not begin with a record.
func (r Record) CheckUsable(service string, start Digest) error {
	if r.Service != service {
		return &OtherServiceError{r.Service}
	}
	if r.Start != start {
		return ErrStartChanged
	}
	return nil
}
