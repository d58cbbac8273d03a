package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lilacbend/internal/learnedstate"
)

// paper is a memory as JSON: the fields of format 2 by name. The form is stable: fields are added, never changed.
type paper struct {
	Format int `json:"lilacbend_state"`
	body2
}

// Export writes a memory as JSON; the same memory gives the same bytes.
func Export(m learnedstate.State) ([]byte, error) {
	raw, err := json.MarshalIndent(paper{Format, bodyOf(m)}, "", " ")
	if err != nil {
		return nil, fmt.Errorf("writing the state as JSON: %w", err)
	}
	return append(raw, '\n'), nil
}

// Import reads what Export has written, strictly. A memory that could not be used as a whole is an error; single
// entries are judged when a governor takes it over.
func Import(r io.Reader) (learnedstate.State, error) {
	raw, err := io.ReadAll(io.LimitReader(r, 4*fileMost+1))
	if err != nil {
		return learnedstate.State{}, fmt.Errorf("after %d bytes: %w", len(raw), err)
	}
	if len(raw) > 4*fileMost {
		return learnedstate.State{}, fmt.Errorf("%w: over %d bytes", ErrTooLarge, 4*fileMost)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	var p paper
	if err := d.Decode(&p); err != nil {
		return learnedstate.State{}, fmt.Errorf("no exported state (byte %d): %w", d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return learnedstate.State{}, errors.New("more follows the exported state")
	}
	switch {
	case p.Format == 0:
		return learnedstate.State{}, fmt.Errorf("%w: lilacbend_state is missing", ErrNotSnapshot)
	case p.Format > Format:
		return learnedstate.State{}, fmt.Errorf("%w: %d, this program reads up to %d", ErrNewer, p.Format, Format)
	case p.Format < Format:
		return learnedstate.State{}, fmt.Errorf("%w: format %d was never exported", ErrNotSnapshot, p.Format)
	}
	return p.memory()
}
