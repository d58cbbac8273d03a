// Package configcache keeps a controller's active settings on its own disk, so that it starts with them after a restart even
// if no configuration server can be reached. Encoding a record and checking whether it may be used have no I/O; the Writer
// has a goroutine of its own.
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
	// formatVersion is the version of the file format.
	formatVersion = 1
	// maxHeaderSize is the maximum size of a file's header, in bytes.
	maxHeaderSize = 4 << 10
	// maxFileSize is the maximum size of a file, in bytes.
	maxFileSize = maxHeaderSize + configstore.MaxSettingsSize
)

// Record holds a controller's active settings, with the data by which CheckUsable decides whether they may be used.
type Record struct {
	Service  string
	Version  revision.Version
	Start    Digest // digest of the settings in the controller's own file when the record was created
	Settings []byte // JSON, as a configuration server sent them
}

// Digest identifies settings by their contents, regardless of insignificant white space in their JSON.
type Digest string

// DigestOf returns the digest of settings. If they are not valid JSON, white space counts as content.
func DigestOf(settings []byte) Digest {
	var compact bytes.Buffer
	if json.Compact(&compact, settings) == nil {
		settings = compact.Bytes()
	}
	sum := sha256.Sum256(settings)
	return Digest(hex.EncodeToString(sum[:]))
}

// header is the first line of a file, as JSON. The settings follow unchanged.
type header struct {
	Format   int              `json:"format"`
	Service  string           `json:"service"`
	Version  revision.Version `json:"version"`
	Start    Digest           `json:"start"`
	Checksum string           `json:"sum"` // SHA-256 of the header with an empty checksum, followed by the settings
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

// Encode returns the contents of a record's file.
func Encode(r Record) ([]byte, error) {
	h := header{Format: formatVersion, Service: r.Service, Version: r.Version, Start: r.Start}
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
	// ErrDamaged is returned for a file whose contents have changed since it was written.
	ErrDamaged = errors.New("cached settings file is damaged")
	// ErrNewer is returned for a file that a newer version of the program has written.
	ErrNewer = errors.New("cached settings file was written by a newer program")
)

// Decode returns the record in a file's contents. The error wraps ErrDamaged or ErrNewer.
func Decode(raw []byte) (Record, error) {
	line, settings, found := bytes.Cut(raw, []byte{'\n'})
	if !found || len(line) > maxHeaderSize {
		return Record{}, fmt.Errorf("%w: no header line of at most %d bytes", ErrDamaged, maxHeaderSize)
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if h.Format > formatVersion {
		return Record{}, fmt.Errorf("%w: file format is %d, this program reads up to %d", ErrNewer, h.Format, formatVersion)
	}
	checksum, err := h.checksum(settings)
	intact := err == nil && h.Format == formatVersion && checksum == h.Checksum
	if !intact || !h.Version.Valid() || h.Version.IsZero() {
		return Record{}, ErrDamaged
	}
	return Record{Service: h.Service, Version: h.Version, Start: h.Start, Settings: settings}, nil
}

// OtherServiceError is returned for a record that belongs to another service.
type OtherServiceError struct{ Service string }

func (e *OtherServiceError) Error() string {
	return fmt.Sprintf("cached settings are of service %q", e.Service)
}

// ErrOwnSettingsChanged is returned for a record that was created before the settings in the controller's own file were
// changed: an operator who changes them wants them to be used, for example after the loss of all configuration servers.
var ErrOwnSettingsChanged = errors.New("the settings in the controller's own file have changed since the record was created")

// CheckUsable returns an error if a controller must not start with the record's settings. The controller serves service, and
// ownSettings is the digest of the settings in its own file.
func (r Record) CheckUsable(service string, ownSettings Digest) error {
	if r.Service != service {
		return &OtherServiceError{r.Service}
	}
	if r.Start != ownSettings {
		return ErrOwnSettingsChanged
	}
	return nil
}
