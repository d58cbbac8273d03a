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
	// link matches the target of a relative link, without its anchor.
	link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	// declaredTest matches the declaration of a test.
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)[A-Za-z0-9_]+)\(`)
)

// historic are pages that tell how things were, under the names of then.
var historic = map[string]bool{"CHANGELOG.md": true, "docs/standing.md": true, "docs/incidents/README.md": true}

// pages returns the paths of all pages that describe the program as it is.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{"README.md"}
	for _, folder := range []string{"docs", "example"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, entry fs.DirEntry, err error) error {
			name, relErr := filepath.Rel(repositoryRoot, path)
			if err == nil && relErr == nil && strings.HasSuffix(name, ".md") && !historic[name] {
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

func TestPagesNameWhatExists(t *testing.T) {
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
				t.Errorf("%s names %s, which is not there", page, match[1])
			}
		}
		for _, match := range testName.FindAllStringSubmatch(string(text), -1) {
			if !declared[match[1]] {
				t.Errorf("%s names the test %s, which is not there", page, match[1])
			}
		}
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(repositoryRoot, filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s, which is not there", page, match[1])
			}
		}
	}
}
