package capacity

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// sectionPattern matches a generated section of the page with the two comments around it, both of which name it.
var sectionPattern = regexp.MustCompile(`(?s)<!-- capacity:([a-z0-9-]+) -->\n(.*?)<!-- /capacity:([a-z0-9-]+) -->\n`)

// Replace replaces the generated sections of a page. The error names each section that is missing from the page, is unknown,
// occurs twice, or ends with the name of another one.
func Replace(page string, sections map[string]string) (string, error) {
	missing := maps.Clone(sections)
	var errs []error
	replaced := sectionPattern.ReplaceAllStringFunc(page, func(text string) string {
		match := sectionPattern.FindStringSubmatch(text)
		name, end := match[1], match[3]
		section, ok := missing[name]
		if !ok || name != end {
			errs = append(errs, fmt.Errorf("section %s, closed by the comment of section %s: section is unknown or duplicate, or the names differ", name, end))
			return text
		}
		delete(missing, name)
		return fmt.Sprintf("<!-- capacity:%s -->\n%s<!-- /capacity:%s -->\n", name, section, name)
	})
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		errs = append(errs, fmt.Errorf("section %s is missing from the page", name))
	}
	return replaced, errors.Join(errs...)
}

// Difference describes the first difference of a page from the text that the table gives; empty if there is none.
func Difference(page string, sections map[string]string) (string, error) {
	want, err := Replace(page, sections)
	if err != nil || want == page {
		return "", err
	}
	pageLines, wantLines := strings.Split(page, "\n"), strings.Split(want, "\n")
	for k := range min(len(pageLines), len(wantLines)) {
		if pageLines[k] != wantLines[k] {
			return fmt.Sprintf("line %d is\n  %s\nthe table gives\n  %s", k+1, pageLines[k], wantLines[k]), nil
		}
	}
	return fmt.Sprintf("page has %d lines, the table gives %d", len(pageLines), len(wantLines)), nil
}
