package lrtimeline

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The log contains three failed requests: one above its account's rate, one whose stream was aborted, and a paid action with an unknown
// outcome. docs/OPERATIONS.md shows the same timelines.
func TestTimelines(t *testing.T) {
	logs, err := os.ReadFile("testdata/trouble.log")
	if err != nil {
		t.Fatal(err)
	}
	for name, request := range map[string]string{
		"refused": "d8a2383be73e69b0", "cut": "6ea66dfe67419990", "paid": "c6e4e98df5a71db6",
	} {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			half := bytes.IndexByte(logs[len(logs)/2:], '\n') + len(logs)/2 + 1
			err := Write(&output, request, bytes.NewReader(logs[half:]), bytes.NewReader(logs[:half]))
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, output.Bytes())
		})
	}
}

func TestUnknownRequestIsAnError(t *testing.T) {
	err := Write(&bytes.Buffer{}, "none", strings.NewReader("no JSON\n{torn\n{\"time\":\"now\"}\n"))
	if err == nil || !strings.Contains(err.Error(), "no log line names request none") {
		t.Fatalf("error %v", err)
	}
}
