package ci

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// minQuotedPart is the minimum length in bytes of the fixed parts of quoted log lines that are looked up in the source.
const minQuotedPart = 4

var (
	quotedText = regexp.MustCompile("`([^`]+)`")
	// variablePart matches text that differs between log lines of the same format: numbers, verbs, and omissions on the page.
	variablePart = regexp.MustCompile(`[0-9][0-9.]*|\bN\b|\b(?:began|ended|stopped|resumed)\b|\.\.\.`)
	// counterName matches a counter as pages name it: its group and its key.
	counterName = regexp.MustCompile(`^[a-z]+\.([a-z_]+)$`)
)

// productSource returns the source of the programs, without tests.
func productSource(t *testing.T) string {
	t.Helper()
	var source strings.Builder
	for _, folder := range []string{"cmd", "control", "internal", "policy", "settings"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			fileSource, err := os.ReadFile(path)
			source.Write(fileSource)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return source.String()
}

// column returns the cells of one column of all tables between two texts of a page.
func column(t *testing.T, page, from, to string, number int) []string {
	t.Helper()
	_, rest, found := strings.Cut(page, from)
	part, _, ends := strings.Cut(rest, to)
	if !found || !ends {
		t.Fatalf("the page has no text from %q to %q", from, to)
	}
	var cells []string
	for line := range strings.Lines(part) {
		if row := strings.Split(line, "|"); strings.HasPrefix(line, "|") && len(row) > number+1 {
			cells = append(cells, row[number])
		}
	}
	return cells
}

func TestOnCallQuotesExistingTexts(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/on-call.md"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	cells := column(t, page, "## By symptom", "## The program on sockets", 2)
	cells = append(cells, column(t, page, "## The program on sockets", "| counters | what to look for |", 1)...)
	_, changed, _ := strings.Cut(page, "## Texts that have changed")
	cells = append(cells, column(t, changed, "| before | now |", "Error texts", 2)...)
	source := productSource(t)
	for _, cell := range cells {
		for _, match := range quotedText.FindAllStringSubmatch(cell, -1) {
			checkQuotedText(t, source, match[1])
		}
	}
	if len(cells) < 50 {
		t.Errorf("only %d cells found", len(cells))
	}
}

// checkQuotedText looks up the fixed parts of a quoted text, or the key of a counter, in the source.
func checkQuotedText(t *testing.T, source, text string) {
	t.Helper()
	if counter := counterName.FindStringSubmatch(text); counter != nil {
		if !strings.Contains(source, `"`+counter[1]+`"`) {
			t.Errorf("docs/on-call.md names the counter %s, which is not in the source", text)
		}
		return
	}
	for _, part := range variablePart.Split(text, -1) {
		part = strings.Trim(part, " N,:()")
		if len(part) >= minQuotedPart && !strings.Contains(source, part) {
			t.Errorf("docs/on-call.md quotes %q, but the source does not contain %q", text, part)
		}
	}
}
