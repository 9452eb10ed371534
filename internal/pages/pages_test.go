// Package pages checks that the documentation pages agree with the code: the tests and files
// that pages name must exist, and the page for operators must name the routers' log events and
// metrics.
package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root       = "../.."
	operations = root + "/docs/OPERATIONS.md"
)

var (
	testDeclaration = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	testName        = regexp.MustCompile(`\bTest[A-Z]\w*`)
	logEvent        = regexp.MustCompile(`"event", "(\w+)"|\.log(?:Error|Link)\([^"\n]*"(\w+)"`)
	metricName      = regexp.MustCompile(`(?:counterVec|durationVec|Gauge)\("(\w+)"|Name: "(\w+)", Help:`)
	link            = regexp.MustCompile(`\]\(([^)#:\s]+)(?:#[^)]*)?\)`)
)

// readGo returns the contents of the Go files below dir whose path satisfies want.
func readGo(t *testing.T, dir string, want func(path string) bool) []string {
	t.Helper()
	var contents []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || !want(path) {
			return err
		}
		data, err := os.ReadFile(path)
		contents = append(contents, string(data))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// pagePaths returns the paths of the Markdown pages at the root and below docs.
func pagePaths(t *testing.T) []string {
	t.Helper()
	var paths []string
	for _, pattern := range []string{root + "/*.md", root + "/docs/*.md", root + "/docs/*/*.md"} {
		matches, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, matches...)
	}
	return paths
}

func isTest(path string) bool { return strings.HasSuffix(path, "_test.go") }

// firstGroup returns the first non-empty group of a match.
func firstGroup(match []string) string {
	for _, group := range match[1:] {
		if group != "" {
			return group
		}
	}
	return ""
}

// TestNamedTestsExist checks that each test named in a page exists. A page may give the
// beginning of a name, as the flag -run of go test does.
func TestNamedTestsExist(t *testing.T) {
	var declared []string
	for _, source := range readGo(t, root, isTest) {
		for _, match := range testDeclaration.FindAllStringSubmatch(source, -1) {
			declared = append(declared, match[1])
		}
	}
	for _, path := range pagePaths(t) {
		for _, name := range testName.FindAllString(readPage(t, path), -1) {
			if !anyHasPrefix(declared, name) {
				t.Errorf("%s names %s, which does not exist", path, name)
			}
		}
	}
}

func anyHasPrefix(names []string, prefix string) bool {
	for _, name := range names {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// TestOperatorsPageIsComplete checks that the page for operators names each log event and each
// metric of the routers.
func TestOperatorsPageIsComplete(t *testing.T) {
	page := readPage(t, operations)
	var sources []string
	for _, dir := range []string{"/router", "/cmd/chiveseam-router", "/edge", "/cmd/chiveseam-edge"} {
		sources = append(sources, readGo(t, root+dir, func(path string) bool { return !isTest(path) })...)
	}
	found := map[*regexp.Regexp]int{}
	for _, source := range sources {
		for _, pattern := range []*regexp.Regexp{logEvent, metricName} {
			for _, match := range pattern.FindAllStringSubmatch(source, -1) {
				name := firstGroup(match)
				found[pattern]++
				if !strings.Contains(page, "`"+name+"`") {
					t.Errorf("%s does not explain %s", operations, name)
				}
			}
		}
	}
	is := is.New(t)
	is.True(found[logEvent] > 0)   // the pattern finds log events
	is.True(found[metricName] > 0) // the pattern finds metrics
}

// TestLinksLeadToFiles checks that the relative links of pages lead to files that exist.
func TestLinksLeadToFiles(t *testing.T) {
	for _, path := range pagePaths(t) {
		for _, match := range link.FindAllStringSubmatch(readPage(t, path), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), match[1])); err != nil {
				t.Errorf("%s links to %s: %v", path, match[1], err)
			}
		}
	}
}
