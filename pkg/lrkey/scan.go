package lrkey

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

const (
	keySeparator = '_'
	// clearBytes is the length of a key in clear text.
	clearBytes = len(keyPrefix) + 2 + 2*(idBytes+secretBytes)
	// minRunBytes is the least length of a run of base64 digits that can encode a key at any alignment.
	minRunBytes  = clearBytes / base64Bytes * base64Digits
	base64Bytes  = 3
	base64Digits = 4
	maxDecodings = 3
)

// A decoder returns the possible decodings of a text under one encoding.
type decoder func(text []byte) [][]byte

func decoders() []decoder {
	return []decoder{decodePercent, decodeEscapes, decodeRuns}
}

// ContainsKey reports whether the text contains a value that has the form of a key, in lower or upper case: in clear or
// under up to three layers of percent-encoding, JSON escapes, base64 or hexadecimal.
func ContainsKey(text []byte) bool { return containsKey(text, maxDecodings) }

func containsKey(text []byte, layers int) bool {
	if containsClearKey(text) {
		return true
	}
	if layers == 0 || len(text) < clearBytes {
		return false
	}
	for _, decode := range decoders() {
		for _, d := range decode(text) {
			if containsKey(d, layers-1) {
				return true
			}
		}
	}
	return false
}

func containsClearKey(text []byte) bool {
	for at := 0; ; at++ {
		next := bytes.IndexByte(text[at:], keySeparator)
		if next < 0 {
			return false
		}
		at += next
		start := at - len(keyPrefix)
		if start < 0 || start+clearBytes > len(text) {
			continue
		}
		_, ok := Parse(strings.ToLower(string(text[start : start+clearBytes])))
		if ok {
			return true
		}
	}
}

// decodePercent replaces every well-formed percent sequence and leaves the rest as it is.
func decodePercent(text []byte) [][]byte {
	return replaceSequences(text, []byte("%"), 2)
}

// decodeEscapes replaces every JSON escape of a code point below 256 and leaves the rest as it is.
func decodeEscapes(text []byte) [][]byte {
	return replaceSequences(text, []byte(`\u00`), 2)
}

// replaceSequences replaces each introducer and the hexadecimal digits that follow it by the byte that they encode. The
// number of digits is given.
func replaceSequences(text, introducer []byte, digits int) [][]byte {
	if !bytes.Contains(text, introducer) {
		return nil
	}
	decoded := make([]byte, 0, len(text))
	var value [1]byte
	for {
		before, after, found := bytes.Cut(text, introducer)
		decoded = append(decoded, before...)
		if !found {
			return [][]byte{decoded}
		}
		text = after
		if len(after) >= digits {
			_, err := hex.Decode(value[:], after[:digits])
			if err == nil {
				decoded = append(decoded, value[0])
				text = after[digits:]
				continue
			}
		}
		decoded = append(decoded, introducer...)
	}
}

// decodeRuns decodes every long run of base64 digits at each alignment, and as hexadecimal.
func decodeRuns(text []byte) [][]byte {
	var decoded [][]byte
	for at := 0; at+minRunBytes <= len(text); {
		last := at + minRunBytes - 1
		for last >= at && isRunByte(text[last]) {
			last--
		}
		if last >= at {
			at = last + 1
			continue
		}
		end := at + minRunBytes
		for end < len(text) && isRunByte(text[end]) {
			end++
		}
		decoded = append(decoded, decodeRun(text[at:end])...)
		at = end
	}
	return decoded
}

func decodeRun(run []byte) [][]byte {
	decoded := make([][]byte, 0, base64Digits+2)
	standard := bytes.Map(standardDigit, run)
	for shift := range base64Digits {
		digits := standard[shift:]
		if len(digits)%base64Digits == 1 {
			digits = digits[:len(digits)-1]
		}
		out := make([]byte, base64.RawStdEncoding.DecodedLen(len(digits)))
		n, _ := base64.RawStdEncoding.Decode(out, digits)
		decoded = append(decoded, out[:n])
	}
	return append(decoded, decodeHex(run)...)
}

// decodeHex decodes the run at both alignments, up to the first byte that is not a hexadecimal digit.
func decodeHex(run []byte) [][]byte {
	decoded := make([][]byte, 0, 2)
	for shift := range 2 {
		digits := run[shift:]
		out := make([]byte, hex.DecodedLen(len(digits)))
		n, _ := hex.Decode(out, digits[:len(digits)/2*2])
		decoded = append(decoded, out[:n])
	}
	return decoded
}

// standardDigit maps the digits of the URL alphabet of base64 to those of the standard one.
func standardDigit(r rune) rune {
	switch r {
	case '-':
		return '+'
	case keySeparator:
		return '/'
	default:
		return r
	}
}

func isRunByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return b == '+' || b == '/' || b == '-' || b == keySeparator
	}
}
