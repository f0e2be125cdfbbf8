// Package lrhash provides the hash by which instances agree on the owner of a key without exchanging messages.
package lrhash

import "github.com/cespare/xxhash/v2"

// RendezvousScore returns the score of a member for a key. The member with the highest score owns the key (rendezvous hashing), so that few keys move
// when members are added or removed.
func RendezvousScore(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
