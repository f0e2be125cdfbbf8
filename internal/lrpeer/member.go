// Package lrpeer joins the instances of the daemon to one another over gRPC.
package lrpeer

import "github.com/lavenderrouter/lavenderrouter/pkg/lrmember"

// A Member is one live instance of the daemon.
type Member = lrmember.Member

// A Roster tells which instances are alive.
type Roster interface {
	// Self returns the member that this process is.
	Self() Member
	// Members returns the live members, this process among them, ordered by name.
	Members() []Member
}
