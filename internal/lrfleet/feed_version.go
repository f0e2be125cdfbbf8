package lrfleet

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// A FeedVersion identifies the entries that an instance holds of a feed. The revision alone does not tell whether two instances hold the
// same entries, since it also grows with changes of other feeds; the revisions of the entries do not either, since a removed entry leaves
// none.
type FeedVersion struct {
	// Revision is the revision of the platform up to which the entries include every change.
	Revision uint64
	// Digest is a hash of the entries. It is zero when there are none.
	Digest uint64
}

// supersedes reports whether entries of version v include changes that those of the other version lack.
func (v FeedVersion) supersedes(other FeedVersion) bool {
	return v.Revision > other.Revision && v.Digest != other.Digest
}

// entryDigest returns the hash of one entry in its JSON form. The digest of a feed is the sum of those of its entries.
func entryDigest(name string, entry any) (uint64, error) {
	data, err := json.Marshal(entry)
	if err != nil {
		return 0, err
	}
	hash := sha256.Sum256(append([]byte(name+"\x00"), data...))
	return binary.BigEndian.Uint64(hash[:]), nil
}
