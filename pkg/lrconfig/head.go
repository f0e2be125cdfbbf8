package lrconfig

import "maps"

// A Head states one version of the whole configuration and the digest of each of its shards.
type Head struct {
	// Version rises by one with each accepted change.
	Version uint64 `json:"version"`
	// WriteID identifies the change that made this version.
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
	return Head{Version: h.Version + 1, WriteID: writeID, Shards: shards}
}
