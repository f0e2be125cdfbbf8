package lrnotice

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxDecimalLength bounds a decimal number in bytes.
	maxDecimalLength = 20
	// MaxPause is the longest pause that a server is granted. Longer ones count as this long.
	MaxPause = time.Hour
)

// ParseDecimal parses a number of digits with at most one point. Signs, exponents, infinity and NaN are not decimal numbers.
func ParseDecimal(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" || len(text) > maxDecimalLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// ParsePause parses the values in seconds of a Retry-After header. The longest holds. A date is ignored, because clocks differ.
func ParsePause(values []string) time.Duration {
	longest := time.Duration(0)
	for _, text := range values {
		seconds, ok := ParseDecimal(text)
		if ok {
			longest = max(longest, time.Duration(min(seconds, MaxPause.Seconds())*float64(time.Second)))
		}
	}
	return longest
}
