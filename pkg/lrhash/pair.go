// Package lrhash has the hash by which instances agree without messages.
package lrhash

import "github.com/cespare/xxhash/v2"

// Pair returns the score of a member for a key. The member with the highest score has the key (rendezvous hashing), so that few
// keys move when members come and go.
func Pair(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
