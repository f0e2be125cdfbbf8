package lrfleet

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// A FeedVersion identifies the entries that an instance holds of a feed. The revision alone does not tell whether two instances hold the
// same entries, since it also grows with changes of other feeds; the revisions of the entries do not either, since a removed entry leaves
// none.
type FeedVersion struct {
	// Rewinds is the number of times that an instance has found the platform to have gone back to an earlier revision without a higher era.
	// A revision counts for more than all those from before.
	Rewinds uint32
	// Era is the era of the platform's store in which the revision was counted. It rises each time that the store comes back from an older
	// copy, and is zero for a store that names none.
	Era uint64
	// Revision is the revision of the platform up to which the entries include every change.
	Revision uint64
	// Digest is a hash of the entries. It is zero when there are none.
	Digest uint64
}

// compare orders versions by the changes of the platform that they include.
func (v FeedVersion) compare(other FeedVersion) int {
	return cmp.Or(cmp.Compare(v.Rewinds, other.Rewinds), cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// supersedes reports whether entries of version v include changes that those of the other version lack.
func (v FeedVersion) supersedes(other FeedVersion) bool {
	return v.compare(other) > 0 && v.Digest != other.Digest
}

// continues reports whether the revisions of both versions were counted by a store that has not gone back between them.
func (v FeedVersion) continues(other FeedVersion) bool {
	return v.Rewinds == other.Rewinds && v.Era == other.Era
}

// isRewoundFrom reports whether entries of version v are of a platform that has gone back since those of the other one. A store that names its
// era for the first time, as seen by an instance that has the other entries from one of an earlier version, has not gone back.
func (v FeedVersion) isRewoundFrom(other FeedVersion) bool {
	isFirstNamed := other.Era == 0 && v.Rewinds == other.Rewinds && v.Revision >= other.Revision
	return other.Revision > 0 && !v.continues(other) && !isFirstNamed
}

// listedAt returns the version of a list that the platform has answered to a call that began while v was held. Answers to calls that begin
// later are at the same or a later revision, unless the store has come back from an older copy. A store that names no higher era then is found
// out by its revision.
func (v FeedVersion) listedAt(era, revision uint64) FeedVersion {
	listed := FeedVersion{Rewinds: v.Rewinds, Era: era, Revision: revision}
	if listed.compare(v) < 0 {
		listed.Rewinds++
	}
	return listed
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
