package lavenderrouter_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func TestProofsNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	source := testSource(t)
	for _, name := range regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w+`).FindAllString(string(page), -1) {
		if !strings.Contains(source, "func "+name) {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", name)
		}
	}
}

// testSource returns the text of all test files.
func testSource(t *testing.T) string {
	t.Helper()
	var source strings.Builder
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		_, _ = source.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return source.String()
}
