package strictyaml

import "github.com/agnivade/levenshtein"

// lettersPerEdit is the number of letters of a name for each edit that makes a slip; one edit is always allowed.
const lettersPerEdit = 3

// Nearest returns the known name for which name is most likely a slip, or an empty text if none is near.
func Nearest(name string, known []string) string {
	nearest := ""
	// The sum rounds so that names of five letters may have two edits, as swapping two letters takes.
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
