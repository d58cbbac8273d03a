package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lilacbend/internal/learnedstate"
)

// maxExportSize is the maximum size of an exported state, in bytes. JSON takes up to four times the size of a generation's
// file.
const maxExportSize = 4 * maxFileSize

// exported is a state in JSON: the fields of format 2 by name. Fields may be added, but existing ones are never changed.
type exported struct {
	Format int `json:"lilacbend_state"`
	body2
}

// Export returns a state in JSON. Equal states give equal bytes.
func Export(state learnedstate.State) ([]byte, error) {
	encoded, err := json.MarshalIndent(exported{CurrentFormat, newBody2(state)}, "", " ")
	if err != nil {
		return nil, fmt.Errorf("encoding state as JSON: %w", err)
	}
	return append(encoded, '\n'), nil
}

// Import reads a state in the format of Export. Unknown fields, data after the state and a state out of bounds are errors.
// Single entries are not checked here but by learnedstate.Restrict, when a controller restores the state.
func Import(r io.Reader) (learnedstate.State, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxExportSize+1))
	if err != nil {
		return learnedstate.State{}, fmt.Errorf("reading exported state after %d bytes: %w", len(data), err)
	}
	if len(data) > maxExportSize {
		return learnedstate.State{}, fmt.Errorf("%w: exported state exceeds %d bytes", ErrTooLarge, maxExportSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var export exported
	if err := decoder.Decode(&export); err != nil {
		return learnedstate.State{}, fmt.Errorf("invalid exported state (byte %d): %w", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return learnedstate.State{}, errors.New("unexpected data after the exported state")
	}
	if err := checkExportFormat(export.Format); err != nil {
		return learnedstate.State{}, err
	}
	return checkBounds(export.state())
}

// checkExportFormat returns an error for a format that Import cannot read.
func checkExportFormat(format int) error {
	switch {
	case format == 0:
		return fmt.Errorf("%w: field lilacbend_state is missing or 0", ErrNotSnapshot)
	case format > CurrentFormat:
		return fmt.Errorf("%w: format %d, this program reads formats up to %d", ErrNewer, format, CurrentFormat)
	case format < CurrentFormat:
		return fmt.Errorf("%w: format %d is not used for exports", ErrNotSnapshot, format)
	}
	return nil
}
