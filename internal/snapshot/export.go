package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lilacbend/internal/learnedstate"
)

// maxExportSize bounds an exported state, in bytes: JSON takes up to this many times the size of a generation.
const maxExportSize = 4 * maxFileSize

// exported is a state as JSON: the fields of format 2 by name. Fields are added to it and never changed.
type exported struct {
	Format int `json:"lilacbend_state"`
	body2
}

// Export returns a state as JSON; the same state gives the same bytes.
func Export(state learnedstate.State) ([]byte, error) {
	raw, err := json.MarshalIndent(exported{Format, newBody2(state)}, "", " ")
	if err != nil {
		return nil, fmt.Errorf("writing the state as JSON: %w", err)
	}
	return append(raw, '\n'), nil
}

// Import reads what Export has written, strictly. A state that cannot be used as a whole is an error; single entries are
// checked when a controller takes it over.
func Import(r io.Reader) (learnedstate.State, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxExportSize+1))
	if err != nil {
		return learnedstate.State{}, fmt.Errorf("after %d bytes: %w", len(raw), err)
	}
	if len(raw) > maxExportSize {
		return learnedstate.State{}, fmt.Errorf("%w: over %d bytes", ErrTooLarge, maxExportSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var e exported
	if err := decoder.Decode(&e); err != nil {
		return learnedstate.State{}, fmt.Errorf("no exported state (byte %d): %w", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return learnedstate.State{}, errors.New("more follows the exported state")
	}
	if err := checkExportFormat(e.Format); err != nil {
		return learnedstate.State{}, err
	}
	return checkBounds(e.state())
}

// checkExportFormat returns an error for a format that this program has never exported.
func checkExportFormat(format int) error {
	switch {
	case format == 0:
		return fmt.Errorf("%w: lilacbend_state is missing", ErrNotSnapshot)
	case format > Format:
		return fmt.Errorf("%w: %d, this program reads up to %d", ErrNewer, format, Format)
	case format < Format:
		return fmt.Errorf("%w: format %d was never exported", ErrNotSnapshot, format)
	}
	return nil
}
