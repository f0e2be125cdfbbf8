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

// The page for operators must explain each log message of an edge instance.
func TestEveryLogMessageIsExplained(t *testing.T) {
	page, err := os.ReadFile("docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"platform", "internal/lredge", "internal/lrfleet", "internal/lrpipeline", "internal/lrweights", "internal/lrrelease", "internal/lrlog"} {
		for _, message := range logMessages(t, folder) {
			if !strings.Contains(string(page), "`"+message+"`") {
				t.Errorf("docs/OPERATIONS.md does not explain the message %q of %s", message, folder)
			}
		}
	}
}

// logMessages returns the log messages in the source files of the folder.
func logMessages(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(folder + "/*.go")
	if err != nil || len(names) == 0 {
		t.Fatalf("files of %s: %v, %v", folder, names, err)
	}
	var messages []string
	for _, n := range names {
		if strings.HasSuffix(n, "_test.go") {
			continue
		}
		data, err := os.ReadFile(n)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range regexp.MustCompile(`\.Msg\("([^"]+)"\)`).FindAllStringSubmatch(string(data), -1) {
			messages = append(messages, match[1])
		}
	}
	return messages
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
