package capacity

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// The page holds each generated section between two comments that name it.
var marked = regexp.MustCompile(`(?s)<!-- capacity:([a-z0-9-]+) -->\n(.*?)<!-- /capacity:([a-z0-9-]+) -->\n`)

// Replace puts the sections into a page. The error names sections that the page lacks, or has and should not.
func Replace(page string, sections map[string]string) (string, error) {
	left := maps.Clone(sections)
	var errs []error
	replaced := marked.ReplaceAllStringFunc(page, func(text string) string {
		found := marked.FindStringSubmatch(text)
		name, end := found[1], found[3]
		section, ok := left[name]
		if !ok || name != end {
			errs = append(errs, fmt.Errorf("section %s, which ends as %s: there is none, or it has been there", name, end))
			return text
		}
		delete(left, name)
		return fmt.Sprintf("<!-- capacity:%s -->\n%s<!-- /capacity:%s -->\n", name, section, name)
	})
	for _, name := range slices.Sorted(maps.Keys(left)) {
		errs = append(errs, fmt.Errorf("section %s is not on the page", name))
	}
	return replaced, errors.Join(errs...)
}

// Difference says where a page first differs from what the table gives; empty: nowhere.
func Difference(page string, sections map[string]string) (string, error) {
	want, err := Replace(page, sections)
	if err != nil || want == page {
		return "", err
	}
	has, wants := strings.Split(page, "\n"), strings.Split(want, "\n")
	for k := range min(len(has), len(wants)) {
		if has[k] != wants[k] {
			return fmt.Sprintf("line %d is\n  %s\nthe table gives\n  %s", k+1, has[k], wants[k]), nil
		}
	}
	return fmt.Sprintf("%d lines, the table gives %d", len(has), len(wants)), nil
}
