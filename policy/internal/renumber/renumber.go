// Package renumber translates the numbers of traffic classes and hardware classes after the settings have changed.
package renumber

// Lookup returns the new number of a class, given its old number. newNumbers holds the new number of each class by its old
// number, negative for a class that no longer exists. Lookup reports false if the class has no new number.
func Lookup(newNumbers []int, old int) (number int, exists bool) {
	if old < 0 || old >= len(newNumbers) || newNumbers[old] < 0 {
		return 0, false
	}
	return newNumbers[old], true
}
