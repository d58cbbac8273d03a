// Package steering is what a sidecar and a collector say to governors, and what they hear from them. It reads and
// writes messages; what a push does the sidecar's core says.
package steering

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lilacbend/control"
	"lilacbend/internal/forward"
)

// partsMost is how many parts one message may have.
const partsMost = 64

// errPart: a part that cannot be read; the stream is of no further use.
var errPart = errors.New("unreadable push")

// push is one message of a governor, put together from its parts.
type push struct {
	parts  []forward.Push
	marked bool
	mark   uint64
	open   bool // more parts follow
}

// add reads one more part.
func (p *push) add(words []string) error {
	if len(p.parts) >= partsMost {
		return fmt.Errorf("%w: more than %d parts", errPart, partsMost)
	}
	if len(words) == 0 || words[0] != "push" || len(words)%2 == 0 {
		return fmt.Errorf("%w: %.60q", errPart, strings.Join(words, " "))
	}
	var part forward.Push
	var share, tries string
	p.open = false
	for k := 1; k < len(words); k += 2 {
		name, value := words[k], words[k+1]
		var err error
		switch name {
		case "routes":
			part.Groups = strings.Split(value, "+")
		case "full":
			part.Full, err = yes(value)
		case "endpoints":
			part.Lines, err = lines(value)
		case "admit":
			share = value
		case "policy":
			tries = value
		case "eject":
			part.Shut = strings.Split(value, ",")
		case "restore":
			part.Let = strings.Split(value, ",")
		case "nonce_out":
			p.marked = true
			p.mark, err = strconv.ParseUint(value, 10, 64)
		case "continued":
			p.open, err = yes(value)
		}
		if err != nil {
			return fmt.Errorf("%w: %s=%.40q: %w", errPart, name, value, err)
		}
	}
	if (share == "") != (tries == "") {
		return fmt.Errorf("%w: admit and policy come together", errPart)
	}
	if share != "" {
		s, err := strconv.ParseFloat(share, 64)
		m, err2 := strconv.Atoi(tries)
		if err := errors.Join(err, err2); err != nil {
			return fmt.Errorf("%w: admit=%.40q policy=%.40q", errPart, share, tries)
		}
		part.Levels = []forward.Level{{Share: s, Tries: control.Tries(m)}}
	}
	p.parts = append(p.parts, part)
	return nil
}

func yes(v string) (bool, error) {
	if v != "0" && v != "1" {
		return false, errors.New("neither 0 nor 1")
	}
	return v == "1", nil
}

func lines(v string) (map[string]float64, error) {
	all := map[string]float64{}
	if v == "" {
		return all, nil
	}
	for pair := range strings.SplitSeq(v, ",") {
		id, weight, ok := strings.Cut(pair, ":")
		w, err := strconv.ParseFloat(weight, 64)
		if !ok || err != nil || id == "" {
			return nil, fmt.Errorf("line %.40q", pair)
		}
		all[id] = w
	}
	return all, nil
}
