package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFaultsPageNamesExistingTests holds the page of faults against the tests.
func TestFaultsPageNamesExistingTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("FAULTS.md")
	is.NoErr(err)
	defined := definedTests(t)
	names := regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w*`).FindAllString(string(page), -1)
	is.True(len(names) > 0)
	for _, name := range names {
		if !defined[name] {
			t.Errorf("FAULTS.md names %s, which no test file defines", name)
		}
	}
}

func definedTests(t *testing.T) map[string]bool {
	t.Helper()
	definition := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z]\w*)\(`)
	defined := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range definition.FindAllSubmatch(source, -1) {
			defined[string(match[1])] = true
		}
		return err
	})
	is.New(t).NoErr(err)
	return defined
}
