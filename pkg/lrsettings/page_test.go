package lrsettings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

func TestOperatingPageNamesEverySettingWithItsDefault(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	defaults := reflect.ValueOf(Default())
	for _, section := range fieldNames(defaults) {
		values, _ := fieldByININame(defaults, section)
		for _, key := range fieldNames(values) {
			value, _ := fieldByININame(values, key)
			row := fmt.Sprintf("| `[%s] %s` | %s |", section, key, shownDefault(value))
			t.Run(section+"."+key, func(t *testing.T) {
				if !strings.Contains(string(page), row) {
					t.Fatalf("docs/OPERATIONS.md has no row that starts with: %s", row)
				}
			})
		}
	}
}

func shownDefault(value reflect.Value) string {
	text := fmt.Sprint(value.Interface())
	if text == "" || text == "[]" {
		return "none"
	}
	return "`" + text + "`"
}
