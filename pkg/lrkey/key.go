// Package lrkey creates, parses and verifies the keys that client accounts present.
//
// A key has the form "lr_<id>_<secret>". Only its id and a salted hash of the whole key are stored, never the key itself.
package lrkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const (
	keyPrefix   = "lr"
	idBytes     = 8
	secretBytes = 24
	saltBytes   = 16
	keyFields   = 3
)

// A Key is a client account's credential in clear text. It must never be logged or stored.
type Key struct {
	id    string
	value string
}

// A Hash is the stored form of a key: a random salt and the SHA-256 of salt and key, both in hexadecimal.
type Hash struct {
	Salt   string `json:"salt"`
	Digest string `json:"digest"`
}

// New returns a new random key.
func New() Key {
	id := randomHex(idBytes)
	return Key{id: id, value: strings.Join([]string{keyPrefix, id, randomHex(secretBytes)}, "_")}
}

// Parse returns the key with the given text and reports whether the text has the form of a key.
func Parse(value string) (Key, bool) {
	fields := strings.Split(value, "_")
	if len(fields) != keyFields || fields[0] != keyPrefix {
		return Key{}, false
	}
	if !isHex(fields[1], idBytes) || !isHex(fields[2], secretBytes) {
		return Key{}, false
	}
	return Key{id: fields[1], value: value}, true
}

// ID returns the public identifier of the key.
func (k Key) ID() string { return k.id }

// Reveal returns the key in clear text.
func (k Key) Reveal() string { return k.value }

// String returns the identifier alone, so that formatting a key never shows its secret.
func (k Key) String() string { return k.id }

// Hash returns the stored form of the key under a new random salt.
func (k Key) Hash() Hash {
	salt := randomHex(saltBytes)
	return Hash{Salt: salt, Digest: k.digest(salt)}
}

// Matches reports in constant time whether the hash was made from the key.
func (k Key) Matches(h Hash) bool {
	return subtle.ConstantTimeCompare([]byte(k.digest(h.Salt)), []byte(h.Digest)) == 1
}

func (k Key) digest(salt string) string {
	sum := sha256.Sum256([]byte(salt + k.value))
	return hex.EncodeToString(sum[:])
}

func randomHex(size int) string {
	data := make([]byte, size)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

func isHex(text string, size int) bool {
	data, err := hex.DecodeString(text)
	return err == nil && len(data) == size
}
