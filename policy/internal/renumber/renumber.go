// Package renumber translates the numbers of traffic classes and hardware classes after the settings have changed.
package renumber

// Lookup returns the new number of what had an old one. Newer holds the new number of each old one, below 0 where it no longer
// exists. It reports false where there is no new number.
func Lookup(newer []int, old int) (number int, exists bool) {
	if old < 0 || old >= len(newer) || newer[old] < 0 {
		return 0, false
	}
	return newer[old], true
}
