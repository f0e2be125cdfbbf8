package lrpeer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// A DirectoryRoster takes the members from the platform's list alone.
type DirectoryRoster struct {
	self      Member
	directory lrplatform.Directory
	mutex     sync.RWMutex
	members   []Member
}

// NewDirectoryRoster returns a DirectoryRoster that knows of this process only.
func NewDirectoryRoster(self Member, directory lrplatform.Directory) *DirectoryRoster {
	return &DirectoryRoster{self: self, directory: directory, members: []Member{self}}
}

// Self returns the member that this process is.
func (r *DirectoryRoster) Self() Member { return r.self }

// Members returns the live members, ordered by name.
func (r *DirectoryRoster) Members() []Member {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return slices.Clone(r.members)
}

// Refresh reads the platform's list. The last one stays in use when the platform is down.
func (r *DirectoryRoster) Refresh(ctx context.Context, _ time.Time) {
	instances, err := r.directory.Instances(ctx)
	if err != nil {
		return
	}
	members := []Member{r.self}
	for _, i := range instances {
		if i.Role == lrplatform.RoleRouter && i.Name != r.self.Name {
			members = append(members, Member{Name: i.Name, Zone: i.Zone, PeerAddress: i.PeerAddress, Leaving: i.Leaving})
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.members = members
}
