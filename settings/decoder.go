package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacbend/control"
)

const (
	// maxMillis is the longest time that is read, in milliseconds: a year, so that sums of a few times stay in range.
	maxMillis = 366 * 24 * 3600 * 1000
	// maxCount is the largest count that is read.
	maxCount = 1 << 20
	// maxLines is the largest number of channel lines that is read: more than any channel holds, and far from where sums overflow.
	maxLines = 1 << 40
	// maxNameLength is the longest name, in bytes: a peer's first message names its zone, and is read into one buffer of
	// 4 KiB.
	maxNameLength = 1 << 10
)

// decoder reads typed values from the tree and keeps the first error. After an error the values it returns are of no use,
// and the caller checks err once at the end.
type decoder struct {
	values Values
	err    error
}

// fail records what is wrong with a setting, unless something was wrong before.
func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = fmt.Errorf(format, args...)
	}
}

// list reads all values of a setting that must be there.
func (d *decoder) list(path string) []string {
	list, found := d.values[path]
	if !found {
		d.fail("setting %s is missing", path)
	}
	return list
}

// text reads a setting as one string, the values of a list joined by commas.
func (d *decoder) text(path string) string { return strings.Join(d.list(path), ",") }

// number reads a finite number.
func (d *decoder) number(path string) float64 {
	text := d.text(path)
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		d.fail("setting %s=%q is not a number", path, text)
		return 0
	}
	return number
}

// positive reads a number above 0.
func (d *decoder) positive(path string) float64 {
	number := d.number(path)
	if number <= 0 {
		d.fail("setting %s=%v is not above 0", path, number)
	}
	return number
}

// fraction reads a number from 0 to 1.
func (d *decoder) fraction(path string) float64 {
	number := d.number(path)
	if number < 0 || number > 1 {
		d.fail("setting %s=%v is not a fraction from 0 to 1", path, number)
	}
	return number
}

// nanos reads a time, written in milliseconds, as nanoseconds.
func (d *decoder) nanos(path string) int64 {
	millis := d.number(path)
	if millis < 0 || millis > maxMillis {
		d.fail("setting %s=%v is not a time from 0 to a year, in milliseconds", path, millis)
		return 0
	}
	return control.Nanos(millis)
}

// positiveNanos reads a time above 0, written in milliseconds, as nanoseconds.
func (d *decoder) positiveNanos(path string) int64 {
	d.positive(path)
	return d.nanos(path)
}

// count reads a whole number from 0 to maxCount.
func (d *decoder) count(path string) int {
	number := d.number(path)
	if number < 0 || number > maxCount || number != math.Trunc(number) {
		d.fail("setting %s=%v is not a whole count", path, number)
		return 0
	}
	return int(number)
}

// lines reads a number of channel lines, which may have a fraction; round makes it whole.
func (d *decoder) lines(path string, round func(float64) float64) int {
	number := d.number(path)
	if number < 0 || number > maxLines {
		d.fail("setting %s=%v is not a number of lines", path, number)
		return 0
	}
	return int(round(number))
}

// checkNames checks names by which peers will refer to something: each is there once and short enough, and where peers join
// them by a separator, none is empty or contains it. An empty separator means that they are not joined.
func (d *decoder) checkNames(path string, names []string, separator string) {
	seen := map[string]bool{}
	for _, name := range names {
		switch {
		case seen[name]:
			d.fail("setting %s: %.40q is listed twice", path, name)
		case len(name) > maxNameLength:
			d.fail("setting %s: %.40q... has %d bytes, at most %d may be", path, name, len(name), maxNameLength)
		case separator != "" && (name == "" || strings.Contains(name, separator)):
			d.fail("setting %s: %q cannot stand in a list of names joined by %s", path, name, separator)
		}
		seen[name] = true
	}
}

// choice reads a word that must be one of those given.
func choice[T any](d *decoder, path string, words map[string]T) T {
	word := d.text(path)
	value, known := words[word]
	if !known {
		d.fail("setting %s=%q is not known", path, word)
	}
	return value
}

// optional reads a setting that a deployment may lack, as it has no such rule; fallback stands for one that is not there.
func optional[T any](d *decoder, path string, read func(path string) T, fallback T) T {
	if _, found := d.values[path]; !found {
		return fallback
	}
	return read(path)
}
