package lrstate

import (
	"maps"
	"slices"
)

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
