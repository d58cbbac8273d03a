// Package revision orders the versions of a configuration. Within an epoch, revisions only increase. A configuration server
// that was restored or has lost its state begins a later epoch, whose revisions are all newer than those of earlier epochs.
// The package has no I/O and no clock.
package revision

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Max is the maximum epoch and revision. Up to this value, JSON decoders that use float64 represent integers exactly.
const Max = uint64(1) << 53

// Version identifies one state of a configuration. The zero Version means that there is no configuration.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Compare returns a negative number if v is older than other, a positive one if it is newer, and 0 if they are equal.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Revision, other.Revision))
}

// Newer reports whether v is newer than other.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// IsZero reports whether v is the zero Version.
func (v Version) IsZero() bool { return v == Version{} }

// Valid reports whether epoch and revision are at most Max.
func (v Version) Valid() bool { return v.Epoch <= Max && v.Revision <= Max }

// String returns the form in which versions are sent and logged: epoch, a dot, revision.
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Revision, 10)
}

// Latest returns the newer of two versions.
func Latest(a, b Version) Version {
	if b.Newer(a) {
		return b
	}
	return a
}

// Parse parses a version in the form that String returns. The empty string is the zero Version.
func Parse(text string) (Version, error) {
	if text == "" {
		return Version{}, nil
	}
	epoch, revision, found := strings.Cut(text, ".")
	if !found {
		return Version{}, fmt.Errorf("version %.40q lacks the dot between epoch and revision", text)
	}
	epochNumber, err := parseNumber(epoch)
	if err != nil {
		return Version{}, fmt.Errorf("epoch of version %.40q: %w", text, err)
	}
	revisionNumber, err := parseNumber(revision)
	if err != nil {
		return Version{}, fmt.Errorf("revision of version %.40q: %w", text, err)
	}
	return Version{Epoch: epochNumber, Revision: revisionNumber}, nil
}

func parseNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%.40q is not a whole number", text)
	}
	if n > Max {
		return 0, fmt.Errorf("%d is over %d", n, Max)
	}
	return n, nil
}
