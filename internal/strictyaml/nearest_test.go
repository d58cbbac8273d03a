package strictyaml

import "testing"

func TestNearest(t *testing.T) {
	known := []string{"every", "folder", "keep"}
	for name, want := range map[string]string{
		"every":  "every",
		"evry":   "every",  // a letter is missing
		"veery":  "every",  // two letters are swapped: two edits in five letters
		"kepe":   "",       // two letters are swapped: two edits in four letters
		"folers": "folder", // two edits in six letters
		"":       "",
		"zzzz":   "",
	} {
		t.Run(name, func(t *testing.T) {
			if got := Nearest(name, known); got != want {
				t.Errorf("nearest known name is %q, want %q", got, want)
			}
		})
	}
}
