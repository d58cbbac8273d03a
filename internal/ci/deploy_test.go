package ci

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// repositoryRoot is the path of the module's folder, relative to this package.
const repositoryRoot = "../.."

// deployList returns the strings of a list in deploy/balancer.toml.
func deployList(t *testing.T, key string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^` + key + ` = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatalf("deploy/balancer.toml has no list %s", key)
	}
	var listed []string
	for _, match := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(line[1], -1) {
		listed = append(listed, string(match[1]))
	}
	return listed
}

func TestDeployListsEachPolicyFile(t *testing.T) {
	t.Parallel()
	var files []string
	err := filepath.WalkDir(filepath.Join(repositoryRoot, "policy"), func(path string, entry fs.DirEntry, err error) error {
		name, relErr := filepath.Rel(repositoryRoot, path)
		if err == nil && relErr == nil && strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") {
			files = append(files, name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	listed := deployList(t, "policy")
	slices.Sort(listed)
	if slices.Sort(files); !slices.Equal(listed, files) {
		t.Errorf("deploy/balancer.toml lists under policy\n%v\nwant\n%v", listed, files)
	}
}

func TestDeployListsExistingPackages(t *testing.T) {
	t.Parallel()
	for _, name := range deployList(t, "node") {
		if _, err := os.Stat(filepath.Join(repositoryRoot, name)); err != nil {
			t.Errorf("deploy/balancer.toml lists %s: %v", name, err)
		}
	}
}
