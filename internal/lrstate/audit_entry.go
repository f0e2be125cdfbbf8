package lrstate

import (
	"fmt"
	"strings"
	"time"
)

// An AuditEntry records one accepted or attempted change. The entries of accepted changes form a linked list that starts
// at the head's write identifier and goes back by PreviousWriteID. Entries outside that list were not accepted.
type AuditEntry struct {
	Version         uint64    `json:"version"`
	WriteID         string    `json:"writeId"`
	PreviousWriteID string    `json:"previousWriteId"`
	Who             string    `json:"who"`
	When            time.Time `json:"when"`
	What            string    `json:"what"`
	// Changes lists the changed items with their values before and after.
	Changes []AuditChange `json:"changes"`
}

// An AuditChange is one changed item. An empty Before means that it was added, an empty After that it was removed.
type AuditChange struct {
	Item   string `json:"item"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// items returns the names of the changed items.
func (e AuditEntry) items() string {
	names := make([]string, 0, len(e.Changes))
	for _, c := range e.Changes {
		names = append(names, c.Item)
	}
	return strings.Join(names, ", ")
}

func auditName(version uint64, writeID string) string {
	return fmt.Sprintf("%012d-%s", version, writeID)
}
