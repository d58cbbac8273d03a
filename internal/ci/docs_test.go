package ci

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// codePath matches a path of the repository between backticks, as pages name packages and files.
	codePath = regexp.MustCompile("`((?:policy|control|settings|internal|cmd|experiment|example|deploy|docs|\\.ci)(?:/[A-Za-z0-9_.-]+)*)/?`")
	// testName matches a test between backticks.
	testName = regexp.MustCompile("`((?:Test|Benchmark|Fuzz)[A-Za-z0-9_]+)`")
	// linkTarget matches the target of a relative link, without its anchor.
	linkTarget = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	// declaredTest matches the declaration of a test.
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)[A-Za-z0-9_]+)\(`)
)

// historicalPages describe earlier states of the program, under the names of their time.
var historicalPages = map[string]bool{"CHANGELOG.md": true, "docs/standing.md": true, "docs/incidents/README.md": true}

// pages returns the paths of all pages that describe the present program.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{"README.md"}
	for _, folder := range []string{"docs", "example"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, entry fs.DirEntry, err error) error {
			name, relErr := filepath.Rel(repositoryRoot, path)
			if err == nil && relErr == nil && strings.HasSuffix(name, ".md") && !historicalPages[name] {
				found = append(found, name)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// declaredTests returns the names of all tests of the module.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		for _, match := range declaredTest.FindAllSubmatch(source, -1) {
			declared[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

func TestPagesNameExistingFilesAndTests(t *testing.T) {
	t.Parallel()
	declared := declaredTests(t)
	if len(declared) < 400 {
		t.Fatalf("only %d tests found", len(declared))
	}
	for _, page := range pages(t) {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range codePath.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(repositoryRoot, match[1])); err != nil {
				t.Errorf("%s names %s, which does not exist", page, match[1])
			}
		}
		for _, match := range testName.FindAllStringSubmatch(string(text), -1) {
			if !declared[match[1]] {
				t.Errorf("%s names the test %s, which does not exist", page, match[1])
			}
		}
		for _, match := range linkTarget.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(repositoryRoot, filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, match[1])
			}
		}
	}
}
