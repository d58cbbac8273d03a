// Package revision orders versions of a configuration. Within an epoch revisions only grow; a server that was restored, or
// that has lost its count, begins a later epoch, which outranks every revision of the epochs before it. It has no I/O and
// no clock.
package revision

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Max is the largest epoch or revision: the largest whole number that every reader of JSON keeps exactly.
const Max = uint64(1) << 53

// Version names one state of a configuration. The zero value stands for no configuration at all.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Compare is below 0 where v is older than other, above 0 where it is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Revision, other.Revision))
}

// Newer says whether v outranks other.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// IsZero says whether v stands for no configuration.
func (v Version) IsZero() bool { return v == Version{} }

// Valid says whether both numbers are within range.
func (v Version) Valid() bool { return v.Epoch <= Max && v.Revision <= Max }

// String is the form in which versions are sent and logged: epoch, a dot, revision.
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Revision, 10)
}

// Latest is the newer of two versions.
func Latest(a, b Version) Version {
	if b.Newer(a) {
		return b
	}
	return a
}

// Parse reads what String wrote; the empty text is the zero version.
func Parse(text string) (Version, error) {
	if text == "" {
		return Version{}, nil
	}
	epoch, revision, found := strings.Cut(text, ".")
	if !found {
		return Version{}, fmt.Errorf("version %.40q lacks the dot between epoch and revision", text)
	}
	var v Version
	var err error
	if v.Epoch, err = number(epoch); err != nil {
		return Version{}, fmt.Errorf("epoch of version %.40q: %w", text, err)
	}
	if v.Revision, err = number(revision); err != nil {
		return Version{}, fmt.Errorf("revision of version %.40q: %w", text, err)
	}
	return v, nil
}

func number(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%.40q is not a whole number", text)
	}
	if n > Max {
		return 0, fmt.Errorf("%d is over %d", n, Max)
	}
	return n, nil
}
