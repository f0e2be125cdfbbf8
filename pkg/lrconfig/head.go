package lrconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// headDigestBytes is the length of the digest of the shards in a write identifier.
const headDigestBytes = 8

// A Head states one version of the whole configuration and the digest of each of its shards.
type Head struct {
	// Version rises by one with each accepted change.
	Version uint64 `json:"version"`
	// WriteID identifies the change that made this version. It ends with a digest of Shards.
	WriteID string `json:"writeId"`
	// Shards maps the name of each shard to its digest.
	Shards map[string]string `json:"shards"`
}

// WithShards returns the next version of the head with the given shards replaced.
func (h Head) WithShards(writeID string, digests map[string]string) Head {
	shards := maps.Clone(h.Shards)
	if shards == nil {
		shards = make(map[string]string, len(digests))
	}
	maps.Copy(shards, digests)
	return Head{Version: h.Version + 1, WriteID: writeID + "." + shardsDigest(shards), Shards: shards}
}

// IsConsistent reports whether the head lists the shards that its write identifier names. One without a digest lists any.
func (h Head) IsConsistent() bool {
	_, digest, ok := strings.Cut(h.WriteID, ".")
	return !ok || digest == shardsDigest(h.Shards)
}

func shardsDigest(shards map[string]string) string {
	hash := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(shards)) {
		_, _ = hash.Write([]byte(name + "=" + shards[name] + "\n"))
	}
	return hex.EncodeToString(hash.Sum(nil)[:headDigestBytes])
}
