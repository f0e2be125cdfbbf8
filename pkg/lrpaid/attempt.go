package lrpaid

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// MaxKeyBytes is the length of the longest idempotency key that is accepted.
const MaxKeyBytes = 255

// accountDigits is the number of hexadecimal digits in a record's name that depend on the client account alone.
const accountDigits = 8

// An Attempt is one request of a caller for a paid action. Its nonce is unique.
type Attempt struct {
	Account        string
	IdempotencyKey string
	Route          string
	Fingerprint    string
	Owner          string
	Nonce          string
	RequestID      string
}

// RecordName returns the name of the record of an action. The records of one client account share the prefix NamePrefix.
func RecordName(account, idempotencyKey string) string {
	return RecordNamePrefix(account) + digest(account, idempotencyKey)
}

// RecordNamePrefix returns the common prefix of the names of a client account's records.
func RecordNamePrefix(account string) string { return digest(account)[:accountDigits] + "-" }

// Fingerprint returns a hash that identifies the content of an action.
func Fingerprint(method, route, path string, body []byte) string {
	return digest(method, route, path, string(body))
}

// digest returns the SHA-256 hash of the parts in hexadecimal. The parts are encoded so that different lists of parts
// never produce the same input.
func digest(parts ...string) string {
	hash := sha256.New()
	encoder := json.NewEncoder(hash)
	for _, p := range parts {
		_ = encoder.Encode([]byte(p))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// ValidKey reports whether the idempotency key consists of 1 to MaxKeyBytes visible ASCII characters.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for _, c := range []byte(key) {
		if c < '!' || c > '~' {
			return false
		}
	}
	return true
}
