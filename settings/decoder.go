package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacbend/control"
)

const (
	// maxMillis is the largest valid time, in milliseconds: 366 days, so that the sum of a few times in nanoseconds fits an
	// int64.
	maxMillis = 366 * 24 * 3600 * 1000
	// maxCount is the largest valid count.
	maxCount = 1 << 20
	// maxCostUnits is the largest valid number of cost units: more than any channel holds, and too small for sums to
	// overflow.
	maxCostUnits = 1 << 40
	// maxNameLength is the largest valid length of a name, in bytes: the first message of a peer contains the name of its
	// zone and has to fit a read buffer of 4 KiB.
	maxNameLength = 1 << 10
)

// decoder reads typed values from the settings and keeps the first error. Values that it returns after an error are invalid;
// the caller checks err once, at the end.
type decoder struct {
	values Values
	err    error
}

// Error reports a setting that is missing or invalid.
type Error struct {
	Path    string
	Problem string // appended to the path in the error text, with its own leading separator
}

func (e *Error) Error() string { return "setting " + e.Path + e.Problem }

// fail records the problem of a setting, unless an earlier one is recorded.
func (d *decoder) fail(path, format string, args ...any) {
	if d.err == nil {
		d.err = &Error{Path: path, Problem: fmt.Sprintf(format, args...)}
	}
}

// list reads all values of a required setting.
func (d *decoder) list(path string) []string {
	list, found := d.values[path]
	if !found {
		d.fail(path, " is missing")
	}
	return list
}

// text reads a required setting as one string; the values of a list are joined by commas.
func (d *decoder) text(path string) string { return strings.Join(d.list(path), ",") }

// number reads a finite number.
func (d *decoder) number(path string) float64 {
	text := d.text(path)
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		d.fail(path, "=%q is not a number", text)
		return 0
	}
	return number
}

// positive reads a number above 0.
func (d *decoder) positive(path string) float64 {
	number := d.number(path)
	if number <= 0 {
		d.fail(path, "=%v is not above 0", number)
	}
	return number
}

// fraction reads a number from 0 to 1.
func (d *decoder) fraction(path string) float64 {
	number := d.number(path)
	if number < 0 || number > 1 {
		d.fail(path, "=%v is not a fraction from 0 to 1", number)
	}
	return number
}

// nanos reads a time in milliseconds and returns it in nanoseconds.
func (d *decoder) nanos(path string) int64 {
	millis := d.number(path)
	if millis < 0 || millis > maxMillis {
		d.fail(path, "=%v is not a time from 0 to %d ms", millis, maxMillis)
		return 0
	}
	return control.MillisToNanos(millis)
}

// positiveNanos reads a time above 0 in milliseconds and returns it in nanoseconds.
func (d *decoder) positiveNanos(path string) int64 {
	d.positive(path)
	return d.nanos(path)
}

// count reads a whole number from 0 to maxCount.
func (d *decoder) count(path string) int {
	number := d.number(path)
	if number < 0 || number > maxCount || number != math.Trunc(number) {
		d.fail(path, "=%v is not a whole number from 0 to %d", number, maxCount)
		return 0
	}
	return int(number)
}

// costUnits reads a number of cost units, which may have a fraction; round makes it a whole number.
func (d *decoder) costUnits(path string, round func(float64) float64) int {
	number := d.number(path)
	if number < 0 || number > maxCostUnits {
		d.fail(path, "=%v is not a number of cost units from 0 to %d", number, maxCostUnits)
		return 0
	}
	return int(round(number))
}

// checkNames checks names that messages of peers contain: each name is listed once and has at most maxNameLength bytes. If
// peers join the names by a separator, no name is empty or contains the separator; an empty separator means that they are
// not joined.
func (d *decoder) checkNames(path string, names []string, separator string) {
	seen := map[string]bool{}
	for _, name := range names {
		switch {
		case seen[name]:
			d.fail(path, ": name %.40q is listed twice", name)
		case len(name) > maxNameLength:
			d.fail(path, ": name %.40q... has %d bytes, limit %d bytes", name, len(name), maxNameLength)
		case separator != "" && (name == "" || strings.Contains(name, separator)):
			d.fail(path, ": name %q is empty or contains the separator %s", name, separator)
		}
		seen[name] = true
	}
}

// choice reads a setting whose value must be one of the given words, and returns the value of that word.
func choice[T any](d *decoder, path string, words map[string]T) T {
	word := d.text(path)
	value, known := words[word]
	if !known {
		d.fail(path, "=%q is not known", word)
	}
	return value
}

// optional reads a setting that is missing in deployments without the rule that it belongs to. It returns fallback if the
// setting is missing.
func optional[T any](d *decoder, path string, read func(path string) T, fallback T) T {
	if _, found := d.values[path]; !found {
		return fallback
	}
	return read(path)
}
