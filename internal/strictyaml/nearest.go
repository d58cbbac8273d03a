package strictyaml

import "github.com/agnivade/levenshtein"

// Nearest is the known name that another one is most likely a slip of; empty: none is near.
func Nearest(name string, known []string) (near string) {
	best := max(1, (len(name)+1)/slipPart) + 1 // two letters that changed places are two
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k); d < best {
			best, near = d, k
		}
	}
	return near
}
