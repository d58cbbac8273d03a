package strictyaml

import "github.com/agnivade/levenshtein"

// lettersPerEdit is how many letters a misspelled name must have for each edit by which it may differ from a known name.
// One edit is always allowed.
const lettersPerEdit = 3

// Nearest returns the known name that name most likely misspells, or an empty string if no known name is similar enough.
func Nearest(name string, known []string) string {
	nearest := ""
	// Adding 1 allows two edits in names of five letters: swapping two letters takes two edits.
	maxEdits := max(1, (len(name)+1)/lettersPerEdit)
	best := maxEdits + 1
	for _, candidate := range known {
		distance := levenshtein.ComputeDistance(name, candidate)
		if distance < best {
			best = distance
			nearest = candidate
		}
	}
	return nearest
}
