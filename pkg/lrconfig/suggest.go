package lrconfig

import "fmt"

// maxSuggestDistance is the largest edit distance of a name that is suggested.
const maxSuggestDistance = 3

// Suggest returns a hint with the candidate that has the smallest edit distance to the name, or an empty text when none is
// near.
func Suggest(name string, candidates []string) string {
	best, bestDistance := "", maxSuggestDistance+1
	for _, c := range candidates {
		distance := editDistance(name, c)
		if distance < bestDistance {
			best, bestDistance = c, distance
		}
	}
	if best == "" || best == name {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", best)
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}
