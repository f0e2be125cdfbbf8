// Package lrprefix identifies the prefix blocks of a prompt, the units that engines cache.
//
// The identity of a block is a chained hash over the client account, the model, the adapter, the weights version
// and every block up to it, so that no two accounts or versions can ever share an identity.
package lrprefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// BytesPerToken is the number of prompt bytes that count as one token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 2000
	// BlockBytes is the number of prompt bytes in a block.
	BlockBytes = BlockTokens * BytesPerToken
	// IDBytes is the length of an ID in bytes.
	IDBytes = 16
)

// An ID identifies a block together with its scope and all blocks before it.
type ID [IDBytes]byte

// String returns the identity in hexadecimal.
func (i ID) String() string { return hex.EncodeToString(i[:]) }

// ParseID parses an identity in hexadecimal and reports whether it is well formed.
func ParseID(text string) (ID, bool) {
	var id ID
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != IDBytes {
		return id, false
	}
	copy(id[:], data)
	return id, true
}

// A Scope separates cached blocks: two scopes share none.
type Scope struct {
	Account string
	Model   string
	Adapter string
	Version string
}

// Salt returns the value that an engine mixes into its own cache identities for the scope. Chains of the scope begin with it.
func (s Scope) Salt() ID {
	mac := hmac.New(sha256.New, []byte("lavenderrouter/scope"))
	for _, field := range []string{s.Account, s.Model, s.Adapter, s.Version} {
		_ = binary.Write(mac, binary.BigEndian, uint64(len(field)))
		_, _ = mac.Write([]byte(field))
	}
	var id ID
	copy(id[:], mac.Sum(nil))
	return id
}

// Chain returns the identities of the whole blocks of the prompt, in order. A partial last block has no identity.
func Chain(salt ID, prompt string) []ID {
	count := len(prompt) / BlockBytes
	chain := make([]ID, 0, count)
	previous := salt
	hash := sha256.New()
	var sum [sha256.Size]byte
	for n := range count {
		hash.Reset()
		_, _ = hash.Write(previous[:])
		_, _ = hash.Write([]byte(prompt[n*BlockBytes : (n+1)*BlockBytes]))
		hash.Sum(sum[:0])
		copy(previous[:], sum[:])
		chain = append(chain, previous)
	}
	return chain
}

// Contents returns the identities of the whole blocks of the prompt by their content alone: equal blocks have equal identities, whatever
// stands before them and whoever sends them.
func Contents(prompt string) []string {
	count := len(prompt) / BlockBytes
	contents := make([]string, 0, count)
	for n := range count {
		sum := sha256.Sum256([]byte(prompt[n*BlockBytes : (n+1)*BlockBytes]))
		contents = append(contents, hex.EncodeToString(sum[:IDBytes]))
	}
	return contents
}

// Tokens returns the number of tokens that a text counts as, rounded up.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
